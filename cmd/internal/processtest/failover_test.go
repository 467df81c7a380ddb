package processtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Stated targets of the gap in writes.
const (
	gapAfterCrash = 3 * time.Second
	gapWorstCase  = 18 * time.Second
)

// Guards against acknowledged writes that a crash of the primary loses or repeats, and against a
// long gap in writes.
func TestPrimaryKilled(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.servers[0].kill()
	next := d.awaitPrimary(0)
	d.awaitGrowth(next, 200)
	checkGap(t, r.finish(), gapAfterCrash)
}

// Guards against acknowledgements by a primary that was paused and superseded.
func TestPrimaryPaused(t *testing.T) {
	d := deploy(t, setup{})
	r := d.startLoad(nil)
	d.servers[0].signal(t, syscall.SIGSTOP)
	next := d.awaitPrimary(0)
	d.awaitGrowth(next, 200)
	d.servers[0].signal(t, syscall.SIGCONT)
	state, _ := d.state(next)
	d.awaitRole(0, authority.RoleReplica, state.Term)
	d.awaitGrowth(next, 200)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against a primary that no instance reaches but that its replicas hear, and against its
// return.
func TestPrimaryCutOffFromInstances(t *testing.T) {
	d := deploy(t, setup{relayServers: true})
	r := d.startLoad(nil)
	d.servers[0].relay.blackHole()
	next := d.awaitPrimary(0)
	d.awaitGrowth(next, 200)
	d.servers[0].relay.leaveHole()
	state, _ := d.state(next)
	d.awaitRole(0, authority.RoleReplica, state.Term)
	d.awaitGrowth(next, 200)
	checkGap(t, r.finish(), gapWorstCase)
}

// Guards against acknowledgements by a primary without replicas, and against a group that stays
// without writes because its primary still answers the instances.
func TestPrimaryCutOffFromPeers(t *testing.T) {
	d := deploy(t, setup{relayPeers: true})
	r := d.startLoad(nil)
	d.eachPeerLink(0, (*relay).cut)
	next := d.awaitPrimary(0)
	d.awaitGrowth(next, 200)
	d.eachPeerLink(0, (*relay).heal)
	state, _ := d.state(next)
	d.awaitRole(0, authority.RoleReplica, state.Term)
	d.awaitGrowth(next, 200)
	checkGap(t, r.finish(), gapWorstCase)
}
