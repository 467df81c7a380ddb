package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/fairqueue"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// requestIDs numbers the requests of all servers, so that no ID is used twice.
var requestIDs atomic.Uint64

// server holds the queue and the connections of one server.
type server struct {
	pool    *Pool
	address string
	opening chan struct{} // holds one token for each connection being opened

	mu          sync.Mutex
	queue       *fairqueue.Queue
	waiters     map[fairqueue.RequestID]chan struct{}
	idle        []*upstreamConn // most recently used last
	inUse       map[*upstreamConn]*silenceDetector
	querying    bool              // a query about stalled connections or a termination of sessions is in progress
	toTerminate []dbgroup.Session // sessions whose connections were closed as silent
	terminateAt time.Duration     // earliest time of the next attempt to terminate them
	openedTotal uint64
	closed      bool
}

func newServer(p *Pool, address string, limits fairqueue.Config) *server {
	return &server{
		pool:    p,
		address: address,
		opening: make(chan struct{}, p.cfg.MaxConcurrentConnects),
		queue:   fairqueue.New(limits),
		waiters: make(map[fairqueue.RequestID]chan struct{}),
		inUse:   make(map[*upstreamConn]*silenceDetector),
	}
}

func (s *server) resize(limits fairqueue.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Resize(limits)
	s.notifyGranted(s.queue.Grant(s.pool.now()))
}

func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeIdle()
}

func (s *server) hasIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle) > 0
}

func (s *server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.idle {
		u.close()
	}
	s.idle = nil
}

// acquire waits for a slot and the right to a connection, then takes an idle connection or opens one.
func (s *server) acquire(ctx context.Context, r engine.AcquireRequest) (engine.Conn, error) {
	id, err := s.acquireSlot(ctx, r.Account, r.Weight, r.Timeout, false)
	if err != nil {
		return nil, err
	}
	u, err := s.takeConn(ctx, r)
	if err != nil {
		s.release(id, true)
		return nil, err
	}
	s.trackInUse(u)
	return &pooledConn{server: s, upstream: u, request: id, account: r.Account, weight: r.Weight}, nil
}

// acquireSlot waits in the fair queue for a slot and, unless hasConn, for the right to a connection.
func (s *server) acquireSlot(ctx context.Context, account string, weight int, timeout time.Duration, hasConn bool) (fairqueue.RequestID, error) {
	id := fairqueue.RequestID(requestIDs.Add(1))
	now := s.pool.now()
	s.mu.Lock()
	s.queue.Expire(now)
	d := s.queue.Submit(now, fairqueue.Request{
		ID: id, Account: account, Weight: weight, Deadline: now + timeout, HasConnection: hasConn,
	})
	if d.Verdict == fairqueue.Granted {
		s.mu.Unlock()
		return id, nil
	}
	if d.Verdict == fairqueue.Refused {
		s.mu.Unlock()
		return 0, busyError(d.RetryAfter)
	}
	granted := make(chan struct{})
	s.waiters[id] = granted
	s.mu.Unlock()

	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-granted:
		return id, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.cancelWait(id, account, granted, !hasConn)
}

// cancelWait removes a request from the queue. If it was granted concurrently, the grant is released.
func (s *server) cancelWait(id fairqueue.RequestID, account string, granted chan struct{}, withConn bool) (fairqueue.RequestID, error) {
	s.mu.Lock()
	s.queue.Cancel(account, id)
	delete(s.waiters, id)
	s.mu.Unlock()
	select {
	case <-granted:
		s.release(id, withConn)
	default:
	}
	return 0, busyError(0)
}

// release releases a slot and, if withConn, the right to a connection.
func (s *server) release(id fairqueue.RequestID, withConn bool) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyGranted(s.queue.ReleaseSlot(now, id))
	if withConn {
		s.notifyGranted(s.queue.ReleaseConnection(now))
	}
}

// notifyGranted unblocks the callers whose requests were granted. s.mu must be held.
func (s *server) notifyGranted(ids []fairqueue.RequestID) {
	for _, id := range ids {
		close(s.waiters[id])
		delete(s.waiters, id)
	}
}

// takeConn returns an idle connection of the requested incarnation, or a new one. If a connection fails
// its check, those that have been idle for longer are closed too, so that a request waits for at most
// one check.
func (s *server) takeConn(ctx context.Context, r engine.AcquireRequest) (*upstreamConn, error) {
	for {
		u := s.takeIdle(r.Target.Incarnation)
		if u == nil {
			return s.openConn(ctx, r)
		}
		if !s.pool.needsCheck(u) || u.usable(s.pool.cfg.CheckTimeout) {
			return u, nil
		}
		u.close()
		s.mu.Lock()
		s.toTerminate = append(s.toTerminate, u.session())
		s.closeIdleBefore(u.lastUsed)
		s.mu.Unlock()
	}
}

// takeIdle returns the most recently used idle connection. It closes connections of other incarnations,
// because the server has closed its end of them.
func (s *server) takeIdle(incarnation uint64) *upstreamConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		u := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if u.incarnation == incarnation {
			return u
		}
		u.close()
	}
	return nil
}

// putIdle returns u to the idle connections, or closes it if the server was removed.
func (s *server) putIdle(u *upstreamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		u.close()
		return
	}
	u.lastUsed = time.Now()
	s.idle = append(s.idle, u)
}

// openConn opens a new connection. MaxConcurrentConnects prevents a connection storm after a failover
// or a restart of the server.
func (s *server) openConn(ctx context.Context, r engine.AcquireRequest) (*upstreamConn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer cancel()
	select {
	case s.opening <- struct{}{}:
		defer func() { <-s.opening }()
	case <-ctx.Done():
		return nil, unreachableError(r, ctx.Err())
	}
	u, err := connect(ctx, s.pool.cfg, s.address)
	if err != nil {
		return nil, unreachableError(r, err)
	}
	s.countOpened()
	if u.incarnation != r.Target.Incarnation {
		// The server has restarted or rewound its log since it was selected: its known log position
		// is not valid for this connection.
		s.putIdle(u)
		return nil, outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
			"server "+string(r.Target.Server)+" restarted while the statement was routed", "retry")
	}
	return u, nil
}

func busyError(retryAfter time.Duration) *outcome.Error {
	e := outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"all slots of the server are taken until after the statement's queue timeout",
		"retry later, send less at once or raise queueTimeout of the route")
	return e.WithRetryAfter(max(retryAfter, 10*time.Millisecond))
}

func unreachableError(r engine.AcquireRequest, err error) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"no connection to server "+string(r.Target.Server)+": "+err.Error(),
		"retry; see whether the server is up").WithRetryAfter(50 * time.Millisecond)
}
