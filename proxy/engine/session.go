package engine

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	decide "github.com/cyclamenstile/cyclamenstile/decision/session"
)

const (
	// withdrawGrace is how long a statement in flight may go on after its key was withdrawn.
	withdrawGrace = 2 * time.Second
	// lingerTimeout bounds the wait for a caller to read the last message before the connection
	// is closed. Closing with unread input would reset the connection and lose that message.
	lingerTimeout = 500 * time.Millisecond
)

// pastDeadline as a deadline wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

// stopReason tells why a session is to end; a higher one takes precedence.
type stopReason int

const (
	stopNone     stopReason = iota
	stopDrain               // once no transaction is open
	stopDrainNow            // between two statements
	stopWithdrawn
)

// session is one caller's connection after start-up. One goroutine runs it; the fields under mu are
// shared with cancel requests, key withdrawal and shutdown.
type session struct {
	srv    *Server
	conn   net.Conn
	login  Login
	db     Database
	state  decide.State
	opened time.Time

	out       outbound
	in        *inbound // nil while idle
	firstByte [1]byte  // read while idle
	unit      *unit    // messages received since the last ReadyForQuery; nil while idle

	statements statementSet         // the caller's prepared statements
	portals    map[string]*prepared // the caller's portals of the open transaction
	tx         transaction
	readOnly   bool // default_transaction_read_only

	pid    uint32
	secret [4]byte

	cancelMu       sync.Mutex // held while a cancel request is delivered
	mu             sync.Mutex
	stopReason     stopReason
	inTx           bool
	killErr        *outcome.Error // why the statement in flight was ended
	activeUpstream *upstream      // connection of the statement in execution
	transmitted    bool           // a statement of the present unit was sent
	cancelWait     context.CancelCauseFunc
}

// serve runs the session until the caller leaves or the session is ended.
func (n *session) serve() {
	info := n.info()
	n.srv.cfg.Observer.SessionOpened(info)
	n.srv.withdrawals.add(n)
	err := n.loop()
	n.srv.withdrawals.remove(n)
	n.srv.unregister(n)
	n.abandonTransaction()
	if e := outcome.As(err); e != nil {
		n.sendFinalError(e)
	}
	_ = n.conn.Close()
	n.out.recycle()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	n.srv.cfg.Observer.SessionClosed(info, err)
}

func (n *session) info() Session {
	return Session{
		Account: n.login.Account.Name,
		Route:   n.login.Route.Name,
		KeyID:   n.login.KeyID,
		Remote:  n.conn.RemoteAddr().String(),
		Opened:  n.opened,
	}
}

// loop returns io.EOF when the caller has left, an *outcome.Error that is still to be told to the
// caller, or another error of the connection.
func (n *session) loop() error {
	for {
		if err := n.awaitMessage(); err != nil {
			return n.readFailed(err)
		}
		m, err := n.in.receive()
		if err != nil {
			return n.readFailed(err)
		}
		if err := n.handleMessage(m); err != nil {
			return err
		}
	}
}

// awaitMessage waits for the first byte of the next message. Between two units the session holds no
// buffer meanwhile.
func (n *session) awaitMessage() error {
	if n.unit != nil {
		return n.awaitPipelineMessage()
	}
	if n.in != nil && !n.in.atBoundary() {
		return n.prepareRead(n.srv.cfg.ReceiveTimeout)
	}
	if n.in != nil {
		n.in.recycle()
		n.in = nil
	}
	if err := n.prepareRead(n.idleTimeout()); err != nil {
		return err
	}
	if _, err := n.conn.Read(n.firstByte[:]); err != nil {
		return err
	}
	n.in = getInbound(n.conn, n.firstByte[0], n.srv.cfg.MaxMessageSize)
	return n.prepareRead(n.srv.cfg.ReceiveTimeout)
}

// awaitPipelineMessage prepares for the next message of a pipeline.
func (n *session) awaitPipelineMessage() error {
	if !n.in.atBoundary() {
		return nil
	}
	return n.prepareRead(n.srv.cfg.ReceiveTimeout)
}

func (n *session) idleTimeout() time.Duration {
	if n.tx.active() {
		return n.srv.cfg.IdleInTransactionTimeout
	}
	return 0
}

// prepareRead sets the deadline of the next reads; 0 removes it. It returns the reason to end the session
// instead, if there is one.
func (n *session) prepareRead(timeout time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.stopReasonError(); e != nil {
		return e
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return n.conn.SetReadDeadline(deadline)
}

// stopReasonError returns why the session is to end now, or nil. The caller holds mu.
func (n *session) stopReasonError() *outcome.Error {
	switch {
	case n.stopReason == stopWithdrawn:
		return errWithdrawn()
	case n.stopReason == stopDrainNow, n.stopReason == stopDrain && !n.inTx:
		return errShutdown()
	}
	return nil
}

// readFailed translates an error from the caller's connection.
func (n *session) readFailed(err error) error {
	n.mu.Lock()
	stop := n.stopReasonError()
	n.mu.Unlock()
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	var timeout net.Error
	switch {
	case stop != nil:
		return stop
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return io.EOF
	case errors.As(err, &tooLarge):
		return errMessageTooLarge(tooLarge.MaxExpectedBodyLen)
	case errors.As(err, &timeout) && timeout.Timeout():
		return n.receiveTimeout()
	case errors.As(err, &timeout):
		return err
	}
	return errProtocol("malformed message: " + err.Error())
}

func (n *session) receiveTimeout() *outcome.Error {
	if n.in == nil {
		return errIdleInTransaction()
	}
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the rest of the request did not arrive in time", "send requests without long pauses")
}

// interrupt ends the session as soon as r allows.
func (n *session) interrupt(r stopReason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopReason = max(n.stopReason, r)
	if n.stopReasonError() != nil {
		_ = n.conn.SetReadDeadline(pastDeadline)
	}
}

// withdraw ends the session because its key was withdrawn. A statement in flight is ended after
// withdrawGrace.
func (n *session) withdraw() {
	n.interrupt(stopWithdrawn)
	time.AfterFunc(withdrawGrace, func() { n.kill(errWithdrawn()) })
}

// kill ends the statement in flight.
func (n *session) kill(cause *outcome.Error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killErr = cause
	if n.activeUpstream != nil {
		_ = n.activeUpstream.SetDeadline(pastDeadline)
	}
	if n.cancelWait != nil {
		n.cancelWait(cause)
	}
}

// sendFinalError sends a last error and waits for the caller to take it.
func (n *session) sendFinalError(e *outcome.Error) {
	n.out.discardUnwritten()
	if n.out.send(errorResponse(severityFatal, e)) != nil {
		return
	}
	if n.out.flush() == nil {
		linger(n.conn)
	}
}

// linger closes the sending side and reads until the caller has closed its own.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

func errIdleInTransaction() *outcome.Error {
	return outcome.New(outcome.NotRun, codeIdleInTransaction,
		"the transaction was idle for too long and was rolled back",
		"send the statements of a transaction without long pauses")
}
