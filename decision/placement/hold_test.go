package placement

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
)

// Guards against a primary that is to step down and gets new statements meanwhile, so that none of its slots is ever free for the order,
// and against one that stays without statements if the order does not come.
func TestHeldPrimaryGetsNothingNew(t *testing.T) {
	g := NewGroup(Locality{})
	g.Register(0, []discovery.Server{{ID: "old", Primary: true, Revision: 1}, {ID: "new", Revision: 2}})
	now := time.Second
	g.MarkLeader(now, now, "old", g.servers["old"].position)
	g.Hold(now, "old")
	if id, _ := g.Leader(now, nil); id == "old" {
		t.Error("the held primary is used")
	}
	if _, why := g.Lead(now, "old"); why != "" {
		t.Errorf("open transactions of the held primary end: %s", why)
	}
	if id, ok := g.Primary(); !ok || id != "old" {
		t.Errorf("the held primary counts as lost: %q", id)
	}
	if id, _ := g.Leader(now+holdPeriod, nil); id != "old" {
		t.Errorf("%q is used once the hold has ended, want the primary", id)
	}
	g.Hold(now, "new")
	g.Register(now, []discovery.Server{{ID: "old", Revision: 3}, {ID: "new", Primary: true, Revision: 4}})
	if id, _ := g.Leader(now, nil); id != "new" {
		t.Errorf("%q is used after the promotion, want the server that was promoted", id)
	}
}
