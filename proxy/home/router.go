package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Locator finds the home instance of a server.
type Locator interface {
	// Home returns the peer address of the server's home; self is true if it is this instance.
	Home(server authority.ServerID) (peerAddress string, self bool)
	// MarkUnreachable reports that the home at peerAddress did not answer. Home returns another
	// instance until it answers again.
	MarkUnreachable(peerAddress string)
}

// maxHomeAttempts is the number of instances tried for one request, two more than a single failure
// needs.
const maxHomeAttempts = 3

// Router implements engine.Pool. It acquires connections from the local pool if this instance is the
// server's home, and from the home instance otherwise.
type Router struct {
	Locator Locator
	Local   engine.Pool
	Remote  *Client

	outstanding sync.Map // authority.ServerID to *atomic.Int64
}

// Outstanding returns the number of connections to a server that this instance uses or waits for.
func (r *Router) Outstanding(server authority.ServerID) int {
	return int(r.counter(server).Load())
}

func (r *Router) counter(server authority.ServerID) *atomic.Int64 {
	if c, ok := r.outstanding.Load(server); ok {
		return c.(*atomic.Int64)
	}
	c, _ := r.outstanding.LoadOrStore(server, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// countedConn decrements the counter when the connection is released.
type countedConn struct {
	engine.Conn
	counter *atomic.Int64
}

// Release implements engine.Conn.
func (c *countedConn) Release(reuse bool) {
	c.counter.Add(-1)
	c.Conn.Release(reuse)
}

// countedLentConn is a countedConn for a connection lent by another instance.
type countedLentConn struct {
	countedConn
	lent engine.LentConn
}

// Waited implements engine.LentConn.
func (c *countedLentConn) Waited() time.Duration {
	return c.lent.Waited()
}

func newCountedConn(conn engine.Conn, counter *atomic.Int64) engine.Conn {
	c := countedConn{conn, counter}
	if lent, ok := conn.(engine.LentConn); ok {
		return &countedLentConn{c, lent}
	}
	return &c
}

// Acquire implements engine.Pool.
func (r *Router) Acquire(ctx context.Context, req engine.AcquireRequest) (engine.Conn, error) {
	counter := r.counter(req.Target.Server)
	counter.Add(1)
	conn, err := r.acquire(ctx, req)
	if err != nil {
		counter.Add(-1)
		return nil, err
	}
	return newCountedConn(conn, counter), nil
}

// acquire requests a connection from the home. If the home does not answer, it tries another instance
// at once, which is safe because no part of the statement was sent. A home that fails later is skipped
// by later requests.
func (r *Router) acquire(ctx context.Context, req engine.AcquireRequest) (engine.Conn, error) {
	for try := 1; ; try++ {
		address, self := r.Locator.Home(req.Target.Server)
		if self {
			return r.Local.Acquire(ctx, req)
		}
		conn, err := r.Remote.acquire(ctx, address, req, func() { r.Locator.MarkUnreachable(address) })
		var unreachable *unreachableError
		if err == nil || !errors.As(err, &unreachable) || ctx.Err() != nil {
			return conn, err
		}
		r.Locator.MarkUnreachable(address)
		if try == maxHomeAttempts {
			return nil, unreachable.outcome
		}
	}
}
