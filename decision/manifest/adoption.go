package manifest

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
)

// DefaultContactTimeout is how long keyed work may continue without contact to the store or to a
// majority of the listed instances; in large deployments it is doubled, see contact.Timeout. It
// bounds how long an isolated instance accepts a withdrawn key.
const DefaultContactTimeout = 5 * time.Second

// ErrSameVersion reports a manifest with the version of the one in force but different content.
var ErrSameVersion = errors.New("a different manifest has the same version; apply the intended one with a higher version")

// AdoptionConfig configures an Adoption.
type AdoptionConfig struct {
	Self           string        // name of this instance in the list of instances
	ContactTimeout time.Duration // 0: DefaultContactTimeout
}

// Adoption decides which manifest is in force and whether keyed work is allowed. All times are
// durations since one monotonic origin. It is not safe for concurrent use.
type Adoption struct {
	cfg           AdoptionConfig
	current       *Snapshot // nil before the first adoption
	storeRevision uint64    // highest store revision seen of the manifest object
	storeContact  contactTime
	confirmed     contactTime            // latest time as of which the version in force is known to be the newest
	peerContacts  map[string]contactTime // calls of this instance that were answered, by instance name
	listed        []string               // sorted, without Self
	majority      *contact.Tracker       // contacts that peers report
}

// contactTime is the time of the latest contact, if any.
type contactTime struct {
	at    time.Duration
	known bool
}

func (c *contactTime) advance(at time.Duration) {
	if !c.known || at > c.at {
		*c = contactTime{at: at, known: true}
	}
}

// NewAdoption returns an Adoption without a manifest.
func NewAdoption(cfg AdoptionConfig) *Adoption {
	if cfg.ContactTimeout <= 0 {
		cfg.ContactTimeout = DefaultContactTimeout
	}
	return &Adoption{cfg: cfg, peerContacts: map[string]contactTime{}, majority: contact.NewTracker(cfg.Self)}
}

// Current returns the manifest in force, or nil.
func (a *Adoption) Current() *Snapshot {
	return a.current
}

// Version returns the version in force, or 0 before the first adoption.
func (a *Adoption) Version() uint64 {
	if a.current == nil {
		return 0
	}
	return a.current.Version()
}

// RouteAccount is an account's right to use a route.
type RouteAccount struct {
	Route, Account string
}

// KeyRef identifies a key.
type KeyRef struct {
	Account, ID string
}

// Withdrawals lists the keys, accounts, routes and rights that an adoption removed.
type Withdrawals struct {
	Keys     []KeyRef // includes keys whose hash was replaced under the same id
	Accounts []string
	Routes   []string
	Rights   []RouteAccount // only of accounts and routes that still exist
}

// Empty reports whether nothing was removed.
func (w Withdrawals) Empty() bool {
	return len(w.Keys)+len(w.Accounts)+len(w.Routes)+len(w.Rights) == 0
}

// Offer adopts m if it is valid and newer than the manifest in force, and returns what the
// adoption withdrew. An older or equal manifest is ignored without an error.
func (a *Adoption) Offer(m Manifest) (adopted bool, withdrawn Withdrawals, err error) {
	if m.Version < a.Version() {
		return false, Withdrawals{}, nil
	}
	next, err := NewSnapshot(m)
	if err != nil {
		return false, Withdrawals{}, err
	}
	return a.OfferSnapshot(next)
}

// OfferSnapshot is Offer for a manifest that is already validated. It is fast enough to be called
// with a lock held.
func (a *Adoption) OfferSnapshot(next *Snapshot) (adopted bool, withdrawn Withdrawals, err error) {
	if next.Version() < a.Version() {
		return false, Withdrawals{}, nil
	}
	if a.current != nil && next.Version() == a.Version() {
		return false, Withdrawals{}, a.checkSameContent(next)
	}
	withdrawn = withdrawals(a.current, next)
	a.current = next
	return true, withdrawn, nil
}

func (a *Adoption) checkSameContent(next *Snapshot) error {
	if next.digest != a.current.digest {
		return errors.Wrapf(ErrSameVersion, "version %d", next.Version())
	}
	return nil
}

// StoreAnswered records an answer of the store to a request sent at the given time. Its manifest
// must have been offered before. Revision is that of the manifest object, or 0 if the answer
// reported no change. An answer with an older revision than one already seen is a stale read and
// is ignored.
func (a *Adoption) StoreAnswered(sent time.Duration, revision uint64) {
	if revision != 0 && revision < a.storeRevision {
		return
	}
	a.storeRevision = max(a.storeRevision, revision)
	a.storeContact.advance(sent)
	a.confirmed.advance(sent)
}

// PeerState is a peer's report of its own adoption.
type PeerState struct {
	Instance     string
	Version      uint64
	Confirmed    bool          // the peer has had its version confirmed as the newest
	ConfirmedAge time.Duration // age of that confirmation when the peer answered
	Evidence     contact.Evidence
}

// StateFor returns the state to send to a peer. In a call, caller and list are zero; in an answer,
// they are the calling instance and the fingerprint of its list of instances.
func (a *Adoption) StateFor(now time.Duration, caller string, list uint64) PeerState {
	p := PeerState{Instance: a.cfg.Self, Version: a.Version()}
	p.ConfirmedAge, p.Confirmed = a.ConfirmedAge(now)
	p.Evidence = contact.Evidence{ListFingerprint: a.majority.ListFingerprint()}
	if caller != "" {
		p.Evidence = a.majority.Evidence(now, caller, list)
	}
	return p
}

// PeerAnswered records a peer's answer to a request sent at the given time. It returns true if
// the peer has a newer manifest, which the caller should then fetch: until it is adopted, the
// peer's answers only prove that this instance is behind. The contacts that the peer reports are
// ignored in the same case, so only instances whose version was no newer than the one in force here
// ever count.
func (a *Adoption) PeerAnswered(sent time.Duration, p PeerState) (newer bool) {
	if p.Version > a.Version() {
		return true
	}
	c := a.peerContacts[p.Instance]
	c.advance(sent)
	a.peerContacts[p.Instance] = c
	a.majority.RecordAnswer(sent, p.Instance, p.Evidence)
	if p.Version == a.Version() && p.Confirmed {
		a.confirmed.advance(sent - p.ConfirmedAge)
	}
	return false
}

// SetInstances replaces the list of instances and drops contacts with instances no longer listed.
// The list may or may not include this instance.
func (a *Adoption) SetInstances(members []contact.Member) {
	a.majority.SetMembers(members)
	listed := make([]string, 0, len(members))
	for _, m := range members {
		if m.ID != a.cfg.Self {
			listed = append(listed, m.ID)
		}
	}
	slices.Sort(listed)
	a.listed = slices.Compact(listed)
	for id := range a.peerContacts {
		if _, ok := slices.BinarySearch(a.listed, id); !ok {
			delete(a.peerContacts, id)
		}
	}
}

// ConfirmedAge returns how long ago the version in force was confirmed as the newest, by the store
// or by a peer that was itself in contact with the store. It is false without a confirmation.
func (a *Adoption) ConfirmedAge(now time.Duration) (time.Duration, bool) {
	return max(now-a.confirmed.at, 0), a.confirmed.known
}

// KeyedUntil returns the time until which keyed work is allowed without further contact. It is
// false before the first adoption and before the first contact. Now must not be before the last
// contact.
func (a *Adoption) KeyedUntil(now time.Duration) (time.Duration, bool) {
	latest := a.storeContact
	if m := a.majorityContact(); m.known {
		latest.advance(m.at)
	}
	if at, ok := a.majority.MajorityAsOf(now); ok {
		latest.advance(at)
	}
	if a.current == nil || !latest.known {
		return 0, false
	}
	return latest.at + contact.Timeout(a.cfg.ContactTimeout, len(a.listed)+1), true
}

// KeyedAllowed reports whether keyed work is allowed now.
func (a *Adoption) KeyedAllowed(now time.Duration) bool {
	until, ok := a.KeyedUntil(now)
	return ok && now <= until
}

// majorityContact returns the latest time such that this instance and the peers that answered calls
// sent since then are a majority of the listed instances. An instance that is the only one listed has no
// majority, because it could not distinguish its own isolation from an outage of the store.
func (a *Adoption) majorityContact() contactTime {
	need := max((len(a.listed)+1)/2, 1)
	times := make([]time.Duration, 0, len(a.listed))
	for _, id := range a.listed {
		if c := a.peerContacts[id]; c.known {
			times = append(times, c.at)
		}
	}
	if len(times) < need {
		return contactTime{}
	}
	slices.Sort(times)
	return contactTime{at: times[len(times)-need], known: true}
}

func withdrawals(from, to *Snapshot) Withdrawals {
	var w Withdrawals
	if from == nil {
		return w
	}
	for _, account := range from.manifest.Accounts {
		w.addAccount(account, to)
	}
	for _, route := range from.manifest.Routes {
		w.addRoute(route, to)
	}
	return w
}

func (w *Withdrawals) addAccount(account Account, to *Snapshot) {
	if _, ok := to.Account(account.Name); !ok {
		w.Accounts = append(w.Accounts, account.Name)
	}
	hashes := decodeHashes(account.Keys)
	for i, key := range account.Keys {
		if _, ok := to.FindKey(account.Name, hashes[i]); !ok {
			w.Keys = append(w.Keys, KeyRef{Account: account.Name, ID: key.ID})
		}
	}
}

func (w *Withdrawals) addRoute(route Route, to *Snapshot) {
	next, ok := to.Route(route.Name)
	if !ok {
		w.Routes = append(w.Routes, route.Name)
		return
	}
	for _, account := range route.Accounts {
		if _, ok := to.Account(account); ok && !slices.Contains(next.Accounts, account) {
			w.Rights = append(w.Rights, RouteAccount{Route: route.Name, Account: account})
		}
	}
}

// ConflictError reports that a document may not replace the stored manifest; see CheckSuccessor.
type ConflictError struct {
	Stored, Document, IfVersion uint64
}

// Error states the versions and the remedy.
func (e *ConflictError) Error() string {
	if e.Stored != e.IfVersion {
		return fmt.Sprintf("stored manifest has version %d, but the change was made from version %d; read the stored one and repeat the change on top of it",
			e.Stored, e.IfVersion)
	}
	return fmt.Sprintf("document has version %d, but version %d is stored; give it version %d or higher",
		e.Document, e.Stored, e.Stored+1)
}

// CheckSuccessor returns a *ConflictError unless a document may replace the stored manifest: the
// change must be based on the stored version, and its own version must be higher. A stored version
// of 0 means that there is no manifest.
func CheckSuccessor(stored, document, ifVersion uint64) error {
	if stored != ifVersion || document <= stored {
		return &ConflictError{Stored: stored, Document: document, IfVersion: ifVersion}
	}
	return nil
}
