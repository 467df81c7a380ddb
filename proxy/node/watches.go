package node

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	quotadecision "github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

const (
	// configWatchWait is how long a watch of the configuration waits. Its end confirms that keys are still valid, at this
	// instance and at those that follow it, so it must be well below the key withdrawal time.
	configWatchWait = 1200 * time.Millisecond
	// serversWatchWait, quotaWatchWait and instancesWatchWait are the waits of the other watches. They keep the age of a
	// relay's data below the age at which followers reject it.
	serversWatchWait   = 2 * time.Second
	quotaWatchWait     = 2 * time.Second
	instancesWatchWait = 2 * time.Second
	// claimsWatchWait is short, because the end of a watch is the evidence of leases, at this instance and at those that follow it.
	claimsWatchWait = 1200 * time.Millisecond
	// evacuationsWatchWait is as long as the wait for servers: a relay that is cut off has to be noticed within the bound.
	evacuationsWatchWait = 2 * time.Second
	// serversBatchDelay, quotaBatchDelay and instancesBatchDelay batch changes in quick succession, such as at a start.
	serversBatchDelay   = 100 * time.Millisecond
	quotaBatchDelay     = 300 * time.Millisecond
	instancesBatchDelay = 500 * time.Millisecond
	// joinTimeout bounds the wait for the list of instances, after which the other followers call the store directly.
	joinTimeout = 2 * time.Second
	// quotaKind is the kind of the quota assignment.
	quotaKind = "quota"
)

// relayedKinds returns the kinds of objects that this instance passes on to others.
func (n *Node) relayedKinds() []string {
	return []string{platform.ConfigKind, platform.ServersKind, quotaKind, instancesKind, claimsKind}
}

// follower returns a follower of one kind of objects.
func (n *Node) follower(kind string, wait, batchDelay time.Duration) *follower {
	return &follower{
		store: n.store, relays: n.relays, outage: &n.outage, cache: n.relays.caches[kind], kind: kind, wait: wait, batchDelay: batchDelay,
		now: boottime.Now, log: n.log,
	}
}

func (n *Node) configFollower() *follower {
	f := n.follower(platform.ConfigKind, configWatchWait, 0)
	f.isProber = true
	f.onList = func(list objectList) { n.applyConfig(list.objects) }
	f.onChange = n.applyConfig
	f.onConfirm = func(asOf time.Duration, version uint64) {
		era := storeversion.Era(version)
		n.directory.offer(asOf, era, era == 0 || n.peersAsked()) // without eras the answer of the peers isn't needed
	}
	f.isOutdated = n.directory.isOutdated
	f.newerPeer = n.directory.newerPeer
	return f
}

// peersAsked reports whether every known peer, or in a large set many of them, had the time to tell which configuration it
// has.
func (n *Node) peersAsked() bool {
	listed := n.peers.ListedCount() > 0
	peers := n.peers.Peers()
	if len(peers) > contact.FullMeshPeers && n.peers.Introduced() {
		return true // a few of them are called in each period
	}
	return listed && !slices.ContainsFunc(peers, func(p peer.Status) bool { return !p.Tried })
}

func (n *Node) applyConfig(objects []platform.Object) {
	c, found, err := platform.DecodeConfig(objects)
	switch {
	case err != nil:
		event(n.log, EventConfigUnreadable).WithError(err).Error("failed to decode the configuration")
	case found:
		n.directory.adopt(c)
	}
}

func (n *Node) serverFollower() *follower {
	f := n.follower(platform.ServersKind, serversWatchWait, serversBatchDelay)
	f.onList, f.onChange = n.servers.replaceAll, n.servers.applyChanges
	f.onConfirm = func(asOf time.Duration, _ uint64) {
		n.servers.expire()
		n.serversLoaded.Store(true)
		n.serversKnown.confirm(boottime.Now(), asOf)
	}
	return f
}

// instanceFollower returns the follower of the list of instances, which closes joined once the list was read.
func (n *Node) instanceFollower(joined chan<- struct{}) *follower {
	f := n.follower(instancesKind, instancesWatchWait, instancesBatchDelay)
	f.maxAge = leaderlease.ListedTerm / 2
	f.onList = func(list objectList) {
		n.instances.replaceAll(list)
		if list.restored && !slices.ContainsFunc(list.objects, func(o platform.Object) bool { return o.Name == n.settings.Instance }) {
			n.rewriteEntry()
		}
	}
	f.onChange = n.instances.applyChanges
	join := sync.OnceFunc(func() {
		n.peers.RefreshNow()
		close(joined)
	})
	f.onConfirm = func(asOf time.Duration, _ uint64) {
		n.instances.expire()
		n.confirmOwnEntry(asOf) // before the claims are read
		join()
	}
	return f
}

func (n *Node) quotaFollower() *follower {
	f := n.follower(quotaKind, quotaWatchWait, quotaBatchDelay)
	f.onList = func(list objectList) {
		if !n.applyAssignment(list.objects) {
			n.quota.ObserveNoAssignment(storeversion.Era(list.version))
		}
	}
	f.onChange = func(changes []platform.Object) { n.applyAssignment(changes) }
	f.onConfirm = func(asOf time.Duration, version uint64) { n.quota.ConfirmAssignment(asOf, storeversion.Era(version)) }
	return f
}

// applyAssignment applies the quota assignment and reports whether it is among the objects.
func (n *Node) applyAssignment(objects []platform.Object) (found bool) {
	for _, o := range objects {
		if quotaKind+"/"+o.Name != quotadecision.AssignmentKey || o.Deleted {
			continue
		}
		found = true
		if err := n.quota.ObserveAssignment(o.Spec, o.Revision); err != nil {
			event(n.log, EventAssignmentInvalid).WithError(err).Error("failed to decode the quota assignment")
		}
	}
	return found
}
