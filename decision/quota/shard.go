package quota

import "time"

// Verdict is the decision on a statement.
type Verdict struct {
	Admitted   bool
	Wait       bool          // a request to the owner is in flight or due; call Retry when it is answered
	RetryAfter time.Duration // with a refusal
	AboveRate  bool          // with a refusal: the owner reported that no token is left
	NoPoolFor  time.Duration // how long the owner expects to have no fractions, after instances started together
}

// Patience is how long a statement may wait for its admission. Load: all instances have restarted, and callers return while the
// fractions rest for some hundred milliseconds more. A caller that waits in place is served sooner than one that is told to come
// back, when all others do.
type Patience struct {
	Answer time.Duration // for the owner's answer, if nobody knows when it will come
	Rest   time.Duration // if the owner has told when it expects to have fractions
}

// Limit returns how long a statement with the given verdict may wait in all.
func (p Patience) Limit(v Verdict) time.Duration {
	if v.NoPoolFor > 0 {
		return max(p.Answer, p.Rest)
	}
	return p.Answer
}

// Messages are the messages to send for a shard.
type Messages struct {
	GrantRequest GrantRequest // none if it has no demands
	LoanRequests []OutgoingLoanRequest
	HandBacks    []OutgoingHandBack
}

// Shard is the part of one instance in the accounts of one shard: as a holder of fractions, as the
// pool owner if it is one, and as a requester for its own callers. It is not safe for concurrent
// use.
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

// SetOwner sets the pool owner according to this instance's list, and the holders of fractions.
func (s *Shard) SetOwner(now time.Duration, owner string, holders []string) {
	s.requester.SetOwner(owner, len(holders))
	s.owner.SetOwnership(now, owner == s.address, holders)
}

// SetTolerance sets what this instance may grant beyond the limits as the pool owner.
func (s *Shard) SetTolerance(t OwnerTolerance) {
	s.owner.SetTolerance(t)
}

// Lent returns this instance's fractions that a borrower may be using.
func (s *Shard) Lent(now time.Duration) Mask {
	return s.holder.Lent(now)
}

// Admit decides on an arriving statement. After a verdict with Wait, the caller sends the messages
// of Poll, calls Retry after each answer, and calls Refuse when it stops waiting. It stops at once
// if the verdict's NoPoolFor exceeds the time it would wait.
func (s *Shard) Admit(now time.Duration, account string) Verdict {
	st := s.requester.accounts[account]
	if st == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	st.arrivals.add(now, demandMemory)
	st.recentArrivals.add(now, recentMemory)
	st.lastArrival, st.hasArrivals = now, true
	if s.take(now, account, st) {
		return Verdict{Admitted: true}
	}
	if s.mayWait(now, st) {
		st.waiting++
		return Verdict{Wait: true, NoPoolFor: st.noPoolFor(now)}
	}
	return s.refusal(now, st)
}

// Retry decides again on a waiting statement.
func (s *Shard) Retry(now time.Duration, account string) Verdict {
	st := s.requester.accounts[account]
	if st == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	if s.take(now, account, st) {
		st.waiting = max(0, st.waiting-1)
		return Verdict{Admitted: true}
	}
	if s.mayWait(now, st) {
		return Verdict{Wait: true, NoPoolFor: st.noPoolFor(now)}
	}
	st.waiting = max(0, st.waiting-1)
	return s.refusal(now, st)
}

// Refuse ends the wait of a statement and returns its refusal.
func (s *Shard) Refuse(now time.Duration, account string) Verdict {
	st := s.requester.accounts[account]
	if st == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	st.waiting = max(0, st.waiting-1)
	return s.refusal(now, st)
}

func (s *Shard) take(now time.Duration, account string, st *stock) bool {
	return st.take(now) || s.holder.Take(now, account)
}

// mayWait reports whether a token may arrive while the caller waits: a request is in flight, or
// there is an owner that has not reported that no token is left.
func (s *Shard) mayWait(now time.Duration, st *stock) bool {
	return st.inFlight > 0 || now >= st.noTokensUntil && s.requester.target(now) != ""
}

func (s *Shard) refusal(now time.Duration, st *stock) Verdict {
	retryAfter := st.retryAfter(now)
	st.refusals.add(now, refusalMemory)
	return Verdict{RetryAfter: retryAfter, AboveRate: now < st.noTokensUntil, NoPoolFor: st.noPoolFor(now)}
}

// Poll returns the messages to send now.
func (s *Shard) Poll(now time.Duration) Messages {
	var messages Messages
	if request, due := s.requester.Due(now, func(account string) float64 { return s.holder.Level(now, account) }); due {
		messages.GrantRequest = request
	}
	messages.LoanRequests = s.owner.LoanRequests(now)
	messages.HandBacks = s.owner.HandBacks(now)
	return messages
}

// Busy reports whether Poll may return messages soon without a new arrival.
func (s *Shard) Busy(now time.Duration) bool {
	if s.owner.active(now) || s.owner.fractions() != 0 {
		return true
	}
	for _, st := range s.requester.accounts {
		if st.warm(now) || len(st.batches) > 0 || st.unused() > 0 {
			return true
		}
	}
	return false
}

// HandleGrants processes the answer to a grant request that was sent at sentAt.
func (s *Shard) HandleGrants(now, sentAt time.Duration, request GrantRequest, epoch uint64, grants []Grant) {
	s.requester.HandleGrants(now, sentAt, request, epoch, grants)
}

// GrantRequestFailed ends a grant request that got no answer.
func (s *Shard) GrantRequestFailed(now time.Duration, request GrantRequest) {
	s.requester.RequestFailed(now, request)
}

// Grant answers a demand as the pool owner. An instance without a pool names the owner according to
// its own list, in case the requester has a different list.
func (s *Shard) Grant(now time.Duration, d Demand) Grant {
	g := s.owner.Grant(now, d)
	if g.NoPool && g.Owner == "" && s.requester.owner != s.address {
		g.Owner = s.requester.owner
	}
	return g
}

// Lend answers the loan request of a pool owner.
func (s *Shard) Lend(now time.Duration, r LoanRequest) Loan {
	return s.holder.Lend(now, r)
}

// HandleLoan processes the answer to a loan request that was sent at sentAt.
func (s *Shard) HandleLoan(now, sentAt time.Duration, outgoing OutgoingLoanRequest, loan Loan) {
	s.owner.HandleLoan(now, sentAt, outgoing.Holder, outgoing.Request.Serial, loan)
}

// AcceptHandBack ends a loan of fractions that this instance lent.
func (s *Shard) AcceptHandBack(now time.Duration, h HandBack) {
	s.holder.AcceptHandBack(now, h)
}
