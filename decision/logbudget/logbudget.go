// Package logbudget limits the rate of log lines of each kind of event, so that high load or a recurring failure doesn't
// flood the log. Suppressed lines are counted and reported.
package logbudget

import "time"

// Budget is a token bucket for the log lines of one kind of event. The zero value allows none. It is not safe for
// concurrent use.
type Budget struct {
	PerSecond float64
	Burst     float64

	tokens     float64
	updatedAt  time.Duration
	started    bool
	suppressed uint64
}

// Allow reports whether a line may be written now, and how many were suppressed since the last written one.
func (b *Budget) Allow(now time.Duration) (ok bool, suppressed uint64) {
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
	suppressed = b.suppressed
	b.suppressed = 0
	return true, suppressed
}
