package quota

import (
	"maps"
	"math"
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
	// slotWidth groups draws, so that unused tokens can name the draw they came from.
	slotWidth = 50 * time.Millisecond
	// slotTerm is how long a draw's tokens keep their room in the bucket: their lifetime and
	// the time until the next request of their holder.
	slotTerm = 2 * MaxTokenLifetime
	// minRetryAfter keeps requesters from asking an empty pool again and again.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the advice of a pool with a very low rate.
	maxRetryAfter = 5 * time.Second
)

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
	RetryAfter time.Duration // above 0 when the pool gave less than wanted
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
	other      string // a borrower that a holder named
}

// borrowed is what one holder has lent.
type borrowed struct {
	fractions Mask
	until     time.Duration
	askedAt   time.Duration
	asked     bool
	sent      uint64 // serial of the last request
	ignored   uint64 // answers up to this serial don't count: a later one came, or the loan was handed back
}

// pool is the bucket of one account and the draws that may still return tokens.
type pool struct {
	bucket Bucket
	draws  map[uint64]float64 // slot to tokens whose fate is not known
}

// NewOwner returns an owner without loans. epoch is a random number of the process.
func NewOwner(address string, epoch uint64) *Owner {
	return &Owner{
		address: address, epoch: epoch,
		limits: map[string]Limits{}, pools: map[string]*pool{}, loans: map[string]*borrowed{},
	}
}

// SetAccounts replaces the accounts of the shard. Accounts that stay keep their tokens.
func (o *Owner) SetAccounts(now time.Duration, limits map[string]Limits) {
	o.settle(now)
	pools := make(map[string]*pool, len(limits))
	for account := range limits {
		pools[account] = o.pools[account]
		if pools[account] == nil {
			pools[account] = &pool{bucket: Bucket{at: now}, draws: map[uint64]float64{}}
		}
	}
	o.limits, o.pools = limits, pools
	o.configure(now)
}

// SetOwning tells whether this instance is the shard's owner by its own list, and which
// instances hold fractions.
func (o *Owner) SetOwning(now time.Duration, owning bool, holders []string) {
	o.settle(now)
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
		p.advance(now)
		p.bucket.Configure(now, limits.rate(n), limits.capacity(n))
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

// HandBacks ends the loans that are not wanted any more and returns the messages that say so.
// The pool does not use these fractions from this call on.
func (o *Owner) HandBacks(now time.Duration) []HandBackTo {
	o.settle(now)
	if o.active(now) || o.fractions() == 0 {
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
	p, limits := o.pools[d.Account], o.limits[d.Account]
	if p == nil {
		return Grant{Account: d.Account, NoPool: true}
	}
	p.advance(now)
	o.settleDraws(p, d.Settled)
	g := Grant{Account: d.Account, Slot: slotAt(now), Lifetime: limits.Lifetime()}
	n := o.fractions().Count()
	if n == 0 {
		g.NoPool, g.Owner = true, o.other
		return g
	}
	g.Tokens = max(0, min(d.Want, int(math.Floor(p.bucket.Level()))))
	p.draw(g.Slot, float64(g.Tokens))
	if g.Tokens < d.Want {
		g.RetryAfter = refillTime(1-p.bucket.Level(), limits.rate(n))
	}
	return g
}

func slotAt(now time.Duration) uint64 {
	return uint64(now / slotWidth)
}

func (p *pool) draw(slot uint64, n float64) {
	if n > 0 && p.bucket.Take(n) {
		p.bucket.Reserve(n)
		p.draws[slot] += n
	}
}

// advance refills the pool up to now. Draws that are too old for their tokens to return give
// their room free at the time at which they became too old.
func (p *pool) advance(now time.Duration) {
	for _, slot := range slices.Sorted(maps.Keys(p.draws)) {
		end := time.Duration(slot+1)*slotWidth + slotTerm
		if end > now {
			break
		}
		p.bucket.Advance(end)
		p.bucket.Reserve(-p.draws[slot])
		delete(p.draws, slot)
	}
	p.bucket.Advance(now)
}

// settleDraws frees the room of tokens whose fate is known and takes unused ones back.
func (o *Owner) settleDraws(p *pool, settled []Settled) {
	for _, s := range settled {
		n := float64(s.Used + s.Unused)
		if s.Epoch != o.epoch || s.Used < 0 || s.Unused < 0 || p.draws[s.Slot] < n {
			continue
		}
		p.draws[s.Slot] -= n
		p.bucket.Reserve(-n)
		p.bucket.Add(float64(s.Unused))
	}
}

// refillTime returns how long a bucket takes to gain n tokens.
func refillTime(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(n/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
