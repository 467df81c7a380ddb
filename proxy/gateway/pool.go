package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/connlimit"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
)

const (
	// connectTimeout bounds opening a connection, including the start of its session.
	connectTimeout = 700 * time.Millisecond
	// waiterLookahead is how many waiting statements are searched for one with the account of a returned
	// connection; a new connection costs the server execution time.
	waiterLookahead = 8
	// reapPeriod is the interval at which idle connections are checked.
	reapPeriod = 250 * time.Millisecond
)

// errNoFreeConnection reports that no connection became free in time.
var errNoFreeConnection = errors.New("no connection to the server became free in time")

// errServerFull reports that the server has reached its connection limit.
var errServerFull = errors.New("the server holds as many connections as it may")

// errWrongServer reports that the server is not the expected one or serves another database.
var errWrongServer = errors.New("the server at this address is another one")

// pool manages the connections to servers.
type pool struct {
	// hasOneScheduler reports whether one instance runs all statements of a server; nil: never.
	hasOneScheduler func(discovery.Server) bool

	cfg Config

	mu      sync.Mutex
	servers map[string]*serverPool
}

// serverPool holds the connections to one run of a server, from its start to its stop.
type serverPool struct {
	id, database, address string
	started               int64
	limit                 connlimit.Limit
	usage                 connlimit.Usage
	idle                  []*upstreamConn // most recently used last
	waiters               []*waiter
	returning             map[string]*returningConns // by account
	retired               bool
	link                  connlimit.Link
	inFlight              int           // statements sent and not answered
	answeredAt            time.Duration // 0 if never
	scheduledAt           time.Duration // when a statement last came to this instance as the server's scheduler
}

// waiter is a statement that waits for a connection.
type waiter struct {
	account  string
	priority int                // 0 is the highest
	granted  chan *upstreamConn // nil: the waiter may open a connection, which is already counted
}

func newPool(cfg Config) *pool {
	return &pool{cfg: cfg, servers: map[string]*serverPool{}}
}

// acquire returns a connection to a server for an account. While the server refuses further ones, it waits up to maxWait for one
// that is returned or accepted. It fails with errNoFreeConnection, errServerFull or the error of the connection; all of them
// prove that nothing was sent.
func (p *pool) acquire(ctx context.Context, d destination, values map[string]string, maxWait time.Duration) (*upstreamConn, error) {
	end := time.Now().Add(maxWait)
	for {
		u, err := p.tryAcquire(ctx, d, values, end)
		if !errors.Is(err, errServerFull) || !time.Now().Before(end) || ctx.Err() != nil {
			return u, err
		}
	}
}

// tryAcquire returns a connection, or errServerFull if the server refused the one that was opened. The next try then waits.
func (p *pool) tryAcquire(ctx context.Context, d destination, values map[string]string, end time.Time) (*upstreamConn, error) {
	account := d.account
	p.mu.Lock()
	sp := p.server(d)
	if u := sp.takeIdle(account, values); u != nil {
		p.mu.Unlock()
		return u, nil
	}
	action := sp.limit.NextAction(p.cfg.Now(), sp.usageFor(account))
	if action == connlimit.AwaitReturn {
		returned := sp.expectReturn(account)
		p.mu.Unlock()
		if u := p.awaitReturn(ctx, sp, account, returned); u != nil {
			return u, nil
		}
		p.mu.Lock()
		action = sp.limit.NextAction(p.cfg.Now(), sp.usage)
	}
	switch action {
	case connlimit.Open:
		sp.usage.Open++
		sp.usage.Opening++
		p.mu.Unlock()
		return p.open(ctx, sp, account)
	case connlimit.Replace:
		old := sp.takeOldest()
		sp.usage.Opening++
		p.mu.Unlock()
		p.discard(old)
		return p.open(ctx, sp, account)
	}
	w := &waiter{account: account, priority: d.priority, granted: make(chan *upstreamConn, 1)}
	sp.enqueue(w)
	p.mu.Unlock()
	return p.await(ctx, sp, w, end)
}

// enqueue inserts a waiter after those of its priority.
func (sp *serverPool) enqueue(w *waiter) {
	i := slices.IndexFunc(sp.waiters, func(other *waiter) bool { return other.priority > w.priority })
	if i < 0 {
		i = len(sp.waiters)
	}
	sp.waiters = slices.Insert(sp.waiters, i, w)
}

// server returns the pool of a server; a restarted server gets a new one. p.mu must be held.
func (p *pool) server(d destination) *serverPool {
	s := d.server
	sp := p.servers[s.ID]
	if sp == nil || sp.started != s.Started || sp.address != s.Address {
		p.retire(sp)
		sp = &serverPool{id: s.ID, database: s.Database, address: s.Address, started: s.Started, returning: map[string]*returningConns{}}
		p.servers[s.ID] = sp
	}
	sp.limit = p.limitFor(d)
	if sp.limit.Scheduler {
		sp.scheduledAt = p.cfg.Now()
	}
	return sp
}

// retire closes the idle connections to a server that is no longer used. The pool's mutex must be held.
func (p *pool) retire(sp *serverPool) {
	if sp == nil {
		return
	}
	sp.retired = true
	for _, u := range sp.idle {
		u.close()
	}
	sp.usage.Open -= len(sp.idle)
	sp.usage.Idle = 0
	sp.idle = nil
}

// await waits for a connection or for permission to open one, up to end.
func (p *pool) await(ctx context.Context, sp *serverPool, w *waiter, end time.Time) (*upstreamConn, error) {
	waiting, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	ticker := time.NewTicker(connlimit.MinFullBackoff)
	defer ticker.Stop()
	for {
		select {
		case u := <-w.granted:
			if u != nil {
				return u, nil
			}
			return p.open(ctx, sp, w.account)
		case <-ticker.C:
			if p.dequeueToOpen(sp, w) {
				return p.open(ctx, sp, w.account)
			}
		case <-waiting.Done():
			return nil, p.stopWaiting(sp, w)
		}
	}
}

// dequeueToOpen removes w from the queue if it is first and a connection may be opened now.
func (p *pool) dequeueToOpen(sp *serverPool, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(sp.waiters) == 0 || sp.waiters[0] != w || sp.limit.NextAction(p.cfg.Now(), sp.usage) != connlimit.Open {
		return false
	}
	sp.waiters = sp.waiters[1:]
	sp.usage.Open++
	sp.usage.Opening++
	return true
}

// stopWaiting removes a waiter from the queue and passes on what it was granted in the meantime.
func (p *pool) stopWaiting(sp *serverPool, w *waiter) error {
	p.mu.Lock()
	i := slices.Index(sp.waiters, w)
	if i >= 0 {
		sp.waiters = slices.Delete(sp.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return errNoFreeConnection
	}
	if u := <-w.granted; u != nil {
		p.release(u, true)
	} else {
		p.connectionClosed(sp)
		p.endOpening(sp)
	}
	return errNoFreeConnection
}

// open opens a connection that is already counted.
func (p *pool) open(ctx context.Context, sp *serverPool, account string) (*upstreamConn, error) {
	defer p.endOpening(sp)
	u, err := p.connect(ctx, sp, account)
	p.mu.Lock()
	if err == nil {
		sp.usage.Accepted()
		p.mu.Unlock()
		return u, nil
	}
	if errors.Is(err, errServerFull) {
		sp.usage.Refused(p.cfg.Now())
	}
	p.mu.Unlock()
	p.connectionClosed(sp)
	return nil, err
}

func (p *pool) connect(ctx context.Context, sp *serverPool, account string) (*upstreamConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	began := time.Now()
	conn, err := p.cfg.Dial(ctx, "tcp", sp.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to server %s", sp.id)
	}
	roundTrip := time.Since(began)
	u := &upstreamConn{conn: conn, codec: p.cfg.ServerCodec(conn), pool: sp, account: account}
	u.setDeadline(connectTimeout)
	var a answer
	err = contain.Call(func() (err error) {
		a, err = u.start()
		return err
	})
	if err == nil {
		err = startError(a)
	}
	if err != nil {
		u.close()
		return nil, errors.Wrapf(err, "start a session at server %s", sp.id)
	}
	p.recordRoundTrip(sp, roundTrip)
	p.cfg.Log.metrics.connects.Inc(1)
	p.cfg.Log.metrics.connectDuration.RecordValue(roundTrip.Seconds())
	return u, nil
}

func startError(a answer) error {
	switch a.code {
	case "":
		return nil
	case outcome.CodeTooManyConnections, outcome.CodeInsufficientResources:
		return errServerFull
	case outcome.CodeWrongServer:
		return errWrongServer
	}
	return errors.Newf("the server refused the session with code %s: %s", a.code, a.text)
}

// release returns a connection to the pool; without reuse it is closed.
func (p *pool) release(u *upstreamConn, reuse bool) {
	sp := u.pool
	p.mu.Lock()
	if !reuse || sp.retired {
		p.mu.Unlock()
		u.close()
		p.connectionClosed(sp)
		return
	}
	if w := sp.dequeueFor(u.account); w != nil {
		p.mu.Unlock()
		w.granted <- u
		return
	}
	if len(sp.waiters) > 0 && sp.limit.MayOpen(sp.usage) {
		w := sp.waiters[0]
		sp.waiters = sp.waiters[1:]
		sp.usage.Opening++
		p.mu.Unlock()
		p.discard(u)
		w.granted <- nil
		return
	}
	u.idleSince = p.cfg.Now()
	sp.idle = append(sp.idle, u)
	sp.usage.Idle = len(sp.idle)
	p.mu.Unlock()
}

// connectionClosed updates the count after a connection was closed and lets the next waiter open one.
func (p *pool) connectionClosed(sp *serverPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp.usage.Open--
	if len(sp.waiters) == 0 || sp.limit.NextAction(p.cfg.Now(), sp.usage) != connlimit.Open {
		return
	}
	w := sp.waiters[0]
	sp.waiters = sp.waiters[1:]
	sp.usage.Open++
	sp.usage.Opening++
	w.granted <- nil
}

// discard terminates a connection cleanly, so that the server frees it at once.
func (p *pool) discard(u *upstreamConn) {
	u.setDeadline(connectTimeout)
	u.codec.Terminate()
	_ = u.codec.Flush() // the connection is closed anyway
	u.close()
}

// dequeueFor removes and returns the first of the next waiterLookahead waiters that has this account.
func (sp *serverPool) dequeueFor(account string) *waiter {
	for i, w := range sp.waiters {
		if i == waiterLookahead {
			return nil
		}
		if w.account == account {
			sp.waiters = slices.Delete(sp.waiters, i, i+1)
			return w
		}
	}
	return nil
}

// takeIdle returns an idle connection of an account, preferably one that needs no setup.
func (sp *serverPool) takeIdle(account string, values map[string]string) *upstreamConn {
	found := -1
	for i := len(sp.idle) - 1; i >= 0; i-- {
		u := sp.idle[i]
		if u.account != account {
			continue
		}
		if found < 0 {
			found = i
		}
		if u.matches(values) {
			found = i
			break
		}
	}
	if found < 0 {
		return nil
	}
	return sp.take(found)
}

// takeOldest returns the idle connection that was unused for longest.
func (sp *serverPool) takeOldest() *upstreamConn {
	return sp.take(0)
}

func (sp *serverPool) take(i int) *upstreamConn {
	u := sp.idle[i]
	sp.idle = slices.Delete(sp.idle, i, i+1)
	sp.usage.Idle = len(sp.idle)
	return u
}

// reap closes connections that were idle for too long, and all idle ones of servers for which keep returns
// false.
func (p *pool) reap(keep func(database, id string) bool) {
	p.mu.Lock()
	var drop []*upstreamConn
	now := p.cfg.Now()
	for id, sp := range p.servers {
		if !keep(sp.database, id) {
			p.retire(sp)
			if sp.usage.Open <= 0 {
				delete(p.servers, id)
			}
			continue
		}
		sp.retired = false // the server may have been evacuated meanwhile
		drop = append(drop, sp.takeExpired(now)...)
	}
	p.mu.Unlock()
	for _, u := range drop {
		p.discard(u)
	}
}

// takeExpired removes and returns the connections that were idle for too long.
func (sp *serverPool) takeExpired(now time.Duration) []*upstreamConn {
	var drop []*upstreamConn
	for len(sp.idle) > 0 && now-sp.idle[0].idleSince > sp.idleTimeout(now) {
		drop = append(drop, sp.take(0))
		sp.usage.Open--
	}
	return drop
}
