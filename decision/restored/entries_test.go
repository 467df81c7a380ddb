package restored

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// list returns a list of entries whose value is the count of their state.
func list(states map[string]State) Listing[int64] {
	var l Listing[int64]
	for name, s := range states {
		l.Add(name, s.Count, s)
	}
	return l
}

// Guards against a server that is used again, or as one that does not leave, because the store came back from a copy.
func TestLeavingServersStayOutWhenStoreRestored(t *testing.T) {
	e := NewEntries[int64]()
	copied := map[string]State{"gone": {7, 1}, "leaving": {7, 1}, "restarted": {7, 1}, "silent": {7, 1}}
	e.Replace(0, list(copied), false)
	e.Remove(time.Second, "gone")
	e.Remove(time.Second, "restarted")
	e.Put("leaving", 2, State{7, 2})
	e.Put("new", 1, State{8, 1})

	copied["restarted"] = State{9, 0}
	e.Replace(2*time.Second, list(copied), true)
	got := e.Current()
	want := map[string]int64{"leaving": 2, "restarted": 0, "silent": 1, "new": 1}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("entries after the restore: %v, want %v", got, want)
	}
	if kept, hidden := e.Exceptions(); kept != 2 || hidden != 1 {
		t.Errorf("%d entries kept and %d hidden, want 2 and 1", kept, hidden)
	}
	e.Put("leaving", 3, State{7, 3})
	if !e.Expire(2*time.Second + keptTerm) {
		t.Error("the end of an exception is not reported")
	}
	if _, ok := e.Current()["new"]; ok || e.Current()["leaving"] != 3 {
		t.Errorf("entries %v after %s, want those that were written again", e.Current(), keptTerm)
	}
	e.Expire(2*time.Second + hiddenTerm)
	if _, ok := e.Current()["gone"]; !ok {
		t.Error("an entry that the store still has is not used any more")
	}
}

// Guards against servers that come back to life although they wrote their entry again, and against entries that stay in an
// earlier state. Restores follow each other, with any copy.
func TestEntriesNeverGoBackWhenStoreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEntries[int64]()
		var now time.Duration
		stored := map[string]State{}
		copies := []map[string]State{{}}
		writers := map[string]State{}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
			name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server"))
			before := e.Current()
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				copies = append(copies, clone(stored))
			case 1:
				stored = clone(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				e.Replace(now, list(stored), true)
				for name, count := range before {
					if e.Current()[name] < count {
						t.Fatalf("%s goes back from %d to %d", name, count, e.Current()[name])
					}
				}
				for name := range e.Current() {
					if _, known := before[name]; !known && wasRemoved(e, name, now) {
						t.Fatalf("%s returns though it was removed", name)
					}
				}
			case 2:
				delete(stored, name)
				e.Remove(now, name)
			default:
				s := writers[name]
				s.Count++
				writers[name], stored[name] = s, s
				e.Put(name, s.Count, s)
				if e.Current()[name] != s.Count {
					t.Fatalf("%s is at %d after a write of %d", name, e.Current()[name], s.Count)
				}
			}
			e.Expire(now)
		}
		e.Expire(now + hiddenTerm)
		if got := e.Current(); len(got) != len(stored) {
			t.Fatalf("entries %v after all exceptions, want %v", got, stored)
		}
	})
}

func wasRemoved(e *Entries[int64], name string, now time.Duration) bool {
	r, ok := e.removed[name]
	return ok && now-r.at < removedTerm
}

func clone(m map[string]State) map[string]State {
	out := make(map[string]State, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
