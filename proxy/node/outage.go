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

// outage is shared by the followers of an instance. While the follower of the configuration, whose age is bounded most
// tightly, has lost the store, it alone calls it, and the others wait until it is back. Each call costs, refused ones too.
//
// Load: 78 instances with four followers each made some 1,200 calls a second to a store that refused all of them.
type outage struct {
	mu   sync.Mutex
	over chan struct{} // closed when the prober has reached the store again; nil while it does
}

// lost notes that a follower has lost the store, and returns the end of the outage if the prober has lost it too.
func (o *outage) lost(f *follower) (over <-chan struct{}, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.probes && o.over == nil {
		o.over = make(chan struct{})
	}
	return o.over, o.over != nil
}

// back notes that a follower has reached the store.
func (o *outage) back(f *follower) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.probes && o.over != nil {
		close(o.over)
		o.over = nil
	}
}

// wait waits until a follower that has lost the store should call it again.
func (o *outage) wait(ctx context.Context, f *follower) {
	over, known := o.lost(f)
	if !known || f.probes {
		wait.For(ctx, retryMin+rand.N(retryMax-retryMin))
		return
	}
	wait.Change(ctx, over, outageWait)
	wait.For(ctx, rand.N(outageSpread))
}
