package failover

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
)

// A claim gives one instance the right to order the next promotion. Two rules keep a claim that the store has lost, because
// it came back from a copy, from being acted on beside a later one:
//
//   - The promotion is ordered within OrderTerm of the claim, and not once a later era of the store is known.
//   - Nobody claims until ClaimTerm after it learned of an era, even if the store shows no claim. A claim from before the
//     restore can't be acted on any more by then.
//
// The fence of an order is the version of the claim, whose era keeps it above all fences from before.

const (
	// ClaimTerm is how long a claim of another instance, seen or lost by the store, prevents this one from claiming.
	ClaimTerm = 2500 * time.Millisecond
	// OrderTerm is the age of a claim above which its promotion is not ordered any more. Another instance may have promoted a
	// server after ClaimTerm, and the platform may not check the fence.
	OrderTerm = 2 * time.Second
)

// MayOrder reports whether a promotion may be ordered by a claim of the given age and fence in the latest known era.
func MayOrder(claimAge time.Duration, fence, era uint64) bool {
	return claimAge <= OrderTerm && storeversion.Era(fence) == era
}
