package quota

import (
	"slices"
	"testing"
	"time"
)

// Guards against fractions of a holder that was only parted from the planner for a while and are given to others, which leaves
// its accounts without them for the quarantine; against entries of former holders that are kept, and against a returning holder
// that counts as lost because of an old entry.
func TestHolderIsAskedBeforeItIsLost(t *testing.T) {
	const holder = "a"
	for _, c := range []struct {
		name     string
		answers  bool // the holder answers when it is asked
		wantLost bool
	}{{"lost", false, true}, {"parted for a while", true, false}} {
		var l LostHolders
		update := func(now time.Duration, live ...string) (lost, ask bool) {
			t.Helper()
			gone, asked := l.Update(now, []string{holder, "self"}, append(live, "self"))
			if slices.Contains(gone, "self") || slices.Contains(asked, "self") {
				t.Errorf("%s: lost %v, asked %v", c.name, gone, asked)
			}
			return slices.Contains(gone, holder), slices.Contains(asked, holder)
		}
		for _, now := range []time.Duration{0, UnreachableTerm - 1} {
			if lost, ask := update(now); lost || ask {
				t.Errorf("%s: lost %v and asked %v after %s", c.name, lost, ask, now)
			}
		}
		if lost, ask := update(UnreachableTerm); lost || !ask {
			t.Errorf("%s: lost %v and asked %v after %s, want it asked", c.name, lost, ask, UnreachableTerm)
		}
		if lost, ask := update(UnreachableTerm + time.Second); lost || ask {
			t.Errorf("%s: lost %v and asked %v before the call has ended", c.name, lost, ask)
		}
		var live []string
		if c.answers {
			live = []string{holder}
		}
		l.Asked(holder)
		if lost, _ := update(UnreachableTerm+2*time.Second, live...); lost != c.wantLost {
			t.Errorf("%s: lost %v after the call, want %v", c.name, lost, c.wantLost)
		}
		l.Update(time.Hour, []string{"self"}, []string{"self"})
		if len(l.holders) != 1 {
			t.Errorf("%d holders are kept, want 1", len(l.holders))
		}
		if lost, ask := update(2 * time.Hour); lost || ask {
			t.Errorf("%s: a holder that has returned is lost: %v, asked: %v", c.name, lost, ask)
		}
	}
}
