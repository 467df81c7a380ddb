package storeversion

import "time"

// Tracker records which era of a store is known to a process, and since when. Times are of a clock that advances while the
// machine is suspended. The zero value knows none.
type Tracker struct {
	era       uint64
	known     bool
	learnedAt time.Duration
	restores  uint64
}

// Learn records an era seen at a time. restored reports whether the store came back from a copy since the process knew an
// earlier era.
func (t *Tracker) Learn(now time.Duration, era uint64) (restored bool) {
	if t.known && era <= t.era {
		return false
	}
	restored = t.known
	if restored {
		t.restores++
	}
	t.era, t.known, t.learnedAt = era, true, now
	return restored
}

// Era returns the latest known era, or 0.
func (t *Tracker) Era() uint64 {
	return t.era
}

// Known reports whether an era was learned.
func (t *Tracker) Known() bool {
	return t.known
}

// Restores returns how many restores this process has noticed.
func (t *Tracker) Restores() uint64 {
	return t.restores
}

// SettledFor reports whether no restore has happened in the last term: the latest era has been known for longer, or the store
// has none. A process that has just started knows the era for a short time only, and can't tell.
func (t *Tracker) SettledFor(now, term time.Duration) bool {
	return t.known && (t.era == 0 || now-t.learnedAt >= term)
}
