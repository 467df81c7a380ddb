package placement

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Guards against statements for the leader that go to a server whose replacement was ordered, before the entries show it,
// and against a server that stays unused although it was promoted or the order came to nothing.
func TestRetiredLeaderIsNotUsed(t *testing.T) {
	g := NewGroup(Locality{})
	entry := func(id string, revision uint64, primary bool) discovery.Server {
		return discovery.Server{ID: id, Database: "db", Address: id, Primary: primary, Revision: revision}
	}
	g.Register(0, []discovery.Server{entry("a", 1, true), entry("b", 2, false)})
	g.MarkLeader(time.Second, time.Second, "a", position.Position{Term: 1, LSN: 5})
	g.Retire(2*time.Second, "a")
	if id, ok := g.Leader(2*time.Second+retirementPeriod-1, []string{"b"}); ok {
		t.Errorf("leader %q after its replacement was ordered, want none", id)
	}
	if id, _ := g.Leader(2*time.Second+retirementPeriod, nil); id != "a" {
		t.Errorf("leader %q after the order came to nothing, want a", id)
	}
	g.Retire(10*time.Second, "b")
	g.Register(10*time.Second, []discovery.Server{entry("a", 3, false), entry("b", 4, true)})
	if id, _ := g.Leader(10*time.Second, nil); id != "b" {
		t.Errorf("leader %q after the promotion of b, want b", id)
	}
}

// Guards against statements for the leader that go to a former primary while the leader can't be reached: it still claims to
// be the primary, also after its entry has expired and returned.
func TestSupersededPrimaryIsNotUsed(t *testing.T) {
	entry := func(id string, revision uint64, primary bool) discovery.Server {
		return discovery.Server{ID: id, Database: "db", Address: id, Primary: primary, Revision: revision, Started: 7}
	}
	g := NewGroup(Locality{})
	g.Register(0, []discovery.Server{entry("a", 1, true), entry("b", 2, false)})
	now := time.Second
	g.Register(now, []discovery.Server{entry("a", 1, true), entry("b", 3, true)})
	if id, ok := g.Leader(now, []string{"b"}); ok {
		t.Errorf("leader %q beside its successor, want none", id)
	}
	g.Register(now, []discovery.Server{entry("b", 3, true)})
	now += missingGracePeriod + time.Second
	g.Register(now, []discovery.Server{entry("b", 3, true)})
	g.Register(now, []discovery.Server{entry("a", 9, true), entry("b", 3, true)})
	if id, ok := g.Leader(now, []string{"b"}); ok {
		t.Errorf("leader %q after its entry returned, want none", id)
	}
	if id, _ := g.Leader(now, nil); id != "b" {
		t.Errorf("leader %q, want b", id)
	}
	g.Register(now, []discovery.Server{entry("a", 10, false), entry("b", 3, true)})
	g.Register(now, []discovery.Server{entry("a", 11, true), entry("b", 3, true)})
	if id, _ := g.Leader(now, nil); id != "a" {
		t.Errorf("leader %q after a was promoted again, want a", id)
	}
}
