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
	// LoanTerm is the time for which a borrower uses lent fractions, from sending its request. The
	// fractions of a borrower that died are idle for that long.
	LoanTerm = 500 * time.Millisecond
	// MaxTokenLifetime bounds the time from sending a grant request to using its tokens.
	MaxTokenLifetime = 200 * time.Millisecond
	// HoldTerm is the time for which a holder uses its fractions after sending a renewal. It
	// outlasts a store outage of an hour plus one renewal period.
	HoldTerm = 75 * time.Minute
	// RenewPeriod is the time between renewals.
	RenewPeriod = 10 * time.Minute
)

const (
	// maxClockDrift is how far a clock's rate may be from true time.
	maxClockDrift = 0.005
	// clockMarginFactor lengthens the waits for another party's clock: 1.005/0.995 is below 1.0101,
	// and the rest is a safety margin.
	clockMarginFactor = 1.02
	// lenderLoanTerm is how long a lender waits for lent fractions: the loan, and the lifetime of
	// tokens drawn at its end.
	lenderLoanTerm = time.Duration(clockMarginFactor * float64(LoanTerm+MaxTokenLifetime))
	// claimExpiryTerm is how long a renewal must stay unchanged before others claim its fractions.
	claimExpiryTerm = time.Duration(clockMarginFactor * float64(HoldTerm))
)

// Limits are an account's limits over all instances.
type Limits struct {
	Rate  float64 // statements per second
	Burst float64 // statements
}

// capacity returns the capacity of n fractions in tokens.
func (l Limits) capacity(n int) float64 {
	return max(l.Burst, 0) * float64(n) / FractionCount
}

// withClockMargin returns the time that another party's clock may need to count d, by the own clock.
func withClockMargin(d time.Duration) time.Duration {
	return time.Duration(clockMarginFactor * float64(d))
}

// rate returns the refill rate of n fractions in tokens per second, slow enough for a clock
// that runs fast.
func (l Limits) rate(n int) float64 {
	return l.Rate / (1 + maxClockDrift) * float64(n) / FractionCount
}

// Mask is a set of fractions, one bit each.
type Mask uint64

// allFractions holds every fraction.
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
