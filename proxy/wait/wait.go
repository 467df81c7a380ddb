// Package wait waits for a time or for the end of a context, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx has not ended by then. A wait of 0 or less ends at once.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// UntilClosed waits for a channel that is closed at a change, limit at most, and reports whether ctx has not ended before.
func UntilClosed(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Every calls f once a period, the first time after one, until ctx ends. Calls that a slow one holds up
// are left out.
func Every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
