package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmetadata"

	"github.com/cyclamenstile/cyclamenstile/decision/coldstart"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// coldPollInterval is the longest time between two checks of a statement that waits for its turn at a cold server.
	coldPollInterval = 20 * time.Millisecond
	// presumedColdTime is how long a server is taken to be cold that broke off a connection, while its entry can't be read.
	presumedColdTime = 30 * time.Second
	// maxSampleAge is the age above which the position of a cold leader is of no use to other instances. Routes with a staleness
	// bound allow a few seconds.
	maxSampleAge = 10 * time.Second
	// coldMetadataKey is the metadata of a call to a lender that tells it of a cold server.
	coldMetadataKey = "cold"
)

// errColdServer reports that a cold server may not get a statement now.
var errColdServer = errors.New("the server has just started and may not get more statements now")

// newColdError returns the refusal of a statement by a cold server that has a turn after a delay.
func newColdError(after time.Duration) *notSentError {
	return &notSentError{noFreeConnection: true, serverBusy: true, cold: true, retryAfter: after, cause: errColdServer}
}

// coldServers holds the servers that are cold, and those listed that were when this instance learned of them.
type coldServers struct {
	mu    sync.Mutex
	known map[admissionKey]*coldServer
}

// coldServer is one run of a server. The mutex of coldServers guards it.
type coldServer struct {
	server   discovery.Server
	listed   bool
	period   coldstart.Period
	toldRate float64 // according to another instance
	budget   *coldstart.Budget
	// brokenUntil is when a restart that its entry does not show is not presumed any more; 0 if no connection broke.
	brokenUntil time.Duration
	heldUntil   time.Duration // this instance sends no request to the lender before
	announced   bool          // the beginning of the period was logged; used by maintainColdServers only
}

func keyOf(s discovery.Server) admissionKey {
	return admissionKey{s.Database, s.ID, s.Started}
}

// get returns the state of a server and creates it on first use. c.mu must be held.
func (c *coldServers) get(now time.Duration, s discovery.Server) *coldServer {
	if c.known == nil {
		c.known = map[admissionKey]*coldServer{}
	}
	key := keyOf(s)
	if c.known[key] == nil {
		c.known[key] = &coldServer{server: s, budget: coldstart.NewBudget(now, rand.Float64())}
	}
	return c.known[key]
}

// newestRun returns the state of a server's newest known run, or nil. A borrower may know only the run before. c.mu must be held.
func (c *coldServers) newestRun(s discovery.Server) *coldServer {
	newest := c.known[keyOf(s)]
	for key, cold := range c.known {
		isLater := key.started > s.Started && (newest == nil || key.started > newest.server.Started)
		if key.database == s.Database && key.server == s.ID && isLater {
			newest = cold
		}
	}
	return newest
}

// learn applies the entries of all registered servers.
func (c *coldServers) learn(now time.Duration, entries []discovery.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.known {
		s.listed = false
	}
	for _, e := range entries {
		if e.WarmupRemaining <= 0 && c.known[keyOf(e)] == nil {
			continue
		}
		s := c.get(now, e)
		s.server, s.listed = e, true
		s.period.Learn(now, e.Revision, e.WarmupRemaining)
	}
}

// coldNews tells a lender of a cold server that it may not know to be cold. It is the value of coldMetadataKey.
type coldNews struct {
	Rate        float64 `json:"rate"` // statements per second
	RemainingMS int64   `json:"remaining_ms"`
}

// withColdNews adds to a call what its lender has to know of a cold server.
func (g *Gateway) withColdNews(ctx context.Context, s discovery.Server) context.Context {
	cold := g.coldState(s)
	if cold == nil || cold.presumed {
		return ctx
	}
	value, err := json.Marshal(coldNews{Rate: cold.rate, RemainingMS: cold.remaining.Milliseconds()})
	if err != nil {
		return ctx // a rate that is not a number
	}
	return drpcmetadata.Add(ctx, coldMetadataKey, string(value))
}

// learnColdNews applies what the call of a borrower tells of a server.
func (g *Gateway) learnColdNews(ctx context.Context, s discovery.Server) {
	metadata, _ := drpcmetadata.Get(ctx)
	value, ok := metadata[coldMetadataKey]
	var news coldNews
	if !ok || json.Unmarshal([]byte(value), &news) != nil {
		return
	}
	now := g.cfg.Now()
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	cold := g.cold.get(now, s)
	cold.toldRate = news.Rate
	cold.period.Tell(now, time.Duration(news.RemainingMS)*time.Millisecond)
}

// coldState is the state of a server that is cold.
type coldState struct {
	*coldServer
	server    discovery.Server
	rate      float64 // statements per second
	remaining time.Duration
	presumed  bool // this instance can't know whether the server has started again
}

// coldState returns the state of a server, nil if it is not cold or its database has no rate for cold servers.
func (g *Gateway) coldState(s discovery.Server) *coldState {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	cold := g.cold.newestRun(s)
	if cold == nil {
		return nil
	}
	now := g.cfg.Now()
	remaining := cold.period.Remaining(now)
	presumed := remaining == 0 && cold.brokenUntil > now && !g.entriesCurrent()
	if presumed {
		remaining = cold.brokenUntil - now
	}
	rate := g.coldRate(s.Database, cold.toldRate)
	if remaining == 0 || !(rate > 0) {
		return nil
	}
	return &coldState{coldServer: cold, server: cold.server, rate: rate, remaining: remaining, presumed: presumed}
}

func (g *Gateway) entriesCurrent() bool {
	return g.cfg.EntriesCurrent == nil || g.cfg.EntriesCurrent()
}

// noteBrokenConnection records that a server broke off or refused a connection. If its entry can't be read, it may have started
// again and be cold.
func (g *Gateway) noteBrokenConnection(s discovery.Server, err error) {
	broken := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNREFUSED)
	if !broken || !(g.coldRate(s.Database, 0) > 0) {
		return
	}
	now := g.cfg.Now()
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	g.cold.get(now, s).brokenUntil = now + presumedColdTime
}

// coldRate returns the rate of the cold servers of a database from the configuration, or else the one told.
func (g *Gateway) coldRate(database string, told float64) float64 {
	if snapshot := g.cfg.Directory.Current(); snapshot != nil {
		if d, ok := snapshot.Database(database); ok {
			return d.ColdRate
		}
	}
	return told
}

// IsCold reports whether a server is slow because it has just started, and its database limits what it gets meanwhile.
func (g *Gateway) IsCold(s discovery.Server) bool {
	return g.coldState(s) != nil
}

// WarmupRemaining returns how much longer a server is slow after its start, whether or not its database has a rate for cold servers.
func (g *Gateway) WarmupRemaining(s discovery.Server) time.Duration {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	cold := g.cold.known[keyOf(s)]
	if cold == nil {
		return 0
	}
	return cold.period.Remaining(g.cfg.Now())
}

// coldAllowance returns how many statements per second this instance may send to a cold server.
func (g *Gateway) coldAllowance(cold *coldState) float64 {
	rank := g.coldRank(cold.server)
	g.cold.mu.Lock()
	becameFirst := cold.budget.SetRank(g.cfg.Now(), rank)
	g.cold.mu.Unlock()
	allowance := coldstart.Allowance(g.cfg.Cold.Limit(cold.rate), rank, g.reachedFraction())
	g.cfg.Log.coldAllowance(cold.server, allowance)
	if becameFirst {
		g.cfg.Log.coldLender(cold.server, allowance)
	}
	return allowance
}

// coldRank returns this instance's place among the lenders of a cold server: how many would have to fail before it were chosen.
// Which of them don't answer this instance is not considered, as they may answer others.
func (g *Gateway) coldRank(s discovery.Server) int {
	if g.cfg.Lender == nil {
		return 0
	}
	before := make([]string, 0, coldstart.MaxRank)
	for rank := range coldstart.MaxRank {
		chosen := g.cfg.Lender(LendRequest{Server: s, Exclusive: true}, func(address string) bool { return slices.Contains(before, address) })
		if chosen == "" {
			return rank
		}
		before = append(before, chosen)
	}
	return coldstart.MaxRank
}

func (g *Gateway) reachedFraction() float64 {
	if g.cfg.ReachedFraction == nil {
		return 1
	}
	return g.cfg.ReachedFraction()
}

// coldTurn allows one statement at a cold server. A nil turn is for servers that are not cold.
type coldTurn struct {
	gateway *Gateway
	cold    *coldState
	ended   bool
}

// sent records that the statement is being sent.
func (t *coldTurn) sent() {
	if t == nil {
		return
	}
	t.end(func(b *coldstart.Budget) { b.Sent(t.gateway.cfg.Now()) })
	t.gateway.cfg.Log.coldSent(t.cold.server)
}

// cancel gives the turn back unless its statement was sent.
func (t *coldTurn) cancel() {
	if t != nil && !t.ended {
		t.end((*coldstart.Budget).Cancel)
	}
}

func (t *coldTurn) end(f func(*coldstart.Budget)) {
	t.gateway.cold.mu.Lock()
	defer t.gateway.cold.mu.Unlock()
	f(t.cold.budget)
	t.ended = true
}

// takeColdTurn returns the turn of a new statement, or refuses it with the time until the next one. The turn is nil if the
// server is not cold.
func (g *Gateway) takeColdTurn(d destination) (*coldTurn, error) {
	cold := g.coldState(d.server)
	if cold == nil {
		return nil, nil
	}
	if g.lendingStopped.Load() {
		return nil, newColdError(coldstart.Window) // another instance is the lender by now
	}
	allowance := g.coldAllowance(cold)
	g.cold.mu.Lock()
	ok, after := cold.budget.Take(g.cfg.Now(), allowance)
	g.cold.mu.Unlock()
	if !ok {
		g.cfg.Log.coldRefused(d, after)
		return nil, g.withSample(d, newColdError(after))
	}
	return &coldTurn{gateway: g, cold: cold}, nil
}

// awaitColdTurn waits for the turn of a statement in an open transaction and deducts the wait from the time of the work. It
// refuses only what can't get a turn in its time. The turn is nil if the server is not cold.
func (g *Gateway) awaitColdTurn(ctx context.Context, d destination, w *workItem) (*coldTurn, error) {
	cold := g.coldState(d.server)
	if cold == nil {
		return nil, nil
	}
	began := g.cfg.Now()
	g.cold.mu.Lock()
	ticket := cold.budget.Enqueue()
	g.cold.mu.Unlock()
	for {
		allowance := g.coldAllowance(cold)
		now := g.cfg.Now()
		g.cold.mu.Lock()
		ok, after := cold.budget.TakeQueued(now, allowance, ticket)
		g.cold.mu.Unlock()
		if ok {
			w.deductTime(now - began)
			return &coldTurn{gateway: g, cold: cold}, nil
		}
		inTime := now-began+after < w.timeLeft
		if inTime && wait.For(ctx, min(after, coldPollInterval)) && g.IsCold(d.server) {
			continue
		}
		g.cold.mu.Lock()
		cold.budget.Leave(ticket)
		g.cold.mu.Unlock()
		if inTime && ctx.Err() == nil {
			w.deductTime(g.cfg.Now() - began)
			return nil, nil // the cold period has ended
		}
		g.cfg.Log.coldRefused(d, after)
		return nil, newColdError(after)
	}
}

// checkColdHold refuses a statement for a cold server that has no turn yet according to its lender.
func (g *Gateway) checkColdHold(d destination) error {
	cold := g.coldState(d.server)
	if cold == nil {
		return nil
	}
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	if left := cold.heldUntil - g.cfg.Now(); left > 0 {
		return newColdError(left)
	}
	return nil
}

// withHeldServers adds the cold servers of a database that have no turn yet to the excluded ones.
func (g *Gateway) withHeldServers(database string, excluded []string) []string {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	now := g.cfg.Now()
	out := excluded
	for key, cold := range g.cold.known {
		if key.database == database && cold.heldUntil > now && cold.period.Remaining(now) > 0 {
			out = append(slices.Clip(out), key.server)
		}
	}
	return out
}

// heldRefusal returns the refusal of a read for which no server was found, if one would do that has no turn yet; otherwise nil.
func (sess *session) heldRefusal(t *tryState) *outcome.Error {
	if t.leaderOnly {
		return nil
	}
	floor, known := t.view.floor(t.grant.Route.MaxStaleness, sess.floor)
	if !known {
		return nil
	}
	s, _, ok := t.replica(floor, t.excluded)
	var held *notSentError
	if !ok || !errors.As(sess.gw.checkColdHold(destination{server: s}), &held) {
		return nil
	}
	return errColdRefused.WithRetryAfter(held.retryAfter)
}

// coldFailure handles the failure of a statement for a cold server. A lender's refusal for the limit holds back further statements
// until the next turn. A lender that can't be used proves that the statement was not sent; following ones go to the next lender.
// Other errors and servers are left as they are, also a refusal by the scheduler's queue, which concerns one account only.
func (g *Gateway) coldFailure(d destination, lender string, err error) error {
	if err == nil {
		return nil
	}
	cold := g.coldState(d.server)
	if cold == nil {
		return err
	}
	if isLenderUnavailable(err) {
		g.cfg.Log.coldLenderLost(d, lender, err)
		g.skipScheduler(d, lender)
		return newColdError(coldstart.Window) // the next lender counts the second before as full
	}
	var notSent *notSentError
	if !errors.As(err, &notSent) || !notSent.serverBusy || notSent.scheduled {
		return err
	}
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	cold.heldUntil = g.cfg.Now() + notSent.retryAfter
	return newColdError(notSent.retryAfter)
}

// leaderSample is a log position of a proven leader, and the age of the request that the leader answered with it.
type leaderSample struct {
	position position.Position
	age      time.Duration
}

// recordSample records what a statement of a borrower proves about a cold leader. The borrowers that are refused get it, because
// a cold leader answers too few statements for each instance to have a floor for its reads.
func (g *Gateway) recordSample(d destination, w *workItem, began time.Duration, r result, err error) {
	if err != nil || w.opening != openLeader || r.answer.code != "" || !g.IsCold(d.server) {
		return
	}
	g.recordLeader(g.view(d.server.Database), began, d.server.ID, r.position)
}

// withSample adds the newest sample of the leader to a refusal.
func (g *Gateway) withSample(d destination, e *notSentError) *notSentError {
	g.view(d.server.Database).withLock(func(now time.Duration, group *placement.Group) {
		if sent, p, ok := group.Samples.Latest(); ok && now-sent < maxSampleAge {
			e.sample = leaderSample{position: p, age: now - sent}
		}
	})
	return e
}

// learnSample records the sample in a lender's refusal of a call that began at the given time.
func (g *Gateway) learnSample(d destination, called time.Duration, err error) {
	var notSent *notSentError
	if !errors.As(err, &notSent) || notSent.sample.position.IsZero() {
		return
	}
	g.view(d.server.Database).read(func(group *placement.Group) {
		group.Samples.Add(called-notSent.sample.age, notSent.sample.position)
	})
}

// maintainColdServers logs the beginning and the end of cold periods, follows changes of the lender, and forgets servers that
// are gone.
func (g *Gateway) maintainColdServers() {
	for _, s := range g.trackedColdServers() {
		cold := g.coldState(s)
		if cold == nil {
			g.endCold(s)
			continue
		}
		if !cold.announced {
			cold.announced = true
			g.cfg.Log.coldBegan(s, cold.rate, cold.remaining)
		}
		g.coldAllowance(cold)
	}
}

func (g *Gateway) trackedColdServers() []discovery.Server {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	out := make([]discovery.Server, 0, len(g.cold.known))
	for _, cold := range g.cold.known {
		out = append(out, cold.server)
	}
	return out
}

// endCold logs the end of a cold period once. The state of a listed server is kept, so that its entry does not begin the period
// again.
func (g *Gateway) endCold(s discovery.Server) {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	cold := g.cold.known[keyOf(s)]
	if cold.announced {
		cold.announced = false
		g.cfg.Log.coldEnded(s)
	}
	now := g.cfg.Now()
	if !cold.listed && cold.period.Remaining(now) == 0 && now >= cold.brokenUntil {
		delete(g.cold.known, keyOf(s))
	}
}
