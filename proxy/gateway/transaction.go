package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

// transaction is a caller's open transaction. It gets a server with its first statement.
type transaction struct {
	conn             txConn // nil before the first statement
	view             *view
	server           discovery.Server
	acceptedByLeader bool // the server accepted it as the leader
	readOnly         bool
	hasWritten       bool
	idleTimeout      time.Duration
}

// beginTransaction charges the operation; the server is chosen with the first statement.
func (n *session) beginTransaction(stmt sessionstate.Statement) *outcome.Error {
	grant, e := n.authorize()
	if e != nil {
		return e
	}
	if e := n.chargeQuota(grant); e != nil {
		return e
	}
	n.tx = &transaction{
		readOnly:    stmt.Kind == sessionstate.BeginReadOnly,
		idleTimeout: grant.Route.IdleInTransactionTimeout,
	}
	return nil
}

// runInTransaction runs a statement of the open transaction.
func (n *session) runInTransaction(r request) {
	if n.tx.conn == nil {
		n.openTransaction(r)
		return
	}
	w := n.transactionWork(r)
	sent := n.gw.cfg.Now()
	rep, err := n.tx.conn.execute(n.gw.ctx, w)
	if err != nil {
		n.recordNoAnswer(r, n.tx.view, n.tx.server, err)
		n.failTransaction(r, errTransactionLost)
		return
	}
	n.answerInTransaction(r, rep, sent, 1)
}

func (n *session) transactionWork(r request) *workItem {
	left := r.grant.Route.StatementTimeout - (n.gw.cfg.Now() - r.began)
	left = max(left, time.Millisecond)
	return &workItem{
		values: n.state.Values(), stmt: r.stmt, preparedStmt: r.decision.Prepared,
		timeLeft: left, maxQueueWait: left * leaderQueuePercent / 100, serverTimeout: left,
	}
}

// recordNoAnswer notes that a statement of a transaction got no answer.
func (n *session) recordNoAnswer(r request, v *view, s discovery.Server, err error) {
	var silent *noAnswerError
	fromServer := !errors.As(err, &silent) || silent.lender == ""
	n.gw.cfg.Log.noAnswer(n, r.stmt, s, true, err)
	if fromServer {
		v.markUnreachable(s.ID)
		n.gw.reportSuspect(v, s.ID)
	}
}

// answerInTransaction passes on what the server said to a statement.
func (n *session) answerInTransaction(r request, rep result, sent time.Duration, tries int) {
	tx := n.tx
	if rep.answer.code != "" {
		n.handleTransactionRefusal(r, rep.answer)
		return
	}
	if tx.acceptedByLeader {
		// The leader answers statements of such a transaction only while it leads.
		tx.view.markLeader(sent, tx.server.ID, rep.position)
	}
	tx.hasWritten = tx.hasWritten || r.decision.Writes
	n.sendResult(r.stmt, tx.server, tries, r.began, rep.answer)
}

// openTransaction finds a server that accepts the transaction, and begins it there with its first statement.
func (n *session) openTransaction(r request) {
	t, done, e := n.newTryState(r)
	if e != nil {
		n.failTransaction(r, e)
		return
	}
	defer done()
	t.leaderOnly = !n.tx.readOnly || r.grant.Route.MaxStaleness == 0
	for t.nextTry() {
		s, e := n.waitForServer(t)
		if e != nil {
			n.failTransaction(r, asNotRun(e))
			return
		}
		if n.openOnServer(t, s) {
			return
		}
	}
	n.failTransaction(r, asNotRun(t.lastError))
}

// asNotRun is the refusal of a transaction that is rolled back as a whole.
func asNotRun(e *outcome.Error) *outcome.Error {
	if e.Kind == outcome.NotRun {
		return e
	}
	return errNoServer
}

// openOnServer begins the transaction on a server. It reports whether the caller was answered.
func (n *session) openOnServer(t *tryState, s discovery.Server) bool {
	w := t.workItem(n.state.Values())
	w.opening = openReadOnly
	if t.requiresLeader() {
		w.opening = openLeader
	}
	sent := n.gw.cfg.Now()
	t.view.recordSent(s.ID)
	l, rep, err := n.gw.openTxConn(t.ctx, t.destination(s), w)
	if err != nil {
		return n.handleOpenFailure(t, s, err)
	}
	t.view.recordAnswer(s.ID, n.gw.cfg.Now()-sent, rep.position)
	if l == nil {
		n.handleOpenRefusal(t, s, rep.answer)
		return false
	}
	n.tx.conn, n.tx.view, n.tx.server, n.tx.acceptedByLeader = l, t.view, s, t.requiresLeader()
	n.answerInTransaction(t.request, rep, sent, t.number)
	return true
}

// handleOpenFailure notes that no answer came to the begin or the first statement. Nothing of the transaction is kept, so
// that it can begin elsewhere.
func (n *session) handleOpenFailure(t *tryState, s discovery.Server, err error) bool {
	var notPlaced *notSentError
	if errors.As(err, &notPlaced) {
		return n.handleNotSent(t, s, notPlaced)
	}
	t.view.recordAbandoned(s.ID)
	n.recordNoAnswer(t.request, t.view, s, err)
	t.lastError = errTransactionLost
	t.excluded = append(t.excluded, s.ID)
	return false
}

func (n *session) handleOpenRefusal(t *tryState, s discovery.Server, a answer) {
	t.lastError = asNotRun(serverError(a))
	n.gw.cfg.Log.retried(n, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.markNotLeader(s.ID)
		t.number--
		return
	case outcome.CodeNotCaughtUp:
		t.view.markLagging(s.ID)
	}
	t.excluded = append(t.excluded, s.ID)
}

// handleTransactionRefusal passes on a server's error; the transaction is rolled back.
func (n *session) handleTransactionRefusal(r request, a answer) {
	if a.code == outcome.CodeReadOnly {
		n.tx.view.markNotLeader(n.tx.server.ID)
	}
	e := serverError(a)
	if e.Kind != outcome.NotRun {
		// The transaction is rolled back as a whole, so nothing of it is kept.
		e = errFailedTransaction
	}
	n.failTransaction(r, e)
}

// failTransaction ends the transaction on its server and tells the caller why.
func (n *session) failTransaction(r request, e *outcome.Error) {
	n.rollBackOpen()
	n.state.StatementFailed()
	n.refuse(r.stmt, e, r.began)
}

// rollBackOpen rolls the open transaction back.
func (n *session) rollBackOpen() {
	tx := n.tx
	n.tx = nil
	if tx != nil && tx.conn != nil {
		tx.conn.release()
	}
}

// endTransaction answers COMMIT and ROLLBACK.
func (n *session) endTransaction(stmt sessionstate.Statement, began time.Duration) error {
	if stmt.Kind == sessionstate.Rollback {
		n.rollBackOpen()
		n.state.TransactionEnded()
		n.codec.Complete("")
		return nil
	}
	failed := n.state.Tx == sessionstate.Failed
	tx := n.tx
	n.tx = nil
	n.state.TransactionEnded()
	if failed || tx == nil || tx.conn == nil {
		// Without a server there is no receipt, which the answer to a commit needs.
		n.refuse(stmt, errFailedTransaction, began)
		return nil
	}
	defer tx.conn.release()
	return n.commit(tx, stmt, began)
}

// commit sends COMMIT and passes on the answer.
func (n *session) commit(tx *transaction, stmt sessionstate.Statement, began time.Duration) error {
	grant, e := n.authorize()
	if e != nil {
		n.refuse(stmt, e, began)
		return endIfDenied(e)
	}
	r := request{stmt: stmt, grant: grant, began: began}
	sent := n.gw.cfg.Now()
	rep, err := tx.conn.execute(n.gw.ctx, n.transactionWork(r))
	if err != nil {
		n.recordNoAnswer(r, tx.view, tx.server, err)
		n.refuse(stmt, tx.unansweredCommitError(err), began)
		return nil
	}
	if rep.answer.code != "" {
		n.refuse(stmt, tx.commitError(rep.answer), began)
		return nil
	}
	if tx.acceptedByLeader && tx.hasWritten {
		tx.view.markLeader(sent, tx.server.ID, rep.position)
		n.floor = position.Max(n.floor, rep.position)
	}
	n.sendResult(stmt, tx.server, 1, began, rep.answer)
	return nil
}

// unansweredCommitError is what a caller is told whose COMMIT got no answer.
func (tx *transaction) unansweredCommitError(err error) *outcome.Error {
	var silent *noAnswerError
	sent := !errors.As(err, &silent) || silent.sent
	if tx.hasWritten && sent {
		return errOutcomeUnknown
	}
	return errTransactionLost
}

// commitError is what a caller is told whose COMMIT the server refused.
func (tx *transaction) commitError(a answer) *outcome.Error {
	e := serverError(a)
	if e.Kind == outcome.NotRun || tx.hasWritten {
		return e
	}
	return errTransactionLost
}

// endIdleTransaction rolls back a transaction whose caller rests for too long.
func (n *session) endIdleTransaction() {
	n.gw.cfg.Log.idleTransaction(n)
	n.rollBackOpen()
	n.abortError = errIdleTransaction
}
