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
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

const (
	// withdrawGrace is how long a statement in flight may continue after its key was withdrawn.
	withdrawGrace = 2 * time.Second
	// lingerTimeout bounds the wait for a caller to read the last message before the connection is
	// closed. Closing with unread input would reset the connection and lose that message.
	lingerTimeout = 500 * time.Millisecond
)

// pastDeadline interrupts blocked reads and writes when it is set as a deadline.
var pastDeadline = time.Unix(1, 0)

// stopReason is why a session has to end; a higher value takes precedence.
type stopReason int

const (
	stopNone     stopReason = iota
	stopDrain               // shutdown, once no transaction is open
	stopDrainNow            // shutdown, between two statements
	stopWithdrawn
)

// session is one caller's connection after start-up. One goroutine runs it; the fields below mu are shared
// with cancel requests, key withdrawal and shutdown.
type session struct {
	srv    *Server
	conn   net.Conn
	login  Login
	db     Database
	state  decide.State
	opened time.Time
	stage  stageClock

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
	transmitted    bool           // a statement of the current unit was sent
	cancelWait     context.CancelCauseFunc
}

// serve runs the session until the caller disconnects or the session is ended.
func (s *session) serve() {
	info := s.info()
	s.srv.cfg.Observer.SessionOpened(info)
	s.srv.withdrawals.add(s)
	err := contain.Call(s.loop)
	s.srv.withdrawals.remove(s)
	s.srv.unregister(s)
	s.abandonTransaction()
	if e := outcome.As(err); e != nil {
		s.sendFinalError(e)
	}
	_ = s.conn.Close()
	s.out.recycle()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	s.srv.cfg.Observer.SessionClosed(info, err)
}

func (s *session) info() Session {
	return Session{
		Account: s.login.Account.Name,
		Route:   s.login.Route.Name,
		KeyID:   s.login.KeyID,
		Remote:  s.conn.RemoteAddr().String(),
		Opened:  s.opened,
	}
}

// loop processes messages until the session ends. It returns io.EOF if the caller has disconnected, an
// *outcome.Error that still has to be sent to the caller, or another error of the connection.
func (s *session) loop() error {
	for {
		if err := s.awaitMessage(); err != nil {
			return s.readFailed(err)
		}
		m, err := s.in.receive()
		if err != nil {
			return s.readFailed(err)
		}
		if err := s.handleMessage(m); err != nil {
			return err
		}
	}
}

// awaitMessage waits for the first byte of the next message. Between two units the session holds no buffer
// during the wait.
func (s *session) awaitMessage() error {
	if s.unit != nil {
		return s.awaitPipelineMessage()
	}
	if s.in != nil && !s.in.atBoundary() {
		return s.prepareRead(s.srv.cfg.ReceiveTimeout)
	}
	if s.in != nil {
		s.in.recycle()
		s.in = nil
	}
	if err := s.prepareRead(s.idleTimeout()); err != nil {
		return err
	}
	if _, err := s.conn.Read(s.firstByte[:]); err != nil {
		return err
	}
	s.in = getInbound(s.conn, s.firstByte[0], s.srv.cfg.MaxMessageSize)
	return s.prepareRead(s.srv.cfg.ReceiveTimeout)
}

// awaitPipelineMessage sets the read deadline for the next message of a pipeline.
func (s *session) awaitPipelineMessage() error {
	if !s.in.atBoundary() {
		return nil
	}
	return s.prepareRead(s.srv.cfg.ReceiveTimeout)
}

func (s *session) idleTimeout() time.Duration {
	if s.tx.active() {
		return s.srv.cfg.IdleInTransactionTimeout
	}
	return 0
}

// prepareRead sets the deadline of the next reads; 0 removes it. If the session has to end, it returns the
// reason instead.
func (s *session) prepareRead(timeout time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.stopReasonError(); e != nil {
		return e
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return s.conn.SetReadDeadline(deadline)
}

// stopReasonError returns why the session has to end now, or nil. mu must be held.
func (s *session) stopReasonError() *outcome.Error {
	switch {
	case s.stopReason == stopWithdrawn:
		return errWithdrawn()
	case s.stopReason == stopDrainNow, s.stopReason == stopDrain && !s.inTx:
		return errShutdown()
	}
	return nil
}

// readFailed maps an error of the caller's connection to the reason for the end of the session.
func (s *session) readFailed(err error) error {
	s.mu.Lock()
	stop := s.stopReasonError()
	s.mu.Unlock()
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
		return s.receiveTimeout()
	case errors.As(err, &timeout):
		return err
	}
	return errProtocol("malformed message: " + err.Error())
}

func (s *session) receiveTimeout() *outcome.Error {
	if s.in == nil {
		return errIdleInTransaction()
	}
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the rest of the request did not arrive in time", "send requests without long pauses")
}

// interrupt ends the session as soon as r permits.
func (s *session) interrupt(r stopReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopReason = max(s.stopReason, r)
	if s.stopReasonError() != nil {
		_ = s.conn.SetReadDeadline(pastDeadline)
	}
}

// withdraw ends the session because its key was withdrawn. A statement in flight is ended after withdrawGrace.
func (s *session) withdraw() {
	s.interrupt(stopWithdrawn)
	time.AfterFunc(withdrawGrace, func() { s.kill(errWithdrawn()) })
}

// kill ends the statement in flight, and the waits of later units, with cause.
func (s *session) kill(cause *outcome.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killErr = cause
	if s.activeUpstream != nil {
		_ = s.activeUpstream.SetDeadline(pastDeadline)
	}
	if s.cancelWait != nil {
		s.cancelWait(cause)
	}
}

// sendFinalError sends a fatal error and waits for the caller to read it.
func (s *session) sendFinalError(e *outcome.Error) {
	s.out.discardUnwritten()
	if s.out.send(errorResponse(severityFatal, e)) != nil {
		return
	}
	if s.out.flush() == nil {
		tcp.Linger(s.conn, lingerTimeout)
	}
}

func errIdleInTransaction() *outcome.Error {
	return outcome.New(outcome.NotRun, codeIdleInTransaction,
		"the transaction was idle for too long and was rolled back",
		"send the statements of a transaction without long pauses")
}
