//go:build !linux

package database

import "time"

// preciseTimer is not available on this platform; only Linux has timerfd.
type preciseTimer struct{}

func newPreciseTimer() *preciseTimer { return nil }

func (*preciseTimer) wait(time.Duration) bool { return false }

func (*preciseTimer) close() {}
