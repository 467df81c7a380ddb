package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

// opening tells how a transaction is begun before a statement.
type opening int

const (
	openNone opening = iota
	// openLeader begins a transaction that only the leader accepts.
	openLeader
	openReadOnly
)

// workItem is what a server connection is to do in one go.
type workItem struct {
	values       map[string]string // session values that the statement needs
	opening      opening
	after        position.Position // that the server's log must have
	stmt         sessionstate.Statement
	preparedStmt sessionstate.PreparedStatement // of an execution
	// timeLeft is the time for all of it, patience the part of it that may pass in the queue of the server, and timeout
	// how long the server may take.
	timeLeft, maxQueueWait, serverTimeout time.Duration
}

// deductTime takes time that has passed off the work's.
func (w *workItem) deductTime(d time.Duration) {
	w.timeLeft = max(w.timeLeft-d, time.Millisecond)
	w.maxQueueWait = max(w.maxQueueWait-d, time.Millisecond)
	w.serverTimeout = min(w.serverTimeout, w.timeLeft)
}

// prepared returns the prepared statement that the work needs, or nil.
func (w *workItem) prepared() *sessionstate.PreparedStatement {
	if w.stmt.Kind != sessionstate.Execute {
		return nil
	}
	return &w.preparedStmt
}

// result is how far work came on a server that answered.
type result struct {
	answer answer // to the statement, or to what was refused before it
	// setupRefused tells that the statement was not sent, because the server refused what comes before it.
	setupRefused bool
	state        sessionstate.TxState
	position     position.Position // of the server's log
	took         time.Duration     // at the connection
}

// destination names the connections that may run a statement.
type destination struct {
	server         discovery.Server
	maxConnections int
	account        string
	priority       int // 0 is the highest
}

// notSentError proves that nothing of the work was sent to a server.
type notSentError struct {
	noFreeConnection bool // the server may be well; there was no connection in time
	// serverBusy tells that the queue at the server is longer than the statement's time, so that waiting is of no use.
	serverBusy bool
	retryAfter time.Duration // with busy
	cause      error
}

// Error implements error.
func (e *notSentError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *notSentError) Unwrap() error {
	return e.cause
}

// noAnswerError tells that no answer came to work that was begun.
type noAnswerError struct {
	sent   bool   // the statement itself may have reached the server
	lender string // the instance that did not answer; empty if it was the server
	cause  error
}

// Error implements error.
func (e *noAnswerError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *noAnswerError) Unwrap() error {
	return e.cause
}

// execute does work on the connection. Its error is a *noAnswerError.
func (u *upstream) execute(w *workItem) (result, error) {
	began := time.Now()
	u.setDeadline(w.serverTimeout)
	r, sent, err := u.setUpAndRun(w)
	if err != nil {
		return r, &noAnswerError{sent: sent, cause: err}
	}
	r.state, r.position, r.took = u.state, u.position, time.Since(began)
	return r, nil
}

// setUpAndRun sends what comes before the statement and then the statement. A connection whose preparation was refused
// must not run the statement, which would meet other values or no transaction.
func (u *upstream) setUpAndRun(w *workItem) (r result, sent bool, err error) {
	inTransaction := u.state != sessionstate.Idle
	queued := u.queueSetup(w.values, w.prepared())
	u.changedInTransaction = u.changedInTransaction || inTransaction && queued > 0
	u.queueBegin(w)
	if queued > 0 || w.opening != openNone {
		if r.answer, err = u.readSetupAnswers(queued, w.opening); err != nil || r.answer.code != "" {
			r.setupRefused = true
			return r, false, err
		}
	}
	u.queueStatement(w)
	if err := u.codec.Flush(); err != nil {
		return r, true, err
	}
	r.answer, err = u.receive()
	return r, true, err
}

// queueBegin queues the opening of a transaction.
func (u *upstream) queueBegin(w *workItem) {
	switch w.opening {
	case openLeader:
		u.codec.Begin()
	case openReadOnly:
		u.codec.BeginReadOnly(w.after)
	}
}

// readSetupAnswers reads the answers to what comes before the statement.
func (u *upstream) readSetupAnswers(queued int, o opening) (answer, error) {
	if err := u.codec.Flush(); err != nil {
		return answer{}, err
	}
	a, err := u.readAnswers(queued)
	if err != nil {
		return a, err
	}
	u.stateUnknown = u.stateUnknown || a.code != ""
	if o == openNone {
		return a, nil
	}
	opened, err := u.receive()
	if err != nil || a.code != "" {
		return a, err
	}
	return opened, nil
}

// queueStatement queues a caller's statement.
func (u *upstream) queueStatement(w *workItem) {
	after := w.after
	if w.opening != openNone || u.state != sessionstate.Idle {
		after = position.Position{} // the transaction was opened with it
	}
	if w.stmt.Kind == sessionstate.Execute {
		u.codec.Execute(w.stmt, preparedName(w.preparedStmt), after)
		return
	}
	u.codec.Query(w.stmt, after)
}

// txConn is a server connection for the statements of one transaction.
type txConn interface {
	// execute does work; its error is a *noAnswerError.
	execute(ctx context.Context, w *workItem) (result, error)
	// release gives the connection back and rolls back what is open. After a failed perform it is closed.
	release()
}

// localTxConn is a link over a connection of this instance.
type localTxConn struct {
	gw          *Gateway
	destination destination
	upstream    *upstream
	failed      bool
}

// execute does work in an open transaction. A busy server refuses it as if it had said so itself.
func (l *localTxConn) execute(ctx context.Context, w *workItem) (result, error) {
	d := l.destination
	d.priority = 0 // what an open transaction holds is free sooner if it goes on first
	leave, err := l.gw.admit(ctx, d, w)
	if err != nil {
		refused := answer{code: outcome.CodeInsufficientResources, text: err.Error()}
		return result{answer: refused, setupRefused: true, state: l.upstream.state, position: l.upstream.position}, nil
	}
	defer leave()
	return l.executeNow(w)
}

// executeNow does work whose turn it is.
func (l *localTxConn) executeNow(w *workItem) (result, error) {
	r, err := l.upstream.execute(w)
	l.failed = l.failed || err != nil
	return r, err
}

func (l *localTxConn) release() {
	if l.failed {
		l.gw.pool.release(l.upstream, false)
		return
	}
	l.gw.rollBackAndRelease(l.upstream)
}

// acquireAndExecute waits for the turn of the first work on a connection of this instance, gets the connection and does the work.
// Its error is a *notSentError, then the link is nil, or a *noAnswerError.
func (g *Gateway) acquireAndExecute(ctx context.Context, d destination, w *workItem) (*localTxConn, result, error) {
	leave, err := g.admit(ctx, d, w)
	if err != nil {
		return nil, result{}, err
	}
	defer leave()
	began := time.Now()
	up, err := g.pool.acquire(ctx, d, w.values)
	if err != nil {
		full := errors.Is(err, errServerFull) || errors.Is(err, errNoFreeConnection)
		return nil, result{}, &notSentError{noFreeConnection: full, cause: err}
	}
	w.deductTime(time.Since(began))
	l := &localTxConn{gw: g, destination: d, upstream: up}
	r, err := l.executeNow(w)
	return l, r, err
}

// runStatement runs one statement outside a transaction, over a connection of this instance or one that another
// instance lends. Its error is a *notSentError or a *noAnswerError.
func (g *Gateway) runStatement(ctx context.Context, d destination, w *workItem) (result, error) {
	if lender := g.lenderFor(d); lender != "" {
		r, err := g.borrower.run(ctx, lender, d, w)
		if !isLenderUnavailable(err) {
			return r, err
		}
	}
	return g.runLocal(ctx, d, w)
}

// runLocal runs one statement over a connection of this instance.
func (g *Gateway) runLocal(ctx context.Context, d destination, w *workItem) (result, error) {
	l, r, err := g.acquireAndExecute(ctx, d, w)
	if l != nil {
		l.release()
	}
	return r, err
}

// isLenderUnavailable reports whether work that a lender failed to place is done over a connection of this instance.
func isLenderUnavailable(err error) bool {
	var gone *lenderUnavailableError
	return errors.As(err, &gone)
}

// openTxConn begins a transaction with its first statement. The link is nil unless the transaction was opened.
func (g *Gateway) openTxConn(ctx context.Context, d destination, w *workItem) (txConn, result, error) {
	if lender := g.lenderFor(d); lender != "" {
		l, r, err := g.borrower.open(ctx, lender, d, w)
		if !isLenderUnavailable(err) {
			return l, r, err
		}
	}
	return g.openLocalTxConn(ctx, d, w)
}

// openLocalTxConn begins a transaction on a connection of this instance. The link is nil unless it was opened.
func (g *Gateway) openLocalTxConn(ctx context.Context, d destination, w *workItem) (txConn, result, error) {
	l, r, err := g.acquireAndExecute(ctx, d, w)
	if l == nil {
		return nil, r, err
	}
	if err != nil || r.setupRefused {
		l.release()
		return nil, r, err
	}
	return l, r, nil
}
