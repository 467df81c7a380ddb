package directory

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter draws random delays. It is safe for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// upTo returns a random delay from 0 to limit.
func (j *jitter) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.rand.Int64N(int64(limit) + 1))
}

// backoff returns the exponential backoff with full jitter after a number of consecutive failures:
// a random delay up to base doubled with each failure after the first, capped at limit.
func (j *jitter) backoff(failures int, base, limit time.Duration) time.Duration {
	ceiling := base
	for i := 1; i < failures && ceiling < limit; i++ {
		ceiling *= 2
	}
	return j.upTo(min(ceiling, limit))
}
