package quota

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
)

// Guards against keeping an entry for every instance that ever held a fraction, which would grow for as
// long as the process runs, and against a returning holder that counts as unreachable because of an old entry.
func TestFormerHoldersAreForgotten(t *testing.T) {
	w := &watcher{assignment: quota.NewAssignmentManager("self", 0, false), lastSeen: map[string]time.Duration{}}
	now := time.Duration(0)
	holders := []string{"a", "b", "c", "a"}
	for i, holder := range holders {
		w.assignment.Observe(now, quota.Assignment{Holdings: []quota.Holding{{Address: holder, Fractions: 1}}}, uint64(i+1))
		if unreachable := w.unreachable(now, []string{"self"}); len(unreachable) != 0 {
			t.Errorf("holder %s counts as unreachable when it is first seen", holder)
		}
		now += quota.UnreachableTerm
		if unreachable := w.unreachable(now, []string{"self"}); len(unreachable) != 1 {
			t.Errorf("unreachable after %s: %v, want %s", quota.UnreachableTerm, unreachable, holder)
		}
	}
	if len(w.lastSeen) != 1 {
		t.Errorf("lastSeen has %d holders, want 1", len(w.lastSeen))
	}
}
