package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// outageWaitLimit bounds the wait of a follower for the one that probes the store.
	outageWaitLimit = 2 * time.Second
	// recoveryJitter spreads the calls after an outage.
	recoveryJitter = 100 * time.Millisecond
)

// outage is shared by the followers of an instance. While the follower of the configuration, whose age is bounded most
// tightly, has lost the store, it alone calls it, and the others wait until it is back. Each call costs, refused ones too.
//
// Load: 78 instances with four followers each made some 1,200 calls a second to a store that refused all of them.
type outage struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the prober has reached the store again; nil while it does
}

// markLost notes that a follower has lost the store, and returns the end of the outage if the prober has lost it too.
func (o *outage) markLost(f *follower) (over <-chan struct{}, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.isProber && o.ended == nil {
		o.ended = make(chan struct{})
	}
	return o.ended, o.ended != nil
}

// markReached notes that a follower has reached the store.
func (o *outage) markReached(f *follower) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.isProber && o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// wait waits until a follower that has lost the store should call it again.
func (o *outage) wait(ctx context.Context, f *follower) {
	over, known := o.markLost(f)
	if !known || f.isProber {
		wait.For(ctx, retryMin+rand.N(retryMax-retryMin))
		return
	}
	wait.UntilClosed(ctx, over, outageWaitLimit)
	wait.For(ctx, rand.N(recoveryJitter))
}
