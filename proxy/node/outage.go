package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// outageWait bounds the wait of a follower for the one that probes the store.
	outageWait = 2 * time.Second
	// outageSpread spreads the calls after an outage.
	outageSpread = 100 * time.Millisecond
)

// outage is shared by the followers of an instance: while the store doesn't answer, the first of them that has lost it
// probes it, and the others wait until it is back. Each call costs, refused ones too.
//
// Load: 78 instances with four followers each made some 1,200 calls a second to a store that refused all of them.
type outage struct {
	mu     sync.Mutex
	prober *follower     // nil: the store answers
	over   chan struct{} // closed when the prober has reached the store
}

// lost notes that a follower has lost the store, and returns the end of the outage if another one probes it.
func (o *outage) lost(f *follower) (over <-chan struct{}, others bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		o.prober, o.over = f, make(chan struct{})
	}
	return o.over, o.prober != f
}

// back notes that a follower has reached the store.
func (o *outage) back(f *follower) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == f {
		close(o.over)
		o.prober = nil
	}
}

// wait waits until a follower that has lost the store should call it again.
func (o *outage) wait(ctx context.Context, f *follower) {
	over, others := o.lost(f)
	if !others {
		wait.For(ctx, retryMin+rand.N(retryMax-retryMin))
		return
	}
	wait.Change(ctx, over, outageWait)
	wait.For(ctx, rand.N(outageSpread))
}
