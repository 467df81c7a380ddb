package gateway

import (
	"cmp"
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
)

// opening is the kind of transaction to begin before a statement.
type opening int

const (
	openNone opening = iota
	// openLeader begins a transaction that only the leader accepts.
	openLeader
	openReadOnly
)

// workItem is one unit of work for a server connection: session setup, an optional begin and a statement.
type workItem struct {
	values       map[string]string // session values that the statement needs
	opening      opening
	after        position.Position // minimum position of the server's log
	stmt         sessionstate.Statement
	preparedStmt sessionstate.PreparedStatement // set for Execute statements
	// timeLeft is the time for everything, maxQueueWait the part that may be spent in the server's admission
	// queue, and serverTimeout how long the server may take.
	timeLeft, maxQueueWait, serverTimeout time.Duration
	targetLeft                            time.Duration // until the end at the server, for the target latency; 0 for none
	waited                                time.Duration // in the admission queue
	// authorized reports whether the caller may still have the statement run for its account; nil at a lender, whose borrower checks it.
	authorized func() bool
	// mustNotSend reports whether the server must not get the statement any more after the setup; nil: never.
	mustNotSend func() bool
}

// deductTime subtracts elapsed time from the remaining time.
func (w *workItem) deductTime(d time.Duration) {
	w.timeLeft = max(w.timeLeft-d, time.Millisecond)
	w.maxQueueWait = max(w.maxQueueWait-d, time.Millisecond)
	w.serverTimeout = min(w.serverTimeout, w.timeLeft)
	if w.targetLeft > 0 {
		w.targetLeft = max(w.targetLeft-d, time.Millisecond)
	}
}

// prepared returns the prepared statement that must exist on the connection, or nil.
func (w *workItem) prepared() *sessionstate.PreparedStatement {
	if w.stmt.Kind != sessionstate.Execute {
		return nil
	}
	return &w.preparedStmt
}

func (w *workItem) isAuthorized() bool {
	return w.authorized == nil || w.authorized()
}

// readsOnly reports whether the work may be repeated although it may have run.
func (w *workItem) readsOnly() bool {
	return w.stmt.Kind == sessionstate.Read || w.stmt.Kind == sessionstate.Execute && !w.preparedStmt.Writes
}

// needsLeader reports whether only the leader may do the work.
func (w *workItem) needsLeader() bool {
	return w.opening == openLeader || w.opening == openNone && !w.readsOnly()
}

// result is the result of work on a server that answered.
type result struct {
	answer answer // to the statement, or to the refused setup
	// setupRefused is set if the statement was not sent because the setup or the begin was refused.
	setupRefused bool
	state        sessionstate.TxState
	position     position.Position // of the server's log
	took         time.Duration     // on the connection, without waiting for it
	waited       time.Duration     // in a scheduler's queue
	schedule
}

// destination identifies the connections that may run a statement.
type destination struct {
	server         discovery.Server
	maxConnections int
	account        string
	priority       int      // 0 is the highest
	homes          []string // regions that may receive the statement; empty for all
	// toScheduler: the lender is chosen by the server alone.
	toScheduler bool
	// chosen: this instance is the scheduler, by its own view or by that of the instance that sent the order.
	chosen bool
	// lent: another instance has sent the work, and acknowledges its answer.
	lent bool
}

// errLeaderUnknown reports that the replacement of a leader may have been missed while a statement waited.
var errLeaderUnknown = errors.New("this instance can't know any more whether the primary is being replaced")

// errServerHeld reports that a primary gets nothing new, so that it has room for the order to step down.
var errServerHeld = errors.New("the primary is being handed over and gets nothing new meanwhile")

// notSentError proves that nothing of the work was sent to a server.
type notSentError struct {
	noFreeConnection bool // no connection became free in time; the server may be healthy
	lenderReaches    bool // the server's machine has refused the connection, so that another lender would not do better
	// serverBusy is set if the server's admission queue is longer than the statement's time, so that waiting
	// can't help.
	serverBusy bool
	cold       bool          // set with serverBusy: the server has just started and gets few statements
	retryAfter time.Duration // set with serverBusy
	sample     leaderSample  // of a cold server, if its lender has one
	cause      error
	schedule
}

// Error implements error.
func (e *notSentError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *notSentError) Unwrap() error {
	return e.cause
}

// noAnswerError reports that work was started and got no answer.
type noAnswerError struct {
	sent   bool   // the statement itself may have reached the server
	lender string // the instance that did not answer; empty if the server did not answer
	// lenderReaches: the server did not answer, but its lender reaches it, so that another lender would not do better.
	lenderReaches bool
	cause         error
}

// Error implements error.
func (e *noAnswerError) Error() string {
	return e.cause.Error()
}

// Unwrap implements errors.Unwrap.
func (e *noAnswerError) Unwrap() error {
	return e.cause
}

// machineAnswers reports whether an error shows that the server's machine is reached, although the server itself does not run or
// has ended the connection. A server that is cut off answers nothing.
func machineAnswers(err error) bool {
	return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF)
}

// execute does the work on the connection. Its error is a *noAnswerError.
func (u *upstreamConn) execute(w *workItem) (result, error) {
	began := time.Now()
	u.setDeadline(w.serverTimeout)
	var r result
	sent := true // unless the work ends regularly before that
	err := contain.Call(func() (err error) {
		r, sent, err = u.setUpAndRun(w)
		return err
	})
	if err != nil {
		return r, &noAnswerError{sent: sent, lenderReaches: machineAnswers(err), cause: err}
	}
	r.state, r.position, r.took = u.state, u.position, time.Since(began)
	return r, nil
}

// setUpAndRun sends the setup and the begin, then the statement. If they are refused, the statement must not
// run: it would see other session values or no transaction.
func (u *upstreamConn) setUpAndRun(w *workItem) (r result, sent bool, err error) {
	inTransaction := u.state != sessionstate.Idle
	queued := u.queueSetup(w.values, w.prepared())
	u.changedInTransaction = u.changedInTransaction || inTransaction && queued > 0
	u.queueBegin(w)
	if queued > 0 || w.opening != openNone {
		if r.answer, err = u.readSetupAnswers(queued, w.opening); err != nil || r.answer.code != "" {
			r.setupRefused = true
			return r, false, err
		}
		if w.mustNotSend != nil && w.mustNotSend() {
			return r, false, errServerEvacuated
		}
	}
	u.queueStatement(w)
	if err := u.codec.Flush(); err != nil {
		return r, true, err
	}
	r.answer, err = u.receive()
	return r, true, err
}

// queueBegin queues the begin of a transaction.
func (u *upstreamConn) queueBegin(w *workItem) {
	switch w.opening {
	case openLeader:
		u.codec.Begin()
	case openReadOnly:
		u.codec.BeginReadOnly(w.after)
	}
}

// readSetupAnswers reads the answers to the setup and the begin.
func (u *upstreamConn) readSetupAnswers(queued int, o opening) (answer, error) {
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
func (u *upstreamConn) queueStatement(w *workItem) {
	after := w.after
	if w.opening != openNone || u.state != sessionstate.Idle {
		after = position.Position{} // the transaction was begun with the position
	}
	if w.stmt.Kind == sessionstate.Execute {
		u.codec.Execute(w.stmt, preparedName(w.preparedStmt), after)
		return
	}
	u.codec.Query(w.stmt, after)
}

// txConn is a server connection for the statements of one transaction.
type txConn interface {
	// execute does the work. Its error is a *noAnswerError.
	execute(ctx context.Context, w *workItem) (result, error)
	// release rolls back an open transaction and returns the connection. After a failed execute it closes the
	// connection.
	release()
}

// localTxConn is a txConn over a connection of this instance.
type localTxConn struct {
	gw          *Gateway
	destination destination
	upstream    *upstreamConn
	admission   *admission // of the first statement
	onLeader    bool       // only the leader may do the work
	failed      bool
}

// execute does work in an open transaction. If the admission queue refuses it, the result looks like a refusal
// by the server.
func (c *localTxConn) execute(ctx context.Context, w *workItem) (result, error) {
	d := c.destination
	d.priority = 0 // run first: an open transaction holds a connection until it ends
	turn, err := c.gw.awaitColdTurn(ctx, d, w)
	if err != nil {
		return c.refuse(err), nil
	}
	defer turn.cancel()
	a, err := c.gw.admit(ctx, d, w, true)
	if err != nil {
		return c.refuse(err), nil
	}
	defer a.endExecution()
	if c.gw.mustEndTransaction(d.server) {
		return c.rolledBack(errServerEvacuated), nil
	}
	if !w.isAuthorized() {
		return c.rolledBack(errUnauthorized), nil
	}
	if c.onLeader {
		switch c.gw.sendObjection(d) {
		case "":
		case placement.LeaseExpired:
			return c.rolledBack(errLeaderUnknown), nil
		default:
			return replacedResult(c.upstream.state), nil
		}
	}
	turn.sent()
	return c.executeNow(w)
}

// sendObjection returns why work for the leader must not be sent to a server. Whether the evidence of the lease is recent enough
// matters at the instance that acknowledges the answer.
func (g *Gateway) sendObjection(d destination) placement.Objection {
	v := g.view(d.server.Database)
	if !d.lent && !g.mayUseLeader() {
		return placement.LeaseExpired
	}
	_, why := v.lead(d.server.ID)
	return why
}

// refuseLeader returns the result or the error of work that must not be sent to its server as the leader, or neither.
func (g *Gateway) refuseLeader(d destination, w *workItem) (*result, error) {
	if !w.needsLeader() {
		return nil, nil
	}
	switch g.sendObjection(d) {
	case "":
		if g.view(d.server.Database).held(d.server.ID) {
			return nil, &notSentError{noFreeConnection: true, cause: errServerHeld}
		}
		return nil, nil
	case placement.LeaseExpired:
		return nil, &notSentError{noFreeConnection: true, cause: errLeaderUnknown} // the server may be healthy
	}
	r := replacedResult(sessionstate.Idle)
	return &r, nil
}

// replacedResult returns the result of work for a leader that was replaced, like the refusal of a server that does not lead.
func replacedResult(state sessionstate.TxState) result {
	return result{answer: answer{code: outcome.CodeReadOnly, text: "the server is being replaced as the primary"}, setupRefused: true, state: state}
}

// refuse returns the result of work that was not admitted.
func (c *localTxConn) refuse(err error) result {
	refused := answer{code: outcome.CodeInsufficientResources, text: err.Error()}
	return result{answer: refused, setupRefused: true, state: c.upstream.state, position: c.upstream.position}
}

// rolledBack returns the result of work in a transaction that must end.
func (c *localTxConn) rolledBack(cause error) result {
	refused := answer{code: outcome.CodeRolledBack, text: cause.Error()}
	return result{answer: refused, setupRefused: true, state: c.upstream.state, position: c.upstream.position}
}

// executeNow does work that was already admitted.
func (c *localTxConn) executeNow(w *workItem) (result, error) {
	c.gw.pool.began(c.upstream)
	r, err := c.upstream.execute(w)
	c.gw.pool.ended(c.upstream, c.destination.server.Slots, r.took, err == nil)
	c.gw.noteBrokenConnection(c.destination.server, err)
	c.failed = c.failed || err != nil
	if c.gw.schedules(c.destination) {
		r.waited = w.waited
		r.expectedWait, r.scheduled = c.gw.admissionQueue(c.destination).expectedWait()
		err = c.markSlow(err)
	}
	return r, err
}

// markSlow tells a slow statement from a server that does not answer.
func (c *localTxConn) markSlow(err error) error {
	var noAnswer *noAnswerError
	if errors.As(err, &noAnswer) {
		noAnswer.lenderReaches = noAnswer.lenderReaches || c.gw.pool.answersOthers(c.upstream)
	}
	return err
}

func (c *localTxConn) release() {
	defer c.admission.endConnection()
	if c.failed || c.gw.mustEndTransaction(c.destination.server) {
		c.gw.pool.release(c.upstream, false)
		return
	}
	c.gw.rollBackAndRelease(c.upstream)
}

// acquireAndExecute waits for admission, acquires a connection of this instance and does the first work on it.
// Its error is a *notSentError, with a nil connection, or a *noAnswerError.
func (g *Gateway) acquireAndExecute(ctx context.Context, d destination, w *workItem) (*localTxConn, result, error) {
	turn, err := g.takeColdTurn(d)
	if err != nil {
		return nil, result{}, cmp.Or(g.checkEvacuation(d.server), err)
	}
	defer turn.cancel()
	ctx, stopWaiting := g.untilEvacuated(ctx, d.server)
	defer stopWaiting()
	a, err := g.admit(ctx, d, w, false)
	if err != nil {
		return nil, result{}, cmp.Or(g.checkEvacuation(d.server), err)
	}
	defer a.endExecution()
	began := time.Now()
	u, err := g.pool.acquire(ctx, d, w.values, w.maxQueueWait)
	if evacuated := g.checkEvacuation(d.server); evacuated != nil {
		if err == nil {
			g.pool.release(u, false)
		}
		a.endConnection()
		return nil, result{}, evacuated
	}
	if err != nil {
		a.endConnection()
		g.noteBrokenConnection(d.server, err)
		full := errors.Is(err, errServerFull) || errors.Is(err, errNoFreeConnection)
		return nil, result{}, &notSentError{noFreeConnection: full, lenderReaches: machineAnswers(err), cause: err}
	}
	refused, err := g.refuseLeader(d, w)
	if !w.isAuthorized() {
		err = &notSentError{noFreeConnection: true, cause: errUnauthorized}
	}
	if refused != nil || err != nil {
		g.pool.release(u, true)
		a.endConnection()
		return nil, *cmp.Or(refused, &result{}), err
	}
	w.deductTime(time.Since(began))
	conn := &localTxConn{gw: g, destination: d, upstream: u, admission: a, onLeader: w.opening == openLeader}
	turn.sent()
	w.mustNotSend = g.evacuationLimit(d.server)
	r, err := conn.executeNow(w)
	if errors.Is(err, errServerEvacuated) {
		conn.release()
		return nil, result{}, newEvacuatedError()
	}
	return conn, r, err
}

// runStatement runs one statement outside a transaction, over a connection of this instance or one that another
// instance lends. Its error is a *notSentError or a *noAnswerError.
func (g *Gateway) runStatement(ctx context.Context, d destination, w *workItem) (result, error) {
	if err := g.checkColdHold(d); err != nil {
		return result{}, err
	}
	d.toScheduler = g.hasOneScheduler(d.server)
	for range g.maxLenders(d) {
		lender := g.lenderFor(d)
		if d.chosen = d.toScheduler && lender == ""; lender == "" {
			break
		}
		called := g.cfg.Now()
		r, err := g.borrower.run(g.withColdNews(ctx, d.server), lender, d, w)
		g.learnSample(d, called, err)
		err = g.coldFailure(d, lender, err)
		if !isLenderUnavailable(err) {
			return r, err
		}
		g.skipScheduler(d, lender)
	}
	r, err := g.runLocal(ctx, d, w)
	g.recordUnreached(d, err)
	return r, g.coldFailure(d, "", err)
}

// runLocal runs one statement over a connection of this instance.
func (g *Gateway) runLocal(ctx context.Context, d destination, w *workItem) (result, error) {
	conn, r, err := g.acquireAndExecute(ctx, d, w)
	if conn != nil {
		conn.release()
	}
	return r, err
}

// isLenderUnavailable reports whether a lender could not be used, so that this instance uses its own connection.
func isLenderUnavailable(err error) bool {
	var unavailable *lenderUnavailableError
	return errors.As(err, &unavailable)
}

// openTxConn begins a transaction with its first statement. The connection is nil unless the transaction was
// opened.
func (g *Gateway) openTxConn(ctx context.Context, d destination, w *workItem) (txConn, result, error) {
	if err := g.checkColdHold(d); err != nil {
		return nil, result{}, err
	}
	d.toScheduler = g.hasOneScheduler(d.server)
	for range g.maxLenders(d) {
		lender := g.lenderFor(d)
		if d.chosen = d.toScheduler && lender == ""; lender == "" {
			break
		}
		called := g.cfg.Now()
		conn, r, err := g.borrower.open(g.withColdNews(ctx, d.server), lender, d, w)
		g.learnSample(d, called, err)
		err = g.coldFailure(d, lender, err)
		if !isLenderUnavailable(err) {
			return conn, r, err
		}
		g.skipScheduler(d, lender)
	}
	conn, r, err := g.openLocalTxConn(ctx, d, w)
	g.recordUnreached(d, err)
	return conn, r, g.coldFailure(d, "", err)
}

// openLocalTxConn begins a transaction on a connection of this instance. The connection is nil unless the
// transaction was opened.
func (g *Gateway) openLocalTxConn(ctx context.Context, d destination, w *workItem) (txConn, result, error) {
	conn, r, err := g.acquireAndExecute(ctx, d, w)
	if conn == nil {
		return nil, r, err
	}
	if err != nil || r.setupRefused {
		conn.release()
		return nil, r, err
	}
	return conn, r, nil
}
