package leaderlease

import "time"

const (
	// Term is how old the evidence of a lease may be. It covers the age that evidence has at an instance which follows others.
	Term = 4500 * time.Millisecond
	// WithdrawalTerm is how long a claimant waits for instances that can't be told. Builds with different terms must not run side
	// by side.
	WithdrawalTerm = 5 * time.Second
)

// Leases is what one instance knows of the claims of all databases. It is not safe for concurrent use. The zero value knows
// nothing and allows nothing.
type Leases struct {
	claims   map[string]Claim // by database
	joined   bool
	joinedAt time.Duration
	asOf     time.Duration // as of when the claims were the newest ones
	hasAsOf  bool
}

// Join records when the instance entered the list of instances.
func (l *Leases) Join(now time.Duration) {
	l.joined, l.joinedAt = true, now
}

// Adopt records a claim that was read from the store or told by its claimant. It reports whether it is newer than the one known.
func (l *Leases) Adopt(database string, c Claim) bool {
	if c.Version <= l.claims[database].Version {
		return false
	}
	if l.claims == nil {
		l.claims = map[string]Claim{}
	}
	l.claims[database] = c
	return true
}

// Confirm records that no newer claims existed in the store as of a time than those that were adopted.
func (l *Leases) Confirm(asOf time.Duration) {
	if !l.hasAsOf || asOf > l.asOf {
		l.asOf, l.hasAsOf = asOf, true
	}
}

// Claim returns the newest known claim of a database.
func (l *Leases) Claim(database string) Claim {
	return l.claims[database]
}

// Valid reports whether the evidence is recent enough to use a server that the claims allow.
func (l *Leases) Valid(now time.Duration) bool {
	return l.joined && l.hasAsOf && l.asOf >= l.joinedAt && now-l.asOf < Term
}
