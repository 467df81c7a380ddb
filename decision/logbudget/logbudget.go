// Package logbudget bounds the log lines of each kind of event, so that a load or a failure that repeats itself does not
// drown the log. What is left out is counted and told.
package logbudget

import "time"

// Budget bounds the lines of one kind of event. The zero value allows none.
type Budget struct {
	PerSecond float64
	Burst     float64

	tokens     float64
	updatedAt  time.Duration
	started    bool
	suppressed uint64
}

// Allow reports whether a line may be written at a time, and how many were left out before it.
func (b *Budget) Allow(now time.Duration) (ok bool, leftOut uint64) {
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, b.Burst, now
	}
	b.tokens = min(b.Burst, b.tokens+b.PerSecond*max(now-b.updatedAt, 0).Seconds())
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens < 1 {
		b.suppressed++
		return false, 0
	}
	b.tokens--
	leftOut = b.suppressed
	b.suppressed = 0
	return true, leftOut
}
