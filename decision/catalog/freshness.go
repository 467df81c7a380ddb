package catalog

import "time"

// Freshness tells how recent the configuration in force is known to be. Times are of a clock that goes on while the
// machine is suspended. The zero value proves nothing.
type Freshness struct {
	asOf      time.Duration
	confirmed bool
}

// Confirm notes that no newer configuration existed as of a time.
func (f *Freshness) Confirm(asOf time.Duration) {
	if !f.confirmed || asOf > f.asOf {
		f.asOf, f.confirmed = asOf, true
	}
}

// ConfirmedWithin reports whether the configuration was known to be the newest at most limit ago.
func (f *Freshness) ConfirmedWithin(now, limit time.Duration) bool {
	return f.confirmed && now-f.asOf <= limit
}
