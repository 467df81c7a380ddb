package home

import (
	"context"
	"io"
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

// errEnded ends a checkout whose user set a deadline in the past.
var errEnded = errors.Wrap(os.ErrDeadlineExceeded, "the use of the connection was ended")

// remoteConn is a connection lent by another instance. It implements engine.LentConn; one goroutine
// at a time receives.
//
// Invariants:
//   - Nothing is sent before Open; the first write goes with it unless the grant is awaited first.
//   - A refusal is reported as *engine.RefusedError. Any other error after Open proves nothing.
//   - The statement timeout begins with the grant.
type remoteConn struct {
	*keptStream
	request  engine.AcquireRequest
	frontend *frontend
	rest     []byte // received data that was not read yet
	pulse    *pulse
	onReturn func(*keptStream) // takes the stream when the home has the connection back
	onSilent func(address string)
	// onFailure is told that the home did not answer Open, or that it is home to nothing.
	onFailure func()

	opened   bool          // Open was sent; used by the sending goroutine
	sent     atomic.Uint64 // bytes of data
	homeGot  uint64        // of them, as the home last said; used by the receiving goroutine
	waited   time.Duration // in the home's queue; used by the receiving goroutine
	returned atomic.Bool   // the home has the connection back, and the stream may serve another
	asks     sync.Mutex    // held while a cancel request is sent

	mu       sync.Mutex
	deadline *time.Timer
	asking   bool          // Open was sent, and the grant is not known yet
	allowed  time.Duration // deadline to set once it is; 0 for none
	cause    error         // why the stream was cancelled
}

func newRemoteConn(l *keptStream, r engine.AcquireRequest, period time.Duration) *remoteConn {
	c := &remoteConn{keptStream: l, request: r, onFailure: func() {}}
	c.frontend = frontends.Get().(*frontend)
	c.frontend.conn = c
	c.pulse = &pulse{period: period, patience: borrowerPatience, send: c.sendAlive, silent: c.cutOff}
	return c
}

func (c *remoteConn) sendAlive() error {
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Alive{Alive: &homepb.Alive{}}})
}

// cutOff ends a stream on which nothing is heard of the home, or whose data does not reach it.
func (c *remoteConn) cutOff() {
	c.end(errSilent)
	c.onSilent(c.address)
}

// end cancels the stream; cause is what waiting calls return.
func (c *remoteConn) end(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(cause)
}

// fail is end with the lock held.
func (c *remoteConn) fail(cause error) {
	if c.returned.Load() {
		return
	}
	if c.cause == nil {
		c.cause = cause
	}
	c.cancel()
}

// giveUp ends the stream without a cause.
func (c *remoteConn) giveUp() {
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
			return nil, c.failed(err)
		}
		if alive := m.GetAlive(); alive != nil {
			c.noteAlive(alive)
			continue
		}
		c.pulse.progress.Add(1)
		c.waited += time.Duration(m.GetWaitedUs()) * time.Microsecond
		if refused := m.GetRefused(); refused != nil {
			return nil, c.refused(refused)
		}
		c.noteGrant()
		return m, c.ended()
	}
}

// failed returns why the stream ended. A home that ends before it has answered Open is passed over.
func (c *remoteConn) failed(err error) error {
	if c.noteGrant() && !errors.Is(c.explain(err), errEnded) {
		c.onFailure()
	}
	return c.explain(err)
}

// refused returns the home's refusal. A home that leaves is passed over.
func (c *remoteConn) refused(r *homepb.Refused) error {
	c.noteGrant()
	e := outcome.New(outcome.NotRun, r.GetCode(), r.GetMessage(), r.GetRemedy())
	e = e.WithRetryAfter(time.Duration(r.GetRetryAfterUs()) * time.Microsecond)
	if r.GetLeaving() {
		c.onFailure()
	}
	return &engine.RefusedError{Outcome: e, HomeMoved: r.GetLeaving()}
}

// noteAlive takes an Alive message for progress if the path to the home works too: data sent to it
// arrives, or waits because the home is busy.
func (c *remoteConn) noteAlive(a *homepb.Alive) {
	if a.GetGranted() {
		c.noteGrant()
	}
	arrives := a.GetReceivedBytes() > c.homeGot || a.GetReceivedBytes() == c.sent.Load()
	c.homeGot = a.GetReceivedBytes()
	if arrives || a.GetBusy() {
		c.pulse.progress.Add(1)
	}
}

// open sends the request with the first data for the server, which may be none. The data is the whole
// use if the request says so and nothing follows.
func (c *remoteConn) open(data []byte, complete bool) error {
	c.opened = true
	if err := c.ask(); err != nil {
		return err
	}
	c.pulse.start()
	c.sent.Add(uint64(len(data)))
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Open{Open: &homepb.Open{
		Server:      string(c.request.Target.Server),
		Incarnation: c.request.Target.Incarnation,
		Account:     c.request.Account,
		Weight:      int32(c.request.Weight),
		TimeoutUs:   c.request.Timeout.Microseconds(),
		Data:        data,
		WholeUse:    complete && c.request.SingleExchange,
	}}})
}

// ask begins the time in which the home has to grant a connection. It fails if the stream has ended.
func (c *remoteConn) ask() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	c.asking = true
	// A grant without an answer shows in the home's Alive messages.
	c.arm(c.request.Timeout + grantAllowance + borrowerPatience*c.pulse.period)
	return nil
}

// noteGrant ends that time. It reports whether the grant was not known before.
func (c *remoteConn) noteGrant() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.asking {
		return false
	}
	c.asking = false
	if c.cause != nil {
		c.cancel()
		return true
	}
	c.arm(c.allowed)
	return true
}

// arm lets the stream end after d, or removes that bound if d is 0. The lock is held.
func (c *remoteConn) arm(d time.Duration) {
	if c.deadline != nil {
		c.deadline.Stop()
		c.deadline = nil
	}
	if d != 0 {
		c.deadline = time.AfterFunc(d, c.expire)
	}
}

// openAndWait sends the request without data and waits for the grant.
func (c *remoteConn) openAndWait() error {
	if err := c.open(nil, false); err != nil {
		return err
	}
	return c.awaitGrant()
}

func (c *remoteConn) awaitGrant() error {
	m, err := c.recv()
	if err != nil {
		return err
	}
	if m.GetGranted() == nil {
		return errors.New("home instance sent data before the grant; run the same release on all instances")
	}
	return nil
}

// Waited implements engine.LentConn.
func (c *remoteConn) Waited() time.Duration {
	return c.waited
}

// Frontend implements engine.Conn.
func (c *remoteConn) Frontend() *pgproto3.Frontend {
	return c.frontend.Frontend
}

// SetDeadline implements engine.Conn. A stream has no deadline of its own, so a timer ends it. A
// deadline in the future is counted from the grant.
func (c *remoteConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	var d time.Duration
	if !t.IsZero() {
		d = time.Until(t)
	}
	switch {
	case c.returned.Load():
	case d < 0 && c.asking:
		c.withdraw()
	case d < 0:
		c.fail(errEnded)
	case c.asking, !c.opened:
		c.allowed = d
	default:
		c.arm(d)
	}
	return nil
}

// withdraw ends a use whose grant is not known. The home may still prove that the statement did not run.
// The lock is held.
func (c *remoteConn) withdraw() {
	c.cause = errEnded
	c.arm(grantAllowance)
	go func() { _ = c.Cancel(context.Background()) }()
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

// Cancel implements engine.Conn. The lock keeps the request from reaching the next user of the stream.
func (c *remoteConn) Cancel(context.Context) error {
	c.asks.Lock()
	defer c.asks.Unlock()
	return c.send(&homepb.ToHome{Body: &homepb.ToHome_Cancel{Cancel: &homepb.Cancel{}}})
}

// EndStatement implements engine.Conn.
func (c *remoteConn) EndStatement() {
	_ = c.send(&homepb.ToHome{Body: &homepb.ToHome_EndStatement{EndStatement: &homepb.EndStatement{}}})
}

// send sends a message unless the home has the connection back.
func (c *remoteConn) send(m *homepb.ToHome) error {
	if c.returned.Load() {
		return nil
	}
	return c.stream.Send(m)
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

// Release implements engine.Conn. Closing the stream makes its drpc connection free for the next one.
func (c *remoteConn) Release(reuse bool) {
	if c.returned.Load() {
		c.frontend.giveBack(reuse && len(c.rest) == 0)
		return
	}
	c.mu.Lock()
	c.arm(0)
	c.mu.Unlock()
	c.pulse.stop()
	release := &homepb.Release{Reuse: reuse}
	if c.opened && c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Release{Release: release}}) != nil {
		c.cancel()
		return
	}
	c.keptStream.close()
}

// finish takes the end of the whole use, with which the home has the connection back.
func (c *remoteConn) finish() {
	c.pulse.stop()
	c.asks.Lock()
	c.mu.Lock()
	c.returned.Store(true)
	c.arm(0)
	usable := c.cause == nil
	c.mu.Unlock()
	c.asks.Unlock()
	if usable {
		c.onReturn(c.keptStream)
	}
}

// frontend carries PostgreSQL messages over the stream of its present connection.
type frontend struct {
	*pgproto3.Frontend
	conn *remoteConn
}

// frontends are kept for other connections, because their buffers are the most that a short statement
// allocates.
var frontends = sync.Pool{New: func() any {
	f := &frontend{}
	f.Frontend = pgproto3.NewFrontend(f, f)
	return f
}}

// giveBack keeps the frontend if it holds no part of a message.
func (f *frontend) giveBack(empty bool) {
	f.conn = nil
	if empty {
		frontends.Put(f)
	}
}

// Read implements io.Reader with the server's answers.
func (f *frontend) Read(p []byte) (int, error) {
	c := f.conn
	for len(c.rest) == 0 {
		if c.returned.Load() {
			return 0, io.ErrUnexpectedEOF
		}
		m, err := c.recv()
		if err != nil {
			return 0, err
		}
		c.rest = m.GetData()
		if last := m.GetLast(); last != nil {
			c.rest = last.GetData()
			c.finish()
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write sends p in pieces, so that the home's Alive messages show progress within a large pipeline and
// no message exceeds drpc's limit of 4 MiB. The first piece of all goes with Open. A failed send may have
// reached the home, so it counts as at least one byte: pgproto3 takes a write of none as proof that
// nothing was sent.
func (f *frontend) Write(p []byte) (int, error) {
	c := f.conn
	if err := c.ended(); err != nil && !c.opened {
		return 0, err
	}
	written := 0
	for piece := range slices.Chunk(p, chunkBytes) {
		if err := c.sendPiece(piece, len(piece) == len(p)); err != nil {
			return max(1, written), c.explain(err)
		}
		written += len(piece)
	}
	return written, nil
}

func (c *remoteConn) sendPiece(piece []byte, complete bool) error {
	if !c.opened {
		return c.open(piece, complete)
	}
	c.sent.Add(uint64(len(piece)))
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Data{Data: piece}})
}

// ended returns why the stream was cancelled, or nil.
func (c *remoteConn) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}
