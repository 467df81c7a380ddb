// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still active afterwards. A d of 0 or less does not wait.
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

// UntilClosed waits until the channel is closed, for limit at most, and reports false if ctx ended first.
func UntilClosed(ctx context.Context, closed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Every calls f once per period until ctx ends, for the first time after one period. Calls that become due
// while f is running are skipped.
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
