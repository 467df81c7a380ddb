package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// claim is the stored value of a promotion claim.
type claim struct {
	Instance string `json:"instance"`
	Server   string `json:"server"`
	// Serial is the version of the claim that this one replaced. It makes each claim a change: the store keeps the revision
	// of an object that is overwritten with its own value.
	Serial uint64 `json:"serial"`
}

// seenClaim is when this instance first saw a revision of a claim.
type seenClaim struct {
	revision uint64
	seenAt   time.Duration
}

// claimPromotion claims the next promotion of a database for this instance and returns its fence.
func (p *promotionController) claimPromotion(ctx context.Context, database, old, server string) (uint64, error) {
	key := claimsKind + "/" + database
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := p.node.store
	var current claim
	object, err := store.Get(ctx, key)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(object.Value, &current); err != nil {
			current = claim{} // unknown format; the conditional write replaces it
		}
	}
	if !p.node.eras.SettledFor(failover.ClaimTerm) {
		return 0, errRestoredNow
	}
	if current.Server != old && p.claimedElsewhere(database, object.Version, current) {
		return 0, errClaimed
	}
	value, err := json.Marshal(claim{Instance: p.node.settings.Instance, Server: server, Serial: object.Version})
	if err != nil {
		return 0, errors.Wrap(err, "encode the promotion claim")
	}
	revision, err := store.Put(ctx, key, value, object.Version)
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrRestored) {
		return 0, errClaimed
	}
	if err != nil {
		return 0, err
	}
	p.recordClaim(database, revision)
	return revision, nil
}

// claimedElsewhere reports whether another instance has recently claimed a promotion that has not made its server the
// primary yet. The age of a claim is unknown when it is first seen, so it counts as new then.
func (p *promotionController) claimedElsewhere(database string, revision uint64, current claim) bool {
	if revision == 0 || current.Instance == p.node.settings.Instance {
		return false
	}
	p.mu.Lock()
	seen, known := p.claims[database]
	p.mu.Unlock()
	if !known || seen.revision != revision {
		p.recordClaim(database, revision)
		return true
	}
	return boottime.Now()-seen.seenAt < failover.ClaimTerm
}

func (p *promotionController) recordClaim(database string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claims[database] = seenClaim{revision, boottime.Now()}
}
