package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// outageWaitLimit bounds the time for which a follower waits for the prober.
	outageWaitLimit = 2 * time.Second
	// recoveryJitter spreads the calls of the followers after an outage.
	recoveryJitter = 100 * time.Millisecond
)

// outage is the state of a store outage, shared by the followers of an instance. While the prober can't reach the
// store, it alone retries, and the other followers wait until it succeeds, for up to outageWaitLimit. The prober is
// the follower of the configuration, whose age has the tightest bound. This limits the load on the store, since
// refused calls cost too: without it, 78 instances with four followers each made some 1,200 calls per second to a
// store that refused all of them.
type outage struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the prober reaches the store again; nil without an outage
}

// markLost records that a follower can't reach the store. If the prober can't either, an outage is ongoing, and ended
// is closed when it is over.
func (o *outage) markLost(f *follower) (ended <-chan struct{}, ongoing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.isProber && o.ended == nil {
		o.ended = make(chan struct{})
	}
	return o.ended, o.ended != nil
}

// markReached records that a follower has reached the store; the prober ends the outage.
func (o *outage) markReached(f *follower) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.isProber && o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// wait waits until a follower that can't reach the store should retry.
func (o *outage) wait(ctx context.Context, f *follower) {
	ended, ongoing := o.markLost(f)
	if !ongoing || f.isProber {
		wait.For(ctx, retryMin+rand.N(retryMax-retryMin))
		return
	}
	wait.UntilClosed(ctx, ended, outageWaitLimit)
	wait.For(ctx, rand.N(recoveryJitter))
}
