package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
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
	select {
	case d.adopted <- struct{}{}:
	default: // the status loop has not seen the previous adoption yet
	}
	return nil
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
	until, ok := d.adoption.KeyedUntil(d.cfg.Now())
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

// State returns what this instance tells in a call to a peer.
func (d *Directory) State() manifest.PeerState {
	return d.StateFor("", 0)
}

// StateFor returns what this instance answers to a call that named the given caller and the
// fingerprint of its list.
func (d *Directory) StateFor(caller string, list uint64) manifest.PeerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.adoption.StateFor(d.cfg.Now(), caller, list)
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

// SetInstances replaces the list of instances whose majority counts as contact. The list may name
// this instance or not.
func (d *Directory) SetInstances(members []contact.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adoption.SetInstances(members)
	d.instances = 1
	for _, m := range members {
		if m.ID != d.cfg.ListedAs {
			d.instances++
		}
	}
	d.publishLocked()
}

func (d *Directory) storeAnswered(sent time.Duration, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adoption.StoreAnswered(sent, revision)
	d.publishLocked()
}
