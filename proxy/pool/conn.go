package pool

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/fairqueue"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// upstreamConn is a connection to a server.
type upstreamConn struct {
	conn        *meteredConn
	frontend    *pgproto3.Frontend
	pid         uint32
	secret      []byte
	incarnation uint64
	dial        dialFunc
	lastUsed    time.Time // when the connection was opened or last released
}

// connect opens a connection with the proxy's own credentials and reads the server's incarnation.
func connect(ctx context.Context, cfg Config, address string) (*upstreamConn, error) {
	pc, err := dbgroup.ConnConfig(dbgroup.Config{
		Address: address, User: cfg.User, Password: cfg.Password, Dial: meteredDial(cfg.Dial),
	})
	if err != nil {
		return nil, err
	}
	c, err := pgconn.ConnectConfig(ctx, pc)
	if err != nil {
		return nil, err
	}
	incarnation, err := cfg.ReadIncarnation(ctx, c)
	if err != nil {
		_ = c.Close(ctx)
		return nil, err
	}
	// pgconn may still be reading in the background, and would take a response from the user of the connection.
	if err := c.SyncConn(ctx); err != nil {
		_ = c.Close(ctx)
		return nil, err
	}
	h, err := c.Hijack()
	if err != nil {
		_ = c.Close(ctx)
		return nil, err
	}
	m, ok := h.Conn.(*meteredConn)
	if !ok {
		_ = h.Conn.Close()
		return nil, errors.New("connection to the server was wrapped; connect without encryption")
	}
	m.startupDone = true
	return &upstreamConn{
		conn: m, frontend: h.Frontend, pid: h.PID, secret: h.SecretKey,
		incarnation: incarnation, dial: cfg.Dial, lastUsed: time.Now(),
	}, nil
}

// session identifies the connection's session on the server.
func (u *upstreamConn) session() dbgroup.Session {
	return dbgroup.Session{Incarnation: u.incarnation, PID: u.pid}
}

func (u *upstreamConn) close() {
	_ = u.conn.Close()
}

// usable reports whether the server answers an empty query on an idle connection in time. This detects
// a path that drops packets before a statement is sent over it.
func (u *upstreamConn) usable(timeout time.Duration) bool {
	_ = u.conn.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = u.conn.SetDeadline(time.Time{}) }()
	return engine.RunAndCheckIdle(u.frontend, "")
}

// cancel sends a cancel request for the running statement over a separate connection.
func (u *upstreamConn) cancel(ctx context.Context) error {
	c, err := u.dial(ctx, "tcp", u.conn.RemoteAddr().String())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	request := pgproto3.CancelRequest{ProcessID: u.pid, SecretKey: u.secret}
	buf, err := request.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.Write(buf); err != nil {
		return err
	}
	_, _ = c.Read(make([]byte, 1)) // the server closes the connection once it has handled the request
	return nil
}

// pooledConn is a connection in use by one caller. It implements engine.Conn.
type pooledConn struct {
	server   *server
	upstream *upstreamConn
	request  fairqueue.RequestID // holds the slot; 0 between EndStatement and BeginStatement
	account  string
	weight   int
}

// Frontend implements engine.Conn.
func (c *pooledConn) Frontend() *pgproto3.Frontend {
	return c.upstream.frontend
}

// SetDeadline implements engine.Conn.
func (c *pooledConn) SetDeadline(t time.Time) error {
	return c.upstream.conn.SetDeadline(t)
}

// Cancel implements engine.Conn.
func (c *pooledConn) Cancel(ctx context.Context) error {
	return c.upstream.cancel(ctx)
}

// EndStatement implements engine.Conn.
func (c *pooledConn) EndStatement() {
	if c.request == 0 {
		return
	}
	c.server.release(c.request, false)
	c.request = 0
}

// BeginStatement implements engine.Conn.
func (c *pooledConn) BeginStatement(ctx context.Context, timeout time.Duration) error {
	if c.request != 0 {
		return nil
	}
	id, err := c.server.acquireSlot(ctx, c.account, c.weight, timeout, true)
	c.request = id
	return err
}

// Release implements engine.Conn.
func (c *pooledConn) Release(reuse bool) {
	s := c.server
	s.mu.Lock()
	delete(s.inUse, c.upstream)
	s.mu.Unlock()
	if reuse {
		s.putIdle(c.upstream)
	} else {
		c.upstream.close()
	}
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyGranted(s.queue.ReleaseSlot(now, c.request))
	s.notifyGranted(s.queue.ReleaseConnection(now))
}

// Raw returns the connection's byte stream, so that it can be lent to another instance.
func (c *pooledConn) Raw() net.Conn {
	return c.upstream.conn
}
