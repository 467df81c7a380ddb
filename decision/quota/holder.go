package quota

import (
	"slices"
	"time"
)

// LoanRequest asks a holder to lend its fractions of one shard.
type LoanRequest struct {
	Owner  string // peer address of the borrower
	Epoch  uint64 // random number of the borrower's process
	Serial uint64 // grows with every request of this borrower for this shard
}

// Loan answers a LoanRequest.
type Loan struct {
	Fractions Mask
	Tokens    map[string]float64 // in the buckets of these fractions, per account
	Borrower  string             // if Fractions is empty: the current borrower, "" if there is none
}

// HandBack ends a loan early. Its sender ignores answers to requests up to Serial.
type HandBack struct {
	Owner  string
	Epoch  uint64
	Serial uint64
	Tokens map[string]float64
}

// Holder manages this process's fractions of the accounts of one shard. It admits statements from
// those that are not lent.
type Holder struct {
	limits  map[string]Limits
	buckets map[string]*Bucket
	usable  Mask
	until   time.Duration // when the right to use them ends
	loan    openLoan
}

// openLoan is what one borrower may be using. A renewal can cover fewer fractions than the loan
// before it, so each part has its own end.
type openLoan struct {
	owner  string
	epoch  uint64
	serial uint64
	parts  []loanPart
}

// loanPart is a set of fractions lent until a time.
type loanPart struct {
	fractions Mask
	until     time.Duration
}

// fractions returns all fractions that the borrower may be using.
func (l *openLoan) fractions() Mask {
	var all Mask
	for _, part := range l.parts {
		all |= part.fractions
	}
	return all
}

// extend sets the end of the loan for the given fractions.
func (l *openLoan) extend(fractions Mask, until time.Duration) {
	for i := range l.parts {
		l.parts[i].fractions &^= fractions
	}
	l.parts = append(l.parts, loanPart{fractions, until})
	l.parts = slices.DeleteFunc(l.parts, func(p loanPart) bool { return p.fractions == 0 })
}

// NewHolder returns a holder without fractions or accounts.
func NewHolder() *Holder {
	return &Holder{limits: map[string]Limits{}, buckets: map[string]*Bucket{}}
}

// SetAccounts replaces the accounts of the shard. Accounts that remain keep their tokens.
func (h *Holder) SetAccounts(now time.Duration, limits map[string]Limits) {
	h.expire(now)
	buckets := make(map[string]*Bucket, len(limits))
	for account := range limits {
		buckets[account] = h.buckets[account]
		if buckets[account] == nil {
			buckets[account] = &Bucket{at: now}
		}
	}
	h.limits, h.buckets = limits, buckets
	h.configure(now)
}

// SetUsable sets the fractions that the process may use or lend, and until when.
func (h *Holder) SetUsable(now time.Duration, usable Mask, until time.Duration) {
	h.expire(now)
	h.usable, h.until = usable, until
	h.configure(now)
}

// expire ends loan parts and the right to use the fractions when they have expired, as of their
// time of expiry.
func (h *Holder) expire(now time.Duration) {
	for len(h.loan.parts) > 0 && now >= h.loan.parts[0].until {
		until := h.loan.parts[0].until
		h.loan.parts = h.loan.parts[1:]
		h.configure(until)
	}
	if h.usable != 0 && now >= h.until {
		h.usable = 0
		h.configure(h.until)
	}
}

func (h *Holder) configure(now time.Duration) {
	n := (h.usable &^ h.loan.fractions()).Count()
	for account, bucket := range h.buckets {
		limits := h.limits[account]
		bucket.Configure(now, limits.rate(n), limits.capacity(n))
	}
}

// Lent returns the fractions that a borrower may be using.
func (h *Holder) Lent(now time.Duration) Mask {
	h.expire(now)
	return h.loan.fractions()
}

// Take admits one statement on a token of the fractions that are not lent.
func (h *Holder) Take(now time.Duration, account string) bool {
	return h.Level(now, account) >= 1 && h.buckets[account].Take(1)
}

// Level returns the number of tokens of the fractions that are not lent.
func (h *Holder) Level(now time.Duration, account string) float64 {
	h.expire(now)
	bucket := h.buckets[account]
	if bucket == nil {
		return 0
	}
	bucket.Advance(now)
	return bucket.Level()
}

// Lend lends all usable fractions with their tokens. It lends nothing while another borrower may be
// using them, or if the right to use them ends before the loan would.
func (h *Holder) Lend(now time.Duration, r LoanRequest) Loan {
	h.expire(now)
	same := h.loan.owner == r.Owner && h.loan.epoch == r.Epoch
	if len(h.loan.parts) != 0 && !same {
		return Loan{Borrower: h.loan.owner}
	}
	if !same {
		h.loan = openLoan{}
	}
	if h.usable == 0 || now+lenderLoanTerm >= h.until {
		return Loan{}
	}
	tokens := h.drain(now)
	h.loan.owner, h.loan.epoch = r.Owner, r.Epoch
	h.loan.serial = max(r.Serial, h.loan.serial)
	h.loan.extend(h.usable, now+lenderLoanTerm)
	h.configure(now)
	return Loan{Fractions: h.usable, Tokens: tokens}
}

func (h *Holder) drain(now time.Duration) map[string]float64 {
	tokens := make(map[string]float64, len(h.buckets))
	for account, bucket := range h.buckets {
		bucket.Advance(now)
		if n := bucket.Drain(); n > 0 {
			tokens[account] = n
		}
	}
	return tokens
}

// AcceptHandBack ends a loan and adds the borrower's remaining tokens to the buckets. A message
// about another loan is ignored.
func (h *Holder) AcceptHandBack(now time.Duration, r HandBack) {
	h.expire(now)
	open := h.loan
	if len(open.parts) == 0 || open.owner != r.Owner || open.epoch != r.Epoch || r.Serial < open.serial {
		return
	}
	h.loan = openLoan{}
	h.configure(now)
	for account, n := range r.Tokens {
		if bucket := h.buckets[account]; bucket != nil && n > 0 {
			bucket.Add(n)
		}
	}
}
