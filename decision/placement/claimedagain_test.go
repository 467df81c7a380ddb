package placement

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Load: a move of a primary to its home region fails, so that the former primary is claimed again after it has stepped down; the order
// gets no answer, and the server begins to leave. Guards against a proof of its earlier lead that counts as one of the new lead: it
// steps down as a replica, and may lead by the order that is under way.
func TestProofOfAnEarlierLeadIsNoneOfTheNextOne(t *testing.T) {
	g := NewGroup(Locality{})
	now := time.Minute
	entries := []discovery.Server{{ID: "old", Database: "db", Primary: true, Revision: 1}, {ID: "home", Database: "db", Revision: 2}}
	g.Register(now, entries)
	g.MarkLeader(now, now, "old", position.Position{})
	first := leaderlease.Claim{}.Next("old", "home", true)
	first.Version = 5
	g.SetClaim(first)
	entries[0].Primary, entries[0].Revision = false, 6 // it has stepped down
	g.Register(now, entries)
	back := first.Next("old", "old", false)
	back.Version = 7
	g.SetClaim(back)
	ordered := back.Withdrawn()
	ordered.Version = 8
	g.SetClaim(ordered)
	primary, _ := g.Primary()
	if next := ordered.Next(primary, "other", true); next.FormerKnown {
		t.Errorf("%q counts as the primary by its answer before it stepped down, so its next step down counts although it may still be promoted", primary)
	}
}
