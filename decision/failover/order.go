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

// EffectTerm is how long after it was accepted a promotion takes effect at most; the platform says some hundred milliseconds. It is below
// ClaimTerm, so that nobody claims before the accepted order of the last claim is in effect.
const EffectTerm = 1500 * time.Millisecond

// LateOrderPeriod is how long after it was sent a promotion that got no answer may still take effect: 12 s until it is carried out, which is
// assumed, as the platform names no limit, and a second for the promotion. It counts only where fences aren't checked.
const LateOrderPeriod = 13 * time.Second

// MaxOrderAge is how long after its claim was first seen an order may still be carried out.
const MaxOrderAge = OrderTerm + LateOrderPeriod

// Order is what an instance knows of the latest order to promote a server of a database.
type Order struct {
	Server string // empty for none
	// ClaimAge is the time since this instance first saw the claim of the order.
	ClaimAge time.Duration
	// Answered: the platform has carried it out or refused it. Repeated: an earlier order for the same server got no answer.
	Answered, Repeated bool
}

// MayFollow reports whether the order may still be carried out after one that replaces primary by another server, next, so that it would
// end the lead of next. A primary that leads by the order has been promoted by it, unless the order was repeated. Where the platform checks
// fences it refuses the order then.
func (o Order) MayFollow(primary, next string) bool {
	switch {
	case o.Server == "", o.Server == next, o.Answered, o.ClaimAge >= MaxOrderAge:
		return false
	}
	return o.Server != primary || o.Repeated
}
