package roster

import (
	"slices"
	"testing"
	"time"
)

// list is a list of instances whose entries a roster marks and removes.
type list struct {
	entries  []Entry
	revision uint64
	marked   int
	removed  []string
}

// stepUntil steps a roster from one time to another. change changes the list before each step.
func (l *list) stepUntil(r *Roster, from, to time.Duration, mayRemove bool, change func(now time.Duration)) {
	const period = 5 * time.Second
	for now := from; now < to; now += period {
		change(now)
		e, ok := r.Step(now, slices.Clone(l.entries), mayRemove)
		i := slices.IndexFunc(l.entries, func(other Entry) bool { return other.Name == e.Name })
		switch {
		case !ok:
		case e.Marked:
			l.removed = append(l.removed, e.Name)
			l.entries = slices.Delete(l.entries, i, i+1)
		default:
			l.marked++
			l.write(i, true)
		}
	}
}

// write writes an entry again, with or without a mark.
func (l *list) write(i int, marked bool) {
	l.revision++
	l.entries[i].Marked, l.entries[i].Revision = marked, 100+l.revision
}

func unchanged(time.Duration) {}

// Guards against entries of removed machines that are never removed and count in every survey, and against a removal that the
// instance can't have noticed.
func TestLostEntryIsRemoved(t *testing.T) {
	r, l := &Roster{}, &list{entries: []Entry{{Name: "a", Revision: 1}, {Name: "b", Revision: 2, Unreachable: true}}}
	l.stepUntil(r, 0, RemovalDelay, true, unchanged)
	if l.marked+len(l.removed) != 0 {
		t.Errorf("%d marked, removed %v before RemovalDelay", l.marked, l.removed)
	}
	l.stepUntil(r, RemovalDelay, RemovalDelay+MarkTerm, true, unchanged)
	if l.marked != 1 || len(l.removed) != 0 {
		t.Errorf("%d marked, removed %v before MarkTerm, want one marked", l.marked, l.removed)
	}
	l.stepUntil(r, RemovalDelay+MarkTerm, RemovalDelay+MarkTerm+removalInterval, true, unchanged)
	if l.marked != 1 || !slices.Equal(l.removed, []string{"b"}) {
		t.Errorf("%d marked, removed %v, want b once", l.marked, l.removed)
	}
}

// Guards against the removal of an instance that answers intermittently or has registered again, also once its entry was marked.
func TestReturningInstanceIsKept(t *testing.T) {
	l := &list{entries: []Entry{{Name: "flapping"}, {Name: "restarting", Unreachable: true}, {Name: "registers again", Unreachable: true}}}
	l.stepUntil(&Roster{}, 0, 3*RemovalDelay, true, func(now time.Duration) {
		l.entries[0].Unreachable = now%time.Minute != 0
		if now%time.Minute == 0 {
			l.write(1, false)
		}
		if l.entries[2].Marked {
			l.write(2, false)
		}
	})
	if len(l.removed) != 0 || l.marked == 0 {
		t.Errorf("removed %v, %d marked, want none removed and one marked again and again", l.removed, l.marked)
	}
}

// Guards against several instances that remove entries, and against an isolated instance that empties the list.
func TestRemovalIsRateLimited(t *testing.T) {
	newList := func() *list {
		l := &list{}
		for _, name := range []string{"a", "b", "c", "d"} {
			l.entries = append(l.entries, Entry{Name: name, Unreachable: true})
		}
		return l
	}
	l := newList()
	if l.stepUntil(&Roster{}, 0, 2*RemovalDelay, false, unchanged); l.marked+len(l.removed) != 0 {
		t.Errorf("%d marked, removed %v without mayRemove", l.marked, l.removed)
	}
	l = newList()
	if l.stepUntil(&Roster{}, 0, RemovalDelay+MarkTerm+2*removalInterval, true, unchanged); len(l.removed) != 2 {
		t.Errorf("%d entries removed within two removal intervals, want 2", len(l.removed))
	}
}
