package catalog

import "time"

// Freshness proves how recent the configuration in force is. Times are of a clock that goes on while the
// machine is suspended. The zero value proves nothing.
type Freshness struct {
	asOf  time.Duration
	known bool
}

// Read notes an answer of the store to a call that was sent at the given time: nothing older is missing.
func (f *Freshness) Read(sent time.Duration) {
	f.note(sent)
}

// Waited notes that a watch sent at the given time ended without a change. The store had waited until the end
// of the watch if that was due when the answer came; an earlier answer proves only the time of sending.
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
