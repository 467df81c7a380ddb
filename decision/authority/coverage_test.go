package authority_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Guards against a sample that misses a write which the primary alone has acknowledged through an
// instance that adopted a manifest earlier or later, and against changes that never take effect.
func TestCoverageWhileInstancesAdopt(t *testing.T) {
	const instances, changes, spacing = 4, 6, 3 * authority.AdoptionTime
	for seed := range int64(200) {
		chance := rand.New(rand.NewSource(seed))
		views := make([]authority.Coverage, instances)
		type adoption struct {
			at     time.Duration
			view   int
			wanted bool
		}
		var due []adoption
		for c := range changes {
			for v := range views {
				at := time.Duration(c+1)*spacing + time.Duration(chance.Int63n(int64(authority.AdoptionTime)))
				due = append(due, adoption{at, v, c%2 == 0})
			}
		}
		for now := time.Duration(0); now < (changes+1)*spacing; now += time.Second {
			for _, a := range due {
				if a.at/time.Second == now/time.Second {
					views[a.view].Set(now, a.wanted)
				}
			}
			acknowledges, all := false, true
			for i := range views {
				acknowledges = acknowledges || views[i].PrimaryAckAllowed(now)
				all = all && views[i].Required(now)
			}
			if acknowledges && !all {
				t.Fatalf("seed %d: at %v a write is acknowledged that some samples don't cover", seed, now)
			}
			settled := now%spacing >= 2*authority.AdoptionTime
			if want := now/spacing%2 == 1; settled && (views[0].PrimaryAckAllowed(now) != want || views[0].Required(now) != want) {
				t.Fatalf("seed %d: at %v the manifest in force asks for %v", seed, now, want)
			}
		}
	}
}

// Guards against writes that are acknowledged by the primary alone right after a manifest brought the
// database, and against a restarted instance that keeps to the majority for long.
func TestCoverageOfNewView(t *testing.T) {
	for _, changed := range []bool{false, true} {
		c := authority.NewCoverage(0, true, changed)
		if c.PrimaryAckAllowed(0) == changed || !c.Required(0) || !c.PrimaryAckAllowed(authority.AdoptionTime) {
			t.Errorf("changed %v: %+v", changed, c)
		}
	}
}
