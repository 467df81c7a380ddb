package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Guards against work that is placed on a server in an evacuated failure domain, whatever is known of it: a leader that has
// proved it, a server without an entry, or the only one that is left.
func TestEvacuationTakesAllWorkFromServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGroup(Locality{Region: "here"})
		var now time.Duration
		domains := []string{"z1", "z2", "z3"}
		evacuated := map[string]bool{}
		entries := func() (out []discovery.Server) {
			for i, id := range []string{"a", "b", "c"} {
				if rapid.IntRange(0, 4).Draw(t, "missing") > 0 {
					out = append(out, discovery.Server{
						ID: id, FailureDomain: domains[i], Primary: rapid.Bool().Draw(t, "primary"), Revision: uint64(now),
						Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0, Evacuated: evacuated[domains[i]],
					})
				}
			}
			return out
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * ms
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				domain := rapid.SampledFrom(domains).Draw(t, "domain")
				evacuated[domain] = !evacuated[domain]
				g.Evacuate(func(d string) bool { return evacuated[d] })
			case 1:
				g.MarkLeader(now, now, id, pos(1, 1))
			case 2:
				g.MarkNotLeader(now, id)
			case 3:
				g.MarkUnreachable(now, id)
			default:
				g.Register(now, entries())
			}
			leader, _ := g.Leader(now, nil)
			replica, _, _ := g.Replica(now, position.Position{}, nil)
			for _, chosen := range []string{leader, replica} {
				if s, _ := g.Server(chosen); evacuated[s.FailureDomain] {
					t.Fatalf("leader %s, replica %s: %+v is evacuated", leader, replica, s)
				}
			}
		}
	})
}

// Guards against callers that wait for a successor that can't come, and against refusals while a hand-over can succeed.
func TestEvacuationWaitsOnlyForASuccessor(t *testing.T) {
	servers := func(evacuated, leaving string) []discovery.Server {
		var out []discovery.Server
		for _, id := range []string{"p", "r"} {
			out = append(out, discovery.Server{
				ID: id, FailureDomain: "z" + id, Primary: id == "p", Evacuated: evacuated == id || evacuated == "all", Leaving: leaving == id,
			})
		}
		return out
	}
	for _, test := range []struct {
		name               string
		evacuated, leaving string
		searched, found    bool
		without, awaits    bool
	}{
		{name: "no evacuation, but no successor", leaving: "r", awaits: true},
		{name: "replica can be promoted", evacuated: "p", awaits: true},
		{name: "replica answers", evacuated: "p", searched: true, found: true, awaits: true},
		{name: "replica does not answer", evacuated: "p", searched: true, without: true},
		{name: "replica leaves", evacuated: "p", leaving: "r", without: true},
		{name: "all evacuated", evacuated: "all", without: true},
		{name: "primary goes on", evacuated: "r", awaits: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGroup(Locality{})
			g.Register(1, servers(test.evacuated, test.leaving))
			if test.searched {
				g.RecordSuccessor(1, test.found)
			}
			if got := g.WithoutSuccessor(2); got != test.without {
				t.Errorf("without a successor: %t, want %t", got, test.without)
			}
			if got := g.AwaitsSuccessor(2, "zp"); got != test.awaits {
				t.Errorf("awaits a successor: %t, want %t", got, test.awaits)
			}
		})
	}
}
