package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

const (
	// startupTimeout bounds the wait for a caller's first message. Callers wait 2 s for the answer.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultStatementTimeout and defaultTargetLatency stand in for settings that a route lacks.
	defaultStatementTimeout = 5 * time.Second
	defaultTargetLatency    = time.Second
)

// callerConn is a connection to a caller whose writes are bounded one by one.
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

// pastDeadline as a deadline wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

// errSessionEnded ends a session in good order.
var errSessionEnded = errors.New("the session ends")

// session is one caller's connection. One goroutine runs it; the fields under mu are shared with the stop.
type session struct {
	gw      *Gateway
	conn    net.Conn
	codec   CallerCodec
	route   string
	keyHash manifest.KeyHash
	// account is the one that the key belonged to when it was last checked.
	account string

	state sessionstate.State
	floor position.Position // of the session's own commits
	tx    *transaction
	// abortError is why the open transaction has ended on its own; the next request is told.
	abortError *outcome.Error

	mu              sync.Mutex
	awaitingRequest bool // for the caller's next request
	inTx            bool
	stopping        bool // end as soon as no transaction is open
	cut             bool // end now
}

func (n *session) serve() {
	defer func() { _ = n.conn.Close() }()
	if err := n.startup(); err != nil {
		return
	}
	err := n.loop()
	n.rollBackOpen()
	if !errors.Is(err, io.EOF) && !errors.Is(err, errSessionEnded) {
		n.gw.cfg.Log.sessionBroken(n, err)
	}
}

// startup reads the route and the key and checks them.
func (n *session) startup() error {
	_ = n.conn.SetDeadline(time.Now().Add(startupTimeout))
	route, key, err := n.codec.ReadStartup()
	if err != nil {
		return err
	}
	n.route = route
	n.keyHash = manifest.HashKey(key)
	if _, e := n.authorize(); e != nil {
		n.gw.cfg.Log.sessionRefused(n, e)
		n.codec.Error(e)
		_ = n.codec.Flush()
		return e
	}
	n.codec.Ready(sessionstate.Idle)
	return n.codec.Flush()
}

// authorize checks the session's right by the configuration in force.
func (n *session) authorize() (catalog.Grant, *outcome.Error) {
	snapshot := n.gw.cfg.Directory.Current()
	if snapshot == nil {
		return catalog.Grant{}, errNoConfiguration
	}
	grant, refusal := snapshot.Authorize(n.route, n.keyHash)
	switch refusal {
	case catalog.UnknownRoute:
		return grant, errNoRoute
	case catalog.WrongKey:
		return grant, errWrongKey
	}
	if !grant.Route.Open && !n.gw.cfg.Directory.Fresh() {
		return grant, errNotFresh
	}
	n.account = grant.Account
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

// configVersion is the version of the configuration in force, 0 before the first.
func (n *session) configVersion() uint64 {
	if s := n.gw.cfg.Directory.Current(); s != nil {
		return s.Version()
	}
	return 0
}

// loop serves requests until the session ends, and tells why it ended.
func (n *session) loop() error {
	for {
		stmt, err := n.readRequest()
		if err != nil {
			return err
		}
		began := n.gw.cfg.Now()
		end := n.handle(stmt, began)
		n.codec.Ready(n.state.Tx)
		if err := n.codec.Flush(); err != nil {
			return err
		}
		if end != nil {
			return end
		}
	}
}

// readRequest waits for the caller's next request.
func (n *session) readRequest() (sessionstate.Statement, error) {
	for {
		if err := n.prepareRead(); err != nil {
			return sessionstate.Statement{}, err
		}
		stmt, err := n.codec.ReadStatement()
		n.mu.Lock()
		n.awaitingRequest = false
		stop := n.shouldStop()
		n.mu.Unlock()
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
		n.endIdleTransaction()
	}
}

// prepareRead sets the deadline for the next request.
func (n *session) prepareRead() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inTx = n.state.Tx != sessionstate.Idle
	if n.shouldStop() {
		return errSessionEnded
	}
	n.awaitingRequest = true
	var deadline time.Time
	if n.tx != nil && n.tx.idleTimeout > 0 {
		deadline = time.Now().Add(n.tx.idleTimeout)
	}
	return n.conn.SetReadDeadline(deadline)
}

// stopImmediately reports whether the session is to end before its next request. The caller holds mu.
func (n *session) shouldStop() bool {
	return n.cut || n.stopping && !n.inTx
}

// stop ends the session once no transaction is open, and at once with cut.
func (n *session) stop(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
	n.cut = n.cut || cut
	if n.awaitingRequest && n.shouldStop() {
		_ = n.conn.SetReadDeadline(pastDeadline)
	}
}

// handle answers one request, but for the readiness that follows.
func (n *session) handle(stmt sessionstate.Statement, began time.Duration) error {
	if n.abortError != nil {
		return n.answerAborted(stmt)
	}
	verdict := n.state.Step(stmt)
	switch verdict.Action {
	case sessionstate.Refuse:
		n.failStatement(stmt, verdict.Err, began)
		return nil
	case sessionstate.Answer:
		return n.answerLocally(stmt, began)
	}
	return n.forward(stmt, verdict, began)
}

// answerLocally answers a request that needs no server.
func (n *session) answerLocally(stmt sessionstate.Statement, began time.Duration) error {
	if stmt.Kind == sessionstate.Begin || stmt.Kind == sessionstate.BeginReadOnly {
		if e := n.beginTransaction(stmt); e != nil {
			n.state.TransactionEnded()
			n.refuse(stmt, e, began)
			return endIfDenied(e)
		}
	}
	n.codec.Complete("")
	return nil
}

// forward runs a statement on a server.
func (n *session) forward(stmt sessionstate.Statement, verdict sessionstate.Decision, began time.Duration) error {
	if stmt.Kind == sessionstate.Commit || stmt.Kind == sessionstate.Rollback {
		return n.endTransaction(stmt, began)
	}
	grant, e := n.authorize()
	if e == nil && n.tx != nil {
		n.runInTransaction(request{stmt: stmt, decision: verdict, grant: grant, began: began})
		return nil
	}
	if e == nil {
		e = n.chargeQuota(grant)
	}
	if e != nil {
		n.failStatement(stmt, e, began)
		return endIfDenied(e)
	}
	n.runSingle(request{stmt: stmt, decision: verdict, grant: grant, began: began})
	return nil
}

// failStatement refuses a statement; an open transaction fails with it and is rolled back.
func (n *session) failStatement(stmt sessionstate.Statement, e *outcome.Error, began time.Duration) {
	n.rollBackOpen()
	n.state.StatementFailed()
	n.refuse(stmt, e, began)
}

// chargeQuota charges one operation to the account.
func (n *session) chargeQuota(grant catalog.Grant) *outcome.Error {
	if grant.Account == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.gw.ctx, queueTimeout(grant.Route))
	defer cancel()
	err := n.gw.cfg.Quota.Admit(ctx, grant.Account)
	if err == nil {
		return nil
	}
	if e := outcome.As(err); e != nil {
		return e
	}
	return outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, err.Error(), "repeat the request")
}

// queueTimeout is how long a request may be held before it is offered to a server. A caller that is refused
// within a quarter of the target still has time to be served by another instance.
func queueTimeout(r catalog.Route) time.Duration {
	return r.TargetLatency / 4
}

// answerAborted answers the first request after the transaction has ended on its own.
func (n *session) answerAborted(stmt sessionstate.Statement) error {
	e := n.abortError
	n.abortError = nil
	if stmt.Kind == sessionstate.Commit || stmt.Kind == sessionstate.Rollback {
		n.state.TransactionEnded()
	} else {
		n.state.StatementFailed()
	}
	if stmt.Kind == sessionstate.Rollback {
		n.codec.Complete("")
		return nil
	}
	n.refuse(stmt, e, n.gw.cfg.Now())
	return nil
}

func (n *session) refuse(stmt sessionstate.Statement, e *outcome.Error, began time.Duration) {
	n.gw.cfg.Log.refused(n, stmt, e, n.gw.cfg.Now()-began)
	n.codec.Error(e)
}

// endIfDenied reports whether nothing more can be served in this session.
func endIfDenied(e *outcome.Error) error {
	if e.Kind == outcome.Denied {
		return errSessionEnded
	}
	return nil
}
