package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// drainDelay is the time from the begin of a stop for which new sessions are still served: the platform
	// takes an instance out of rotation after two failed checks, one second apart.
	drainDelay = 2200 * time.Millisecond
	// stopMargin is kept free before the process would be ended.
	stopMargin = 700 * time.Millisecond
	// handBackTimeout bounds the hand-back of the quota at a stop.
	handBackTimeout = 400 * time.Millisecond
)

// shutdown lets the platform take this instance out of rotation, then ends the sessions.
func (n *Node) shutdown(ctx context.Context) {
	n.stopping.Store(true)
	grace := n.liveSettings.Load().Bounds.StopGracePeriod()
	event(n.log, EventStopping).WithField("sessions", n.gateway.Sessions()).Info("instance stops taking callers")
	ctx, cancel := context.WithTimeout(ctx, grace-stopMargin)
	defer cancel()
	var handBack sync.WaitGroup
	handBack.Go(func() { n.handBack(ctx) })
	n.gateway.StopLending()
	wait.For(ctx, drainDelay)
	n.gateway.Shutdown(ctx, grace/2-drainDelay)
	handBack.Wait()
	n.closeListeners()
	n.store.Close()
	event(n.log, EventStopped).WithField("sessions", n.gateway.Sessions()).Info("instance stopped")
}

// handBack gives the quota back once sessions come elsewhere.
func (n *Node) handBack(ctx context.Context) {
	wait.For(ctx, drainDelay)
	n.peers.Announce(ctx)
	ctx, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	if err := n.quota.Drain(ctx); err != nil {
		event(n.log, EventHandBackFailed).WithError(err).Warn("quota was not handed back; it is free again when its time has passed")
	}
}
