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
	// recentMemory is the time constant of the estimate that notices a sudden rise.
	recentMemory = 40 * time.Millisecond
	// minRecentArrivals is the count from which the estimate with recentMemory is believed.
	minRecentArrivals = 3
	// nearRoundTrip is the round trip below which a caller can wait for a grant, so that an
	// account with little demand needs no stock.
	nearRoundTrip = 3 * time.Millisecond
	// lowDemand is the demand within the prefetch horizon below which that applies.
	lowDemand = 2
	// roundTripWeight is the weight of a new round trip in its moving average.
	roundTripWeight = 0.2
	// requestsInFlight bounds the unanswered requests for one account.
	requestsInFlight = 4
	// requestGap is the time between requests for one account.
	requestGap = 5 * time.Millisecond
	// refusalMemory is the time constant of the count of refusals behind retry-after.
	refusalMemory = time.Second
	// prefetchHorizon is the demand that a full stock covers.
	prefetchHorizon = 100 * time.Millisecond
	// stockPart is the part of an account's burst that all stocks together may hold.
	stockPart = 0.25
	// maxHorizon bounds the demand that a stock covers, since tokens end unused.
	maxHorizon = MaxTokenLifetime / 2
	// refreshLead is how long before their end tokens no longer count as stock, so that their
	// replacement is there in time.
	refreshLead = 60 * time.Millisecond
	// warmTerm is how long an account without arrivals keeps one token in stock. A token is replaced some seven times a
	// second, by two messages each time. With 10 s, a statement in ten seconds cost 142 demands, to save the next one a
	// round trip.
	warmTerm = 500 * time.Millisecond
	// settledReportDelay is how long unused tokens wait for a request that takes them along.
	settledReportDelay = 10 * time.Millisecond
	// noPoolRetryDelay is the time to the next request while the owner has no fractions yet.
	noPoolRetryDelay = 5 * time.Millisecond
	// noPoolRetryLimit is how long noPoolRetryDelay applies; then failureDelay does.
	noPoolRetryLimit = 50 * time.Millisecond
	// failureDelay is the time to the next request after a failed one.
	failureDelay = 100 * time.Millisecond
	// noPoolReportTerm is how long an owner's word that it expects no fractions counts.
	noPoolReportTerm = 200 * time.Millisecond
	// redirectTerm is how long another owner named by the asked one is used.
	redirectTerm = time.Second
)

// GrantRequest is a grant request to send to a pool owner.
type GrantRequest struct {
	Owner   string
	Demands []Demand
}

// Requester keeps a stock of tokens for the callers of this instance, for one shard's accounts.
type Requester struct {
	owner         string // by the own list
	redirect      string // named by an owner without fractions
	redirectUntil time.Duration
	instances     int           // that may keep a stock
	roundTrip     time.Duration // moving average of the answers' times, 0 before the first
	accounts      map[string]*stock
	accountNames  []string // of the accounts, sorted
}

// stock is the tokens and the demand of one account.
type stock struct {
	limits         Limits
	batches        []batch // by time of arrival
	settled        []SettledTokens
	arrivals       decayingCount // with demandMemory
	recentArrivals decayingCount // with recentMemory
	refusals       decayingCount // with refusalMemory

	lastArrival      time.Duration
	hasArrivals      bool
	waiting          int // callers that wait for the answer to a request
	inFlight         int // requests without an answer
	pending          int // tokens that they ask for
	nextRequestAt    time.Duration
	settledSince     time.Duration
	unusedSince      time.Duration
	noTokensUntil    time.Duration // the owner has no tokens before
	partial          bool          // its pool lacked fractions when it last answered
	poolMissingSince time.Duration
	poolMissing      bool
	noPoolUntil      time.Duration // the owner expects no fractions before
	noPoolReportedAt time.Duration // when it said so
}

// batch is the tokens of one grant that are left.
type batch struct {
	tokens int
	expiry time.Duration
	epoch  uint64
	slot   uint64
}

// decayingCount counts events with exponentially fading memory.
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

// NewRequester returns a requester without accounts and owner.
func NewRequester() *Requester {
	return &Requester{accounts: map[string]*stock{}}
}

// SetAccounts replaces the accounts of the shard. Accounts that stay keep their tokens.
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

// SetOwner names the pool owner by the own list, and the number of instances that may keep a stock.
func (r *Requester) SetOwner(owner string, instances int) {
	r.owner, r.instances = owner, instances
}

// target returns the owner to ask now.
func (r *Requester) target(now time.Duration) string {
	if r.redirect != "" && now < r.redirectUntil {
		return r.redirect
	}
	return r.owner
}

// Due returns the request to send now, or false. localLevel returns the tokens that the instance's
// own fractions have for an account. The caller reports the answer with Granted or Failed.
func (r *Requester) Due(now time.Duration, localLevel func(account string) float64) (GrantRequest, bool) {
	ask := GrantRequest{Owner: r.target(now)}
	if ask.Owner == "" {
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
		ask.Demands = append(ask.Demands, Demand{Account: account, Want: want, Settled: s.settled})
		s.settled = nil
	}
	return ask, len(ask.Demands) > 0
}

// due returns how many tokens to ask for, and whether to ask now.
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

// reportDue reports whether settled tokens should be reported without asking for new ones: unused
// ones, since others can use them, and used ones of a small burst, since the room that the owner
// reserves for them is a large part of it.
func (s *stock) reportDue(now time.Duration, instances int) bool {
	if s.unused() > 0 && now-s.unusedSince >= settledReportDelay {
		return true
	}
	return len(s.settled) > 0 && now-s.settledSince >= settledReportDelay && s.hasSmallBurst(instances)
}

// hasSmallBurst reports whether the burst is too small for a token in stock at each instance.
func (s *stock) hasSmallBurst(instances int) bool {
	return s.limits.Burst*stockPart < float64(instances)
}

// target returns the stock that covers the demand until the next answer. An account with little
// demand has no stock near its owner and one token far from it. The stocks of all instances leave
// most of the burst in the pool, so an account with a small burst has none.
func (s *stock) target(now, roundTrip time.Duration, instances int) int {
	if !s.warm(now) {
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

// demand estimates the arrivals per second.
func (s *stock) demand(now time.Duration) float64 {
	steady := s.arrivals.value(now, demandMemory) / demandMemory.Seconds()
	rush := s.recentArrivals.value(now, recentMemory)
	if rush < minRecentArrivals {
		return steady
	}
	return max(steady, rush/recentMemory.Seconds())
}

func (s *stock) warm(now time.Duration) bool {
	return s.hasArrivals && now-s.lastArrival < warmTerm
}

// fresh returns the tokens that don't need a replacement yet.
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

// expire moves tokens whose lifetime is over to the settled ones.
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

// HandleGrants takes the answer to ask, which was sent at sentAt. An account that the answer leaves
// out is asked for again later.
func (r *Requester) HandleGrants(now, sentAt time.Duration, ask GrantRequest, epoch uint64, grants []Grant) {
	r.requestDone(now, ask)
	r.recordRoundTrip(now - sentAt)
	for _, g := range grants {
		s := r.accounts[g.Account]
		if s == nil {
			continue
		}
		if g.NoPool {
			s.delayRequestWithoutPool(now)
			s.setNoPoolFor(now, g.RetryAfter)
			r.followRedirect(now, ask.Owner, g.Owner)
			continue
		}
		s.poolMissing, s.noPoolUntil = false, 0
		s.nextRequestAt = now
		s.granted(now, sentAt, epoch, g)
	}
}

func (s *stock) granted(now, sentAt time.Duration, epoch uint64, g Grant) {
	if g.Tokens > 0 {
		s.batches = append(s.batches, batch{g.Tokens, sentAt + g.Lifetime, epoch, g.Slot})
		s.expire(now)
	}
	s.partial = g.Partial
	if g.RetryAfter > 0 {
		s.noTokensUntil = now + g.RetryAfter
	}
}

// delayRequestWithoutPool sets the time of the next request while the owner has no fractions.
func (s *stock) delayRequestWithoutPool(now time.Duration) {
	if !s.poolMissing {
		s.poolMissing, s.poolMissingSince = true, now
	}
	s.nextRequestAt = now + noPoolRetryDelay
	if now-s.poolMissingSince > noPoolRetryLimit {
		s.nextRequestAt = now + failureDelay
	}
}

// setNoPoolFor notes that the owner expects no fractions for a while.
func (s *stock) setNoPoolFor(now, term time.Duration) {
	s.noPoolUntil, s.noPoolReportedAt = now+term, now
}

// noPoolFor returns for how long the owner expects no fractions, if it has said so lately. Later it is asked again, since
// it only estimates the time.
func (s *stock) noPoolFor(now time.Duration) time.Duration {
	if now-s.noPoolReportedAt >= noPoolReportTerm {
		return 0
	}
	return max(0, s.noPoolUntil-now)
}

// followRedirect turns to another owner that the asked one named. An owner reached that way which has
// no fractions either is left again.
func (r *Requester) followRedirect(now time.Duration, asked, named string) {
	if r.redirect == asked {
		r.redirect = ""
		return
	}
	if named != "" && named != asked {
		r.redirect, r.redirectUntil = named, now+redirectTerm
	}
}

// RequestFailed ends a request without an answer.
func (r *Requester) RequestFailed(now time.Duration, ask GrantRequest) {
	if ask.Owner != "" && r.redirect == ask.Owner {
		r.redirect = ""
	}
	r.requestDone(now, ask)
}

// requestDone ends a request. Until a grant says otherwise, the next one waits.
func (r *Requester) requestDone(now time.Duration, ask GrantRequest) {
	for _, d := range ask.Demands {
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

// take uses a token from the stock, the one with the earliest end first.
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

// retryAfter estimates when a caller that is refused now finds a token: when the owner has one
// again, and after those refused shortly before.
func (s *stock) retryAfter(now time.Duration) time.Duration {
	queue := refillTime(1+s.refusals.value(now, refusalMemory), s.limits.Rate)
	return max(queue, s.noTokensUntil-now, s.noPoolUntil-now)
}
