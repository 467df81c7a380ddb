//go:build !linux

package database

import "time"

// alarm stands for the timer that only Linux has.
type alarm struct{}

func newAlarm() *alarm { return nil }

func (*alarm) wait(time.Duration) bool { return false }

func (*alarm) close() {}
