package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcctx"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// cancelTimeout bounds a cancel request to a server.
const cancelTimeout = 2 * time.Second

// pastDeadline is a deadline that makes pending reads and writes fail.
var pastDeadline = time.Unix(1, 0)

// loan is one use of a connection lent over a stream. One goroutine waits for the connection and
// forwards the server's responses; another receives the borrower's messages, so that a cancel request
// or the loss of the borrower is noticed in the queue too.
//
// Invariants:
//   - Open is answered with Refused only before the first byte for the server has been written.
//   - The connection is released exactly once. It is reused only if its responses were complete, no
//     transaction is open, no cancel request is in progress and, when the home ends the loan, no
//     ParameterStatus was received.
type loan struct {
	stream    homepb.DRPCHomes_CheckoutStream
	request   engine.AcquireRequest
	data      []byte // of Open
	keepalive *keepalive
	response  responseTracker
	waited    time.Duration // in the queue
	grantSent bool          // a message that implies the grant was sent to the borrower

	waitCtx     context.Context // bounds the wait in the queue
	cancelWait  context.CancelFunc
	openWritten chan struct{} // closed when the data of Open has been written
	done        chan struct{} // closed when the loan has ended

	receivedBytes atomic.Uint64 // bytes of data from the borrower
	busy          atomic.Bool   // a message from the borrower is being handled
	stopping      atomic.Bool   // the borrower has ended the loan or is gone

	slotMu sync.Mutex // held while the slot is released or reacquired

	mu                sync.Mutex
	conn              LocalConn // nil before the grant and after the end
	reuse             bool      // the connection may be reused, according to the side that ended the loan
	canceled          bool      // a cancel request was received
	cause             error     // why this instance ended the loan
	betweenStatements bool      // no statement runs: the borrower has released its slot
	drainOverdue      bool      // the drain timeout has passed: the loan ends as soon as no statement runs
}

func newLoan(stream homepb.DRPCHomes_CheckoutStream, open *homepb.Open, period time.Duration) *loan {
	l := &loan{
		stream: stream, data: open.GetData(),
		openWritten: make(chan struct{}), done: make(chan struct{}),
		request: engine.AcquireRequest{
			Target: engine.Target{
				Server:      authority.ServerID(open.GetServer()),
				Incarnation: open.GetIncarnation(),
			},
			Account: open.GetAccount(),
			Weight:  int(open.GetWeight()),
			Timeout: time.Duration(open.GetTimeoutUs()) * time.Microsecond,
		},
	}
	l.receivedBytes.Store(uint64(len(l.data)))
	if open.GetWholeUse() {
		l.response.expectResponsesTo(l.data)
	}
	l.waitCtx, l.cancelWait = context.WithCancel(stream.Context())
	l.keepalive = &keepalive{period: period, maxMissed: homeMaxMissed, send: l.sendAlive, onSilent: l.closeTransport}
	l.keepalive.start()
	return l
}

func (l *loan) close() {
	l.keepalive.stop()
	l.cancelWait()
	close(l.done)
}

func (l *loan) sendAlive() error {
	alive := &homepb.Alive{ReceivedBytes: l.receivedBytes.Load(), Busy: l.busy.Load(), Granted: l.isGranted()}
	return l.stream.Send(&homepb.FromHome{Body: &homepb.FromHome_Alive{Alive: alive}})
}

func (l *loan) isGranted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// closeTransport closes the connection to a silent borrower, which unblocks everything that waits for
// the stream.
func (l *loan) closeTransport() {
	if transport, ok := drpcctx.Transport(l.stream.Context()); ok {
		_ = transport.Close()
		return
	}
	_ = l.stream.Close()
}

// acquire waits for a connection from the local pool. Every error has outcome "not run".
func (l *loan) acquire(local engine.Pool) error {
	began := time.Now()
	conn, err := local.Acquire(l.waitCtx, l.request)
	l.waited = time.Since(began)
	lendable, ok := conn.(LocalConn)
	if err == nil && !ok {
		conn.Release(true)
		return errors.New("local pool can't lend its connections")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.canceled || l.stopping.Load()
	if err == nil && ended {
		conn.Release(true)
	}
	switch {
	case l.canceled:
		return canceledError()
	case err != nil:
		return err
	case ended:
		return errors.New("the caller's instance has ended the checkout")
	}
	l.conn = lendable
	return nil
}

func canceledError() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeQueryCanceled,
		"the statement was canceled at the caller's request before it ran", "none needed")
}

// run sends the data of Open to the server and forwards the server's responses to the borrower until
// the loan ends. It reports whether the borrower may reuse the stream.
func (l *loan) run() (reusable bool, err error) {
	if err := l.sendOpenData(); err != nil {
		l.releaseConn(false)
		return false, sendRefused(l.stream, err)
	}
	close(l.openWritten)
	ended, err := l.forwardResponses()
	if ended {
		return err == nil, err
	}
	l.releaseConn(err == nil)
	if err != nil && !l.grantSent {
		// Granted shows the borrower that the server failed, not this home.
		_ = l.stream.Send(grantedMessage(l.takeWaitedUs()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return false, l.cause
}

// sendOpenData writes the data of Open to the server, or sends Granted if there is none. It returns an
// error only if nothing has reached the server.
func (l *loan) sendOpenData() error {
	if len(l.data) == 0 {
		_ = l.stream.Send(grantedMessage(l.takeWaitedUs())) // if the stream is broken, receive ends the loan
		return nil
	}
	if l.isCanceled() {
		return canceledError()
	}
	n, err := l.conn.Raw().Write(l.data)
	if n == 0 && err != nil {
		return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
			"the statement could not be sent to server "+string(l.request.Target.Server)+": "+err.Error(), "retry")
	}
	l.data = nil
	return nil // after a partial write, the next read fails too
}

func (l *loan) isCanceled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canceled
}

// releaseAndSendLast returns the connection to the pool before it sends the end of the response, so
// that a slow borrower doesn't hold the slot.
func (l *loan) releaseAndSendLast(last []byte) error {
	l.keepalive.stop()
	l.mu.Lock()
	l.reuse = !l.response.settingChanged && !l.stopping.Load()
	l.mu.Unlock()
	l.releaseConn(true)
	body := &homepb.FromHome_Last{Last: &homepb.Last{Data: last}}
	return l.stream.Send(&homepb.FromHome{Body: body, WaitedUs: l.takeWaitedUs()})
}

// takeWaitedUs returns the time in the queue in microseconds for the first message after the grant,
// and 0 for later messages.
func (l *loan) takeWaitedUs() int64 {
	waited := l.waited
	l.waited, l.grantSent = 0, true
	return waited.Microseconds()
}

// releaseConn returns the connection to the pool. It is reused only if the responses were complete, the
// side that ended the loan allows it and no cancel request was received.
func (l *loan) releaseConn(complete bool) {
	l.slotMu.Lock()
	defer l.slotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conn
	l.conn = nil
	// stop or coalescer may have left a deadline.
	cleared := conn.SetDeadline(time.Time{}) == nil
	conn.Release(complete && l.reuse && !l.canceled && cleared)
}

// recv returns the borrower's next message.
func (l *loan) recv() (*homepb.ToHome, error) {
	l.keepalive.receiving.Store(true)
	defer l.keepalive.receiving.Store(false)
	return l.stream.Recv()
}

// handle processes a message from the borrower. A failure ends the loan.
func (l *loan) handle(m *homepb.ToHome) {
	l.keepalive.progress.Add(1)
	if release := m.GetRelease(); release != nil {
		l.stop(release.GetReuse(), nil)
		return
	}
	if err := l.dispatch(m); err != nil {
		l.stop(false, err)
	}
}

// stop ends the loan. No bytes are lost, because the borrower releases a connection for reuse only
// after it has received the complete response.
func (l *loan) stop(reuse bool, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping.Swap(true) {
		return
	}
	l.reuse = reuse
	l.cause = cause
	l.cancelWait()
	if l.conn != nil {
		_ = l.conn.SetDeadline(pastDeadline)
	}
}

func (l *loan) dispatch(m *homepb.ToHome) error {
	l.receivedBytes.Add(uint64(len(m.GetData())))
	l.busy.Store(true)
	defer l.busy.Store(false)
	switch {
	case m.GetAlive() != nil:
	case m.GetCancel() != nil:
		l.cancel()
	case m.GetEndStatement() != nil:
		return l.endStatement()
	case m.GetBeginStatement() != nil:
		return l.beginStatement(time.Duration(m.GetBeginStatement().GetTimeoutUs()) * time.Microsecond)
	case m.GetData() != nil:
		return l.write(m.GetData())
	}
	return nil
}

// write sends data to the server after the data of Open has been written.
func (l *loan) write(data []byte) error {
	select {
	case <-l.openWritten:
	case <-l.done:
		return nil
	}
	conn := l.currentConn()
	if conn == nil {
		return nil
	}
	_, err := conn.Raw().Write(data)
	return err
}

func (l *loan) currentConn() LocalConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// cancel cancels the running statement or ends its wait in the queue. A request that arrives after the
// end of the loan is ignored.
func (l *loan) cancel() {
	l.mu.Lock()
	l.canceled = true
	conn := l.conn
	l.mu.Unlock()
	l.cancelWait()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.stream.Context(), cancelTimeout)
	defer cancel()
	_ = conn.Cancel(ctx)
}
