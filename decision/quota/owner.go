package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// idleTerm is how long an owner keeps borrowing after the last grant request.
	idleTerm = 3 * time.Second
	// loanRenewalLead is how long before its end a loan is renewed.
	loanRenewalLead = LoanTerm / 2
	// loanRequestInterval is the minimum time between loan requests to the same holder.
	loanRequestInterval = 200 * time.Millisecond
	// minTokenLifetime is the shortest lifetime of granted tokens; tokens with a shorter one could
	// expire before they arrive.
	minTokenLifetime = 50 * time.Millisecond
	// minRetryAfter limits how often requesters ask an empty pool again.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the retry delay advised by a pool with a very low rate.
	maxRetryAfter = 5 * time.Second
	// holderStartSpread is how much later than this owner the holders may have started after a
	// common power loss.
	holderStartSpread = 200 * time.Millisecond
	// emptyBucketTerm is how long after its start an owner's buckets, which begin empty, may lack the tokens of an account that
	// is within its rate.
	emptyBucketTerm = 2 * time.Second
	// toleratedSlot is the slot of tokens that are granted by the tolerance and don't return to a pool. Draws begin with 1.
	toleratedSlot = 0
	// lendResponseTime is the time within which holders that have not restarted answer a new owner,
	// including those in other regions.
	lendResponseTime = 250 * time.Millisecond
)

const (
	// minOwners is the number of owners in a small fleet. Each owner borrows from each holder four
	// times a second.
	minOwners = 8
	// instancesPerOwner is how many instances one owner serves in a large fleet.
	instancesPerOwner = 10
)

// OwnerCount returns how many of the given number of live instances own pools. Owners beyond
// ShardCount would own no shard.
func OwnerCount(instances int) int {
	return min(max(minOwners, instances/instancesPerOwner), ShardCount)
}

// Demand asks for tokens of one account and reports on tokens granted earlier.
type Demand struct {
	Account string
	Want    int
	Settled []SettledTokens
}

// SettledTokens reports how many tokens of an earlier draw were used and unused.
type SettledTokens struct {
	Epoch  uint64 // of the owner that granted them
	Slot   uint64
	Used   int
	Unused int // expired without use; they return to the pool
}

// Grant answers a Demand.
type Grant struct {
	Account    string
	Tokens     int
	Slot       uint64
	Lifetime   time.Duration // from sending the request
	RetryAfter time.Duration // above 0 if fewer tokens than wanted were granted; with NoPool: time until fractions are expected
	Partial    bool          // the pool lacks fractions, so the account may have more tokens
	NoPool     bool          // this instance has no fractions of the account in its pool
	Owner      string        // with NoPool: another owner to ask, "" if none is known
}

// OutgoingLoanRequest is a LoanRequest to send to a holder.
type OutgoingLoanRequest struct {
	Holder  string
	Request LoanRequest
}

// OutgoingHandBack is a HandBack to send to a holder.
type OutgoingHandBack struct {
	Holder   string
	HandBack HandBack
}

// Owner pools lent fractions of one shard's accounts and grants tokens from them.
type Owner struct {
	address string
	epoch   uint64

	limits  map[string]Limits
	pools   map[string]*pool
	holders []string
	loans   map[string]*borrowedLoan
	serial  uint64

	isOwner       bool          // this instance owns the shard according to its own list
	lastDemand    time.Duration // of the last grant request
	hasDemand     bool
	listKnownAt   time.Duration // when the list of instances was first known
	listKnown     bool          // listKnownAt is set
	otherBorrower string        // borrower named by a holder that has lent its fractions

	tolerance OwnerTolerance
	budgets   map[string]*ToleranceBudget // by account

	tokensExpireAt time.Duration // every granted token has expired by then
	handingBack    bool          // the fractions will be handed back at tokensExpireAt
}

// borrowedLoan is what one holder has lent.
type borrowedLoan struct {
	fractions      Mask
	until          time.Duration
	requestedAt    time.Duration
	requested      bool
	lastSerial     uint64 // serial of the last loan request
	ignoredThrough uint64 // answers up to this serial are ignored: a later one arrived, or the loan was handed back
	nothingToLend  bool   // the holder's last answer offered no fractions and named no borrower
}

// NewOwner returns an owner without loans. epoch is a random number of the process.
func NewOwner(address string, epoch uint64) *Owner {
	return &Owner{
		address: address, epoch: epoch,
		limits: map[string]Limits{}, pools: map[string]*pool{}, loans: map[string]*borrowedLoan{}, budgets: map[string]*ToleranceBudget{},
	}
}

// OwnerTolerance is what an owner may grant beyond the limits.
type OwnerTolerance struct {
	Tolerance
	Rank int // of this instance among the owners of the shard, if all listed instances lived
}

// SetTolerance sets what the owner may grant beyond the limits.
func (o *Owner) SetTolerance(t OwnerTolerance) {
	o.tolerance = t
}

// SetAccounts replaces the accounts of the shard. Accounts that remain keep their tokens. The pool
// of a removed account is kept while its tokens may be outstanding, in case the account returns.
func (o *Owner) SetAccounts(now time.Duration, limits map[string]Limits) {
	o.expireLoans(now)
	pools := make(map[string]*pool, len(limits))
	for account, p := range o.pools {
		p.advance(now)
		if len(p.draws) > 0 {
			pools[account] = p
		}
	}
	for account := range limits {
		pools[account] = o.pools[account]
		if pools[account] == nil {
			pools[account] = &pool{bucket: Bucket{at: now}}
		}
	}
	maps.DeleteFunc(o.budgets, func(account string, _ *ToleranceBudget) bool { _, known := limits[account]; return !known })
	o.limits, o.pools = limits, pools
	o.configure(now)
}

// SetOwnership sets whether this instance is the shard's owner according to its own list, and which
// instances hold fractions.
func (o *Owner) SetOwnership(now time.Duration, owning bool, holders []string) {
	o.expireLoans(now)
	if !o.listKnown {
		o.listKnownAt, o.listKnown = now, true
	}
	o.isOwner, o.holders = owning, holders
	for holder, b := range o.loans {
		// ignoredThrough must be kept while a late answer could still take effect.
		if b.fractions == 0 && now-b.requestedAt > LoanTerm && !slices.Contains(holders, holder) {
			delete(o.loans, holder)
		}
	}
}

// active reports whether the owner should hold loans.
func (o *Owner) active(now time.Duration) bool {
	return o.isOwner && o.hasDemand && now-o.lastDemand < idleTerm
}

// expireLoans ends expired loans in the order of their expiry.
func (o *Owner) expireLoans(now time.Duration) {
	for {
		ended := o.firstExpired(now)
		if ended == nil {
			return
		}
		ended.fractions = 0
		o.configure(ended.until)
	}
}

func (o *Owner) firstExpired(now time.Duration) *borrowedLoan {
	var first *borrowedLoan
	for _, b := range o.loans {
		if b.fractions != 0 && b.until <= now && (first == nil || b.until < first.until) {
			first = b
		}
	}
	return first
}

// fractions returns all fractions in the pool.
func (o *Owner) fractions() Mask {
	var all Mask
	for _, b := range o.loans {
		all |= b.fractions
	}
	return all
}

func (o *Owner) configure(now time.Duration) {
	n := o.fractions().Count()
	for account, p := range o.pools {
		limits := o.limits[account]
		p.configure(now, limits.rate(n), limits.capacity(n))
	}
}

// LoanRequests returns the loan requests to send now.
func (o *Owner) LoanRequests(now time.Duration) []OutgoingLoanRequest {
	o.expireLoans(now)
	if !o.active(now) {
		return nil
	}
	var requests []OutgoingLoanRequest
	for _, holder := range o.holders {
		b := o.loan(holder)
		if !b.due(now) {
			continue
		}
		o.serial++
		b.requested, b.requestedAt, b.lastSerial = true, now, o.serial
		requests = append(requests, OutgoingLoanRequest{holder, LoanRequest{Owner: o.address, Epoch: o.epoch, Serial: o.serial}})
	}
	return requests
}

func (o *Owner) loan(holder string) *borrowedLoan {
	b := o.loans[holder]
	if b == nil {
		b = &borrowedLoan{}
		o.loans[holder] = b
	}
	return b
}

func (b *borrowedLoan) due(now time.Duration) bool {
	if b.requested && now-b.requestedAt < loanRequestInterval {
		return false
	}
	return b.fractions == 0 || b.until-now < loanRenewalLead
}

// HandleLoan processes the answer to the request with the given serial that was sent at sentAt.
func (o *Owner) HandleLoan(now, sentAt time.Duration, holder string, serial uint64, loan Loan) {
	o.expireLoans(now)
	b := o.loan(holder)
	b.nothingToLend = loan.Fractions == 0 && loan.Borrower == ""
	if loan.Fractions == 0 {
		o.otherBorrower = loan.Borrower
	}
	until := sentAt + LoanTerm
	if serial <= b.ignoredThrough || loan.Fractions == 0 || until <= now {
		return
	}
	o.otherBorrower = ""
	b.fractions, b.until, b.ignoredThrough = loan.Fractions, until, serial
	o.configure(now)
	for account, n := range loan.Tokens {
		if p := o.pools[account]; p != nil && n > 0 {
			p.bucket.Add(n)
		}
	}
}

// HandBacks ends the loans that are no longer needed, once no token drawn from them can be used,
// and returns the messages that hand them back. The pool does not use these fractions afterwards.
func (o *Owner) HandBacks(now time.Duration) []OutgoingHandBack {
	o.expireLoans(now)
	o.handingBack = !o.active(now) && o.fractions() != 0
	if !o.handingBack || now < o.tokensExpireAt {
		return nil
	}
	var out []OutgoingHandBack
	for _, holder := range slices.Sorted(maps.Keys(o.loans)) {
		b := o.loans[holder]
		if b.fractions == 0 {
			continue
		}
		tokens := o.remove(now, b)
		out = append(out, OutgoingHandBack{holder, HandBack{Owner: o.address, Epoch: o.epoch, Serial: b.lastSerial, Tokens: tokens}})
	}
	return out
}

// remove removes a loan's fractions and their share of the tokens from the pool, and returns these
// tokens.
func (o *Owner) remove(now time.Duration, b *borrowedLoan) map[string]float64 {
	tokens := make(map[string]float64, len(o.pools))
	part := float64(b.fractions.Count()) / float64(o.fractions().Count())
	for account, p := range o.pools {
		p.advance(now)
		if n := p.bucket.Level() * part; n > 0 && p.bucket.Take(n) {
			tokens[account] = n
		}
	}
	b.fractions, b.ignoredThrough = 0, b.lastSerial
	o.configure(now)
	return tokens
}

// Grant grants tokens for one demand from the pool. If the pool has none because instances were lost or have started, it grants
// what is left of the tolerance.
func (o *Owner) Grant(now time.Duration, d Demand) Grant {
	g := o.grantFromPool(now, d)
	if g.Tokens > 0 || !o.isOwner || !g.NoPool && !g.Partial && now-o.listKnownAt >= emptyBucketTerm {
		return g
	}
	if n := o.tolerate(now, d); n > 0 {
		return Grant{Account: d.Account, Tokens: n, Slot: toleratedSlot, Lifetime: MaxTokenLifetime, Partial: true}
	}
	return g
}

// tolerate returns how many of the wanted tokens the tolerance allows.
func (o *Owner) tolerate(now time.Duration, d Demand) int {
	limits, known := o.limits[d.Account]
	if !known {
		return 0
	}
	budget := o.budgets[d.Account]
	if budget == nil {
		budget = &ToleranceBudget{}
		o.budgets[d.Account] = budget
	}
	t := o.tolerance
	return budget.Take(now, t.Window, t.ownerShare(limits, t.Rank), d.Want)
}

// grantFromPool grants tokens for one demand from the pool.
func (o *Owner) grantFromPool(now time.Duration, d Demand) Grant {
	o.expireLoans(now)
	if d.Want > 0 {
		o.lastDemand, o.hasDemand = now, true
	}
	o.handingBack = o.handingBack && !o.active(now)
	limits, known := o.limits[d.Account]
	if !known {
		return Grant{Account: d.Account, NoPool: true}
	}
	p := o.pools[d.Account]
	p.advance(now)
	for _, s := range d.Settled {
		if s.Epoch == o.epoch {
			p.applySettled(s)
		}
	}
	n, lifetime := o.fractions().Count(), o.lifetime(now)
	if n == 0 || lifetime < minTokenLifetime {
		return Grant{Account: d.Account, NoPool: true, Owner: o.otherBorrower, RetryAfter: o.noPoolFor(now)}
	}
	g := Grant{Account: d.Account, Lifetime: lifetime, Partial: n < FractionCount}
	g.Tokens, g.Slot = p.draw(now, d.Want)
	if g.Tokens > 0 {
		o.tokensExpireAt = max(o.tokensExpireAt, now+withClockMargin(lifetime))
	}
	if g.Tokens < d.Want {
		g.RetryAfter = refillTime(1-p.bucket.Level(), limits.rate(n))
	}
	return g
}

// noPoolFor estimates how long a recently started owner will have no fractions. After a common
// power loss, the fractions of all holders are quarantined until loans of their earlier processes
// have ended. Holders that have not restarted lend within lendResponseTime. While no holder is
// known, instances are about to claim fractions that need no quarantine.
func (o *Owner) noPoolFor(now time.Duration) time.Duration {
	age := now - o.listKnownAt
	if !o.listKnown || !o.isOwner || o.otherBorrower != "" || age < lendResponseTime || !o.anyHolderEmpty() {
		return 0
	}
	return max(0, lenderLoanTerm+holderStartSpread-age)
}

// anyHolderEmpty reports whether a holder answered that it has nothing to lend.
func (o *Owner) anyHolderEmpty() bool {
	return slices.ContainsFunc(o.holders, func(holder string) bool { return o.loans[holder] != nil && o.loans[holder].nothingToLend })
}

// lifetime returns the lifetime of tokens granted now. If the fractions are about to be handed
// back, new tokens expire no later than those granted before.
func (o *Owner) lifetime(now time.Duration) time.Duration {
	if !o.handingBack {
		return MaxTokenLifetime
	}
	left := time.Duration(float64(o.tokensExpireAt-now) / clockMarginFactor)
	return min(MaxTokenLifetime, left)
}

// refillTime returns how long a bucket takes to gain n tokens, between minRetryAfter and
// maxRetryAfter.
func refillTime(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(n/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
