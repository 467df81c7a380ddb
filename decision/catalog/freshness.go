package catalog

import "time"

// Freshness tells how recent the configuration in force is known to be. Times are of a clock that goes on while the
// machine is suspended. The zero value proves nothing.
type Freshness struct {
	asOf  time.Duration
	known bool
}

// Prove notes that no newer configuration existed as of a time.
func (f *Freshness) Prove(asOf time.Duration) {
	if !f.known || asOf > f.asOf {
		f.asOf, f.known = asOf, true
	}
}

// Within reports whether the configuration was known to be the newest at most limit ago.
func (f *Freshness) Within(now, limit time.Duration) bool {
	return f.known && now-f.asOf <= limit
}
