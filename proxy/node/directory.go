package node

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// freshnessFraction is the fraction of the key withdrawal time for which a confirmation that the configuration is
// current remains valid. The rest covers the time from the check of a statement until it reaches its server.
const freshnessFraction = 0.9

// directory holds the configuration in force. It implements gateway.Directory.
type directory struct {
	log    logrus.FieldLogger
	now    func() time.Duration
	bounds func() Bounds

	known chan struct{} // closed once snapshot is set

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	trust    catalog.Trust
	onAdopt  func(*catalog.Snapshot)
	// peersHave is the highest version that a peer has in force, and newestPeer its address.
	peersHave  uint64
	newestPeer string
}

// Current implements gateway.Directory.
func (d *directory) Current() *catalog.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

// Known implements gateway.Directory.
func (d *directory) Known() <-chan struct{} {
	return d.known
}

// Fresh implements gateway.Directory.
func (d *directory) Fresh() bool {
	b := d.bounds()
	return b.TrustKeysWhenCutOff || d.confirmedWithin(time.Duration(freshnessFraction*float64(b.KeyWithdrawal())))
}

// confirmedWithin reports whether the configuration was confirmed as the newest one at most limit ago.
func (d *directory) confirmedWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trust.ConfirmedWithin(d.now(), limit)
}

// adopt brings a configuration from the store into force. One that is not newer than that in force is ignored.
func (d *directory) adopt(c catalog.Catalog) {
	d.mu.Lock()
	if d.snapshot != nil && c.Version <= d.snapshot.Version() {
		older := c.Version < d.snapshot.Version()
		d.mu.Unlock()
		if older {
			event(d.log, EventConfigRefused).WithField("version", c.Version).Warn("ignored a configuration older than the one in force")
		}
		return
	}
	s := catalog.NewSnapshot(c)
	if d.snapshot == nil {
		close(d.known)
	}
	d.snapshot = s
	d.mu.Unlock()
	event(d.log, EventConfigAdopted).WithFields(logrus.Fields{
		"version": c.Version, "routes": len(c.Routes), "accounts": len(c.Accounts),
	}).Info("configuration is in force")
	for _, a := range c.Accounts {
		event(d.log, EventAccountLimits).WithFields(logrus.Fields{
			"version": c.Version, "account": a.Name, "rate": a.Rate, "burst": a.Burst, "keys": len(a.Keys),
		}).Debug("limits of a client account")
	}
	d.onAdopt(s)
}

// offer offers a confirmation that nothing newer than the configuration in force was in the store as of a time.
func (d *directory) offer(asOf time.Duration, era uint64, peersAsked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trust.Offer(d.now(), catalog.Confirmation{
		AsOf: asOf, Era: era, InForce: d.versionLocked(), PeersHave: d.peersHave, PeersAsked: peersAsked,
	})
}

// firstState reports whether the first confirmation waits for the peers, and whether any was accepted by now.
func (d *directory) firstState() (waits, confirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trust.FirstWaits(), d.trust.ConfirmedWithin(d.now(), math.MaxInt64-1)
}

// offerFirst offers the first confirmation again.
func (d *directory) offerFirst(peersAsked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trust.OfferFirst(d.now(), d.versionLocked(), d.peersHave, peersAsked)
}

// Version returns the version in force, or 0.
func (d *directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versionLocked()
}

func (d *directory) versionLocked() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Version()
}

// observePeer records the version that a peer has in force.
func (d *directory) observePeer(address string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.peersHave {
		d.peersHave, d.newestPeer = version, address
	}
}

// newerPeer returns the address of the peer to fetch the configuration from, or "" if the store has it.
func (d *directory) newerPeer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.trust.AwaitsNewer(d.versionLocked(), d.peersHave) {
		return ""
	}
	return d.newestPeer
}

// isOutdated reports whether an object is a configuration older than the one in force.
func (d *directory) isOutdated(o platform.Object) bool {
	c, found, err := platform.DecodeConfig([]platform.Object{o})
	return err == nil && found && c.Version < d.Version()
}
