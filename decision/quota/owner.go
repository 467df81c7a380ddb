package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// idleTerm is how long an owner keeps borrowing after the last grant request.
	idleTerm = 3 * time.Second
	// renewLoanBefore is how long before its end a loan is renewed.
	renewLoanBefore = LoanTerm / 2
	// askAgain is the time between requests to a holder that is not known to lend.
	askAgain = 200 * time.Millisecond
	// leastLifetime is the shortest lifetime that tokens are granted with; a shorter one may be over
	// before they arrive.
	leastLifetime = 50 * time.Millisecond
	// minRetryAfter keeps requesters from asking an empty pool again and again.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the advice of a pool with a very low rate.
	maxRetryAfter = 5 * time.Second
	// startSpread is how much later than this owner the holders may have started, where all have lost power together.
	startSpread = 200 * time.Millisecond
	// lendTime is the time within which holders that have not started anew answer a new owner, from other regions too.
	lendTime = 250 * time.Millisecond
)

const (
	// minOwners is the number of owners of a small fleet. Each borrows from each holder four times a second.
	minOwners = 8
	// instancesPerOwner is how many instances' demands one owner meets in a large fleet.
	instancesPerOwner = 10
)

// OwnerCount returns how many of a number of live instances own the pools. More than ShardCount would own nothing.
func OwnerCount(instances int) int {
	return min(max(minOwners, instances/instancesPerOwner), ShardCount)
}

// Demand asks for tokens of one account and accounts for earlier ones.
type Demand struct {
	Account string
	Want    int
	Settled []Settled
}

// Settled tells what became of tokens of an earlier draw.
type Settled struct {
	Epoch  uint64 // of the owner that granted them
	Slot   uint64
	Used   int
	Unused int // never used; they return to the pool
}

// Grant answers a Demand.
type Grant struct {
	Account    string
	Tokens     int
	Slot       uint64
	Lifetime   time.Duration // from sending the request
	RetryAfter time.Duration // above 0 when the pool gave less than wanted; with NoPool when it expects fractions
	Partial    bool          // fractions are missing in the pool, so that the account may have more tokens
	NoPool     bool          // this owner has no fractions of the account
	Owner      string        // with NoPool: another owner to ask, "" if none is known
}

// LoanAsk is a LoanRequest to send to a holder.
type LoanAsk struct {
	Holder  string
	Request LoanRequest
}

// HandBackTo is a HandBack to send to a holder.
type HandBackTo struct {
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
	loans   map[string]*borrowed
	serial  uint64

	owning     bool          // this instance is the shard's owner by its own list
	lastDemand time.Duration // of the last grant request
	demanded   bool
	started    time.Duration // when the list of instances was first known
	begun      bool          // started is set
	other      string        // a borrower that a holder named

	tokensUntil time.Duration // every token granted has ended by then
	closing     bool          // the fractions are handed back at tokensUntil
}

// borrowed is what one holder has lent.
type borrowed struct {
	fractions Mask
	until     time.Duration
	askedAt   time.Duration
	asked     bool
	sent      uint64 // serial of the last request
	ignored   uint64 // answers up to this serial don't count: a later one came, or the loan was handed back
	empty     bool   // the holder's last answer was that it has nothing to lend
}

// NewOwner returns an owner without loans. epoch is a random number of the process.
func NewOwner(address string, epoch uint64) *Owner {
	return &Owner{
		address: address, epoch: epoch,
		limits: map[string]Limits{}, pools: map[string]*pool{}, loans: map[string]*borrowed{},
	}
}

// SetAccounts replaces the accounts of the shard. Accounts that stay keep their tokens. The pool
// of a removed account stays while tokens of it may be outstanding, in case the account returns.
func (o *Owner) SetAccounts(now time.Duration, limits map[string]Limits) {
	o.settle(now)
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
	o.limits, o.pools = limits, pools
	o.configure(now)
}

// SetOwning tells whether this instance is the shard's owner by its own list, and which
// instances hold fractions.
func (o *Owner) SetOwning(now time.Duration, owning bool, holders []string) {
	o.settle(now)
	if !o.begun {
		o.started, o.begun = now, true
	}
	o.owning, o.holders = owning, holders
	for holder, b := range o.loans {
		// A late answer to a request must still find the serials that don't count.
		if b.fractions == 0 && now-b.askedAt > LoanTerm && !slices.Contains(holders, holder) {
			delete(o.loans, holder)
		}
	}
}

// active reports whether the owner wants to have loans.
func (o *Owner) active(now time.Duration) bool {
	return o.owning && o.demanded && now-o.lastDemand < idleTerm
}

// settle ends loans whose time is over, in the order in which they ended.
func (o *Owner) settle(now time.Duration) {
	for {
		ended := o.firstEnded(now)
		if ended == nil {
			return
		}
		ended.fractions = 0
		o.configure(ended.until)
	}
}

func (o *Owner) firstEnded(now time.Duration) *borrowed {
	var first *borrowed
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

// Asks returns the loan requests to send now.
func (o *Owner) Asks(now time.Duration) []LoanAsk {
	o.settle(now)
	if !o.active(now) {
		return nil
	}
	var asks []LoanAsk
	for _, holder := range o.holders {
		b := o.loan(holder)
		if !b.due(now) {
			continue
		}
		o.serial++
		b.asked, b.askedAt, b.sent = true, now, o.serial
		asks = append(asks, LoanAsk{holder, LoanRequest{Owner: o.address, Epoch: o.epoch, Serial: o.serial}})
	}
	return asks
}

func (o *Owner) loan(holder string) *borrowed {
	b := o.loans[holder]
	if b == nil {
		b = &borrowed{}
		o.loans[holder] = b
	}
	return b
}

func (b *borrowed) due(now time.Duration) bool {
	if b.asked && now-b.askedAt < askAgain {
		return false
	}
	return b.fractions == 0 || b.until-now < renewLoanBefore
}

// Borrowed takes the answer to the request with the given serial that was sent at sentAt.
func (o *Owner) Borrowed(now, sentAt time.Duration, holder string, serial uint64, loan Loan) {
	o.settle(now)
	b := o.loan(holder)
	b.empty = loan.Fractions == 0 && loan.Borrower == ""
	if loan.Fractions == 0 {
		o.other = loan.Borrower
	}
	until := sentAt + LoanTerm
	if serial <= b.ignored || loan.Fractions == 0 || until <= now {
		return
	}
	o.other = ""
	b.fractions, b.until, b.ignored = loan.Fractions, until, serial
	o.configure(now)
	for account, n := range loan.Tokens {
		if p := o.pools[account]; p != nil && n > 0 {
			p.bucket.Add(n)
		}
	}
}

// HandBacks ends the loans that are not wanted any more, once no token drawn from them can be
// used, and returns the messages that say so. The pool does not use these fractions after that.
func (o *Owner) HandBacks(now time.Duration) []HandBackTo {
	o.settle(now)
	o.closing = !o.active(now) && o.fractions() != 0
	if !o.closing || now < o.tokensUntil {
		return nil
	}
	var out []HandBackTo
	for _, holder := range slices.Sorted(maps.Keys(o.loans)) {
		b := o.loans[holder]
		if b.fractions == 0 {
			continue
		}
		tokens := o.remove(now, b)
		out = append(out, HandBackTo{holder, HandBack{Owner: o.address, Epoch: o.epoch, Serial: b.sent, Tokens: tokens}})
	}
	return out
}

// remove takes a loan's fractions and their part of the tokens out of the pool.
func (o *Owner) remove(now time.Duration, b *borrowed) map[string]float64 {
	tokens := make(map[string]float64, len(o.pools))
	part := float64(b.fractions.Count()) / float64(o.fractions().Count())
	for account, p := range o.pools {
		p.advance(now)
		if n := p.bucket.Level() * part; n > 0 && p.bucket.Take(n) {
			tokens[account] = n
		}
	}
	b.fractions, b.ignored = 0, b.sent
	o.configure(now)
	return tokens
}

// Grant answers one demand from the pool.
func (o *Owner) Grant(now time.Duration, d Demand) Grant {
	o.settle(now)
	if d.Want > 0 {
		o.lastDemand, o.demanded = now, true
	}
	o.closing = o.closing && !o.active(now)
	limits, known := o.limits[d.Account]
	if !known {
		return Grant{Account: d.Account, NoPool: true}
	}
	p := o.pools[d.Account]
	p.advance(now)
	for _, s := range d.Settled {
		if s.Epoch == o.epoch {
			p.settle(s)
		}
	}
	n, lifetime := o.fractions().Count(), o.lifetime(now)
	if n == 0 || lifetime < leastLifetime {
		return Grant{Account: d.Account, NoPool: true, Owner: o.other, RetryAfter: o.rest(now)}
	}
	g := Grant{Account: d.Account, Lifetime: lifetime, Partial: n < FractionCount}
	g.Tokens, g.Slot = p.draw(now, d.Want)
	if g.Tokens > 0 {
		o.tokensUntil = max(o.tokensUntil, now+lengthened(lifetime))
	}
	if g.Tokens < d.Want {
		g.RetryAfter = refillTime(1-p.bucket.Level(), limits.rate(n))
	}
	return g
}

// rest returns how long an owner that has started lately will probably get no fractions: after a common loss of power,
// those of all holders rest until loans of their former processes have ended. Holders that have not started anew lend
// within lendTime; while none is known, they are about to claim fractions that need no rest.
func (o *Owner) rest(now time.Duration) time.Duration {
	age := now - o.started
	if !o.begun || !o.owning || o.other != "" || age < lendTime || !o.refused() {
		return 0
	}
	return max(0, promiseTerm+startSpread-age)
}

// refused reports whether a holder has answered that it has nothing to lend.
func (o *Owner) refused() bool {
	return slices.ContainsFunc(o.holders, func(holder string) bool { return o.loans[holder] != nil && o.loans[holder].empty })
}

// lifetime returns the lifetime of tokens granted now. Those granted while the fractions are
// about to be handed back end with the ones granted before.
func (o *Owner) lifetime(now time.Duration) time.Duration {
	if !o.closing {
		return MaxTokenLifetime
	}
	left := time.Duration(float64(o.tokensUntil-now) / waitFactor)
	return min(MaxTokenLifetime, left)
}

// refillTime returns how long a bucket takes to gain n tokens.
func refillTime(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(n/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
