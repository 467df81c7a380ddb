package catalog

import "time"

const (
	// rewriteTerm is how long confirmations are not accepted after the store came back from a copy: the operator writes again
	// what was lost, and peers tell of configurations that this instance has not seen.
	rewriteTerm = 1500 * time.Millisecond
	// peersTerm bounds the wait of a new process for the first answers of peers.
	peersTerm = 300 * time.Millisecond
)

// Confirmation is an answer of the store that shows no configuration newer than the one in force.
type Confirmation struct {
	AsOf time.Duration // when the store's state was current
	Era  uint64        // of the store, see package storeversion
	// InForce and PeersHave are the versions of the configuration at this instance and the highest one at a peer.
	InForce, PeersHave uint64
	// PeersAsked is set once the peers have told which version they have.
	PeersAsked bool
}

// Trust decides whether the configuration in force, and with it the keys of client accounts, may still be trusted. The store
// may come back from a copy that lacks a configuration which withdrew a key:
//
//   - A restored store confirms nothing for rewriteTerm. Keys stay trusted meanwhile by earlier confirmations.
//   - A configuration older than that of a peer is not confirmed.
//   - A new process can't tell whether the store was restored just before. In a store with eras, its first confirmation waits for
//     its peers. If all instances have started anew, nobody knows more than the store, and its configuration is trusted:
//     refusing all callers would not show what was lost.
//
// Times are of a clock that advances while the machine is suspended.
type Trust struct {
	Freshness

	era           uint64
	eraKnown      bool
	confirmedEra  bool // there was a confirmation in era
	firstAnswer   time.Duration
	withheldUntil time.Duration
	// first is the first confirmation, while it waits for the peers.
	first        Confirmation
	firstWaiting bool
}

// Offer records a confirmation if it may be relied on, and reports whether it may.
func (t *Trust) Offer(now time.Duration, c Confirmation) bool {
	t.enterEra(now, c.Era)
	switch {
	case c.Era < t.era, c.InForce < c.PeersHave, now < t.withheldUntil:
		return false
	case !t.confirmed && c.Era > 0 && !c.PeersAsked && now < t.firstAnswer+peersTerm:
		t.first, t.firstWaiting = c, true
		return false
	}
	t.Confirm(c.AsOf)
	t.confirmedEra, t.firstWaiting = true, false
	return true
}

// FirstWaits reports whether the first confirmation waits for the peers' answers.
func (t *Trust) FirstWaits() bool {
	return t.firstWaiting
}

// OfferFirst offers the first confirmation again if it was not accepted for want of the peers' answers, and reports whether it
// is accepted now. Without this, the next answer of the store would be needed, a whole watch later. Only the peers' answers
// count, not peersTerm: a peer that is slow to answer has until the store's next answer to tell of a newer configuration.
func (t *Trust) OfferFirst(now time.Duration, inForce, peersHave uint64, peersAsked bool) bool {
	if !t.firstWaiting || !peersAsked {
		return false
	}
	c := t.first
	c.InForce, c.PeersHave, c.PeersAsked = inForce, peersHave, true
	return t.Offer(now, c)
}

func (t *Trust) enterEra(now time.Duration, era uint64) {
	switch {
	case !t.eraKnown:
		t.firstAnswer = now
	case era <= t.era:
		return
	default:
		t.withheldUntil = now + rewriteTerm
	}
	t.era, t.eraKnown, t.confirmedEra, t.firstWaiting = era, true, false, false
}

// AwaitsNewer reports whether a configuration is to be fetched from a peer that has a newer one: the store's can't be trusted
// to arrive, since none was confirmed in its era yet.
func (t *Trust) AwaitsNewer(inForce, peersHave uint64) bool {
	return t.era > 0 && !t.confirmedEra && inForce < peersHave
}
