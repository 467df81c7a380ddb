package failover

import "time"

// Where the platform doesn't end the lead of a replaced primary, two rules keep it from being used beside its successor:
//
//   - An instance that has been told of the replacement stops using the primary, and acknowledges that.
//   - An instance that can't be told is cut off. It notices that within NoticePeriod and stops using any primary.
//
// A replacement therefore follows at once if all instances have acknowledged it, and otherwise NoticePeriod after the
// loss of the primary was noticed.
const (
	// storeContactLimit is the age of what an instance knows from the store above which it may be cut off. Without
	// changes this age stays below it, as the store is watched in periods of about a second, by way of a relay.
	storeContactLimit = 2300 * time.Millisecond
	// NoticePeriod is the time within which an instance notices that it is cut off: storeContactLimit, or the time in
	// which most of its recent heartbeats have failed.
	NoticePeriod = 3500 * time.Millisecond
)

// MayUsePrimary reports whether an instance may send statements to a primary, given the age of what it knows from the store
// and whether it reaches a majority of the instances. During an outage of the store the instances still reach each other.
func MayUsePrimary(storeAge time.Duration, reachesMajority bool) bool {
	return reachesMajority || storeAge < storeContactLimit
}

// ReplacementDelay returns how long to wait before a lost primary is replaced.
func ReplacementDelay(now, lostSince time.Duration, told Survey) time.Duration {
	if told.Lost+told.Reaching >= told.Asked {
		return 0
	}
	return max(lostSince+NoticePeriod-now, 0)
}
