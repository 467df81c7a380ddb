package roster

import (
	"testing"
	"time"
)

// stepUntil steps a roster from one time to another and returns the entries that it removes.
func stepUntil(r *Roster, from, to time.Duration, mayRemove bool, entries func(now time.Duration) []Entry) []Entry {
	const period = 5 * time.Second
	var out []Entry
	for now := from; now < to; now += period {
		if e, ok := r.Step(now, entries(now), mayRemove); ok {
			out = append(out, e)
		}
	}
	return out
}

// Guards against entries of removed machines that are never removed and count in every survey.
func TestLostEntryIsRemoved(t *testing.T) {
	r := &Roster{}
	listed := []Entry{{Name: "a", Revision: 1}, {Name: "b", Revision: 2, Unreachable: true}}
	all := func(time.Duration) []Entry { return listed }
	if out := stepUntil(r, 0, RemovalDelay, true, all); len(out) != 0 {
		t.Errorf("removed %+v before RemovalDelay", out)
	}
	if out := stepUntil(r, RemovalDelay, RemovalDelay+removalInterval, true, all); len(out) != 1 || out[0].Name != "b" {
		t.Errorf("removed %+v, want b once", out)
	}
}

// Guards against the removal of an instance that answers intermittently or has registered again.
func TestReturningInstanceIsKept(t *testing.T) {
	r := &Roster{}
	flapping := func(now time.Duration) []Entry {
		return []Entry{
			{Name: "flapping", Revision: 1, Unreachable: now%time.Minute != 0},
			{Name: "restarting", Revision: uint64(now / time.Minute), Unreachable: true},
		}
	}
	if out := stepUntil(r, 0, 3*RemovalDelay, true, flapping); len(out) != 0 {
		t.Errorf("removed %+v, want none", out)
	}
}

// Guards against several instances that remove entries, and against an isolated instance that empties the list.
func TestRemovalIsRateLimited(t *testing.T) {
	var entries []Entry
	for _, name := range []string{"a", "b", "c", "d"} {
		entries = append(entries, Entry{Name: name, Unreachable: true})
	}
	all := func(time.Duration) []Entry { return entries }
	if out := stepUntil(&Roster{}, 0, 2*RemovalDelay, false, all); len(out) != 0 {
		t.Errorf("removed %+v without mayRemove", out)
	}
	if out := stepUntil(&Roster{}, 0, RemovalDelay+2*removalInterval, true, all); len(out) != 2 {
		t.Errorf("%d entries removed within two removal intervals, want 2", len(out))
	}
}
