package quota

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
)

// Guards against a record for every instance that ever held a fraction, which grows for as long as the process
// runs, and against a holder that counts as gone at its return because it was once.
func TestFormerHoldersAreForgotten(t *testing.T) {
	w := &watcher{assignment: quota.NewAssignmentManager("self", 0), lastSeen: map[string]time.Duration{}}
	now := time.Duration(0)
	holders := []string{"a", "b", "c", "a"}
	for i, holder := range holders {
		w.assignment.Observe(now, quota.Assignment{Holdings: []quota.Holding{{Address: holder, Fractions: 1}}}, uint64(i+1))
		if gone := w.gone(now, []string{"self"}); len(gone) != 0 {
			t.Errorf("holder %s counts as gone when it is first seen", holder)
		}
		now += quota.UnreachableTerm
		if gone := w.gone(now, []string{"self"}); len(gone) != 1 {
			t.Errorf("gone after %s: %v, want %s", quota.UnreachableTerm, gone, holder)
		}
	}
	if len(w.lastSeen) != 1 {
		t.Errorf("%d holders are remembered, want 1", len(w.lastSeen))
	}
}
