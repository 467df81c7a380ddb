package peer

import "testing"

// Guards against a value that outlives the peers it was derived from, and against one derived again for each use.
func TestDerivedFollowsVersion(t *testing.T) {
	var d Derived[int]
	derived := 0
	derive := func() int {
		derived++
		return derived
	}
	for i, step := range []struct {
		version uint64
		want    int
	}{{0, 1}, {0, 1}, {1, 2}, {1, 2}, {0, 3}} {
		if got := d.Get(step.version, derive); got != step.want {
			t.Errorf("step %d: value %d at version %d, want %d", i, got, step.version, step.want)
		}
	}
}
