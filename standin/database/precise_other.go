//go:build !linux

package database

import "time"

// preciseTimer stands for the timer that only Linux has.
type preciseTimer struct{}

func newPreciseTimer() *preciseTimer { return nil }

func (*preciseTimer) wait(time.Duration) bool { return false }

func (*preciseTimer) close() {}
