package coldstart

import (
	"math"
	"time"
)

// MaxRank is the rank from which an instance sends nothing to a cold server.
const MaxRank = 6

// Tolerance is how far the statements in one second may exceed the rate of a cold server.
type Tolerance struct {
	Overage float64 // factor of the rate
	Slack   float64 // statements
}

// Limit returns how many statements a cold server may get in any second, for a rate in statements per second. Without a
// tolerance the rate itself is the limit.
func (t Tolerance) Limit(rate float64) float64 {
	if t == (Tolerance{}) {
		return rate
	}
	return rate*t.Overage + t.Slack
}

// Allowance returns the statements per second that one instance may send under a limit. rank is its place among the
// candidates for the lender, 0 for the first; reached is the fraction of the listed instances that it reaches.
func Allowance(limit float64, rank int, reached float64) float64 {
	if rank >= MaxRank || !(limit > 0) {
		return 0
	}
	return limit / math.Exp2(float64(rank+1)) * min(max(reached, 0), 1)
}

// window returns the statements that may be sent in a sliding window, and its length. n is 0 if none may be sent ever.
func window(allowance float64) (n int, length time.Duration) {
	switch {
	case allowance >= 1:
		return int(allowance), fullWindow
	case allowance > 0:
		seconds := min(1/allowance, maxInterval.Seconds())
		return 1, time.Duration(seconds*float64(time.Second)) + windowGuard
	}
	return 0, fullWindow
}
