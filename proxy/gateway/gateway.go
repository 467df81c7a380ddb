package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// rollbackTimeout bounds the end of a transaction; the connection is closed after it.
	rollbackTimeout = time.Second
	// acceptRetryDelay is the wait after a failed accept, such as for want of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Gateway serves callers.
type Gateway struct {
	cfg            Config
	pool           *pool
	borrower       *borrower
	lendingStopped atomic.Bool // no connections are lent any more
	ctx            context.Context
	cancel         context.CancelFunc

	mu              sync.Mutex
	views           map[string]*view
	sessions        map[*session]struct{}
	admissionQueues map[admissionKey]*admissionQueue
	stopping        bool
	// onSuspect is told about servers that did not answer.
	onSuspect func(database, server string)

	running sync.WaitGroup // sessions
}

// New returns a gateway; Maintain keeps its connections in order.
func New(cfg Config) *Gateway {
	ctx, end := context.WithCancel(context.Background())
	return &Gateway{
		cfg: cfg, pool: newPool(cfg), borrower: newBorrower(cfg.Conns, cfg.Now), ctx: ctx, cancel: end,
		views: map[string]*view{}, sessions: map[*session]struct{}{}, admissionQueues: map[admissionKey]*admissionQueue{},
		onSuspect: func(string, string) {},
	}
}

// Maintain looks after idle connections until ctx ends.
func (g *Gateway) Maintain(ctx context.Context) {
	wait.Every(ctx, reapPeriod, func() {
		g.pool.reap(g.usable)
		g.dropUnusedQueues()
	})
}

// usable reports whether a server of a database may still get work.
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
		ok = known && !s.Leaving
	})
	return ok
}

// SetServers takes the entries of all registered servers.
func (g *Gateway) SetServers(entries []discovery.Server) {
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
		if _, some := byDatabase[name]; !some {
			emptied = append(emptied, v)
		}
	}
	g.mu.Unlock()
	for _, v := range emptied {
		v.register(nil)
	}
}

// view returns the view of a database.
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

// reportSuspect reports a server that did not answer.
func (g *Gateway) reportSuspect(v *view, server string) {
	g.onSuspect(v.name, server)
}

// Serve accepts callers until the listener is closed.
func (g *Gateway) Serve(l net.Listener) {
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

// startSession begins the session of a caller.
func (g *Gateway) startSession(conn net.Conn) {
	n := &session{gw: g, conn: conn, codec: g.cfg.CallerCodec(callerConn{conn})}
	g.mu.Lock()
	g.sessions[n] = struct{}{}
	n.stopping = g.stopping
	g.mu.Unlock()
	g.running.Go(func() {
		n.serve()
		g.mu.Lock()
		delete(g.sessions, n)
		g.mu.Unlock()
	})
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// StopLending makes other instances look for connections elsewhere. Transactions that use some go on.
func (g *Gateway) StopLending() {
	g.lendingStopped.Store(true)
}

// EndIdle ends the sessions that wait for a request and have no open transaction, so that their callers
// connect to another instance.
func (g *Gateway) EndIdle() {
	for _, n := range g.openSessions(false) {
		n.stop(false)
	}
}

// openSessions returns the open sessions. With stopping, later ones end after their first operation.
func (g *Gateway) openSessions(stopping bool) []*session {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = g.stopping || stopping
	out := make([]*session, 0, len(g.sessions))
	for n := range g.sessions {
		out = append(out, n)
	}
	return out
}

// Shutdown ends idle sessions at once and the others as soon as they are idle. Open transactions get
// transactionTime; what is left when ctx ends is cut.
func (g *Gateway) Shutdown(ctx context.Context, transactionTime time.Duration) {
	for _, n := range g.openSessions(true) {
		n.stop(false)
	}
	idle := make(chan struct{})
	go func() {
		g.running.Wait()
		close(idle)
	}()
	timer := time.NewTimer(transactionTime)
	defer timer.Stop()
	select {
	case <-idle:
		return
	case <-timer.C:
	}
	for _, n := range g.openSessions(true) {
		n.stop(true)
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	g.cancel()
}

// rollBackAndRelease ends what is open on a connection and gives it back, without holding up the caller.
func (g *Gateway) rollBackAndRelease(u *upstream) {
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
	go func() {
		a, err := u.receive()
		ended := err == nil && a.code == "" && u.state == sessionstate.Idle
		g.pool.release(u, ended)
	}()
}
