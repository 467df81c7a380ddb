package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// maxClaimWrites bounds how often a write of a claim is tried whose answer is lost.
const maxClaimWrites = 3

// claim is the stored value of a promotion claim. Builds without package leaderlease read and write only its first two fields.
type claim struct {
	Instance    string   `json:"instance"`
	Server      string   `json:"server"`
	Former      []string `json:"former,omitempty"`
	FormerKnown bool     `json:"formerKnown,omitempty"`
	HandOver    string   `json:"handOver,omitempty"`
	// Lead and HandOverLead are those of leaderlease.Claim.
	Lead         uint64 `json:"lead,omitempty"`
	HandOverLead uint64 `json:"handOverLead,omitempty"`
	// Order identifies the claims of one order, and Serial each write: the store gives no new revision to a value that it already has.
	Order  uint64 `json:"order"`
	Serial uint64 `json:"serial"`
	// Repeated: the order of an earlier claim for the same server got no answer as far as is known.
	Repeated bool `json:"repeated,omitempty"`
	// Unconfirmed and Answered are those of leaderlease.Claim.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	Answered    bool `json:"answered,omitempty"`
	// Received is that of leaderlease.Claim.
	Received position.Position `json:"received,omitzero"`
	// Withdraws: the promotion is ordered only once the claim names no former server any more.
	Withdraws bool `json:"withdraws,omitempty"`
	// Era is the era of the store that the claimant knew.
	Era uint64 `json:"era,omitempty"`
}

// decodeClaim decodes a stored claim. One of an unknown format names no server.
func decodeClaim(value []byte) claim {
	var c claim
	if err := json.Unmarshal(value, &c); err != nil {
		return claim{}
	}
	return c
}

// leaderClaim returns a stored claim of a version. Without leases a promotion is ordered although its claim names former servers.
func (n *Node) leaderClaim(c claim, version uint64) leaderlease.Claim {
	if !c.Withdraws && !n.settings.UnfencedPromotions {
		c.Former, c.FormerKnown, c.HandOver = nil, false, ""
	}
	lead := leaderlease.Lead(c.Lead)
	if c.Order == 0 {
		lead = leaderlease.Lead(version) // of a build that claims once for each order
	}
	return leaderlease.Claim{
		Version: version, Server: c.Server, Former: c.Former, FormerKnown: c.FormerKnown, HandOver: c.HandOver,
		Lead: lead, HandOverLead: leaderlease.Lead(c.HandOverLead), Unconfirmed: c.Unconfirmed, Answered: c.Answered,
		Received: c.Received,
	}
}

// seenClaim is when this process first saw a revision of a claim, and whether it has written it.
type seenClaim struct {
	revision uint64
	seenAt   time.Duration
	own      bool
	settled  bool // the order was answered
	// pausesChecked: replicas that were left paused for it have been looked for.
	pausesChecked bool
}

// ownClaim is a claim that this instance has written. Its version is the fence of its promotion.
type ownClaim struct {
	leaderlease.Claim
	database string
	order    uint64
	repeated bool
	// sentAt and confirmedAt are when the write was sent and when its confirmation arrived.
	sentAt, confirmedAt time.Duration
}

// claimPromotion claims the next promotion of a database for this instance.
func (p *promotionController) claimPromotion(ctx context.Context, database, old, server string, handOver bool) (ownClaim, error) {
	var current claim
	object, err := p.readClaim(ctx, database)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
	case err != nil:
		return ownClaim{}, err
	default:
		current = decodeClaim(object.Value)
	}
	if !p.node.eras.SettledFor(failover.ClaimTerm) {
		return ownClaim{}, errRestoredNow
	}
	if object.Version != 0 {
		p.node.adoptClaim(database, p.node.leaderClaim(current, object.Version), sourceStore)
	}
	if (current.Server != old || p.node.usesLeases()) && p.claimedElsewhere(database, object.Version) {
		return ownClaim{}, errClaimed
	}
	if p.mayBeCarriedOutLate(database, current, object.Version, old, server) {
		return ownClaim{}, errOrderOutstanding
	}
	current.Answered = current.Answered || p.isSettled(database, object.Version)
	present := p.node.leaderClaim(current, object.Version)
	next := p.node.nextClaim(present, old, server, handOver)
	// A store that came back from a copy since the claim was written may have lost a later one.
	mayBeLost := server != old && current.Era != p.node.eras.Era() && (current.Era != 0 || p.node.eras.Restored())
	next.Unconfirmed = next.Unconfirmed || mayBeLost && p.node.fencesLeases()
	repeated := current.Server == server && !current.Answered && (current.Repeated || current.Server != old)
	return p.writeClaim(ctx, ownClaim{Claim: next, database: database, order: randomNumber(), repeated: repeated}, object.Version)
}

// nextClaim returns the claim, without a version, by which a server replaces primary.
func (n *Node) nextClaim(present leaderlease.Claim, primary, server string, handOver bool) leaderlease.Claim {
	if n.fencesLeases() {
		return present.NextFenced(primary, server, handOver)
	}
	return present.Next(primary, server, handOver)
}

// confirmOrder records in the claim of an accepted order that no earlier order can be carried out any more, and tells the other instances
// if that is what they wait for.
func (p *promotionController) confirmOrder(ctx context.Context, own ownClaim) {
	if !p.node.fencesLeases() {
		return
	}
	if own.Unconfirmed && !wait.For(ctx, failover.EffectTerm) { // earlier orders may have been accepted a moment ago
		return
	}
	for {
		confirmed, err := p.rewriteClaim(ctx, own, own.Confirmed())
		switch {
		case err == nil && own.Unconfirmed:
			p.announce(ctx, confirmed)
			return
		case err == nil, errors.Is(err, errClaimed):
			return
		}
		event(p.log, EventClaimNotConfirmed).WithError(err).WithFields(logrus.Fields{"database": own.database, "fence": own.Version}).
			Warn("the claim of an accepted order isn't confirmed yet")
		if !own.Unconfirmed || !wait.For(ctx, tellRetryInterval) {
			return
		}
	}
}

// mayBeCarriedOutLate reports whether the order of a stored claim may still promote its server after the one of a next claim for another
// server, so that commits which the latter acknowledges meanwhile are lost.
func (p *promotionController) mayBeCarriedOutLate(database string, current claim, version uint64, old, server string) bool {
	if version == 0 || !p.node.settings.UnfencedPromotions {
		return false
	}
	seen := p.recordClaim(database, version, false)
	order := failover.Order{
		Server: p.node.leaderClaim(current, version).Ordered(), ClaimAge: boottime.Now() - seen.seenAt, Answered: seen.settled, Repeated: current.Repeated,
	}
	if !order.MayFollow(old, server) {
		return false
	}
	copies, err := p.copiesOf(database)
	return err != nil || copies > 0
}

// isSettled reports whether the order of a claim is known to have been answered.
func (p *promotionController) isSettled(database string, version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.claims[database]
	return version != 0 && seen.revision == version && seen.settled
}

// settleClaim records that the order of a claim has been answered, so that it is not carried out later.
func (p *promotionController) settleClaim(database string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen := p.claims[database]; seen.revision == version {
		seen.settled = true
		p.claims[database] = seen
	}
}

// randomNumber returns a number above 0 that every JSON implementation keeps exactly.
func randomNumber() uint64 {
	return 1 + rand.Uint64N(1<<53-1)
}

// rewriteClaim replaces a claim of this instance by the next one, unless another instance has claimed the promotion since.
func (p *promotionController) rewriteClaim(ctx context.Context, own ownClaim, next leaderlease.Claim) (ownClaim, error) {
	ifVersion := own.Version
	own.Claim = next
	return p.writeClaim(ctx, own, ifVersion)
}

// writeClaim writes a claim if the version of the present one is ifVersion, or that of an earlier write of the same order that was
// carried out without an answer.
func (p *promotionController) writeClaim(ctx context.Context, own ownClaim, ifVersion uint64) (ownClaim, error) {
	value := claim{
		Instance: p.node.settings.Instance, Server: own.Server, Former: own.Former, FormerKnown: own.FormerKnown, HandOver: own.HandOver,
		Lead: uint64(own.Lead), HandOverLead: uint64(own.HandOverLead),
		Order: own.order, Serial: randomNumber(), Repeated: own.repeated,
		Unconfirmed: own.Unconfirmed, Answered: own.Answered, Received: own.Received, Withdraws: p.node.usesLeases(), Era: p.node.eras.Era(),
	}
	for try := 1; ; try++ {
		own.sentAt = boottime.Now()
		version, err := p.putClaim(ctx, own.database, value, ifVersion)
		if err == nil {
			return p.confirmClaim(own, version), nil
		}
		if errors.Is(err, objectstore.ErrRestored) || try == maxClaimWrites {
			return ownClaim{}, err
		}
		present, written, readErr := p.resolveWrite(ctx, own.database, value, ifVersion)
		switch {
		case errors.Is(readErr, errClaimed):
			return ownClaim{}, readErr
		case readErr != nil:
			return ownClaim{}, err
		case written:
			return p.confirmClaim(own, present), nil
		}
		ifVersion = present
	}
}

// resolveWrite finds out what became of a write that was refused or not answered. It returns the version of the present claim and
// whether it is the written one. If it isn't, it is the one from before or an earlier write of the same order; otherwise the error is
// errClaimed.
func (p *promotionController) resolveWrite(ctx context.Context, database string, value claim, ifVersion uint64) (present uint64, written bool, err error) {
	object, err := p.readClaim(ctx, database)
	if err != nil {
		return 0, false, err
	}
	found := decodeClaim(object.Value)
	if found.Order != value.Order && object.Version != ifVersion {
		return 0, false, errClaimed
	}
	return object.Version, found.Order == value.Order && found.Serial == value.Serial, nil
}

func (p *promotionController) readClaim(ctx context.Context, database string) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.node.store.Get(ctx, claimKey(database))
}

func (p *promotionController) putClaim(ctx context.Context, database string, value claim, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode the promotion claim")
	}
	version, err := p.node.store.Put(ctx, claimKey(database), encoded, ifVersion)
	if errors.Is(err, objectstore.ErrRestored) {
		return 0, errors.Mark(err, errClaimed)
	}
	return version, err
}

// confirmClaim records a claim of this instance that is in the store.
func (p *promotionController) confirmClaim(own ownClaim, version uint64) ownClaim {
	own.Version, own.confirmedAt = version, boottime.Now()
	p.recordClaim(own.database, version, true)
	p.node.adoptClaim(own.database, own.Claim, sourceOwnClaim)
	return own
}

func claimKey(database string) string {
	return claimsKind + "/" + database
}

// claimedElsewhere reports whether another process has recently claimed a promotion that has not made its server the primary yet.
// It may be an earlier one of this instance, whose order may be on its way. The age of a claim is unknown when it is first seen, so
// it counts as new then.
func (p *promotionController) claimedElsewhere(database string, revision uint64) bool {
	if revision == 0 {
		return false
	}
	seen := p.recordClaim(database, revision, false)
	return !seen.own && boottime.Now()-seen.seenAt < failover.ClaimTerm
}

// recordClaim records that this process has seen a revision of a claim, and returns when that was first the case.
func (p *promotionController) recordClaim(database string, revision uint64, own bool) seenClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.claims[database]
	if seen.revision != revision {
		seen = seenClaim{revision: revision, seenAt: boottime.Now()}
	}
	seen.own = seen.own || own // it may have been read before its write was confirmed
	p.claims[database] = seen
	return seen
}
