package placement

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/home"
)

// silentFailures is the number of failed connections in a row after which a server in back-off counts as known to be
// unreachable. A single failure may be of the connection alone.
const silentFailures = 2

// Outside returns the IDs of the servers that are not in the given regions.
func (g *Group) Outside(r home.Regions) []string {
	var outside []string
	for id, s := range g.servers {
		if !r.Allow(s.Region) {
			outside = append(outside, id)
		}
	}
	return outside
}

// HomeServers describes the servers for home.Check.
func (g *Group) HomeServers(now time.Duration) []home.Server {
	primary, _ := g.Primary()
	out := make([]home.Server, 0, len(g.servers))
	for id, s := range g.servers {
		out = append(out, home.Server{Region: s.Region, Leads: id == primary, TakesWork: s.takesWork(now)})
	}
	return out
}

// takesWork reports whether a server may get new work and is not known to be unreachable.
func (s *server) takesWork(now time.Duration) bool {
	unreachable := s.failures >= silentFailures && s.backoffUntil > now
	return !s.Leaving && !s.Evacuated && s.missingSince == 0 && !unreachable
}
