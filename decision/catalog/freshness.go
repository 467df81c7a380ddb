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
// the time of sending. A call that reads everything waits for 0.
func (f *Freshness) Waited(sent, wait, received time.Duration) {
	if received-sent >= wait {
		f.note(sent + wait)
		return
	}
	f.note(sent)
}

func (f *Freshness) note(asOf time.Duration) {
	if !f.known || asOf > f.asOf {
		f.asOf, f.known = asOf, true
	}
}

// Age returns how long ago the configuration was known to be the newest.
func (f *Freshness) Age(now time.Duration) (age time.Duration, known bool) {
	return now - f.asOf, f.known
}
