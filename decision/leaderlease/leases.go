package leaderlease

import "time"

const (
	// Term is how old the evidence of a lease may be. It covers the age that evidence has at an instance which follows others.
	Term = 4500 * time.Millisecond
	// WithdrawalTerm is how long a claimant waits for instances that can't be told. Builds with different terms must not run side
	// by side.
	WithdrawalTerm = 5 * time.Second
	// ListedTerm is how old the evidence may be that the instance is in the list. A claimant does not tell an instance that others have
	// taken off the list, so they announce it for longer than this before, see package roster.
	ListedTerm = 15 * time.Second
)

// Leases is what one instance knows of the claims of all databases. It is not safe for concurrent use. The zero value knows
// nothing and allows nothing.
type Leases struct {
	claims     map[string]Claim // by database
	listed     bool
	joinedAt   time.Duration // since when it is known to be listed
	listedAsOf time.Duration // as of when it was last known to be listed
	asOf       time.Duration // as of when the claims were the newest ones
	hasAsOf    bool
}

// ConfirmListed records that the instance was in the list of instances as of a time. After ListedTerm without such evidence it may
// have been off the list meanwhile, and enters it anew.
func (l *Leases) ConfirmListed(now, asOf time.Duration) {
	if !l.listed || now-l.listedAsOf >= ListedTerm {
		l.listed, l.joinedAt = true, now
	}
	l.listedAsOf = max(l.listedAsOf, asOf)
}

// Leave records that the instance was not in the list, whatever was read before.
func (l *Leases) Leave() {
	l.listed = false
}

// ConfirmUnlisted records that the instance was not in the list of instances as of a time.
func (l *Leases) ConfirmUnlisted(asOf time.Duration) {
	if asOf > l.listedAsOf {
		l.listed = false
	}
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
	return l.listed && now-l.listedAsOf < ListedTerm && l.hasAsOf && l.asOf >= l.joinedAt && now-l.asOf < Term
}
