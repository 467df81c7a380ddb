package node

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// newClaimant returns the promotion controller of an instance that only claims.
func newClaimant(t *testing.T, p *platformtest.Platform, instance string) *promotionController {
	t.Helper()
	n := newUnassembled(Settings{Instance: instance}, discardLogger())
	now := boottime.Now() - failover.ClaimTerm
	n.eras = objectstore.NewEras(func() time.Duration { return now }, nil)
	n.eras.Learn(p.Era(), "test")
	now = boottime.Now()
	n.store = platform.NewStore(p.Address(), (&net.Dialer{}).DialContext, n.eras)
	t.Cleanup(n.store.Close)
	return newPromotionController(n, nil)
}

// Guards against two orders with the same fence, the first of which may arrive last, and against a renewed claim whose age
// others count from the first one.
func TestRepeatedClaimHasAHigherFence(t *testing.T) {
	p := startPlatform(t)
	claimant, other := newClaimant(t, p, "edge-1"), newClaimant(t, p, "edge-2")
	var last uint64
	for i := range 3 {
		own, err := claimant.claimPromotion(t.Context(), "db", "i-1", "i-2", false)
		if err != nil {
			t.Fatal(err)
		}
		if own.Version <= last {
			t.Errorf("claim %d has fence %d, want one above %d", i, own.Version, last)
		}
		last = own.Version
		if own, err := other.claimPromotion(t.Context(), "db", "i-1", "i-3", false); !errors.Is(err, errClaimed) {
			t.Fatalf("another instance claims with fence %d, error %v right after claim %d, want errClaimed", own.Version, err, i)
		}
		other.claims["db"] = seenClaim{revision: other.claims["db"].revision, seenAt: boottime.Now() - 2*failover.ClaimTerm}
	}
}

// Load: an instance is killed after it has claimed a promotion, and starts again while its order may still take effect. Guards
// against a second order for another server at once: the server promoted first goes on, since nobody makes it step down.
func TestRestartedInstanceRespectsItsEarlierClaim(t *testing.T) {
	p := startPlatform(t)
	if _, err := newClaimant(t, p, "edge-1").claimPromotion(t.Context(), "db", "i-1", "i-2", false); err != nil {
		t.Fatal(err)
	}
	restarted := newClaimant(t, p, "edge-1")
	if own, err := restarted.claimPromotion(t.Context(), "db", "i-1", "i-3", false); !errors.Is(err, errClaimed) {
		t.Errorf("the next process of the instance claims with fence %d, error %v, want errClaimed", own.Version, err)
	}
}

// Guards against replicas that stay paused for good, and against a check before the instance that paused them would have resumed them.
func TestPausesAreCheckedOnceAfterEachClaim(t *testing.T) {
	p := newClaimant(t, startPlatform(t), "edge-1")
	p.node.settings.Listen.Peers = "127.0.0.1:1"
	p.node.peers = newPeerSet(t, p.node.settings.Listen.Peers, newInstanceList(p.node.store, boottime.Now))
	if p.pausesDue("db") {
		t.Error("pauses are checked without a claim")
	}
	for revision := range uint64(2) {
		p.recordClaim("db", revision+1, false)
		if p.pausesDue("db") {
			t.Error("pauses are checked while the order may be carried out")
		}
		seen := p.claims["db"]
		seen.seenAt -= failover.MaxOrderAge + orderTimeout + time.Millisecond
		p.claims["db"] = seen
		if !p.pausesDue("db") || p.pausesDue("db") {
			t.Error("pauses are not checked exactly once")
		}
	}
}
