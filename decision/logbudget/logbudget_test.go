package logbudget

import (
	"testing"
	"time"
)

// Guards against a log that grows with the load, and against lines that are left out without a word.
func TestBudget(t *testing.T) {
	b := Budget{PerSecond: 10, Burst: 5}
	written, told := 0, uint64(0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if ok, leftOut := b.Allow(now); ok {
			written++
			told += leftOut
		}
	}
	if written < 100 || written > 105 {
		t.Errorf("%d lines in 10 s", written)
	}
	if told < 9_000 || told+uint64(written) > 10_000 {
		t.Errorf("%d lines written, %d told to be left out of 10000", written, told)
	}
	if ok, _ := (&Budget{}).Allow(0); ok {
		t.Error("a line without a budget")
	}
}
