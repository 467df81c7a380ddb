package authority_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Guards against a sample that misses a write acknowledged by the primary alone through an instance
// that adopted a manifest earlier or later, and against changes that never take effect.
func TestCoverageWhileInstancesAdopt(t *testing.T) {
	const instances, changes, spacing = 4, 6, 3 * authority.AdoptionTime
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		coverages := make([]authority.Coverage, instances)
		type adoption struct {
			at       time.Duration
			instance int
			enabled  bool
		}
		var due []adoption
		for c := range changes {
			for v := range coverages {
				at := time.Duration(c+1)*spacing + time.Duration(rng.Int63n(int64(authority.AdoptionTime)))
				due = append(due, adoption{at, v, c%2 == 0})
			}
		}
		for now := time.Duration(0); now < (changes+1)*spacing; now += time.Second {
			for _, a := range due {
				if a.at/time.Second == now/time.Second {
					coverages[a.instance].Set(now, a.enabled)
				}
			}
			anyAcknowledges, allRequired := false, true
			for i := range coverages {
				anyAcknowledges = anyAcknowledges || coverages[i].PrimaryAckAllowed(now)
				allRequired = allRequired && coverages[i].Required(now)
			}
			if anyAcknowledges && !allRequired {
				t.Fatalf("seed %d: at %v, a write may be acknowledged that some samples don't cover", seed, now)
			}
			adopted := now%spacing >= 2*authority.AdoptionTime
			if want := now/spacing%2 == 1; adopted && (coverages[0].PrimaryAckAllowed(now) != want || coverages[0].Required(now) != want) {
				t.Fatalf("seed %d: at %v, coverage differs from the adopted manifest, want %v", seed, now, want)
			}
		}
	}
}

// Guards against writes that are acknowledged by the primary alone right after a manifest added the
// database, and against a restarted instance that requires a majority for longer than necessary.
func TestNewCoverage(t *testing.T) {
	for _, changed := range []bool{false, true} {
		c := authority.NewCoverage(0, true, changed)
		if c.PrimaryAckAllowed(0) == changed || !c.Required(0) || !c.PrimaryAckAllowed(authority.AdoptionTime) {
			t.Errorf("wrong coverage for a new database with changed %v: %+v", changed, c)
		}
	}
}
