// Package retry decides whether and when a failed request is retried: a budget limits retries to a
// share of the traffic, and the delay grows exponentially with full jitter, so that requests that
// failed at the same time are not retried at the same time.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config holds the limits of retries.
type Config struct {
	Ratio       float64       // retries allowed per request; 0.1 allows one for ten requests
	Reserve     float64       // retries allowed without earlier traffic, and the largest saved budget
	MaxAttempts int           // tries of one request, including the first
	BaseDelay   time.Duration // upper bound of the first delay
	MaxDelay    time.Duration // upper bound of every delay
}

// DefaultConfig allows retries for a tenth of the traffic and at most three tries of a request.
func DefaultConfig() Config {
	return Config{
		Ratio:       0.1,
		Reserve:     10,
		MaxAttempts: 3,
		BaseDelay:   5 * time.Millisecond,
		MaxDelay:    200 * time.Millisecond,
	}
}

// Budget is the retry budget of one route.
type Budget struct {
	cfg    Config
	rand   *rand.Rand
	tokens float64
}

// NewBudget returns a budget that starts with its full reserve.
func NewBudget(cfg Config, r *rand.Rand) *Budget {
	return &Budget{cfg: cfg, rand: r, tokens: cfg.Reserve}
}

// RecordRequest records the first try of a request, which adds Ratio to the budget.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Reserve)
}

// Retry reports whether a request that has failed the given number of tries may be retried within
// the remaining time, and after which delay. If so, it deducts one retry from the budget.
func (b *Budget) Retry(tries int, remaining time.Duration) (time.Duration, bool) {
	if tries >= b.cfg.MaxAttempts {
		return 0, false
	}
	delay := Backoff(b.rand, b.cfg.BaseDelay, b.cfg.MaxDelay, tries)
	if delay >= remaining || !b.Allow() {
		return 0, false
	}
	return delay, true
}

// Allow deducts one retry from the budget if possible and reports whether it did. It is for code that
// limits its tries and delays itself.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a uniformly distributed delay between 0 and min(base*2^(failures-1), limit).
func Backoff(r *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := base
	for i := 1; i < failures && bound < limit; i++ {
		bound *= 2
	}
	return time.Duration(r.Int64N(int64(min(bound, limit)) + 1))
}
