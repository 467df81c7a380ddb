package quota

import "time"

// Verdict answers an admission.
type Verdict struct {
	Admitted   bool
	Wait       bool          // a request to the owner is on its way or due; Retry when it is answered
	RetryAfter time.Duration // with a refusal
	AboveRate  bool          // with a refusal: the owner has said that no token is left
	Partial    bool          // with AboveRate: the owner's pool lacks fractions
	Rest       time.Duration // the owner expects no fractions before, after a common start of instances
}

// Work is the messages to send for a shard.
type Work struct {
	Ask       Ask // without demands: none
	Loans     []LoanAsk
	HandBacks []HandBackTo
}

// Shard is the part of one instance in the accounts of one shard: as a holder of fractions, as
// the pool owner if it is one, and for its own callers. It is not safe for concurrent use.
type Shard struct {
	address   string
	holder    *Holder
	owner     *Owner
	requester *Requester
}

// NewShard returns a shard without accounts. address is the instance's peer address and epoch a
// random number of the process.
func NewShard(address string, epoch uint64) *Shard {
	return &Shard{
		address: address, holder: NewHolder(), owner: NewOwner(address, epoch), requester: NewRequester(),
	}
}

// SetAccounts replaces the accounts of the shard.
func (s *Shard) SetAccounts(now time.Duration, limits map[string]Limits) {
	s.holder.SetAccounts(now, limits)
	s.owner.SetAccounts(now, limits)
	s.requester.SetAccounts(limits)
}

// SetUsable sets the fractions that the instance may use or lend, and until when.
func (s *Shard) SetUsable(now time.Duration, usable Mask, until time.Duration) {
	s.holder.SetUsable(now, usable, until)
}

// SetOwner names the pool owner by the instance's list, and the holders of fractions.
func (s *Shard) SetOwner(now time.Duration, owner string, holders []string) {
	s.requester.SetOwner(owner, len(holders))
	s.owner.SetOwning(now, owner == s.address, holders)
}

// Lent returns the own fractions that a borrower may be using.
func (s *Shard) Lent(now time.Duration) Mask {
	return s.holder.Lent(now)
}

// Admit decides on a statement that arrives. After a verdict with Wait the caller sends the work
// of Poll, then calls Retry after each answer, and Refuse when it stops waiting: at once if the verdict's Rest is longer
// than it would wait.
func (s *Shard) Admit(now time.Duration, account string) Verdict {
	d := s.requester.accounts[account]
	if d == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	d.arrivals.add(now, demandMemory)
	d.rush.add(now, rushMemory)
	d.lastArrival, d.arrived = now, true
	if s.take(now, account, d) {
		return Verdict{Admitted: true}
	}
	if s.mayWait(now, d) {
		d.waiting++
		return Verdict{Wait: true, Rest: d.restLeft(now)}
	}
	return s.refusal(now, d)
}

// Retry decides again on a statement that waits.
func (s *Shard) Retry(now time.Duration, account string) Verdict {
	d := s.requester.accounts[account]
	if d == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	if s.take(now, account, d) {
		d.waiting = max(0, d.waiting-1)
		return Verdict{Admitted: true}
	}
	if s.mayWait(now, d) {
		return Verdict{Wait: true, Rest: d.restLeft(now)}
	}
	d.waiting = max(0, d.waiting-1)
	return s.refusal(now, d)
}

// Refuse ends the wait of a statement.
func (s *Shard) Refuse(now time.Duration, account string) Verdict {
	d := s.requester.accounts[account]
	if d == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	d.waiting = max(0, d.waiting-1)
	return s.refusal(now, d)
}

func (s *Shard) take(now time.Duration, account string, d *stock) bool {
	return d.take(now) || s.holder.Take(now, account)
}

// mayWait reports whether a token may come within the time that callers wait: an answer is on its
// way, or there is an owner that has not said that no token is left.
func (s *Shard) mayWait(now time.Duration, d *stock) bool {
	return d.inFlight > 0 || now >= d.starvedUntil && s.requester.target(now) != ""
}

func (s *Shard) refusal(now time.Duration, d *stock) Verdict {
	retryAfter := d.retryAfter(now)
	d.refusals.add(now, refusalMemory)
	return Verdict{RetryAfter: retryAfter, AboveRate: now < d.starvedUntil, Partial: d.partial, Rest: d.restLeft(now)}
}

// Poll returns the messages to send now.
func (s *Shard) Poll(now time.Duration) Work {
	var w Work
	if ask, due := s.requester.Due(now, func(account string) float64 { return s.holder.Level(now, account) }); due {
		w.Ask = ask
	}
	w.Loans = s.owner.Asks(now)
	w.HandBacks = s.owner.HandBacks(now)
	return w
}

// Busy reports whether Poll may have work soon without a new arrival.
func (s *Shard) Busy(now time.Duration) bool {
	if s.owner.active(now) || s.owner.fractions() != 0 {
		return true
	}
	for _, d := range s.requester.accounts {
		if d.warm(now) || len(d.batches) > 0 || d.unused() > 0 {
			return true
		}
	}
	return false
}

// Granted takes the answer to an Ask that was sent at sentAt.
func (s *Shard) Granted(now, sentAt time.Duration, ask Ask, epoch uint64, grants []Grant) {
	s.requester.Granted(now, sentAt, ask, epoch, grants)
}

// AskFailed ends an Ask that got no answer.
func (s *Shard) AskFailed(now time.Duration, ask Ask) {
	s.requester.Failed(now, ask)
}

// Grant answers the demand of a requester as the pool owner. An instance that has no pool names the
// owner by its own list, in case the requester's list differs.
func (s *Shard) Grant(now time.Duration, d Demand) Grant {
	g := s.owner.Grant(now, d)
	if g.NoPool && g.Owner == "" && s.requester.owner != s.address {
		g.Owner = s.requester.owner
	}
	return g
}

// Lend answers a borrower.
func (s *Shard) Lend(now time.Duration, r LoanRequest) Loan {
	return s.holder.Lend(now, r)
}

// Borrowed takes the answer to a loan request that was sent at sentAt.
func (s *Shard) Borrowed(now, sentAt time.Duration, ask LoanAsk, loan Loan) {
	s.owner.Borrowed(now, sentAt, ask.Holder, ask.Request.Serial, loan)
}

// HandBack takes lent fractions back.
func (s *Shard) HandBack(now time.Duration, h HandBack) {
	s.holder.HandBack(now, h)
}
