package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Offer adopts a manifest document if it is valid and newer than the one in force. Version is
// the one that the sender named; it must be the document's own. An older or equal document is
// no error. The error is manifest.Faults, manifest.ErrSameVersion or a wrong version.
func (d *Directory) Offer(document []byte, version uint64) error {
	m, err := manifest.Decode(document) // validated on adoption
	if err == nil && m.Version != version {
		err = errors.Newf("document has version %d, but was offered as version %d; have the sender fetch it again", m.Version, version)
	}
	if err != nil {
		return d.reject(err)
	}
	return d.offer(document, m)
}

// offerStored adopts the document of the store, which names no version.
func (d *Directory) offerStored(document []byte) error {
	m, err := manifest.Decode(document) // validated on adoption
	if err != nil {
		return d.reject(err)
	}
	return d.offer(document, m)
}

func (d *Directory) offer(document []byte, m manifest.Manifest) error {
	d.offers.Lock()
	defer d.offers.Unlock()
	if current := d.current.Load(); current != nil && m.Version < current.Version() {
		return nil
	}
	next, err := manifest.NewSnapshot(m) // outside d.mu, since logins wait for that
	if err != nil {
		return d.reject(err)
	}
	adopted, withdrawn, closed, err := d.adopt(document, next)
	if err != nil {
		return d.reject(err)
	}
	if !adopted {
		return nil
	}
	d.logAdoption(m.Version, withdrawn, closed)
	if d.cfg.OnAdopt != nil {
		d.cfg.OnAdopt(d.current.Load(), withdrawn)
	}
	d.ReportSoon()
	return nil
}

// ReportSoon brings the next write of the status forward, as an adoption does. It doesn't block.
func (d *Directory) ReportSoon() {
	select {
	case d.changed <- struct{}{}:
	default: // the status loop has not seen the previous change yet
	}
}

// adopt puts next in force and closes the grants that it took away.
func (d *Directory) adopt(document []byte, next *manifest.Snapshot) (bool, manifest.Withdrawals, int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	adopted, withdrawn, err := d.adoption.OfferSnapshot(next)
	if err != nil || !adopted {
		return false, withdrawn, 0, err
	}
	d.document = document
	d.current.Store(d.adoption.Current())
	d.publishLocked()
	return true, withdrawn, d.closeGrantsLocked(), nil
}

func (d *Directory) closeGrantsLocked() int {
	closed := 0
	for grant, withdrawn := range d.grants {
		if d.adoption.Current().Holds(grant) {
			continue
		}
		close(withdrawn)
		delete(d.grants, grant)
		closed++
	}
	return closed
}

// publishLocked makes the adoption's decision on keyed work visible to the statement path.
func (d *Directory) publishLocked() {
	until, ok := d.adoption.KeyedUntil()
	if !ok {
		d.keyedUntil.Store(neverKeyed)
		return
	}
	d.keyedUntil.Store(int64(until))
}

func (d *Directory) reject(err error) error {
	event(d.cfg.Log, EventRejected).WithError(err).Error("manifest refused; the one in force stays, apply a corrected one with a higher version")
	return err
}

func (d *Directory) logAdoption(version uint64, w manifest.Withdrawals, closed int) {
	event(d.cfg.Log, EventAdopted).WithField("version", version).Info("manifest is in force")
	if w.Empty() {
		return
	}
	event(d.cfg.Log, EventWithdrawn).WithFields(logrus.Fields{
		"version":  version,
		"keys":     w.Keys,
		"accounts": w.Accounts,
		"routes":   w.Routes,
		"rights":   w.Rights,
		"closed":   closed,
	}).Info("adoption withdrew keys, accounts, routes or rights to routes")
}

// Fetch returns the document and version of the manifest in force, if it has at least the
// version asked for.
func (d *Directory) Fetch(atLeast uint64) (document []byte, version uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = d.adoption.Version()
	if version == 0 || version < atLeast {
		return nil, 0, false
	}
	return d.document, version, true
}

// State returns what this instance tells its peers.
func (d *Directory) State() manifest.PeerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	age, known := d.adoption.ConfirmedAge(d.cfg.Now())
	return manifest.PeerState{
		Instance:   d.cfg.Instance,
		Version:    d.adoption.Version(),
		StoreKnown: known,
		StoreAge:   age,
	}
}

// Now returns the time on the clock that PeerAnswered expects.
func (d *Directory) Now() time.Duration {
	return d.cfg.Now()
}

// PeerAnswered records a peer's answer to a request sent at the given time of Now. It returns
// true if the peer has a newer manifest, which is then to be fetched and offered.
func (d *Directory) PeerAnswered(sent time.Duration, p manifest.PeerState) (newer bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer = d.adoption.PeerAnswered(sent, p)
	d.publishLocked()
	return newer
}

// SetInstances replaces the list of instances whose majority counts as contact.
func (d *Directory) SetInstances(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adoption.SetInstances(ids)
	d.instances = len(ids) + 1
	d.publishLocked()
}

func (d *Directory) storeAnswered(sent time.Duration, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adoption.StoreAnswered(sent, revision)
	d.publishLocked()
}
