package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time constant of the demand estimate.
	demandMemory = 200 * time.Millisecond
	// recentMemory is the time constant of the estimate that detects a sudden rise of the demand.
	recentMemory = 40 * time.Millisecond
	// minRecentArrivals is the count from which the estimate with recentMemory is used.
	minRecentArrivals = 3
	// nearRoundTrip is the round trip below which callers can wait for a grant, so that an account
	// with low demand needs no stock.
	nearRoundTrip = 3 * time.Millisecond
	// lowDemand is the number of statements expected within the prefetch horizon below which an
	// account near its owner has no stock.
	lowDemand = 2
	// roundTripWeight is the weight of a new round trip in its moving average.
	roundTripWeight = 0.2
	// requestsInFlight limits the unanswered requests for one account.
	requestsInFlight = 4
	// requestGap is the time between requests for one account.
	requestGap = 5 * time.Millisecond
	// refusalMemory is the time constant of the refusal count that lengthens the retry delay.
	refusalMemory = time.Second
	// prefetchHorizon is how far ahead a full stock covers the demand.
	prefetchHorizon = 100 * time.Millisecond
	// stockPart is the proportion of an account's burst that all stocks together may hold.
	stockPart = 0.25
	// maxHorizon bounds the time for which a stock covers the demand, since tokens expire.
	maxHorizon = MaxTokenLifetime / 2
	// refreshLead is how long before their expiry tokens no longer count as stock, so that their
	// replacements arrive in time.
	refreshLead = 60 * time.Millisecond
	// warmTerm is how long an account without arrivals keeps one token in stock. A token is
	// replaced about seven times a second, with two messages each time: at 10 s, one statement in
	// ten seconds cost 142 demands just to save the next one a round trip.
	warmTerm = 500 * time.Millisecond
	// settledReportDelay is how long settled tokens wait for a request that reports them along with
	// a demand.
	settledReportDelay = 10 * time.Millisecond
	// noPoolRetryDelay is the delay before the next request while the owner has no fractions yet.
	noPoolRetryDelay = 5 * time.Millisecond
	// noPoolRetryLimit is how long noPoolRetryDelay applies; after that, failureDelay does.
	noPoolRetryLimit = 50 * time.Millisecond
	// failureDelay is the delay before the next request after a failed one.
	failureDelay = 100 * time.Millisecond
	// noPoolReportTerm is how long an owner's estimate of when it will have fractions is used.
	noPoolReportTerm = 200 * time.Millisecond
	// redirectTerm is how long requests go to the owner named by another instance.
	redirectTerm = time.Second
)

// GrantRequest is a request for tokens to send to a pool owner.
type GrantRequest struct {
	Owner   string
	Demands []Demand
}

// Requester keeps a stock of prefetched tokens for this instance's callers, for the accounts of one
// shard.
type Requester struct {
	owner         string // according to the own list
	redirect      string // another owner, named by an instance without fractions
	redirectUntil time.Duration
	instances     int           // number that may keep a stock
	roundTrip     time.Duration // moving average, 0 before the first answer
	accounts      map[string]*stock
	accountNames  []string // sorted
}

// stock holds the prefetched tokens of one account and the state of its demand.
type stock struct {
	limits         Limits
	batches        []batch // by time of arrival, oldest first
	settled        []SettledTokens
	arrivals       decayingCount // with demandMemory
	recentArrivals decayingCount // with recentMemory
	refusals       decayingCount // with refusalMemory

	lastArrival      time.Duration
	hasArrivals      bool
	waiting          int // callers waiting for an answer
	inFlight         int // unanswered requests
	pending          int // tokens requested by them
	nextRequestAt    time.Duration
	settledSince     time.Duration
	unusedSince      time.Duration
	noTokensUntil    time.Duration // until when the owner has no tokens
	tolerated        bool          // the last tokens were granted by the tolerance, which unused ones don't return to
	poolMissingSince time.Duration
	poolMissing      bool
	noPoolUntil      time.Duration // until when the owner expects to have no fractions
	noPoolReportedAt time.Duration // when the owner reported noPoolUntil
}

// batch is the remaining tokens of one grant.
type batch struct {
	tokens int
	expiry time.Duration
	epoch  uint64
	slot   uint64
}

// decayingCount is an exponentially decaying count of events.
type decayingCount struct {
	count float64
	at    time.Duration
}

func (c *decayingCount) value(now, memory time.Duration) float64 {
	if now > c.at {
		c.count *= math.Exp(-(now - c.at).Seconds() / memory.Seconds())
		c.at = now
	}
	return c.count
}

func (c *decayingCount) add(now, memory time.Duration) {
	c.count = c.value(now, memory) + 1
}

// NewRequester returns a requester without accounts or an owner.
func NewRequester() *Requester {
	return &Requester{accounts: map[string]*stock{}}
}

// SetAccounts replaces the accounts of the shard. Accounts that remain keep their tokens.
func (r *Requester) SetAccounts(limits map[string]Limits) {
	accounts := make(map[string]*stock, len(limits))
	for account, l := range limits {
		accounts[account] = r.accounts[account]
		if accounts[account] == nil {
			accounts[account] = &stock{}
		}
		accounts[account].limits = l
	}
	r.accounts = accounts
	r.accountNames = slices.Sorted(maps.Keys(accounts))
}

// SetOwner sets the pool owner according to the own list, and the number of instances that may keep
// a stock.
func (r *Requester) SetOwner(owner string, instances int) {
	r.owner, r.instances = owner, instances
}

// target returns the owner that requests go to now.
func (r *Requester) target(now time.Duration) string {
	if r.redirect != "" && now < r.redirectUntil {
		return r.redirect
	}
	return r.owner
}

// Due returns the request to send now, or false. localLevel returns the tokens that this instance's
// own fractions have for an account. The caller reports the outcome with HandleGrants or
// RequestFailed.
func (r *Requester) Due(now time.Duration, localLevel func(account string) float64) (GrantRequest, bool) {
	request := GrantRequest{Owner: r.target(now)}
	if request.Owner == "" {
		return GrantRequest{}, false
	}
	for _, account := range r.accountNames {
		s := r.accounts[account]
		s.expire(now)
		want, due := s.due(now, localLevel(account), r.roundTrip, r.instances)
		if !due {
			continue
		}
		s.inFlight++
		s.pending += want
		s.nextRequestAt = now + requestGap
		request.Demands = append(request.Demands, Demand{Account: account, Want: want, Settled: s.settled})
		s.settled = nil
	}
	return request, len(request.Demands) > 0
}

// due returns how many tokens to request, and whether to send a request now.
func (s *stock) due(now time.Duration, local float64, roundTrip time.Duration, instances int) (int, bool) {
	if s.inFlight >= requestsInFlight || now < s.nextRequestAt || now < s.noTokensUntil {
		return 0, false
	}
	target := s.target(now, roundTrip, instances)
	need := target - s.fresh(now) - s.pending - int(local)
	waiting := max(0, s.waiting-s.pending)
	want := max(0, need) + waiting
	if want > 0 && (waiting > 0 || 2*need >= target) {
		return want, true
	}
	return 0, s.reportDue(now, instances)
}

// reportDue reports whether settled tokens are to be reported without requesting new ones: unused
// ones, since others can use them, and used ones of a small burst, since the capacity that the
// owner reserves for them is a large part of it.
func (s *stock) reportDue(now time.Duration, instances int) bool {
	if s.unused() > 0 && now-s.unusedSince >= settledReportDelay {
		return true
	}
	return len(s.settled) > 0 && now-s.settledSince >= settledReportDelay && s.hasSmallBurst(instances)
}

// hasSmallBurst reports whether the burst is too small for one token in stock at each instance.
func (s *stock) hasSmallBurst(instances int) bool {
	return s.limits.Burst*stockPart < float64(instances)
}

// target returns the number of tokens in stock that covers the demand until the next answer. An
// account with low demand has no stock near its owner and one token far from it. The stocks of all
// instances together leave most of the burst in the pool, so an account with a small burst has
// none.
func (s *stock) target(now, roundTrip time.Duration, instances int) int {
	if !s.warm(now) || s.tolerated {
		return 0
	}
	demand := s.demand(now)
	expected := demand * min(prefetchHorizon+roundTrip, maxHorizon).Seconds()
	if expected < lowDemand && roundTrip < nearRoundTrip {
		return 0
	}
	allowed := int(s.limits.Burst * stockPart * min(1, demand/max(s.limits.Rate, 1)))
	if !s.hasSmallBurst(instances) {
		allowed = max(1, allowed)
	}
	return min(allowed, max(1, int(math.Ceil(expected+math.Sqrt(expected)))))
}

// demand returns the estimated arrivals per second.
func (s *stock) demand(now time.Duration) float64 {
	steady := s.arrivals.value(now, demandMemory) / demandMemory.Seconds()
	recent := s.recentArrivals.value(now, recentMemory)
	if recent < minRecentArrivals {
		return steady
	}
	return max(steady, recent/recentMemory.Seconds())
}

func (s *stock) warm(now time.Duration) bool {
	return s.hasArrivals && now-s.lastArrival < warmTerm
}

// fresh returns the number of tokens that need no replacement yet.
func (s *stock) fresh(now time.Duration) int {
	n := 0
	for _, b := range s.batches {
		if b.expiry-now > refreshLead {
			n += b.tokens
		}
	}
	return n
}

func (s *stock) unused() int {
	n := 0
	for _, e := range s.settled {
		n += e.Unused
	}
	return n
}

// expire moves expired tokens to the settled ones.
func (s *stock) expire(now time.Duration) {
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if now < b.expiry {
			return false
		}
		s.addSettled(now, b, 0, b.tokens)
		return true
	})
}

func (s *stock) addSettled(now time.Duration, b batch, used, unused int) {
	if len(s.settled) == 0 {
		s.settledSince = now
	}
	if unused > 0 && s.unused() == 0 {
		s.unusedSince = now
	}
	for i := range s.settled {
		if s.settled[i].Epoch == b.epoch && s.settled[i].Slot == b.slot {
			s.settled[i].Used += used
			s.settled[i].Unused += unused
			return
		}
	}
	s.settled = append(s.settled, SettledTokens{Epoch: b.epoch, Slot: b.slot, Used: used, Unused: unused})
}

// HandleGrants processes the answer to a request that was sent at sentAt. An account missing in the
// answer is requested again later.
func (r *Requester) HandleGrants(now, sentAt time.Duration, request GrantRequest, epoch uint64, grants []Grant) {
	r.requestDone(now, request)
	r.recordRoundTrip(now - sentAt)
	for _, g := range grants {
		s := r.accounts[g.Account]
		if s == nil {
			continue
		}
		if g.NoPool {
			s.delayRequestWithoutPool(now)
			s.setNoPoolFor(now, g.RetryAfter)
			r.followRedirect(now, request.Owner, g.Owner)
			continue
		}
		s.poolMissing, s.noPoolUntil = false, 0
		s.nextRequestAt = now
		s.granted(now, sentAt, epoch, g)
	}
}

func (s *stock) granted(now, sentAt time.Duration, epoch uint64, g Grant) {
	s.tolerated = g.Tokens > 0 && g.Slot == toleratedSlot
	if g.Tokens > 0 {
		s.batches = append(s.batches, batch{g.Tokens, sentAt + g.Lifetime, epoch, g.Slot})
		s.expire(now)
	}
	if g.RetryAfter > 0 {
		s.noTokensUntil = now + g.RetryAfter
	}
}

// delayRequestWithoutPool schedules the next request while the owner has no fractions.
func (s *stock) delayRequestWithoutPool(now time.Duration) {
	if !s.poolMissing {
		s.poolMissing, s.poolMissingSince = true, now
	}
	s.nextRequestAt = now + noPoolRetryDelay
	if now-s.poolMissingSince > noPoolRetryLimit {
		s.nextRequestAt = now + failureDelay
	}
}

// setNoPoolFor records how long the owner expects to have no fractions.
func (s *stock) setNoPoolFor(now, term time.Duration) {
	s.noPoolUntil, s.noPoolReportedAt = now+term, now
}

// noPoolFor returns for how long the owner expects to have no fractions, or 0 if its last estimate
// is old: the time is only an estimate, so the owner is asked again.
func (s *stock) noPoolFor(now time.Duration) time.Duration {
	if now-s.noPoolReportedAt >= noPoolReportTerm {
		return 0
	}
	return max(0, s.noPoolUntil-now)
}

// followRedirect directs requests to another owner that the asked one named. If that one has no
// fractions either, requests go to the listed owner again.
func (r *Requester) followRedirect(now time.Duration, asked, named string) {
	if r.redirect == asked {
		r.redirect = ""
		return
	}
	if named != "" && named != asked {
		r.redirect, r.redirectUntil = named, now+redirectTerm
	}
}

// RequestFailed ends a request that got no answer.
func (r *Requester) RequestFailed(now time.Duration, request GrantRequest) {
	if request.Owner != "" && r.redirect == request.Owner {
		r.redirect = ""
	}
	r.requestDone(now, request)
}

// requestDone ends a request. The next one is delayed as after a failure unless a grant sets
// another time.
func (r *Requester) requestDone(now time.Duration, request GrantRequest) {
	for _, d := range request.Demands {
		if s := r.accounts[d.Account]; s != nil {
			s.inFlight = max(0, s.inFlight-1)
			s.pending = max(0, s.pending-d.Want)
			s.nextRequestAt = now + failureDelay
		}
	}
}

func (r *Requester) recordRoundTrip(roundTrip time.Duration) {
	if r.roundTrip == 0 {
		r.roundTrip = roundTrip
	}
	r.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-r.roundTrip))
}

// take uses a token from the oldest batch.
func (s *stock) take(now time.Duration) bool {
	s.expire(now)
	if len(s.batches) == 0 {
		return false
	}
	b := &s.batches[0]
	b.tokens--
	s.addSettled(now, *b, 1, 0)
	if b.tokens == 0 {
		s.batches = s.batches[1:]
	}
	return true
}

// retryAfter estimates when a caller that is refused now will find a token: when the owner has
// tokens again, and after the callers refused shortly before.
func (s *stock) retryAfter(now time.Duration) time.Duration {
	queue := refillTime(1+s.refusals.value(now, refusalMemory), s.limits.Rate)
	return max(queue, s.noTokensUntil-now, s.noPoolUntil-now)
}
