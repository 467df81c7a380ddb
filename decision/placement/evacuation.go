package placement

import "time"

// noSuccessorTerm is how long the result of a search for a successor that found none is used. The search is repeated after
// less.
const noSuccessorTerm = 2 * time.Second

// Evacuate updates which servers are in an evacuated failure domain, including those whose entries are missing.
func (g *Group) Evacuate(isEvacuated func(failureDomain string) bool) {
	for _, s := range g.servers {
		s.Evacuated = isEvacuated(s.FailureDomain)
	}
	g.noSuccessorUntil = 0
}

// RecordSuccessor records whether a search for the successor of an evacuated leader has found a server that answers.
func (g *Group) RecordSuccessor(now time.Duration, found bool) {
	g.noSuccessorUntil = 0
	if !found {
		g.noSuccessorUntil = now + noSuccessorTerm
	}
}

// WithoutSuccessor reports whether an evacuation leaves no server that leads or could be promoted, so that waiting for one
// can't help.
func (g *Group) WithoutSuccessor(now time.Duration) bool {
	evacuated := false
	for _, s := range g.servers {
		evacuated = evacuated || s.Evacuated
	}
	if !evacuated {
		return false
	}
	return !g.hasFitServer() || now < g.noSuccessorUntil && g.leaderEvacuated()
}

// hasFitServer reports whether a server leads, or could be promoted, outside the evacuated failure domains.
func (g *Group) hasFitServer() bool {
	for _, s := range g.servers {
		if !s.Evacuated && !s.Leaving && s.missingSince == 0 {
			return true
		}
	}
	return false
}

func (g *Group) leaderEvacuated() bool {
	id, ok := g.Primary()
	return ok && g.servers[id].Evacuated
}

// AwaitsSuccessor reports whether the leader is in a failure domain, or unknown while the domain has servers, although another
// server can be promoted.
func (g *Group) AwaitsSuccessor(now time.Duration, failureDomain string) bool {
	inDomain := false
	for _, s := range g.servers {
		inDomain = inDomain || s.FailureDomain == failureDomain
	}
	if !inDomain || g.WithoutSuccessor(now) {
		return false
	}
	id, ok := g.Primary()
	return !ok || g.servers[id].FailureDomain == failureDomain
}
