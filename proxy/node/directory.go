package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
)

// freshPart is the part of the time for withdrawing a key for which a proof of freshness counts. The rest is for
// the way of a statement from its check to its server.
const freshPart = 0.9

// directory holds the configuration in force. It implements gateway.Directory.
type directory struct {
	log    logrus.FieldLogger
	now    func() time.Duration
	bounds func() Bounds

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	fresh    catalog.Freshness
	adopted  func(*catalog.Snapshot)
}

// Current implements gateway.Directory.
func (d *directory) Current() *catalog.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

// Fresh implements gateway.Directory.
func (d *directory) Fresh() bool {
	b := d.bounds()
	return b.TrustKeysWhenCutOff || d.freshWithin(time.Duration(freshPart*float64(b.KeyWithdrawal())))
}

// freshWithin reports whether the configuration was known to be the newest at most age ago.
func (d *directory) freshWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fresh.ConfirmedWithin(d.now(), limit)
}

// offer takes a configuration of the store. One that is not newer than that in force is ignored.
func (d *directory) offer(c catalog.Catalog) {
	d.mu.Lock()
	if d.snapshot != nil && c.Version <= d.snapshot.Version() {
		older := c.Version < d.snapshot.Version()
		d.mu.Unlock()
		if older {
			event(d.log, EventConfigRefused).WithField("version", c.Version).Warn("configuration is older than that in force")
		}
		return
	}
	s := catalog.NewSnapshot(c)
	d.snapshot = s
	d.mu.Unlock()
	event(d.log, EventConfig).WithFields(logrus.Fields{
		"version": c.Version, "routes": len(c.Routes), "accounts": len(c.Accounts),
	}).Info("configuration is in force")
	for _, a := range c.Accounts {
		event(d.log, EventAccount).WithFields(logrus.Fields{
			"version": c.Version, "account": a.Name, "rate": a.Rate, "burst": a.Burst, "keys": len(a.Keys),
		}).Debug("limits of a client account")
	}
	d.adopted(s)
}

// prove notes a proof of freshness.
func (d *directory) prove(asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fresh.Confirm(asOf)
}
