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

// work is what a server connection is to do in one go.
type work struct {
	values  map[string]string // session values that the statement needs
	opening opening
	after   position.Position // that the server's log must have
	stmt    sessionstate.Statement
	uses    sessionstate.PreparedStatement // of an execution
	// left is the time for all of it, patience the part of it that may pass in the queue of the server, and timeout
	// how long the server may take.
	left, patience, timeout time.Duration
}

// spend takes time that has passed off the work's.
func (w *work) spend(d time.Duration) {
	w.left = max(w.left-d, time.Millisecond)
	w.patience = max(w.patience-d, time.Millisecond)
	w.timeout = min(w.timeout, w.left)
}

// prepared returns the prepared statement that the work needs, or nil.
func (w *work) prepared() *sessionstate.PreparedStatement {
	if w.stmt.Kind != sessionstate.Execute {
		return nil
	}
	return &w.uses
}

// report is how far work came on a server that answered.
type report struct {
	answer answer // to the statement, or to what was refused before it
	// notOpened tells that the statement was not sent, because the server refused what comes before it.
	notOpened bool
	state     sessionstate.TxState
	position  position.Position // of the server's log
	took      time.Duration     // at the connection
}

// destination names the connections that may run a statement.
type destination struct {
	server         discovery.Server
	maxConnections int
	account        string
	priority       int // 0 is the highest
}

// notPlacedError proves that nothing of the work was sent to a server.
type notPlacedError struct {
	full bool // the server may be well; there was no connection in time
	// busy tells that the queue at the server is longer than the statement's time, so that waiting is of no use.
	busy       bool
	retryAfter time.Duration // with busy
	cause      error
}

// Error implements error.
func (e *notPlacedError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *notPlacedError) Unwrap() error {
	return e.cause
}

// silentError tells that no answer came to work that was begun.
type silentError struct {
	sent   bool   // the statement itself may have reached the server
	lender string // the instance that did not answer; empty if it was the server
	cause  error
}

// Error implements error.
func (e *silentError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *silentError) Unwrap() error {
	return e.cause
}

// perform does work on the connection. Its error is a *silentError.
func (u *upstream) perform(w *work) (report, error) {
	began := time.Now()
	u.deadline(w.timeout)
	r, sent, err := u.steps(w)
	if err != nil {
		return r, &silentError{sent: sent, cause: err}
	}
	r.state, r.position, r.took = u.state, u.position, time.Since(began)
	return r, nil
}

// steps sends what comes before the statement and then the statement. A connection whose preparation was refused
// must not run the statement, which would meet other values or no transaction.
func (u *upstream) steps(w *work) (r report, sent bool, err error) {
	inTransaction := u.state != sessionstate.Idle
	queued := u.setup(w.values, w.prepared())
	u.setInside = u.setInside || inTransaction && queued > 0
	u.begin(w)
	if queued > 0 || w.opening != openNone {
		if r.answer, err = u.prelude(queued, w.opening); err != nil || r.answer.code != "" {
			r.notOpened = true
			return r, false, err
		}
	}
	u.query(w)
	if err := u.codec.Flush(); err != nil {
		return r, true, err
	}
	r.answer, err = u.receive()
	return r, true, err
}

// begin queues the opening of a transaction.
func (u *upstream) begin(w *work) {
	switch w.opening {
	case openLeader:
		u.codec.Begin()
	case openReadOnly:
		u.codec.BeginReadOnly(w.after)
	}
}

// prelude reads the answers to what comes before the statement.
func (u *upstream) prelude(queued int, o opening) (answer, error) {
	if err := u.codec.Flush(); err != nil {
		return answer{}, err
	}
	a, err := u.settle(queued)
	if err != nil {
		return a, err
	}
	u.unknown = u.unknown || a.code != ""
	if o == openNone {
		return a, nil
	}
	opened, err := u.receive()
	if err != nil || a.code != "" {
		return a, err
	}
	return opened, nil
}

// query queues a caller's statement.
func (u *upstream) query(w *work) {
	after := w.after
	if w.opening != openNone || u.state != sessionstate.Idle {
		after = position.Position{} // the transaction was opened with it
	}
	if w.stmt.Kind == sessionstate.Execute {
		u.codec.Execute(w.stmt, preparedName(w.uses), after)
		return
	}
	u.codec.Query(w.stmt, after)
}

// link is a server connection for the statements of one transaction.
type link interface {
	// perform does work; its error is a *silentError.
	perform(ctx context.Context, w *work) (report, error)
	// release gives the connection back and rolls back what is open. After a failed perform it is closed.
	release()
}

// localLink is a link over a connection of this instance.
type localLink struct {
	gw          *Gateway
	destination destination
	up          *upstream
	failed      bool
}

// perform does work in an open transaction. A busy server refuses it as if it had said so itself.
func (l *localLink) perform(ctx context.Context, w *work) (report, error) {
	d := l.destination
	d.priority = 0 // what an open transaction holds is free sooner if it goes on first
	leave, err := l.gw.enter(ctx, d, w)
	if err != nil {
		refused := answer{code: outcome.CodeInsufficientResources, text: err.Error()}
		return report{answer: refused, notOpened: true, state: l.up.state, position: l.up.position}, nil
	}
	defer leave()
	return l.performNow(w)
}

// performNow does work whose turn it is.
func (l *localLink) performNow(w *work) (report, error) {
	r, err := l.up.perform(w)
	l.failed = l.failed || err != nil
	return r, err
}

func (l *localLink) release() {
	if l.failed {
		l.gw.pool.release(l.up, false)
		return
	}
	l.gw.rollBack(l.up)
}

// begin waits for the turn of the first work on a connection of this instance, gets the connection and does the work.
// Its error is a *notPlacedError, then the link is nil, or a *silentError.
func (g *Gateway) begin(ctx context.Context, d destination, w *work) (*localLink, report, error) {
	leave, err := g.enter(ctx, d, w)
	if err != nil {
		return nil, report{}, err
	}
	defer leave()
	began := time.Now()
	up, err := g.pool.acquire(ctx, d, w.values)
	if err != nil {
		full := errors.Is(err, errServerFull) || errors.Is(err, errConnections)
		return nil, report{}, &notPlacedError{full: full, cause: err}
	}
	w.spend(time.Since(began))
	l := &localLink{gw: g, destination: d, up: up}
	r, err := l.performNow(w)
	return l, r, err
}

// runOnce runs one statement outside a transaction, over a connection of this instance or one that another
// instance lends. Its error is a *notPlacedError or a *silentError.
func (g *Gateway) runOnce(ctx context.Context, d destination, w *work) (report, error) {
	if lender := g.lender(d); lender != "" {
		r, err := g.lending.run(ctx, lender, d, w)
		if !retryDirectly(err) {
			return r, err
		}
	}
	return g.runLocal(ctx, d, w)
}

// runLocal runs one statement over a connection of this instance.
func (g *Gateway) runLocal(ctx context.Context, d destination, w *work) (report, error) {
	l, r, err := g.begin(ctx, d, w)
	if l != nil {
		l.release()
	}
	return r, err
}

// retryDirectly reports whether work that a lender failed to place is done over a connection of this instance.
func retryDirectly(err error) bool {
	var gone *lenderGoneError
	return errors.As(err, &gone)
}

// openLink begins a transaction with its first statement. The link is nil unless the transaction was opened.
func (g *Gateway) openLink(ctx context.Context, d destination, w *work) (link, report, error) {
	if lender := g.lender(d); lender != "" {
		l, r, err := g.lending.open(ctx, lender, d, w)
		if !retryDirectly(err) {
			return l, r, err
		}
	}
	return g.openLocal(ctx, d, w)
}

// openLocal begins a transaction on a connection of this instance. The link is nil unless it was opened.
func (g *Gateway) openLocal(ctx context.Context, d destination, w *work) (link, report, error) {
	l, r, err := g.begin(ctx, d, w)
	if l == nil {
		return nil, r, err
	}
	if err != nil || r.notOpened {
		l.release()
		return nil, r, err
	}
	return l, r, nil
}
