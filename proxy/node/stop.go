package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// drainDelay is how long new sessions are still served after a stop has begun: the platform takes an instance out
	// of rotation after two failed readiness checks, one second apart.
	drainDelay = 2200 * time.Millisecond
	// stopMargin is the part of the grace period left unused at its end, so that the process exits before it is killed.
	stopMargin = 700 * time.Millisecond
	// handBackTimeout bounds the hand-back of quota during a stop.
	handBackTimeout = 400 * time.Millisecond
)

// shutdown waits until the platform has taken this instance out of rotation, then ends the sessions.
func (n *Node) shutdown(ctx context.Context) {
	n.stopping.Store(true)
	grace := n.liveSettings.Load().Bounds.StopGracePeriod()
	event(n.log, EventStopping).WithField("sessions", n.gateway.Sessions()).Info("instance stops accepting callers and drains")
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

// handBack hands back the quota once the platform sends new sessions to other instances.
func (n *Node) handBack(ctx context.Context) {
	wait.For(ctx, drainDelay)
	n.peers.Announce(ctx)
	ctx, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	if err := n.quota.Drain(ctx); err != nil {
		event(n.log, EventHandBackFailed).WithError(err).Warn("failed to hand back quota; it becomes free again when its term ends")
	}
}
