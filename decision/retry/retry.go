// Package retry decides whether and when a failed request is tried again: a budget bounds retries
// to a share of the traffic, and the delay grows exponentially with full jitter so that callers
// that failed together don't return together.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config holds the limits of retries.
type Config struct {
	Ratio       float64       // retries for each request, 0.1 allows one in ten
	Reserve     float64       // retries that are allowed without earlier traffic
	MaxAttempts int           // tries of one request, the first included
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

// NewBudget returns a budget that holds its reserve.
func NewBudget(cfg Config, r *rand.Rand) *Budget {
	return &Budget{cfg: cfg, rand: r, tokens: cfg.Reserve}
}

// RecordRequest counts a first try, which earns a part of a retry.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Reserve)
}

// Retry reports whether a request that has failed the given number of tries may be tried again
// within left, and after which delay. It spends one retry when it allows one.
func (b *Budget) Retry(tries int, left time.Duration) (time.Duration, bool) {
	if tries >= b.cfg.MaxAttempts {
		return 0, false
	}
	delay := Backoff(b.rand, b.cfg.BaseDelay, b.cfg.MaxDelay, tries)
	if delay >= left || !b.Allow() {
		return 0, false
	}
	return delay, true
}

// Allow spends one retry, for callers that bound their tries and delays themselves.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a delay between 0 and min(base*2^(failures-1), limit), evenly distributed.
func Backoff(r *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := base
	for i := 1; i < failures && bound < limit; i++ {
		bound *= 2
	}
	return time.Duration(r.Int64N(int64(min(bound, limit)) + 1))
}
