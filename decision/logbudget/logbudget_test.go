package logbudget

import (
	"testing"
	"time"
)

// Guards against a log that grows with the load, and against suppressed lines that are not reported.
func TestBudget(t *testing.T) {
	b := Budget{PerSecond: 10, Burst: 5}
	written, reported := 0, uint64(0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if ok, suppressed := b.Allow(now); ok {
			written++
			reported += suppressed
		}
	}
	if written < 100 || written > 105 {
		t.Errorf("%d lines in 10 s, want 100 to 105", written)
	}
	if reported < 9_000 || reported+uint64(written) > 10_000 {
		t.Errorf("%d lines written and %d reported as suppressed, of 10000", written, reported)
	}
	if ok, _ := (&Budget{}).Allow(0); ok {
		t.Error("want no line without a budget")
	}
}
