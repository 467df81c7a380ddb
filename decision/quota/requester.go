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
	// rushMemory is the time constant of the estimate that notices a sudden rise.
	rushMemory = 40 * time.Millisecond
	// rushCount is the count from which the estimate with rushMemory is believed.
	rushCount = 3
	// nearRoundTrip is the round trip below which a caller can wait for a grant, so that an
	// account with little demand needs no stock.
	nearRoundTrip = 3 * time.Millisecond
	// littleDemand is the demand within the prefetch horizon below which that applies.
	littleDemand = 2
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
	// settleDelay is how long unused tokens wait for a request that takes them along.
	settleDelay = 10 * time.Millisecond
	// formingDelay is the time to the next request while the owner has no fractions yet.
	formingDelay = 5 * time.Millisecond
	// formingLimit is how long formingDelay applies; then failureDelay does.
	formingLimit = 50 * time.Millisecond
	// failureDelay is the time to the next request after a failed one.
	failureDelay = 100 * time.Millisecond
	// restMemory is how long an owner's word that it expects no fractions counts.
	restMemory = 200 * time.Millisecond
	// redirectTerm is how long another owner named by the asked one is used.
	redirectTerm = time.Second
)

// Ask is a grant request to send to a pool owner.
type Ask struct {
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
	names         []string // of the accounts, sorted
}

// stock is the tokens and the demand of one account.
type stock struct {
	limits   Limits
	batches  []batch // by time of arrival
	settled  []Settled
	arrivals decayingCount // with demandMemory
	rush     decayingCount // with rushMemory
	refusals decayingCount // with refusalMemory

	lastArrival  time.Duration
	arrived      bool
	waiting      int // callers that wait for the answer to a request
	inFlight     int // requests without an answer
	pending      int // tokens that they ask for
	nextAsk      time.Duration
	settledSince time.Duration
	unusedSince  time.Duration
	starvedUntil time.Duration // the owner has no tokens before
	partial      bool          // its pool lacked fractions when it last answered
	formingSince time.Duration
	forming      bool
	restingUntil time.Duration // the owner expects no fractions before
	restHeardAt  time.Duration // when it said so
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
	r.names = slices.Sorted(maps.Keys(accounts))
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
func (r *Requester) Due(now time.Duration, localLevel func(account string) float64) (Ask, bool) {
	ask := Ask{Owner: r.target(now)}
	if ask.Owner == "" {
		return Ask{}, false
	}
	for _, account := range r.names {
		s := r.accounts[account]
		s.expire(now)
		want, due := s.due(now, localLevel(account), r.roundTrip, r.instances)
		if !due {
			continue
		}
		s.inFlight++
		s.pending += want
		s.nextAsk = now + requestGap
		ask.Demands = append(ask.Demands, Demand{Account: account, Want: want, Settled: s.settled})
		s.settled = nil
	}
	return ask, len(ask.Demands) > 0
}

// due returns how many tokens to ask for, and whether to ask now.
func (s *stock) due(now time.Duration, local float64, roundTrip time.Duration, instances int) (int, bool) {
	if s.inFlight >= requestsInFlight || now < s.nextAsk || now < s.starvedUntil {
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
	if s.unused() > 0 && now-s.unusedSince >= settleDelay {
		return true
	}
	return len(s.settled) > 0 && now-s.settledSince >= settleDelay && s.small(instances)
}

// small reports whether the burst is too small for a token in stock at each instance.
func (s *stock) small(instances int) bool {
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
	if expected < littleDemand && roundTrip < nearRoundTrip {
		return 0
	}
	allowed := int(s.limits.Burst * stockPart * min(1, demand/max(s.limits.Rate, 1)))
	if !s.small(instances) {
		allowed = max(1, allowed)
	}
	return min(allowed, max(1, int(math.Ceil(expected+math.Sqrt(expected)))))
}

// demand estimates the arrivals per second.
func (s *stock) demand(now time.Duration) float64 {
	steady := s.arrivals.value(now, demandMemory) / demandMemory.Seconds()
	rush := s.rush.value(now, rushMemory)
	if rush < rushCount {
		return steady
	}
	return max(steady, rush/rushMemory.Seconds())
}

func (s *stock) warm(now time.Duration) bool {
	return s.arrived && now-s.lastArrival < warmTerm
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
		s.settle(now, b, 0, b.tokens)
		return true
	})
}

func (s *stock) settle(now time.Duration, b batch, used, unused int) {
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
	s.settled = append(s.settled, Settled{Epoch: b.epoch, Slot: b.slot, Used: used, Unused: unused})
}

// Granted takes the answer to ask, which was sent at sentAt. An account that the answer leaves
// out is asked for again later.
func (r *Requester) Granted(now, sentAt time.Duration, ask Ask, epoch uint64, grants []Grant) {
	r.answered(now, ask)
	r.measure(now - sentAt)
	for _, g := range grants {
		s := r.accounts[g.Account]
		if s == nil {
			continue
		}
		if g.NoPool {
			s.noPool(now)
			s.rest(now, g.RetryAfter)
			r.follow(now, ask.Owner, g.Owner)
			continue
		}
		s.forming, s.restingUntil = false, 0
		s.nextAsk = now
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
		s.starvedUntil = now + g.RetryAfter
	}
}

// noPool sets the time of the next request while the owner has no fractions.
func (s *stock) noPool(now time.Duration) {
	if !s.forming {
		s.forming, s.formingSince = true, now
	}
	s.nextAsk = now + formingDelay
	if now-s.formingSince > formingLimit {
		s.nextAsk = now + failureDelay
	}
}

// rest notes that the owner expects no fractions for a while.
func (s *stock) rest(now, term time.Duration) {
	s.restingUntil, s.restHeardAt = now+term, now
}

// restLeft returns for how long the owner expects no fractions, if it has said so lately. Later it is asked again, since
// it only estimates the time.
func (s *stock) restLeft(now time.Duration) time.Duration {
	if now-s.restHeardAt >= restMemory {
		return 0
	}
	return max(0, s.restingUntil-now)
}

// follow turns to another owner that the asked one named. An owner reached that way which has
// no fractions either is left again.
func (r *Requester) follow(now time.Duration, asked, named string) {
	if r.redirect == asked {
		r.redirect = ""
		return
	}
	if named != "" && named != asked {
		r.redirect, r.redirectUntil = named, now+redirectTerm
	}
}

// Failed ends a request without an answer.
func (r *Requester) Failed(now time.Duration, ask Ask) {
	if ask.Owner != "" && r.redirect == ask.Owner {
		r.redirect = ""
	}
	r.answered(now, ask)
}

// answered ends a request. Until a grant says otherwise, the next one waits.
func (r *Requester) answered(now time.Duration, ask Ask) {
	for _, d := range ask.Demands {
		if s := r.accounts[d.Account]; s != nil {
			s.inFlight = max(0, s.inFlight-1)
			s.pending = max(0, s.pending-d.Want)
			s.nextAsk = now + failureDelay
		}
	}
}

func (r *Requester) measure(roundTrip time.Duration) {
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
	s.settle(now, *b, 1, 0)
	if b.tokens == 0 {
		s.batches = s.batches[1:]
	}
	return true
}

// retryAfter estimates when a caller that is refused now finds a token: when the owner has one
// again, and after those refused shortly before.
func (s *stock) retryAfter(now time.Duration) time.Duration {
	queue := refillTime(1+s.refusals.value(now, refusalMemory), s.limits.Rate)
	return max(queue, s.starvedUntil-now, s.restingUntil-now)
}
