package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
)

// freshnessFraction is the fraction of the key withdrawal time for which a confirmation that the configuration is
// current remains valid. The rest covers the time from the check of a statement until it reaches its server.
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

// confirmedWithin reports whether the configuration was confirmed as the newest one at most limit ago.
func (d *directory) confirmedWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.ConfirmedWithin(d.now(), limit)
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

// confirm records that the configuration was the newest one as of a time.
func (d *directory) confirm(asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Confirm(asOf)
}
