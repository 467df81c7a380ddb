package quota

import "time"

// Verdict answers an admission.
type Verdict struct {
	Admitted   bool
	Wait       bool          // a request to the owner is on its way or due; Retry when it is answered
	RetryAfter time.Duration // with a refusal
	AboveRate  bool          // with a refusal: the owner has said that no token is left
	Partial    bool          // with AboveRate: the owner's pool lacks fractions
	NoPoolFor  time.Duration // the owner expects no fractions before, after a common start of instances
}

// Messages is the messages to send for a shard.
type Messages struct {
	GrantRequest GrantRequest // without demands: none
	LoanRequests []OutgoingLoanRequest
	HandBacks    []OutgoingHandBack
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
	s.owner.SetOwnership(now, owner == s.address, holders)
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
	d.recentArrivals.add(now, recentMemory)
	d.lastArrival, d.hasArrivals = now, true
	if s.take(now, account, d) {
		return Verdict{Admitted: true}
	}
	if s.mayWait(now, d) {
		d.waiting++
		return Verdict{Wait: true, NoPoolFor: d.noPoolFor(now)}
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
		return Verdict{Wait: true, NoPoolFor: d.noPoolFor(now)}
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
	return d.inFlight > 0 || now >= d.noTokensUntil && s.requester.target(now) != ""
}

func (s *Shard) refusal(now time.Duration, d *stock) Verdict {
	retryAfter := d.retryAfter(now)
	d.refusals.add(now, refusalMemory)
	return Verdict{RetryAfter: retryAfter, AboveRate: now < d.noTokensUntil, Partial: d.partial, NoPoolFor: d.noPoolFor(now)}
}

// Poll returns the messages to send now.
func (s *Shard) Poll(now time.Duration) Messages {
	var w Messages
	if ask, due := s.requester.Due(now, func(account string) float64 { return s.holder.Level(now, account) }); due {
		w.GrantRequest = ask
	}
	w.LoanRequests = s.owner.LoanRequests(now)
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

// HandleGrants takes the answer to an Ask that was sent at sentAt.
func (s *Shard) HandleGrants(now, sentAt time.Duration, ask GrantRequest, epoch uint64, grants []Grant) {
	s.requester.HandleGrants(now, sentAt, ask, epoch, grants)
}

// GrantRequestFailed ends an Ask that got no answer.
func (s *Shard) GrantRequestFailed(now time.Duration, ask GrantRequest) {
	s.requester.RequestFailed(now, ask)
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

// HandleLoan takes the answer to a loan request that was sent at sentAt.
func (s *Shard) HandleLoan(now, sentAt time.Duration, ask OutgoingLoanRequest, loan Loan) {
	s.owner.HandleLoan(now, sentAt, ask.Holder, ask.Request.Serial, loan)
}

// AcceptHandBack takes lent fractions back.
func (s *Shard) AcceptHandBack(now time.Duration, h HandBack) {
	s.holder.AcceptHandBack(now, h)
}
