package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	// evacuationLimit is the bound for evacuations in the settings.
	evacuationLimit = 5 * time.Second
	// minEvacuation and maxEvacuation limit how long domains stay evacuated, and maxEvacuationPause the time between two
	// evacuations.
	minEvacuation      = evacuationLimit + time.Second
	maxEvacuation      = minEvacuation + 2*time.Second
	maxEvacuationPause = time.Second
	// contactTime is how long after a fault an instance may need to reach the store again.
	contactTime = 3 * time.Second
)

// lateFaults are the kinds of faults that keep instances from the store, pause them, or hold statements back on their way to a
// server. The bound for evacuations does not cover them, so they and evacuations exclude each other.
var lateFaults = []int{2, 4, 5, 6, restoreFault}

// evacuation is the time in which zones were evacuated.
type evacuation struct {
	zones []string
	interval
}

// evacuations records the evacuations of a run.
type evacuations struct {
	// contact is held for reading by faults of lateFaults, and for writing by an evacuation.
	contact sync.RWMutex

	mu   sync.Mutex
	done []evacuation
}

// excludesEvacuation reports whether a fault may begin, and keeps evacuations from beginning until it is over.
func (f *faults) excludesEvacuation(ctx context.Context, kind int, d time.Duration) bool {
	if !f.run.cfg.Evacuations || !slices.Contains(lateFaults, kind) {
		return true
	}
	contact := &f.run.evacuations.contact
	if !contact.TryRLock() {
		return false
	}
	f.afterDelay(ctx, d+contactTime, contact.RUnlock)
	return true
}

// evacuate evacuates random zones and takes them back until ctx ends.
func (f *faults) evacuate(ctx context.Context) {
	const stream = 1 << 32 // of random numbers, apart from those of faults and callers
	random := rand.New(rand.NewPCG(f.run.cfg.Seed, stream))
	for wait.For(ctx, randomDuration(random, maxEvacuationPause)) {
		f.evacuateOnce(ctx, random)
	}
}

func (f *faults) evacuateOnce(ctx context.Context, random *rand.Rand) {
	e := &f.run.evacuations
	e.contact.Lock()
	defer e.contact.Unlock()
	zones := slices.Clone(platformlocal.Zones)
	random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	zones = zones[:1+random.IntN(2)]
	d := minEvacuation + randomDuration(random, maxEvacuation-minEvacuation)
	f.run.logf("evacuation of %v for %s", zones, d.Round(time.Millisecond))
	for _, zone := range zones {
		f.check(f.run.deployment.Evacuate(zone))
	}
	from := time.Now()
	wait.For(ctx, d)
	e.mu.Lock()
	e.done = append(e.done, evacuation{zones, interval{from, time.Now()}})
	e.mu.Unlock()
	for _, zone := range zones {
		f.run.logf("evacuation of %s ends, acknowledged by %q", zone, f.run.deployment.Acknowledgement(zone))
		f.run.deployment.EndEvacuation(zone)
	}
}

// checkEvacuations checks that no statement reached a server in an evacuated zone after the bound.
func (r *run) checkEvacuations(statements []linedb.ExecutedStatement) {
	zones := map[string]string{}
	for _, name := range r.deployment.DatabaseNames() {
		for _, s := range r.deployment.Servers(name) {
			zones[s.ID] = s.Zone
		}
	}
	for _, statement := range statements {
		for _, e := range r.evacuations.done {
			late := statement.At.After(e.from.Add(evacuationLimit+timingTolerance)) && statement.At.Before(e.to)
			if late && slices.Contains(e.zones, zones[statement.Server]) {
				r.addViolation("statement %s ran at %s %s after the evacuation of %v", statement.ID, statement.Server, statement.At.Sub(e.from), e.zones)
			}
		}
	}
}
