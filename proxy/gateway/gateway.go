package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/evacuation"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// rollbackTimeout bounds the rollback of a transaction; after it the connection is closed.
	rollbackTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when file descriptors run out.
	acceptRetryDelay = 20 * time.Millisecond
	// sessionPollInterval is how often a stop checks whether sessions are open.
	sessionPollInterval = 5 * time.Millisecond
)

// Gateway serves the sessions of callers.
type Gateway struct {
	cfg            Config
	pool           *pool
	borrower       *borrower
	cold           coldServers
	lendingStopped atomic.Bool // this instance accepts no new work from borrowers
	evacuations    atomic.Pointer[evacuation.Set]
	ctx            context.Context
	cancel         context.CancelFunc
	evacuationWaits

	mu              sync.Mutex
	views           map[string]*view
	sessions        map[*session]struct{}
	admissionQueues map[admissionKey]*admissionQueue
	stopping        bool
	// onSuspect is called with servers that did not answer.
	onSuspect func(database, server string)
	listener  net.Listener // of callers
}

// New returns a gateway. Run Maintain to expire its idle connections.
func New(cfg Config) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		cfg: cfg, pool: newPool(cfg), borrower: newBorrower(cfg), ctx: ctx, cancel: cancel,
		evacuationWaits: evacuationWaits{byDomain: map[string]map[*evacuationWait]bool{}},
		views:           map[string]*view{}, sessions: map[*session]struct{}{}, admissionQueues: map[admissionKey]*admissionQueue{},
		onSuspect: func(string, string) {},
	}
	g.pool.hasOneScheduler = g.hasOneScheduler
	return g
}

// Maintain closes idle connections and drops unused admission queues until ctx ends.
func (g *Gateway) Maintain(ctx context.Context) {
	wait.Every(ctx, reapPeriod, func() {
		g.pool.reap(g.usable)
		g.dropUnusedQueues()
		g.observeSchedulers()
		g.maintainColdServers()
		g.endStaleTransactions()
	})
}

func (g *Gateway) mayUseLeader() bool {
	return g.cfg.MayUseLeader == nil || g.cfg.MayUseLeader()
}

// usable reports whether a server is registered, and neither leaving nor evacuated, so that it may get new work.
func (g *Gateway) usable(database, id string) (ok bool) {
	g.mu.Lock()
	v := g.views[database]
	g.mu.Unlock()
	if v == nil {
		return false
	}
	v.withLock(func(now time.Duration, group *placement.Group) {
		group.Expire(now)
		s, known := group.Server(id)
		ok = known && !s.Leaving && !s.Evacuated
	})
	return ok
}

// SetServers replaces the entries of all registered servers.
func (g *Gateway) SetServers(entries []discovery.Server) {
	g.cold.learn(g.cfg.Now(), entries) // before statements can be placed on a server that is cold
	byDatabase := map[string][]discovery.Server{}
	for _, e := range entries {
		byDatabase[e.Database] = append(byDatabase[e.Database], e)
	}
	for name, servers := range byDatabase {
		g.view(name).register(servers)
	}
	g.mu.Lock()
	var emptied []*view
	for name, v := range g.views {
		if _, registered := byDatabase[name]; !registered {
			emptied = append(emptied, v)
		}
	}
	g.mu.Unlock()
	for _, v := range emptied {
		v.register(nil)
	}
}

// view returns the view of a database and creates it on first use.
func (g *Gateway) view(name string) *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.views[name]
	if v == nil {
		v = newView(name, g.cfg.Local, g.cfg.Now)
		g.views[name] = v
	}
	return v
}

// reportSuspect reports a server that did not answer to the OnSuspect callback.
func (g *Gateway) reportSuspect(v *view, server string) {
	g.onSuspect(v.name, server)
}

// Serve accepts callers until the listener is closed.
func (g *Gateway) Serve(l net.Listener) {
	g.mu.Lock()
	g.listener = l
	g.mu.Unlock()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			g.startSession(conn)
		case g.ctx.Err() != nil || isClosed(err):
			return
		default:
			g.cfg.Log.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// startSession starts the session of a caller.
func (g *Gateway) startSession(conn net.Conn) {
	sess := &session{gw: g, conn: conn, codec: g.cfg.CallerCodec(callerConn{conn})}
	g.mu.Lock()
	g.sessions[sess] = struct{}{}
	sess.stopping = g.stopping
	g.mu.Unlock()
	go func() {
		sess.serve()
		g.mu.Lock()
		delete(g.sessions, sess)
		g.mu.Unlock()
	}()
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// StopLending refuses new work from other instances, which then get their connections elsewhere. Borrowed
// transactions that are open continue.
func (g *Gateway) StopLending() {
	g.lendingStopped.Store(true)
}

// EndIdle ends the sessions that wait for a request outside a transaction, so that their callers connect to
// another instance.
func (g *Gateway) EndIdle() {
	for _, sess := range g.openSessions(false) {
		sess.stop(false)
	}
}

// openSessions returns the open sessions. With stopping, sessions opened later end after their first operation.
func (g *Gateway) openSessions(stopping bool) []*session {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = g.stopping || stopping
	out := make([]*session, 0, len(g.sessions))
	for sess := range g.sessions {
		out = append(out, sess)
	}
	return out
}

// Shutdown ends idle sessions at once and the others as soon as they are idle. Open transactions get
// transactionTime to finish. Then, or once no session is left, no more callers are accepted and all sessions are stopped;
// those opened last are still answered before it returns. When ctx ends, the remaining work is canceled.
func (g *Gateway) Shutdown(ctx context.Context, transactionTime time.Duration) {
	for _, sess := range g.openSessions(true) {
		sess.stop(false)
	}
	transactions, cancel := context.WithTimeout(ctx, transactionTime)
	defer cancel()
	g.awaitNoSession(transactions)
	g.closeListener()
	for _, sess := range g.openSessions(true) {
		sess.stop(true)
	}
	g.awaitNoSession(ctx)
	g.cancel()
}

// awaitNoSession waits until no session is open or ctx ends.
func (g *Gateway) awaitNoSession(ctx context.Context) {
	for g.Sessions() > 0 && wait.For(ctx, sessionPollInterval) {
	}
}

func (g *Gateway) closeListener() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		_ = g.listener.Close()
	}
}

// rollBackAndRelease rolls back an open transaction and returns the connection to the pool without blocking.
func (g *Gateway) rollBackAndRelease(u *upstreamConn) {
	if u.state == sessionstate.Idle {
		u.changedInTransaction = false
		g.pool.release(u, true)
		return
	}
	u.stateUnknown = u.stateUnknown || u.changedInTransaction
	u.changedInTransaction = false
	u.setDeadline(rollbackTimeout)
	u.codec.Rollback()
	if err := u.codec.Flush(); err != nil {
		g.pool.release(u, false)
		return
	}
	g.pool.beginReturn(u)
	go func() {
		var a answer
		err := contain.Call(func() (err error) {
			a, err = u.receive()
			return err
		})
		g.pool.endReturn(u, err == nil && a.code == "" && u.state == sessionstate.Idle)
	}()
}
