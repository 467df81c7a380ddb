// Package logbudget bounds the log lines of each kind of event, so that a load or a failure that repeats itself does not
// drown the log. What is left out is counted and told.
package logbudget

import "time"

// Budget bounds the lines of one kind of event. The zero value allows none.
type Budget struct {
	PerSecond float64
	Burst     float64

	level   float64
	at      time.Duration
	begun   bool
	leftOut uint64
}

// Allow reports whether a line may be written at a time, and how many were left out before it.
func (b *Budget) Allow(now time.Duration) (ok bool, leftOut uint64) {
	if !b.begun {
		b.begun, b.level, b.at = true, b.Burst, now
	}
	b.level = min(b.Burst, b.level+b.PerSecond*max(now-b.at, 0).Seconds())
	b.at = max(b.at, now)
	if b.level < 1 {
		b.leftOut++
		return false, 0
	}
	b.level--
	leftOut = b.leftOut
	b.leftOut = 0
	return true, leftOut
}
