package failover

import "time"

// Where the platform doesn't end the lead of a replaced primary, two rules keep it from being used beside its successor:
//
//   - An instance that has been told of the replacement stops using the primary, and acknowledges that.
//   - An instance that can't be told may be cut off. One that is cut off from the store uses no primary once a notice
//     period has passed, even if it reaches most of the others: the store is where replacements are claimed.
//
// A replacement therefore follows at once if all instances have acknowledged it, and otherwise a notice period after the
// loss of the primary was noticed.

// storeContactFraction is the part of the notice period for which an instance uses primaries without the store. The rest
// covers the time from the check of a statement until it reaches its server.
const storeContactFraction = 0.9

// MayUsePrimary reports whether an instance may send statements to a primary, given the age of what it knows from the
// store.
func MayUsePrimary(storeAge, noticePeriod time.Duration) bool {
	return storeAge < time.Duration(storeContactFraction*float64(noticePeriod))
}

// ReplacementDelay returns how long to wait before a lost primary is replaced.
func ReplacementDelay(now, lostSince, noticePeriod time.Duration, told Survey) time.Duration {
	if told.Lost+told.Reaching >= told.Asked {
		return 0
	}
	return max(lostSince+noticePeriod-now, 0)
}
