package home

import (
	"context"
	"os"
	"slices"
	"sync"
	"sync/atomic"
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
	pulse    *pulse
	onSilent func()

	sent     atomic.Uint64 // bytes of data
	homeGot  uint64        // of them, as the home last said; used by the receiving goroutine
	mu       sync.Mutex
	deadline *time.Timer
	cause    error // why the stream was cancelled
}

func newRemoteConn(stream homepb.DRPCHomes_CheckoutClient, cancel context.CancelFunc, period time.Duration, onSilent func()) *remoteConn {
	c := &remoteConn{stream: stream, cancel: cancel, onSilent: onSilent}
	c.frontend = pgproto3.NewFrontend(reader{c}, writer{c})
	c.pulse = &pulse{period: period, patience: borrowerPatience, send: c.sendAlive, silent: c.cutOff}
	c.pulse.start()
	return c
}

func (c *remoteConn) sendAlive() error {
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Alive{Alive: &homepb.Alive{}}})
}

// cutOff ends a stream on which nothing is heard of the home, or whose data does not reach it.
func (c *remoteConn) cutOff() {
	c.end(errSilent)
	c.onSilent()
}

// end cancels the stream; cause is what waiting calls return.
func (c *remoteConn) end(cause error) {
	c.mu.Lock()
	if c.cause == nil {
		c.cause = cause
	}
	c.mu.Unlock()
	c.cancel()
}

// close ends the stream without a cause.
func (c *remoteConn) close() {
	c.pulse.stop()
	c.cancel()
}

// recv returns the next message other than Alive.
func (c *remoteConn) recv() (*homepb.FromHome, error) {
	c.pulse.waiting.Store(true)
	defer c.pulse.waiting.Store(false)
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return nil, c.explain(err)
		}
		alive := m.GetAlive()
		if alive == nil {
			c.pulse.progress.Add(1)
			return m, nil
		}
		c.noteAlive(alive)
	}
}

// noteAlive takes an Alive message for progress if the path to the home works too: data sent to it
// arrives, or waits because the home is busy.
func (c *remoteConn) noteAlive(a *homepb.Alive) {
	arrives := a.GetReceivedBytes() > c.homeGot || a.GetReceivedBytes() == c.sent.Load()
	c.homeGot = a.GetReceivedBytes()
	if arrives || a.GetBusy() {
		c.pulse.progress.Add(1)
	}
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
	m, err := c.recv()
	if err != nil {
		return err
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
	if c.cause != nil {
		return c.cause
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
	c.end(os.ErrDeadlineExceeded)
}

// explain returns why the stream was cancelled instead of err, if it was.
func (c *remoteConn) explain(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
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
		return c.explain(err)
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
	c.pulse.stop()
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
		m, err := c.recv()
		if err != nil {
			return 0, err
		}
		c.rest = m.GetData()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write sends p in pieces, so that the home's Alive messages show progress within a large pipeline and
// no message exceeds drpc's limit of 4 MiB. A failed send may have reached the home, so it counts as at
// least one byte: pgproto3 takes a write of none as proof that nothing was sent.
func (w writer) Write(p []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(p, chunkBytes) {
		w.c.sent.Add(uint64(len(piece)))
		if err := w.c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Data{Data: piece}}); err != nil {
			return max(1, written), w.c.explain(err)
		}
		written += len(piece)
	}
	return written, nil
}
