package gateway

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// startupTimeout bounds the wait for a caller's startup message. Callers wait 2 s for the answer.
	startupTimeout = 5 * time.Second
	// firstConfigurationWait is how long a session waits for the first configuration of an instance that has just started. If all
	// have, no other instance would serve its caller sooner.
	firstConfigurationWait = time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultStatementTimeout and defaultTargetLatency apply to routes that don't set a value.
	defaultStatementTimeout = 5 * time.Second
	defaultTargetLatency    = time.Second
	// stopLinger is how long a session that is to end waits for a request that its caller may have sent already. It exceeds
	// the time from a caller to this instance.
	stopLinger = 20 * time.Millisecond
	// refusalPeriod bounds how long a session that must end refuses requests.
	refusalPeriod = 100 * time.Millisecond
	// lingerTimeout bounds the wait for a caller to read the last answer before its connection is closed.
	lingerTimeout = 500 * time.Millisecond
)

// callerConn is a connection to a caller with a separate timeout for each write.
type callerConn struct {
	net.Conn
}

// Write implements net.Conn.
func (c callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// errSessionEnded ends a session without an error being logged.
var errSessionEnded = errors.New("session ended")

// session is the session of one caller. One goroutine runs it; the fields under mu are shared with stop.
type session struct {
	gw      *Gateway
	conn    net.Conn
	codec   CallerCodec
	route   string
	keyHash manifest.KeyHash
	// account owned the key when the session began. All that the session holds belongs to it.
	account string

	state sessionstate.State
	floor position.Position // highest position of the session's own commits
	tx    *transaction
	// abortError is set when the gateway has rolled back the open transaction; the next request gets it.
	abortError *outcome.Error

	mu              sync.Mutex
	started         bool // account is known
	awaitingRequest bool // the session is reading the caller's next request
	inTx            bool
	txAtServer      bool // the open transaction has a server connection
	// txDomain is the failure domain of the server of the open transaction, and idleDeadline the time at which the transaction
	// has been idle for too long; zero without a limit.
	txDomain        string
	idleDeadline    time.Time
	stopping        bool // end as soon as no transaction is open
	stopImmediately bool // end even with an open transaction
	// refuseUntil bounds the refusal of requests that have arrived although the session must end.
	refuseUntil time.Time
}

func (sess *session) serve() {
	defer func() { _ = sess.conn.Close() }()
	if err := contain.Call(sess.startup); err != nil {
		sess.gw.cfg.Log.panicked(err)
		return
	}
	err := contain.Call(sess.loop)
	sess.rollBackOpen()
	sess.gw.cfg.Log.panicked(err)
	if !errors.Is(err, io.EOF) && !errors.Is(err, errSessionEnded) {
		sess.gw.cfg.Log.sessionBroken(sess, err)
	}
}

// startup reads the route and the key and checks them.
func (sess *session) startup() error {
	_ = sess.conn.SetDeadline(time.Now().Add(startupTimeout))
	route, key, err := sess.codec.ReadStartup()
	if e := outcome.As(err); e != nil {
		sess.refuseStartup(e)
		tcp.Linger(sess.conn, lingerTimeout)
		return e
	}
	if err != nil {
		return err
	}
	sess.route = route
	sess.keyHash = manifest.HashKey(key)
	wait.UntilClosed(sess.gw.ctx, sess.gw.cfg.Directory.Known(), firstConfigurationWait)
	grant, e := sess.currentGrant()
	if e != nil {
		sess.refuseStartup(e)
		return e
	}
	sess.mu.Lock()
	sess.account, sess.started = grant.Account, true
	sess.mu.Unlock()
	sess.codec.Ready(sessionstate.Idle)
	return sess.codec.Flush()
}

// refuseStartup answers a startup message with an error.
func (sess *session) refuseStartup(e *outcome.Error) {
	sess.gw.cfg.Log.sessionRefused(sess, e)
	sess.codec.Error(e)
	_ = sess.codec.Flush()
}

// authorize checks the session's key against the configuration in force. A session whose key belongs to another account by now can't go on.
func (sess *session) authorize() (catalog.Grant, *outcome.Error) {
	grant, e := sess.currentGrant()
	if e == nil && grant.Account != sess.account {
		e = errAccountChanged
	}
	return grant, e
}

// currentGrant returns what the configuration in force allows the session's key.
func (sess *session) currentGrant() (catalog.Grant, *outcome.Error) {
	snapshot := sess.gw.cfg.Directory.Current()
	if snapshot == nil {
		return catalog.Grant{}, errNoConfiguration
	}
	grant, refusal := snapshot.Authorize(sess.route, sess.keyHash)
	switch refusal {
	case catalog.UnknownRoute:
		return grant, errNoRoute
	case catalog.WrongKey:
		return grant, errWrongKey
	}
	if !grant.Route.Open && !sess.gw.cfg.Directory.Fresh() {
		return grant, errNotFresh
	}
	return withDefaults(grant), nil
}

func withDefaults(g catalog.Grant) catalog.Grant {
	if g.Route.StatementTimeout <= 0 {
		g.Route.StatementTimeout = defaultStatementTimeout
	}
	if g.Route.TargetLatency <= 0 {
		g.Route.TargetLatency = defaultTargetLatency
	}
	return g
}

// configVersion returns the version of the configuration in force, 0 before the first.
func (sess *session) configVersion() uint64 {
	if s := sess.gw.cfg.Directory.Current(); s != nil {
		return s.Version()
	}
	return 0
}

// loop serves requests until the session ends, and returns the reason.
func (sess *session) loop() error {
	for {
		stmt, err := sess.readRequest()
		if e := outcome.As(err); e != nil {
			return sess.refuseUnreadable(e)
		}
		if err != nil {
			return err
		}
		began := sess.gw.cfg.Now()
		end := sess.handleUnlessEnding(stmt, began)
		sess.codec.Ready(sess.state.Tx)
		if err := sess.codec.Flush(); err != nil {
			return err
		}
		if end != nil {
			return end
		}
	}
}

// refuseUnreadable answers a message that could not be read, and returns the reason. The session ends with it, as what follows such a
// message may be a part of it.
func (sess *session) refuseUnreadable(e *outcome.Error) error {
	sess.failStatement(sessionstate.Statement{}, e, sess.gw.cfg.Now())
	sess.codec.Ready(sess.state.Tx)
	if err := sess.codec.Flush(); err != nil {
		return err
	}
	tcp.Linger(sess.conn, lingerTimeout)
	return e
}

// readRequest waits for the caller's next request.
func (sess *session) readRequest() (sessionstate.Statement, error) {
	for {
		if err := sess.prepareRead(); err != nil {
			return sessionstate.Statement{}, err
		}
		stmt, err := sess.codec.ReadStatement()
		sess.mu.Lock()
		sess.awaitingRequest = false
		stop := sess.shouldStop()
		sess.mu.Unlock()
		if err == nil {
			return stmt, nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return stmt, err
		}
		if stop {
			return stmt, errSessionEnded
		}
		if !sess.endEvacuatedTransaction() && !sess.endUnauthorizedTransaction() && sess.idleTooLong() {
			sess.endIdleTransaction()
		}
	}
}

// prepareRead sets the deadline for the next request.
func (sess *session) prepareRead() error {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.inTx = sess.state.Tx != sessionstate.Idle
	if !sess.refuseUntil.IsZero() && time.Now().After(sess.refuseUntil) {
		return errSessionEnded
	}
	sess.awaitingRequest = true
	sess.txDomain, sess.idleDeadline = sess.transactionDomain(), time.Time{}
	sess.txAtServer = sess.tx != nil && sess.tx.conn != nil
	if sess.shouldStop() {
		return sess.conn.SetReadDeadline(time.Now().Add(stopLinger))
	}
	if sess.tx != nil && sess.tx.idleTimeout > 0 {
		sess.idleDeadline = time.Now().Add(sess.tx.idleTimeout)
	}
	return sess.conn.SetReadDeadline(sess.readDeadline())
}

// idleTooLong reports whether the open transaction has been idle for longer than its route allows.
func (sess *session) idleTooLong() bool {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	return !sess.idleDeadline.IsZero() && !time.Now().Before(sess.idleDeadline)
}

// shouldStop reports whether the session must end before its next request. mu must be held.
func (sess *session) shouldStop() bool {
	return sess.stopImmediately || sess.stopping && !sess.inTx
}

// stop ends the session once no transaction is open, or immediately.
func (sess *session) stop(immediately bool) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.stopping = true
	sess.stopImmediately = sess.stopImmediately || immediately
	if sess.awaitingRequest && sess.shouldStop() {
		_ = sess.conn.SetReadDeadline(time.Now().Add(stopLinger))
	}
}

// handleUnlessEnding answers one request, or refuses it if the session must end.
func (sess *session) handleUnlessEnding(stmt sessionstate.Statement, began time.Duration) error {
	sess.mu.Lock()
	ending := sess.stopImmediately
	if ending && sess.refuseUntil.IsZero() {
		sess.refuseUntil = time.Now().Add(refusalPeriod)
	}
	sess.mu.Unlock()
	if ending {
		sess.failStatement(stmt, errStopping, began)
		return nil
	}
	return sess.handle(stmt, began)
}

// handle answers one request, except for the ready message that follows.
func (sess *session) handle(stmt sessionstate.Statement, began time.Duration) error {
	if sess.abortError != nil {
		return sess.answerAborted(stmt)
	}
	decision := sess.state.Step(stmt)
	switch decision.Action {
	case sessionstate.Refuse:
		sess.failStatement(stmt, decision.Err, began)
		return nil
	case sessionstate.Answer:
		return sess.answerLocally(stmt, began)
	}
	return sess.forward(stmt, decision, began)
}

// answerLocally answers a request that needs no server.
func (sess *session) answerLocally(stmt sessionstate.Statement, began time.Duration) error {
	if stmt.Kind == sessionstate.Begin || stmt.Kind == sessionstate.BeginReadOnly {
		if e := sess.beginTransaction(stmt); e != nil {
			sess.state.TransactionEnded()
			sess.refuse(stmt, e, began)
			return sessionEnd(e)
		}
	}
	sess.codec.Complete("")
	return nil
}

// forward runs a statement on a server.
func (sess *session) forward(stmt sessionstate.Statement, decision sessionstate.Decision, began time.Duration) error {
	if stmt.Kind == sessionstate.Commit || stmt.Kind == sessionstate.Rollback {
		return sess.endTransaction(stmt, began)
	}
	grant, e := sess.authorize()
	if e == nil && sess.tx != nil {
		sess.runInTransaction(request{stmt: stmt, decision: decision, grant: grant, began: began})
		return nil
	}
	if e == nil {
		e = sess.chargeQuota(grant)
	}
	if e != nil {
		sess.failStatement(stmt, e, began)
		return sessionEnd(e)
	}
	sess.runSingle(request{stmt: stmt, decision: decision, grant: grant, began: began})
	return nil
}

// failStatement refuses a statement and rolls back the open transaction, if any.
func (sess *session) failStatement(stmt sessionstate.Statement, e *outcome.Error, began time.Duration) {
	sess.rollBackOpen()
	sess.state.StatementFailed()
	sess.refuse(stmt, e, began)
}

// chargeQuota charges one operation to the account.
func (sess *session) chargeQuota(grant catalog.Grant) *outcome.Error {
	if grant.Account == "" {
		return nil
	}
	err := sess.gw.cfg.Quota.AdmitWithin(sess.gw.ctx, grant.Account, quotaPatience(grant.Route))
	if err == nil {
		return nil
	}
	if e := outcome.As(err); e != nil {
		return e
	}
	return outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, err.Error(), "repeat the request")
}

// quotaPatience is how long a request may wait for its quota before it is sent to a server. A caller that is
// refused within a quarter of the target latency still has time to be served by another instance. While fractions rest, no other
// instance has any, and half of the target latency is left for the server.
func quotaPatience(r catalog.Route) quota.Patience {
	return quota.Patience{Answer: r.TargetLatency / 4, Rest: r.TargetLatency / 2}
}

// answerAborted answers the first request after the gateway has rolled back the transaction.
func (sess *session) answerAborted(stmt sessionstate.Statement) error {
	e := sess.abortError
	sess.abortError = nil
	if stmt.Kind == sessionstate.Commit || stmt.Kind == sessionstate.Rollback {
		sess.state.TransactionEnded()
	} else {
		sess.state.StatementFailed()
	}
	if stmt.Kind == sessionstate.Rollback {
		sess.codec.Complete("")
		return nil
	}
	sess.refuse(stmt, e, sess.gw.cfg.Now())
	return sessionEnd(e)
}

func (sess *session) refuse(stmt sessionstate.Statement, e *outcome.Error, began time.Duration) {
	sess.gw.cfg.Log.refused(sess, stmt, e, sess.gw.cfg.Now()-began)
	sess.codec.Error(e)
}

// sessionEnd returns errSessionEnded if a refusal means that no further request of the session can succeed.
func sessionEnd(e *outcome.Error) error {
	if e.Kind == outcome.Denied || e == errAccountChanged {
		return errSessionEnded
	}
	return nil
}
