package catalog

import (
	"math"
	"time"
)

// Freshness records the latest time at which the configuration in force was confirmed as the newest. Times are of a
// clock that keeps running while the machine is suspended. The zero value holds no confirmation.
type Freshness struct {
	asOf      time.Duration
	confirmed bool
}

// Confirm records that no newer configuration existed at time asOf.
func (f *Freshness) Confirm(asOf time.Duration) {
	if !f.confirmed || asOf > f.asOf {
		f.asOf, f.confirmed = asOf, true
	}
}

// Age returns the time since the last confirmation, and the longest duration if there was none.
func (f *Freshness) Age(now time.Duration) time.Duration {
	if !f.confirmed {
		return math.MaxInt64
	}
	return now - f.asOf
}

// ConfirmedWithin reports whether the configuration was confirmed as the newest at most limit ago.
func (f *Freshness) ConfirmedWithin(now, limit time.Duration) bool {
	return f.Age(now) <= limit
}
