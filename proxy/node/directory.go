package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
)

// freshnessFraction is the part of the time for withdrawing a key for which a proof of freshness counts. The rest is for
// the way of a statement from its check to its server.
const freshnessFraction = 0.9

// directory holds the configuration in force. It implements gateway.Directory.
type directory struct {
	log    logrus.FieldLogger
	now    func() time.Duration
	bounds func() Bounds

	mu        sync.Mutex
	snapshot  *catalog.Snapshot
	freshness catalog.Freshness
	onAdopt   func(*catalog.Snapshot)
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
	return b.TrustKeysWhenCutOff || d.confirmedWithin(time.Duration(freshnessFraction*float64(b.KeyWithdrawal())))
}

// confirmedWithin reports whether the configuration was known to be the newest at most age ago.
func (d *directory) confirmedWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.ConfirmedWithin(d.now(), limit)
}

// adopt takes a configuration of the store. One that is not newer than that in force is ignored.
func (d *directory) adopt(c catalog.Catalog) {
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

// confirm notes a proof of freshness.
func (d *directory) confirm(asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Confirm(asOf)
}
