package node

import (
	"sync"
	"time"

	quotadecision "github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

const (
	// configWait is how long a watch for configurations waits. Its end proves that keys are still valid, here and
	// at the instances that follow this one, so that it has to be well within the time for withdrawing a key.
	configWait = 1200 * time.Millisecond
	// serversWait, quotaWait and instancesWait are those of the other watches. The age of a relay's knowledge has to
	// stay below maxRelayAge.
	serversWait   = 2 * time.Second
	quotaWait     = 2 * time.Second
	instancesWait = 2 * time.Second
	// serversGap, quotaGap and instancesGap let changes gather that come in quick succession, as at a start.
	serversGap   = 100 * time.Millisecond
	quotaGap     = 300 * time.Millisecond
	instancesGap = 500 * time.Millisecond
	// joinTimeout bounds the wait for the list of instances before the store is asked for everything else directly.
	joinTimeout = 2 * time.Second
	// quotaKind is the kind of the assignment of quota.
	quotaKind = "quota"
)

// follower returns a follower of a kind of objects.
func (n *Node) follower(kind string, wait, gap time.Duration) *follower {
	return &follower{
		store: n.store, relays: n.relays, outage: &n.outage, copy: n.relays.copies[kind], kind: kind, wait: wait, gap: gap,
		now: boottime.Now, log: n.log,
	}
}

func (n *Node) configFollower() *follower {
	f := n.follower(platform.ConfigKind, configWait, 0)
	f.probes = true
	f.listed, f.changed, f.contact = n.adopt, n.adopt, n.directory.prove
	return f
}

func (n *Node) adopt(objects []platform.Object) {
	c, found, err := platform.DecodeConfig(objects)
	switch {
	case err != nil:
		event(n.log, EventConfigUnreadable).WithError(err).Error("configuration can't be read")
	case found:
		n.directory.offer(c)
	}
}

func (n *Node) serverFollower() *follower {
	f := n.follower(platform.ServersKind, serversWait, serversGap)
	f.listed, f.changed = n.servers.listed, n.servers.changed
	f.contact = func(time.Duration) { n.haveServer.Store(true) }
	return f
}

// instanceFollower returns the follower of the list of instances, which closes joined once it was read.
func (n *Node) instanceFollower(joined chan<- struct{}) *follower {
	f := n.follower(instancesKind, instancesWait, instancesGap)
	f.listed, f.changed = n.instances.listed, n.instances.changed
	join := sync.OnceFunc(func() {
		n.peers.RefreshNow()
		close(joined)
	})
	f.contact = func(time.Duration) { join() }
	return f
}

func (n *Node) quotaFollower() *follower {
	f := n.follower(quotaKind, quotaWait, quotaGap)
	take := func(objects []platform.Object) {
		for _, o := range objects {
			if quotaKind+"/"+o.Name != quotadecision.AssignmentKey || o.Deleted {
				continue
			}
			if err := n.quota.ObserveAssignment(o.Spec, o.Revision); err != nil {
				event(n.log, EventAssignmentInvalid).WithError(err).Error("assignment of quota can't be read")
			}
		}
	}
	f.listed, f.changed, f.contact = take, take, n.quota.ProveAssignment
	return f
}
