package quota

import (
	"math/bits"
	"time"
)

const (
	// FractionCount is the number of fractions of every account.
	FractionCount = 64
	// ShardCount is the number of shards that accounts are hashed into.
	ShardCount = 64
	// LoanTerm is how long a borrower may use lent fractions, counted from sending its request.
	// Fractions lent to a borrower that crashed stay unused for that long.
	LoanTerm = 500 * time.Millisecond
	// MaxTokenLifetime bounds the time from sending a grant request to using its tokens.
	MaxTokenLifetime = 200 * time.Millisecond
	// HoldTerm is how long a holder may use its fractions after sending a renewal. It covers a
	// store outage of an hour plus one renewal period.
	HoldTerm = 75 * time.Minute
	// RenewPeriod is the time between renewals.
	RenewPeriod = 10 * time.Minute
)

const (
	// maxClockDrift bounds the relative deviation of a clock's rate from true time.
	maxClockDrift = 0.005
	// clockMarginFactor lengthens waits that are measured by another party's clock: two clocks
	// differ by at most 1.005/0.995 < 1.0101, and the rest is a safety margin.
	clockMarginFactor = 1.02
	// lenderLoanTerm is how long a lender waits for lent fractions: the loan, and the lifetime of
	// tokens granted at its end.
	lenderLoanTerm = time.Duration(clockMarginFactor * float64(LoanTerm+MaxTokenLifetime))
	// claimExpiryTerm is how long a renewal must stay unchanged before other processes claim its
	// fractions.
	claimExpiryTerm = time.Duration(clockMarginFactor * float64(HoldTerm))
)

// Limits are an account's limits across all instances.
type Limits struct {
	Rate  float64 // statements per second
	Burst float64 // statements
}

// capacity returns the capacity of n fractions in tokens.
func (l Limits) capacity(n int) float64 {
	return max(l.Burst, 0) * float64(n) / FractionCount
}

// withClockMargin returns how long to wait by the local clock until another clock has surely
// counted d.
func withClockMargin(d time.Duration) time.Duration {
	return time.Duration(clockMarginFactor * float64(d))
}

// rate returns the refill rate of n fractions in tokens per second, reduced so that a fast clock
// stays within the limit.
func (l Limits) rate(n int) float64 {
	return l.Rate / (1 + maxClockDrift) * float64(n) / FractionCount
}

// Mask is a set of fractions, one bit each.
type Mask uint64

const allFractions = ^Mask(0)

// Count returns the number of fractions in m.
func (m Mask) Count() int {
	return bits.OnesCount64(uint64(m))
}

// lowest returns the n lowest fractions of m, or all of them if it has fewer.
func (m Mask) lowest(n int) Mask {
	var out Mask
	for ; n > 0 && m != 0; n-- {
		bit := m & -m
		out |= bit
		m &^= bit
	}
	return out
}
