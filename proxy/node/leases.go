package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Sources of a claim, for logs.
const (
	sourceOwnClaim = "own"
	sourceStore    = "store"
	sourcePeer     = "peer"
)

// leaderLeases holds the leases of this instance on the leaders of all databases. They are in use where a former primary goes on after
// its successor was promoted, and where commits are acknowledged by replicas.
type leaderLeases struct {
	inUse latch

	mu     sync.Mutex
	leases leaderlease.Leases
	// adopted tells of the newest claim of each database when and how it was adopted.
	adopted map[string]adoption
}

type adoption struct {
	at  time.Duration
	own bool // this instance has written the claim
}

// latch is a condition that stays true once it is. set must be made before it is tripped.
type latch struct {
	once sync.Once
	set  chan struct{}
}

func (l *latch) isSet() bool {
	select {
	case <-l.set:
		return true
	default:
		return false
	}
}

func (l *latch) trip() {
	l.once.Do(func() { close(l.set) })
}

// usesLeases reports whether leases are in use. They stay in use until the process ends, so that no claim is missed meanwhile.
func (n *Node) usesLeases() bool {
	return n.settings.UnfencedPromotions || n.leases.inUse.isSet()
}

// fencesLeases reports whether leases are in use on a platform that checks fences, where an accepted order makes all earlier ones void.
func (n *Node) fencesLeases() bool {
	return n.usesLeases() && !n.settings.UnfencedPromotions
}

// beginLeases brings leases into use if a configuration has a database whose commits are acknowledged by replicas.
func (n *Node) beginLeases(s *catalog.Snapshot) {
	for _, d := range s.Databases() {
		if d.Copies > 0 {
			n.leases.inUse.trip()
		}
	}
}

// adoptClaim records a claim and stops the use of the servers that it doesn't allow. It returns the version of the newest claim.
func (n *Node) adoptClaim(database string, c leaderlease.Claim, source string) (version uint64) {
	if !n.usesLeases() {
		return 0
	}
	before, adopted := n.applyClaim(database, c, source == sourceOwnClaim)
	if !adopted {
		return before.Version
	}
	if before.Server != c.Server || before.HandOver != c.HandOver || before.Unconfirmed != c.Unconfirmed {
		event(n.log, EventClaimAdopted).WithFields(logrus.Fields{
			"database": database, "server": c.Server, "hand_over": c.HandOver, "former": c.Former, "fence": c.Version, "source": source,
			"unconfirmed": c.Unconfirmed,
		}).Info("another server is to be the primary; no other one is used")
	}
	return c.Version
}

// applyClaim brings a claim into force if it is newer than the one before.
func (n *Node) applyClaim(database string, c leaderlease.Claim, own bool) (before leaderlease.Claim, adopted bool) {
	l := &n.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.leases.Claim(database)
	if !l.leases.Adopt(database, c) {
		if own && before.Version == c.Version { // it was read before its write was confirmed
			l.adopted[database] = adoption{l.adopted[database].at, true}
		}
		return before, false
	}
	l.adopted[database] = adoption{boottime.Now(), own}
	n.gateway.SetClaim(database, c) // with the lock held, so that a later claim is set later
	return before, true
}

// exclusionOf reports whether the newest claim does not allow a server, and how that claim was adopted.
func (n *Node) exclusionOf(database, server string) (a adoption, excluded bool) {
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	if server == "" || n.leases.leases.Claim(database).Allows(server) {
		return adoption{}, false
	}
	return n.leases.adopted[database], true
}

// confirmOwnEntry records whether this instance is in the list of instances, as last read and confirmed as of a time.
func (n *Node) confirmOwnEntry(asOf time.Duration) {
	own, listed := n.instances.own(n.settings.Instance, n.settings.Listen.Peers)
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	switch {
	case !listed:
		n.leases.leases.ConfirmUnlisted(asOf)
	case !own.Lost: // else it may be removed at any moment
		n.leases.leases.ConfirmListed(boottime.Now(), asOf)
	}
}

// recordRegistration records that this instance has written its entry, in a call sent at a time. entered tells that it was not in the
// list before.
func (n *Node) recordRegistration(sentAt time.Duration, entered bool) {
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	if entered {
		n.leases.leases.Leave()
	}
	n.leases.leases.ConfirmListed(boottime.Now(), sentAt)
}

// mayUsePrimary reports whether statements may be sent to the primaries that the claims allow, and their answers acknowledged. Without
// leases they always may.
func (n *Node) mayUsePrimary() bool {
	if !n.usesLeases() {
		return true
	}
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	return n.leases.leases.Valid(boottime.Now())
}

// hasHeldLeases reports whether primaries could be used at any time since the start.
func (n *Node) hasHeldLeases() bool {
	if !n.leasesHeld.Load() && n.mayUsePrimary() {
		n.leasesHeld.Store(true)
	}
	return n.leasesHeld.Load()
}

// claimFollower returns the follower of the claims of promotions.
func (n *Node) claimFollower() *follower {
	f := n.follower(claimsKind, claimsWatchWait, 0)
	f.acceptsUnknown, f.startsFromStore, f.maxAge = true, true, leaderlease.Term/2
	f.onList = func(list objectList) { n.adoptClaims(list.objects, list.restored) }
	f.onChange = func(changes []platform.Object) { n.adoptClaims(changes, false) }
	f.onConfirm = func(asOf time.Duration, _ uint64) {
		n.leases.mu.Lock()
		defer n.leases.mu.Unlock()
		n.leases.leases.Confirm(asOf)
	}
	return f
}

// adoptClaims adopts claims that were read. One that a restored store shows may be older than the one known, which then stays in
// force in its place.
func (n *Node) adoptClaims(objects []platform.Object, restored bool) {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		c := n.leaderClaim(decodeClaim(o.Spec), o.Revision)
		if known := n.knownClaim(o.Name); restored && known.Version != 0 {
			c = known
			c.Version = o.Revision
		}
		n.failover.recordClaim(o.Name, o.Revision, false)
		n.adoptClaim(o.Name, c, sourceStore)
	}
}

func (n *Node) knownClaim(database string) leaderlease.Claim {
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	return n.leases.leases.Claim(database)
}
