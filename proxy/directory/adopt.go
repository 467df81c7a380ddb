package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Offer adopts a manifest document if it is valid and newer than the one in force. The version that
// the sender stated must be the document's own. An older or equal document is ignored without an
// error. The error is manifest.Faults, manifest.ErrSameVersion or a version mismatch.
func (d *Directory) Offer(document []byte, version uint64) error {
	m, err := manifest.Decode(document) // validated on adoption
	if err == nil && m.Version != version {
		err = errors.Newf("manifest document has version %d, but was offered as version %d; the sender has to fetch it again", m.Version, version)
	}
	if err != nil {
		return d.reject(err)
	}
	return d.offer(document, m)
}

// offerStored adopts the document of the store, which is stored without a separate version.
func (d *Directory) offerStored(document []byte) error {
	m, err := manifest.Decode(document) // validated on adoption
	if err != nil {
		return d.reject(err)
	}
	return d.offer(document, m)
}

func (d *Directory) offer(document []byte, m manifest.Manifest) error {
	d.adoptMu.Lock()
	defer d.adoptMu.Unlock()
	if current := d.current.Load(); current != nil && m.Version < current.Version() {
		return nil
	}
	next, err := manifest.NewSnapshot(m) // without d.mu, which would block logins
	if err != nil {
		return d.reject(err)
	}
	return d.offerLocked(document, next)
}

// OfferDeltas applies deltas to the manifest in force and adopts the result if it is the manifest that
// the sender has. On manifest.ErrDeltaMismatch the caller has to fetch the whole document.
func (d *Directory) OfferDeltas(deltas [][]byte) error {
	d.adoptMu.Lock()
	defer d.adoptMu.Unlock()
	current := d.current.Load()
	if current == nil {
		return manifest.ErrDeltaMismatch
	}
	next, err := current.Apply(deltas)
	if err != nil {
		return err
	}
	return d.offerLocked(nil, next)
}

// offerLocked adopts a snapshot. It requires adoptMu. A nil document means that the snapshot was built
// from deltas and is encoded when it is needed.
func (d *Directory) offerLocked(document []byte, next *manifest.Snapshot) error {
	before := d.current.Load()
	adopted, withdrawn, closed, err := d.adopt(document, next)
	if err != nil {
		return d.reject(err)
	}
	if !adopted {
		return nil
	}
	d.recordDelta(before, next)
	d.logAdoption(next.Version(), document == nil, withdrawn, closed)
	if d.cfg.OnAdopt != nil {
		d.cfg.OnAdopt(d.current.Load(), withdrawn)
	}
	d.ReportSoon()
	return nil
}

// ReportSoon schedules a status write soon, as an adoption does. It doesn't block.
func (d *Directory) ReportSoon() {
	select {
	case d.reportRequested <- struct{}{}:
	default: // the status loop has not handled the previous request yet
	}
}

// adopt puts next in force and closes the channels of the grants that it withdraws.
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
		if d.adoption.Current().StillGrants(grant) {
			continue
		}
		close(withdrawn)
		delete(d.grants, grant)
		closed++
	}
	return closed
}

// publishLocked copies the adoption's decision on keyed work to keyedUntil for the statement path.
func (d *Directory) publishLocked() {
	until, ok := d.adoption.KeyedUntil(d.cfg.Now())
	if !ok {
		d.keyedUntil.Store(keyedNotAllowed)
		return
	}
	d.keyedUntil.Store(int64(until))
}

func (d *Directory) reject(err error) error {
	event(d.cfg.Log, EventRejected).WithError(err).Error("manifest rejected; the one in force stays, apply a corrected one with a higher version")
	return err
}

func (d *Directory) logAdoption(version uint64, byDeltas bool, w manifest.Withdrawals, closed int) {
	event(d.cfg.Log, EventAdopted).WithFields(logrus.Fields{"version": version, "by_differences": byDeltas}).
		Info("manifest is in force")
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

// recordDelta adds the delta between two manifests to the history, for peers that have the earlier one.
func (d *Directory) recordDelta(before, next *manifest.Snapshot) {
	if before == nil {
		return
	}
	history := d.deltas
	history.Add(before, next) // without d.mu, since it compares whole manifests
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deltas = history
}

// Fetch returns the document and version of the manifest in force if its version is at least
// atLeast.
func (d *Directory) Fetch(atLeast uint64) (document []byte, version uint64, ok bool) {
	d.mu.Lock()
	current, document := d.adoption.Current(), d.document
	d.mu.Unlock()
	if current == nil || current.Version() < atLeast {
		return nil, 0, false
	}
	if document == nil {
		document = d.encodeCurrent(current)
	}
	return document, current.Version(), document != nil
}

// encodeCurrent encodes a manifest that was adopted from deltas and caches the document while it is in
// force.
func (d *Directory) encodeCurrent(current *manifest.Snapshot) []byte {
	document, err := current.Manifest().Pack()
	if err != nil {
		return nil // a valid manifest can always be encoded
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.adoption.Current() == current {
		d.document = document
	}
	return document
}

// FetchDeltas returns the deltas from version have to the version in force, if they are known and the
// version in force is at least atLeast.
func (d *Directory) FetchDeltas(have, atLeast uint64) (deltas [][]byte, version uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = d.adoption.Version()
	if version < atLeast {
		return nil, 0, false
	}
	deltas, ok = d.deltas.Between(have, version)
	return deltas, version, ok
}

// State returns the state that this instance sends in its calls to peers.
func (d *Directory) State() manifest.PeerState {
	return d.StateFor("", 0)
}

// StateFor returns the state that this instance sends in its answer to a call from the given caller
// with the given fingerprint of its instance list.
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
// true if the peer has a newer manifest, which the caller has to fetch and offer.
func (d *Directory) PeerAnswered(sent time.Duration, p manifest.PeerState) (newer bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer = d.adoption.PeerAnswered(sent, p)
	d.publishLocked()
	return newer
}

// SetInstances replaces the list of instances, a majority of which counts as contact. The list may or
// may not contain this instance.
func (d *Directory) SetInstances(members []contact.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adoption.SetInstances(members)
	d.listedInstances = 1
	for _, m := range members {
		if m.ID != d.cfg.MemberID {
			d.listedInstances++
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
