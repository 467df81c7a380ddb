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

// upstreamConn is one connection to a server.
type upstreamConn struct {
	conn        *meteredConn
	frontend    *pgproto3.Frontend
	pid         uint32
	secret      []byte
	incarnation uint64
	dial        dialFunc
	lastUsed    time.Time // last use
}

// connect opens a connection with the proxy's own credentials and learns the server's incarnation.
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

// session returns the server's name of the connection.
func (u *upstreamConn) session() dbgroup.Session {
	return dbgroup.Session{Incarnation: u.incarnation, PID: u.pid}
}

func (u *upstreamConn) close() {
	_ = u.conn.Close()
}

// usable checks an idle connection: an empty query must be answered in time. This finds a path that
// swallows packets before a statement is sent over it.
func (u *upstreamConn) usable(timeout time.Duration) bool {
	_ = u.conn.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = u.conn.SetDeadline(time.Time{}) }()
	return engine.RunAndCheckIdle(u.frontend, "")
}

// cancel sends a cancel request for the running statement over a connection of its own.
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
	_, _ = c.Read(make([]byte, 1)) // the server closes once it has handled the request
	return nil
}

// pooledConn is a connection lent to one caller. It implements engine.Conn.
type pooledConn struct {
	server   *server
	upstream *upstreamConn
	request  fairqueue.RequestID // 0 while the slot is given back
	account  string
	weight   int
}

// Frontend implements engine.Conn.
func (l *pooledConn) Frontend() *pgproto3.Frontend {
	return l.upstream.frontend
}

// SetDeadline implements engine.Conn.
func (l *pooledConn) SetDeadline(t time.Time) error {
	return l.upstream.conn.SetDeadline(t)
}

// Cancel implements engine.Conn.
func (l *pooledConn) Cancel(ctx context.Context) error {
	return l.upstream.cancel(ctx)
}

// EndStatement implements engine.Conn.
func (l *pooledConn) EndStatement() {
	if l.request == 0 {
		return
	}
	l.server.release(l.request, false)
	l.request = 0
}

// BeginStatement implements engine.Conn.
func (l *pooledConn) BeginStatement(ctx context.Context, timeout time.Duration) error {
	if l.request != 0 {
		return nil
	}
	id, err := l.server.acquireSlot(ctx, l.account, l.weight, timeout, true)
	l.request = id
	return err
}

// Release implements engine.Conn.
func (l *pooledConn) Release(reuse bool) {
	s := l.server
	s.mu.Lock()
	delete(s.inUse, l.upstream)
	s.mu.Unlock()
	if reuse {
		s.putIdle(l.upstream)
	} else {
		l.upstream.close()
	}
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.queue.ReleaseSlot(now, l.request))
	s.wake(s.queue.ReleaseConnection(now))
}

// Raw returns the connection's byte stream, for lending it to another instance.
func (l *pooledConn) Raw() net.Conn {
	return l.upstream.conn
}
