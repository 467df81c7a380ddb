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

// errEnded ends a checkout whose user has set a deadline in the past.
var errEnded = errors.Wrap(os.ErrDeadlineExceeded, "the use of the connection was ended")

// remoteConn is a connection lent by another instance. It implements engine.LentConn. Only one
// goroutine may receive at a time.
//
// Invariants:
//   - Nothing is sent before Open. Open carries the first write unless the grant is awaited first.
//   - A refusal is reported as *engine.RefusedError. Any other error after Open leaves the outcome
//     unknown.
//   - The statement timeout starts with the grant.
type remoteConn struct {
	*reusableStream
	request      engine.AcquireRequest
	frontend     *frontend
	unread       []byte // received data not read yet
	keepalive    *keepalive
	onStreamFree func(*reusableStream) // receives the stream once the home has taken the connection back
	onSilent     func(address string)
	// onHomeFailure is called if the home did not answer Open or refuses all checkouts.
	onHomeFailure func()

	opened            bool          // Open was sent; used by the sending goroutine
	sentBytes         atomic.Uint64 // bytes of data sent
	homeReceivedBytes uint64        // sentBytes that the home last reported as received; used by the receiving goroutine
	waited            time.Duration // in the home's queue; used by the receiving goroutine
	returned          atomic.Bool   // the home has taken the connection back, and the stream may serve another loan
	cancelMu          sync.Mutex    // held while a cancel request is sent

	mu                sync.Mutex
	timer             *time.Timer
	awaitingGrant     bool          // Open was sent, and the home's answer is not known yet
	timeoutAfterGrant time.Duration // timeout to start with the grant; 0 for none
	cause             error         // why the stream was canceled
}

func newRemoteConn(stream *reusableStream, r engine.AcquireRequest, period time.Duration) *remoteConn {
	c := &remoteConn{reusableStream: stream, request: r, onHomeFailure: func() {}}
	c.frontend = frontends.Get().(*frontend)
	c.frontend.conn = c
	c.keepalive = &keepalive{period: period, maxMissed: borrowerMaxMissed, send: c.sendAlive, onSilent: c.handleSilence}
	return c
}

func (c *remoteConn) sendAlive() error {
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Alive{Alive: &homepb.Alive{}}})
}

// handleSilence ends a stream on which nothing arrives from the home or data doesn't reach it.
func (c *remoteConn) handleSilence() {
	c.cancelWith(errSilent)
	c.onSilent(c.address)
}

// cancelWith cancels the stream. Waiting calls return cause.
func (c *remoteConn) cancelWith(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWithLocked(cause)
}

// cancelWithLocked is cancelWith with c.mu held.
func (c *remoteConn) cancelWithLocked(cause error) {
	if c.returned.Load() {
		return
	}
	if c.cause == nil {
		c.cause = cause
	}
	c.cancel()
}

// abandon cancels the stream without setting a cause.
func (c *remoteConn) abandon() {
	c.keepalive.stop()
	c.cancel()
}

// recv returns the next message other than Alive.
func (c *remoteConn) recv() (*homepb.FromHome, error) {
	c.keepalive.receiving.Store(true)
	defer c.keepalive.receiving.Store(false)
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return nil, c.streamError(err)
		}
		if alive := m.GetAlive(); alive != nil {
			c.handleAlive(alive)
			continue
		}
		c.keepalive.progress.Add(1)
		c.waited += time.Duration(m.GetWaitedUs()) * time.Microsecond
		if refused := m.GetRefused(); refused != nil {
			return nil, c.refusalError(refused)
		}
		c.endGrantWait()
		return m, c.cancelCause()
	}
}

// streamError returns why the stream ended. If the stream ended before the home answered Open, it
// reports the home as failed.
func (c *remoteConn) streamError(err error) error {
	if c.endGrantWait() && !errors.Is(c.causeOr(err), errEnded) {
		c.onHomeFailure()
	}
	return c.causeOr(err)
}

// refusalError returns the home's refusal as an error and reports a leaving home as failed.
func (c *remoteConn) refusalError(r *homepb.Refused) error {
	c.endGrantWait()
	e := outcome.New(outcome.NotRun, r.GetCode(), r.GetMessage(), r.GetRemedy())
	e = e.WithRetryAfter(time.Duration(r.GetRetryAfterUs()) * time.Microsecond)
	if r.GetLeaving() {
		c.onHomeFailure()
	}
	return &engine.RefusedError{Outcome: e, HomeMoved: r.GetLeaving()}
}

// handleAlive counts an Alive message as progress only if the path to the home works too: the data sent
// to it arrives, or is not read because the home is busy.
func (c *remoteConn) handleAlive(a *homepb.Alive) {
	if a.GetGranted() {
		c.endGrantWait()
	}
	arrives := a.GetReceivedBytes() > c.homeReceivedBytes || a.GetReceivedBytes() == c.sentBytes.Load()
	c.homeReceivedBytes = a.GetReceivedBytes()
	if arrives || a.GetBusy() {
		c.keepalive.progress.Add(1)
	}
}

// sendOpen sends the request with the first data for the server, which may be empty. complete means
// that no more data of the same write follows, so that the data may be all of a single exchange.
func (c *remoteConn) sendOpen(data []byte, complete bool) error {
	c.opened = true
	if err := c.startGrantTimer(); err != nil {
		return err
	}
	c.keepalive.start()
	c.sentBytes.Add(uint64(len(data)))
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

// startGrantTimer starts the timeout for the home's grant. It fails if the stream was canceled.
func (c *remoteConn) startGrantTimer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	c.awaitingGrant = true
	// Until the first response, only the home's Alive messages report the grant of a request with data.
	c.setTimer(c.request.Timeout + grantAllowance + borrowerMaxMissed*c.keepalive.period)
	return nil
}

// endGrantWait ends the wait for the home's answer to Open and starts the statement timeout. It reports
// whether the answer was not known before.
func (c *remoteConn) endGrantWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitingGrant {
		return false
	}
	c.awaitingGrant = false
	if c.cause != nil {
		c.cancel()
		return true
	}
	c.setTimer(c.timeoutAfterGrant)
	return true
}

// setTimer cancels the stream after d, or never if d is 0. c.mu must be held.
func (c *remoteConn) setTimer(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if d != 0 {
		c.timer = time.AfterFunc(d, c.expire)
	}
}

// openAndWait sends Open without data and waits for the grant.
func (c *remoteConn) openAndWait() error {
	if err := c.sendOpen(nil, false); err != nil {
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

// SetDeadline implements engine.Conn. A stream has no deadline of its own, so a timer cancels it. The
// time until a future deadline is counted from the grant.
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
	case d < 0 && c.awaitingGrant:
		c.cancelBeforeGrant()
	case d < 0:
		c.cancelWithLocked(errEnded)
	case c.awaitingGrant, !c.opened:
		c.timeoutAfterGrant = d
	default:
		c.setTimer(d)
	}
	return nil
}

// cancelBeforeGrant ends a use for which no grant was seen. It sends a cancel request first, since
// the home may still prove that the statement was not run. c.mu must be held.
func (c *remoteConn) cancelBeforeGrant() {
	c.cause = errEnded
	c.setTimer(grantAllowance)
	go func() { _ = c.Cancel(context.Background()) }()
}

func (c *remoteConn) expire() {
	c.cancelWith(os.ErrDeadlineExceeded)
}

// causeOr returns why the stream was canceled, or err if it was not.
func (c *remoteConn) causeOr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return err
}

// Cancel implements engine.Conn. The lock prevents the request from reaching the next loan on the
// stream.
func (c *remoteConn) Cancel(context.Context) error {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	return c.send(&homepb.ToHome{Body: &homepb.ToHome_Cancel{Cancel: &homepb.Cancel{}}})
}

// EndStatement implements engine.Conn.
func (c *remoteConn) EndStatement() {
	_ = c.send(&homepb.ToHome{Body: &homepb.ToHome_EndStatement{EndStatement: &homepb.EndStatement{}}})
}

// send sends a message unless the home has taken the connection back.
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
		return c.causeOr(err)
	}
	if err := c.SetDeadline(time.Now().Add(timeout + grantAllowance)); err != nil {
		return err
	}
	if err := c.awaitGrant(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// Release implements engine.Conn. Closing the stream frees its drpc connection for another stream.
func (c *remoteConn) Release(reuse bool) {
	if c.returned.Load() {
		c.frontend.recycle(reuse && len(c.unread) == 0)
		return
	}
	c.mu.Lock()
	c.setTimer(0)
	c.mu.Unlock()
	c.keepalive.stop()
	release := &homepb.Release{Reuse: reuse}
	if c.opened && c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Release{Release: release}}) != nil {
		c.cancel()
		return
	}
	c.reusableStream.close()
}

// finishSingleExchange handles the end of a single exchange: the home has reclaimed the connection, and the
// stream is free unless it was canceled.
func (c *remoteConn) finishSingleExchange() {
	c.keepalive.stop()
	c.cancelMu.Lock()
	c.mu.Lock()
	c.returned.Store(true)
	c.setTimer(0)
	usable := c.cause == nil
	c.mu.Unlock()
	c.cancelMu.Unlock()
	if usable {
		c.onStreamFree(c.reusableStream)
	}
}

// frontend sends and receives PostgreSQL messages over the stream of its current connection.
type frontend struct {
	*pgproto3.Frontend
	conn *remoteConn
}

// frontends pools frontends, because their buffers are the largest allocations of a short statement.
var frontends = sync.Pool{New: func() any {
	f := &frontend{}
	f.Frontend = pgproto3.NewFrontend(f, f)
	return f
}}

// recycle returns the frontend to the pool if it holds no part of a message.
func (f *frontend) recycle(empty bool) {
	f.conn = nil
	if empty {
		frontends.Put(f)
	}
}

// Read implements io.Reader. It returns the server's responses.
func (f *frontend) Read(p []byte) (int, error) {
	c := f.conn
	for len(c.unread) == 0 {
		if c.returned.Load() {
			return 0, io.ErrUnexpectedEOF
		}
		m, err := c.recv()
		if err != nil {
			return 0, err
		}
		c.unread = m.GetData()
		if last := m.GetLast(); last != nil {
			c.unread = last.GetData()
			c.finishSingleExchange()
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write sends p in chunks, so that the home's Alive messages show progress within a large pipeline and
// no message exceeds drpc's limit of 4 MiB. Open carries the first chunk of the connection. A failed
// send may have reached the home, so it counts as at least one byte: pgproto3 takes a write of 0 bytes
// as proof that nothing was sent.
func (f *frontend) Write(p []byte) (int, error) {
	c := f.conn
	if err := c.cancelCause(); err != nil && !c.opened {
		return 0, err
	}
	written := 0
	for chunk := range slices.Chunk(p, chunkBytes) {
		if err := c.sendChunk(chunk, len(chunk) == len(p)); err != nil {
			return max(1, written), c.causeOr(err)
		}
		written += len(chunk)
	}
	return written, nil
}

func (c *remoteConn) sendChunk(chunk []byte, complete bool) error {
	if !c.opened {
		return c.sendOpen(chunk, complete)
	}
	c.sentBytes.Add(uint64(len(chunk)))
	return c.stream.Send(&homepb.ToHome{Body: &homepb.ToHome_Data{Data: chunk}})
}

// cancelCause returns why the stream was canceled, or nil if it was not.
func (c *remoteConn) cancelCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}
