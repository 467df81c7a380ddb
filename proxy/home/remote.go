package home

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// remoteConn is a connection lent by another instance. It implements engine.Conn; one goroutine
// at a time receives.
type remoteConn struct {
	stream   homepb.DRPCHomes_CheckoutClient
	cancel   context.CancelFunc
	frontend *pgproto3.Frontend
	rest     []byte // received data that was not read yet

	mu       sync.Mutex
	deadline *time.Timer
	expired  bool
}

func newRemoteConn(stream homepb.DRPCHomes_CheckoutClient, cancel context.CancelFunc) *remoteConn {
	c := &remoteConn{stream: stream, cancel: cancel}
	c.frontend = pgproto3.NewFrontend(reader{c}, writer{c})
	return c
}

// open sends the request and waits for the grant.
func (c *remoteConn) open(r engine.AcquireRequest) error {
	if err := c.SetDeadline(time.Now().Add(r.Timeout + grantAllowance)); err != nil {
		return err
	}
	err := c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Open{Open: &homepb.Open{
		Server:      string(r.Target.Server),
		Incarnation: r.Target.Incarnation,
		Account:     r.Account,
		Weight:      int32(r.Weight),
		TimeoutUs:   r.Timeout.Microseconds(),
	}}})
	if err != nil {
		return err
	}
	if err := c.awaitGrant(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (c *remoteConn) awaitGrant() error {
	m, err := c.stream.Recv()
	if err != nil {
		return c.cause(err)
	}
	if m.GetGranted() != nil {
		return nil
	}
	if refused := m.GetRefused(); refused != nil {
		e := outcome.New(outcome.NotRun, refused.GetCode(), refused.GetMessage(), refused.GetRemedy())
		e = e.WithRetryAfter(time.Duration(refused.GetRetryAfterUs()) * time.Microsecond)
		if refused.GetLeaving() {
			return &unreachableError{e}
		}
		return e
	}
	return errors.New("home instance sent data before the grant; run the same release on all instances")
}

// Frontend implements engine.Conn.
func (c *remoteConn) Frontend() *pgproto3.Frontend {
	return c.frontend
}

// SetDeadline implements engine.Conn. A stream has no deadline of its own, so a timer ends it.
func (c *remoteConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return os.ErrDeadlineExceeded
	}
	if c.deadline != nil {
		c.deadline.Stop()
		c.deadline = nil
	}
	if !t.IsZero() {
		c.deadline = time.AfterFunc(time.Until(t), c.expire)
	}
	return nil
}

func (c *remoteConn) expire() {
	c.mu.Lock()
	c.expired = true
	c.mu.Unlock()
	c.cancel()
}

// cause returns the deadline error when the stream ended because of it.
func (c *remoteConn) cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return os.ErrDeadlineExceeded
	}
	return err
}

// Cancel implements engine.Conn.
func (c *remoteConn) Cancel(context.Context) error {
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Cancel{Cancel: &homepb.Cancel{}}})
}

// EndStatement implements engine.Conn.
func (c *remoteConn) EndStatement() {
	_ = c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_EndStatement{EndStatement: &homepb.EndStatement{}}})
}

// BeginStatement implements engine.Conn.
func (c *remoteConn) BeginStatement(_ context.Context, timeout time.Duration) error {
	begin := &homepb.BeginStatement{TimeoutUs: timeout.Microseconds()}
	if err := c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_BeginStatement{BeginStatement: begin}}); err != nil {
		return c.cause(err)
	}
	if err := c.SetDeadline(time.Now().Add(timeout + grantAllowance)); err != nil {
		return err
	}
	if err := c.awaitGrant(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// Release implements engine.Conn.
func (c *remoteConn) Release(reuse bool) {
	_ = c.SetDeadline(time.Time{})
	release := &homepb.Release{Reuse: reuse}
	if err := c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Release{Release: release}}); err != nil {
		c.cancel()
		return
	}
	_ = c.stream.CloseSend()
	// The home ends the stream; until then the drpc connection is not free for the next one.
	go func() {
		timer := time.AfterFunc(grantAllowance, c.cancel)
		defer timer.Stop()
		defer c.cancel()
		for {
			if _, err := c.stream.Recv(); err != nil {
				return
			}
		}
	}()
}

// reader and writer carry the bytes of the frontend over the stream.
type (
	reader struct{ c *remoteConn }
	writer struct{ c *remoteConn }
)

func (r reader) Read(p []byte) (int, error) {
	c := r.c
	for len(c.rest) == 0 {
		m, err := c.stream.Recv()
		if err != nil {
			return 0, c.cause(err)
		}
		c.rest = m.GetData()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (w writer) Write(p []byte) (int, error) {
	if err := w.c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Data{Data: p}}); err != nil {
		return 0, w.c.cause(err)
	}
	return len(p), nil
}
