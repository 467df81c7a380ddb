package processtest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Stated targets for the write gap.
const (
	gapAfterCrash = 3 * time.Second
	gapWorstCase  = 18 * time.Second
)

// awaitFailover waits until another server than old is the primary and takes writes.
func (d *deployment) awaitFailover(old int) int {
	d.t.Helper()
	next := d.awaitPrimary(old)
	d.awaitLogGrowth(next, 200)
	return next
}

// awaitRejoin waits until the superseded server old is a replica of the new primary and the new primary
// still takes writes.
func (d *deployment) awaitRejoin(old, next int) {
	d.t.Helper()
	waitFor(d.t, fmt.Sprintf("server %s follows %s", d.servers[old].id, d.servers[next].id), func() bool {
		state, ok := d.serverState(next)
		returned, known := d.serverState(old)
		return ok && known && returned.Role == authority.RoleReplica && returned.Term == state.Term
	})
	d.awaitLogGrowth(next, 200)
}

// Guards against acknowledged writes that are lost or repeated in a crash of the primary, and against a
// long write gap.
func TestPrimaryKilled(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.servers[0].kill()
	d.awaitFailover(0)
	checkGap(t, r.finish(), gapAfterCrash)
}

// Guards against acknowledgements by a primary that was paused and superseded.
func TestPrimaryPaused(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.servers[0].signal(t, syscall.SIGSTOP)
	next := d.awaitFailover(0)
	d.servers[0].signal(t, syscall.SIGCONT)
	d.awaitRejoin(0, next)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against a missing failover if no instance reaches the primary although its replicas do, and against
// inconsistencies when the old primary is reachable again.
func TestPrimaryCutOffFromInstances(t *testing.T) {
	d := deploy(t, setup{relayServers: true})
	r := d.startLoad(nil)
	d.servers[0].relay.blackhole()
	next := d.awaitFailover(0)
	d.servers[0].relay.endBlackhole()
	d.awaitRejoin(0, next)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against acknowledgements by a primary that is cut off from its replicas, and against a missing failover
// because that primary still answers the instances.
func TestPrimaryCutOffFromPeers(t *testing.T) {
	d := deploy(t, setup{relayPeers: true})
	r := d.startLoad(nil)
	d.eachPeerLink(0, (*relay).cut)
	next := d.awaitFailover(0)
	d.eachPeerLink(0, (*relay).heal)
	d.awaitRejoin(0, next)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against wrong outcomes if only one direction between instances and primary is lost. Probes and new
// connections fail in the same way in both cases, but if answers are lost, statements may have run.
func TestPrimaryCutOffOneWay(t *testing.T) {
	for _, direction := range []string{requests, answers} {
		t.Run(direction, func(t *testing.T) {
			d := deploy(t, setup{relayServers: true})
			r := d.startLoad(nil)
			d.servers[0].relay.drop(direction)
			next := d.awaitFailover(0)
			d.servers[0].relay.endDrop(direction)
			d.awaitRejoin(0, next)
			checkGap(t, r.finish(), gapWorstCase)
		})
	}
}

// Guards against replacing a primary because its latency rises to that between regions, and against statements
// that fail with an unknown outcome during the rise.
func TestPrimaryFarAway(t *testing.T) {
	const oneWay = 20 * time.Millisecond // as the design page states
	d := deploy(t, setup{relayServers: true})
	r := d.startLoad(nil)
	d.servers[0].relay.delay(oneWay)
	d.awaitLogGrowth(0, 500)
	if state, ok := d.serverState(0); !ok || state.Role != authority.RolePrimary || state.Term != 1 {
		t.Errorf("state of server 0 %+v, answered %v, want the primary of term 1", state, ok)
	}
	result := r.finish()
	checkGap(t, result, gapAfterCrash)
	if c := total(result); c.Unknown > 0 {
		t.Errorf("%d statements of unknown outcome, want none", c.Unknown)
	}
}
