package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

// Guards against retries multiplying the load while every request fails.
func TestBudgetBoundsRetriesToItsRatio(t *testing.T) {
	cfg := DefaultConfig()
	b := NewBudget(cfg, newRand())
	const requests = 10_000
	retries := 0
	for range requests {
		b.RecordRequest()
		for try := 1; ; try++ {
			if _, ok := b.Retry(try, time.Second); !ok {
				break
			}
			retries++
		}
	}
	if limit := int(requests*cfg.Ratio + cfg.Reserve); retries > limit {
		t.Errorf("%d retries for %d requests, want at most %d", retries, requests, limit)
	}
}

// Guards against a retry that would begin after the client's deadline.
func TestRetryNeedsTimeLeft(t *testing.T) {
	b := NewBudget(DefaultConfig(), newRand())
	if _, ok := b.Retry(1, 0); ok {
		t.Error("retry was allowed with no time left")
	}
}

// Guards against synchronized retries and against delays beyond the limit.
func TestBackoffIsSpreadAndBounded(t *testing.T) {
	r := newRand()
	seen := make(map[time.Duration]bool)
	for failures := 1; failures < 60; failures++ {
		d := Backoff(r, time.Millisecond, 100*time.Millisecond, failures)
		if d < 0 || d > 100*time.Millisecond {
			t.Fatalf("delay %v after %d failures is out of bounds", d, failures)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d different delays of 59, want at least 50", len(seen))
	}
}
