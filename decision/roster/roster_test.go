package roster

import (
	"testing"
	"time"
)

// stepUntil steps a roster through a time, and returns the entries that it removes.
func stepUntil(r *Roster, from, to time.Duration, chosen bool, entries func(now time.Duration) []Entry) []Entry {
	const period = 5 * time.Second
	var out []Entry
	for now := from; now < to; now += period {
		if e, ok := r.Step(now, entries(now), chosen); ok {
			out = append(out, e)
		}
	}
	return out
}

// Guards against entries of removed machines that stay for ever and count in every survey.
func TestLostEntryIsRemoved(t *testing.T) {
	r := &Roster{}
	gone := []Entry{{Name: "a", Revision: 1}, {Name: "b", Revision: 2, Unreachable: true}}
	all := func(time.Duration) []Entry { return gone }
	if out := stepUntil(r, 0, RemovalDelay, true, all); len(out) != 0 {
		t.Errorf("removed before its term: %+v", out)
	}
	if out := stepUntil(r, RemovalDelay, RemovalDelay+removalInterval, true, all); len(out) != 1 || out[0].Name != "b" {
		t.Errorf("removed %+v, want b once", out)
	}
}

// Guards against the removal of an instance that answers now and then, or that has entered itself again.
func TestReturningInstanceStays(t *testing.T) {
	r := &Roster{}
	flapping := func(now time.Duration) []Entry {
		return []Entry{
			{Name: "flapping", Revision: 1, Unreachable: now%time.Minute != 0},
			{Name: "restarting", Revision: uint64(now / time.Minute), Unreachable: true},
		}
	}
	if out := stepUntil(r, 0, 3*RemovalDelay, true, flapping); len(out) != 0 {
		t.Errorf("removed %+v", out)
	}
}

// Guards against several instances that remove entries, and against one that empties the list because it is cut off.
func TestRemovalIsSlow(t *testing.T) {
	var entries []Entry
	for _, name := range []string{"a", "b", "c", "d"} {
		entries = append(entries, Entry{Name: name, Unreachable: true})
	}
	all := func(time.Duration) []Entry { return entries }
	if out := stepUntil(&Roster{}, 0, 2*RemovalDelay, false, all); len(out) != 0 {
		t.Errorf("an instance that is not chosen removes %+v", out)
	}
	if out := stepUntil(&Roster{}, 0, RemovalDelay+2*removalInterval, true, all); len(out) != 2 {
		t.Errorf("%d entries are removed within twice the gap", len(out))
	}
}
