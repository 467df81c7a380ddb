package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

// transaction is a caller's open transaction. Its server is chosen with its first statement.
type transaction struct {
	conn             txConn // nil before the first statement
	view             *view
	server           discovery.Server
	acceptedByLeader bool // the server accepted the transaction as the leader
	lead             leaderlease.Lead
	readOnly         bool
	hasWritten       bool
	idleTimeout      time.Duration
	homes            home.Regions // in which it was opened
}

// beginTransaction charges the operation; the server is chosen with the first statement.
func (sess *session) beginTransaction(stmt sessionstate.Statement) *outcome.Error {
	grant, e := sess.authorize()
	if e != nil {
		return e
	}
	if e := sess.chargeQuota(grant); e != nil {
		return e
	}
	sess.tx = &transaction{
		readOnly:    stmt.Kind == sessionstate.BeginReadOnly,
		idleTimeout: grant.Route.IdleInTransactionTimeout,
	}
	return nil
}

// runInTransaction runs a statement of the open transaction.
func (sess *session) runInTransaction(r request) {
	if sess.tx.conn == nil {
		sess.openTransaction(r)
		return
	}
	if e := sess.objection(sess.tx, r); e != nil {
		sess.failTransaction(r, e)
		return
	}
	w := sess.transactionWork(r)
	sent := sess.gw.cfg.Now()
	res, err := sess.tx.conn.execute(sess.gw.ctx, w)
	if err != nil {
		sess.recordNoAnswer(r, sess.tx.view, sess.tx.server, err)
		sess.failTransaction(r, errTransactionLost)
		return
	}
	sess.answerInTransaction(r, res, sent, 1)
}

// objection returns why an open transaction must end before a statement, or nil.
func (sess *session) objection(tx *transaction, r request) *outcome.Error {
	if e := tx.leaderError(sess.gw); e != nil {
		return e
	}
	switch {
	case sess.gw.mustEndTransaction(tx.server):
		return errEvacuatedTransaction
	case tx.leftHome(r.grant.Homes):
		sess.gw.cfg.Log.transactionLeftHome(sess, r.stmt, tx.server)
		return errHomeChanged
	}
	return nil
}

// leaderError returns why a transaction that the leader has accepted must end, or nil.
func (tx *transaction) leaderError(g *Gateway) *outcome.Error {
	if !tx.acceptedByLeader {
		return nil
	}
	switch g.ackObjection(tx.view, tx.server.ID, tx.lead) {
	case "":
		return nil
	case placement.LeaseExpired:
		return errCutOff
	}
	return errLeaderReplaced
}

func (sess *session) transactionWork(r request) *workItem {
	left := r.grant.Route.StatementTimeout - (sess.gw.cfg.Now() - r.began)
	left = max(left, time.Millisecond)
	return &workItem{
		authorized: sess.isAuthorized,
		values:     sess.state.Values(), stmt: r.stmt, preparedStmt: r.decision.Prepared,
		timeLeft: left, maxQueueWait: left * leaderQueuePercent / 100, serverTimeout: left,
	}
}

// recordNoAnswer records that a statement of a transaction got no answer.
func (sess *session) recordNoAnswer(r request, v *view, s discovery.Server, err error) {
	var noAnswer *noAnswerError
	fromServer := !errors.As(err, &noAnswer) || noAnswer.lender == ""
	sess.gw.cfg.Log.noAnswer(sess, r.stmt, s, true, err)
	if fromServer {
		v.markUnreachable(s.ID)
		sess.gw.reportSuspect(v, s.ID)
	}
}

// answerInTransaction passes on the server's answer to a statement.
func (sess *session) answerInTransaction(r request, res result, sent time.Duration, tries int) {
	tx := sess.tx
	if res.answer.code != "" {
		sess.handleTransactionRefusal(r, res.answer)
		return
	}
	if tx.acceptedByLeader {
		if !sess.confirmLeader(tx.view, r.stmt, tx.server, tx.lead, r.began) {
			sess.failTransaction(r, errLeaderReplaced)
			return
		}
		// The server answers statements of such a transaction only while it leads.
		tx.view.markLeader(sent, tx.server.ID, res.position)
	}
	tx.hasWritten = tx.hasWritten || r.decision.Writes
	sess.sendResult(r.stmt, tx.server, tries, r.began, res.answer)
}

// openTransaction finds a server that accepts the transaction and begins it there with its first statement.
func (sess *session) openTransaction(r request) {
	t, done, e := sess.newTryState(r)
	if e != nil {
		sess.failTransaction(r, e)
		return
	}
	defer done()
	t.leaderOnly = !sess.tx.readOnly || r.grant.Route.MaxStaleness == 0
	for t.nextTry() {
		s, e := sess.waitForServer(t)
		if e != nil {
			sess.failTransaction(r, asNotRun(e))
			return
		}
		if sess.openOnServer(t, s) {
			return
		}
	}
	sess.failTransaction(r, asNotRun(t.lastError))
}

// asNotRun returns e if it proves that nothing ran, otherwise errNoServer: the transaction was rolled back as a
// whole.
func asNotRun(e *outcome.Error) *outcome.Error {
	if e.Kind == outcome.NotRun {
		return e
	}
	return errNoServer
}

// openOnServer begins the transaction on a server. It reports whether the caller was answered.
func (sess *session) openOnServer(t *tryState, s discovery.Server) bool {
	w := t.workItem(sess.state.Values())
	w.authorized = sess.isAuthorized
	w.targetLeft = sess.targetLeft(t.request, s)
	w.opening = openReadOnly
	if t.requiresLeader() {
		w.opening = openLeader
	}
	sent := sess.gw.cfg.Now()
	lead := t.leadAtSend(s)
	t.view.recordSent(s.ID)
	conn, res, err := sess.gw.openTxConn(t.ctx, t.destination(s), w)
	if err != nil {
		return sess.handleOpenFailure(t, s, err)
	}
	t.view.recordAnswer(s.ID, sess.gw.cfg.Now()-sent-res.waited, res.position)
	res.schedule.record(t.view, s.ID)
	if conn == nil {
		sess.handleOpenRefusal(t, s, res.answer)
		return false
	}
	sess.tx.conn, sess.tx.view, sess.tx.server, sess.tx.acceptedByLeader = conn, t.view, s, t.requiresLeader()
	sess.tx.lead, sess.tx.homes = lead, t.grant.Homes
	sess.answerInTransaction(t.request, res, sent, t.number)
	return true
}

// handleOpenFailure handles a missing answer to the begin or the first statement. The transaction is rolled back
// as a whole, so it can begin on another server.
func (sess *session) handleOpenFailure(t *tryState, s discovery.Server, err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return sess.handleNotSent(t, s, notSent)
	}
	t.view.recordAbandoned(s.ID)
	sess.recordNoAnswer(t.request, t.view, s, err)
	t.lastError = errTransactionLost
	t.excluded = append(t.excluded, s.ID)
	return false
}

func (sess *session) handleOpenRefusal(t *tryState, s discovery.Server, a answer) {
	t.lastError = asNotRun(serverError(a))
	sess.gw.cfg.Log.retried(sess, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.markNotLeader(s.ID)
		t.number--
		return
	case outcome.CodeNotCaughtUp:
		t.view.markLagging(s.ID, t.floor)
	}
	t.excluded = append(t.excluded, s.ID)
}

// handleTransactionRefusal passes on a server's error and rolls back the transaction.
func (sess *session) handleTransactionRefusal(r request, a answer) {
	if a.code == outcome.CodeReadOnly {
		sess.tx.view.markNotLeader(sess.tx.server.ID)
	}
	e := serverError(a)
	if e.Kind != outcome.NotRun {
		// The transaction is rolled back as a whole, so none of its writes persist.
		e = errFailedTransaction
	}
	sess.failTransaction(r, e)
}

// failTransaction rolls back the transaction and answers the statement with e.
func (sess *session) failTransaction(r request, e *outcome.Error) {
	sess.rollBackOpen()
	sess.state.StatementFailed()
	sess.refuse(r.stmt, e, r.began)
}

// rollBackOpen rolls back the open transaction, if any.
func (sess *session) rollBackOpen() {
	tx := sess.tx
	sess.tx = nil
	if tx != nil && tx.conn != nil {
		tx.conn.release()
	}
}

// endTransaction answers COMMIT and ROLLBACK.
func (sess *session) endTransaction(stmt sessionstate.Statement, began time.Duration) error {
	if stmt.Kind == sessionstate.Rollback {
		sess.rollBackOpen()
		sess.state.TransactionEnded()
		sess.codec.Complete("")
		return nil
	}
	failed := sess.state.Tx == sessionstate.Failed
	tx := sess.tx
	sess.tx = nil
	sess.state.TransactionEnded()
	if failed || tx == nil || tx.conn == nil {
		// Without a server there is no receipt, which the answer to COMMIT must carry.
		sess.refuse(stmt, errFailedTransaction, began)
		return nil
	}
	defer tx.conn.release()
	return sess.commit(tx, stmt, began)
}

// commit sends COMMIT and passes on the answer.
func (sess *session) commit(tx *transaction, stmt sessionstate.Statement, began time.Duration) error {
	grant, e := sess.authorize()
	if e != nil {
		sess.refuse(stmt, e, began)
		return sessionEnd(e)
	}
	r := request{stmt: stmt, grant: grant, began: began}
	if e := sess.objection(tx, r); e != nil {
		sess.refuse(stmt, e, began) // the caller of commit rolls it back
		return nil
	}
	sent := sess.gw.cfg.Now()
	res, err := tx.conn.execute(sess.gw.ctx, sess.transactionWork(r))
	if err != nil {
		sess.recordNoAnswer(r, tx.view, tx.server, err)
		sess.refuse(stmt, tx.unansweredCommitError(err), began)
		return nil
	}
	if res.answer.code != "" {
		sess.refuse(stmt, tx.commitError(res.answer), began)
		return nil
	}
	if tx.acceptedByLeader && tx.hasWritten {
		if !sess.confirmLeader(tx.view, stmt, tx.server, tx.lead, began) {
			sess.refuse(stmt, errOutcomeUnknown, began)
			return nil
		}
		tx.view.markLeader(sent, tx.server.ID, res.position)
		sess.floor = position.Max(sess.floor, res.position)
	}
	sess.sendResult(stmt, tx.server, 1, began, res.answer)
	return nil
}

// unansweredCommitError returns the error for a COMMIT that got no answer.
func (tx *transaction) unansweredCommitError(err error) *outcome.Error {
	var noAnswer *noAnswerError
	sent := !errors.As(err, &noAnswer) || noAnswer.sent
	if tx.hasWritten && sent {
		return errOutcomeUnknown
	}
	return errTransactionLost
}

// commitError returns the error for a COMMIT that the server refused.
func (tx *transaction) commitError(a answer) *outcome.Error {
	e := serverError(a)
	if e.Kind == outcome.NotRun || tx.hasWritten {
		return e
	}
	return errTransactionLost
}

// endIdleTransaction rolls back a transaction that was idle for longer than its route allows.
func (sess *session) endIdleTransaction() {
	sess.gw.cfg.Log.idleTransaction(sess)
	sess.rollBackOpen()
	sess.abortError = errIdleTransaction
}
