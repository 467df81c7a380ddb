package catalog

import "time"

// Freshness proves how recent the configuration in force is. Times are of a clock that goes on while the
// machine is suspended. The zero value proves nothing.
type Freshness struct {
	asOf  time.Duration
	known bool
}

// Waited notes that a call sent at the given time, which asked the store to wait for changes, ended without one.
// The store has waited until the end of that time if it was over when the answer came; an earlier answer proves only
// the time of sending. A call that reads everything waits for 0. It returns the time as of which nothing is missing.
func (f *Freshness) Waited(sent, wait, received time.Duration) time.Duration {
	asOf := sent
	if received-sent >= wait {
		asOf += wait
	}
	if !f.known || asOf > f.asOf {
		f.asOf, f.known = asOf, true
	}
	return f.asOf
}

// Age returns how long ago the configuration was known to be the newest.
func (f *Freshness) Age(now time.Duration) (age time.Duration, known bool) {
	return now - f.asOf, f.known
}
