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
	link        link // nil before the first statement
	view        *view
	server      discovery.Server
	leads       bool // the server accepted it as the leader
	readOnly    bool
	wrote       bool
	idleTimeout time.Duration
}

// beginTransaction charges the operation; the server is chosen with the first statement.
func (n *session) beginTransaction(stmt sessionstate.Statement) *outcome.Error {
	grant, e := n.authorize()
	if e != nil {
		return e
	}
	if e := n.admit(grant); e != nil {
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
	if n.tx.link == nil {
		n.openTransaction(r)
		return
	}
	w := n.workInTransaction(r)
	sent := n.gw.cfg.Now()
	rep, err := n.tx.link.perform(n.gw.ctx, w)
	if err != nil {
		n.transactionSilent(r, n.tx.view, n.tx.server, err)
		n.failTransaction(r, errTransactionLost)
		return
	}
	n.answerInTransaction(r, rep, sent, 1)
}

func (n *session) workInTransaction(r request) *work {
	left := r.grant.Route.StatementTimeout - (n.gw.cfg.Now() - r.began)
	left = max(left, time.Millisecond)
	return &work{
		values: n.state.Values(), stmt: r.stmt, uses: r.verdict.Prepared,
		left: left, patience: left * leaderPatience / 100, timeout: left,
	}
}

// transactionSilent notes that a statement of a transaction got no answer.
func (n *session) transactionSilent(r request, v *view, s discovery.Server, err error) {
	var silent *silentError
	fromServer := !errors.As(err, &silent) || silent.lender == ""
	n.gw.cfg.Log.noAnswer(n, r.stmt, s, true, err)
	if fromServer {
		v.unreachable(s.ID)
		n.gw.suspect(v, s.ID)
	}
}

// answerInTransaction passes on what the server said to a statement.
func (n *session) answerInTransaction(r request, rep report, sent time.Duration, tries int) {
	tx := n.tx
	if rep.answer.code != "" {
		n.transactionRefused(r, rep.answer)
		return
	}
	if tx.leads {
		// The leader answers statements of such a transaction only while it leads.
		tx.view.led(sent, tx.server.ID, rep.position)
	}
	tx.wrote = tx.wrote || r.verdict.Writes
	n.deliver(r.stmt, tx.server, tries, r.began, rep.answer)
}

// openTransaction finds a server that accepts the transaction, and begins it there with its first statement.
func (n *session) openTransaction(r request) {
	t, done, e := n.newTry(r)
	if e != nil {
		n.failTransaction(r, e)
		return
	}
	defer done()
	t.onLeader = !n.tx.readOnly || r.grant.Route.MaxStaleness == 0
	for t.mayTry() {
		s, e := n.place(t)
		if e != nil {
			n.failTransaction(r, notRun(e))
			return
		}
		if n.openOn(t, s) {
			return
		}
	}
	n.failTransaction(r, notRun(t.last))
}

// notRun is the refusal of a transaction that is rolled back as a whole.
func notRun(e *outcome.Error) *outcome.Error {
	if e.Kind == outcome.NotRun {
		return e
	}
	return errNoServer
}

// openOn begins the transaction on a server. It reports whether the caller was answered.
func (n *session) openOn(t *try, s discovery.Server) bool {
	w := t.work(n.state.Values())
	w.opening = openReadOnly
	if t.leads() {
		w.opening = openLeader
	}
	sent := n.gw.cfg.Now()
	t.view.sent(s.ID)
	l, rep, err := n.gw.openLink(t.left, t.destination(s), w)
	if err != nil {
		return n.openFailed(t, s, err)
	}
	t.view.answered(s.ID, n.gw.cfg.Now()-sent, rep.position)
	if l == nil {
		n.openRefused(t, s, rep.answer)
		return false
	}
	n.tx.link, n.tx.view, n.tx.server, n.tx.leads = l, t.view, s, t.leads()
	n.answerInTransaction(t.request, rep, sent, t.number)
	return true
}

// openFailed notes that no answer came to the begin or the first statement. Nothing of the transaction is kept, so
// that it can begin elsewhere.
func (n *session) openFailed(t *try, s discovery.Server, err error) bool {
	var notPlaced *notPlacedError
	if errors.As(err, &notPlaced) {
		return n.placingFailed(t, s, notPlaced)
	}
	t.view.unsent(s.ID)
	n.transactionSilent(t.request, t.view, s, err)
	t.last = errTransactionLost
	t.exclude = append(t.exclude, s.ID)
	return false
}

func (n *session) openRefused(t *try, s discovery.Server, a answer) {
	t.last = notRun(serverError(a))
	n.gw.cfg.Log.triedAgain(n, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.denied(s.ID)
		t.number--
		return
	case outcome.CodeNotCaughtUp:
		t.view.lagged(s.ID)
	}
	t.exclude = append(t.exclude, s.ID)
}

// transactionRefused passes on a server's error; the transaction is rolled back.
func (n *session) transactionRefused(r request, a answer) {
	if a.code == outcome.CodeReadOnly {
		n.tx.view.denied(n.tx.server.ID)
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
	n.abandon()
	n.state.StatementFailed()
	n.refuse(r.stmt, e, r.began)
}

// abandon rolls the open transaction back.
func (n *session) abandon() {
	tx := n.tx
	n.tx = nil
	if tx != nil && tx.link != nil {
		tx.link.release()
	}
}

// finish answers COMMIT and ROLLBACK.
func (n *session) finish(stmt sessionstate.Statement, began time.Duration) error {
	if stmt.Kind == sessionstate.Rollback {
		n.abandon()
		n.state.TransactionEnded()
		n.codec.Complete("")
		return nil
	}
	failed := n.state.Tx == sessionstate.Failed
	tx := n.tx
	n.tx = nil
	n.state.TransactionEnded()
	if failed || tx == nil || tx.link == nil {
		// Without a server there is no receipt, which the answer to a commit needs.
		n.refuse(stmt, errFailedTransaction, began)
		return nil
	}
	defer tx.link.release()
	return n.commit(tx, stmt, began)
}

// commit sends COMMIT and passes on the answer.
func (n *session) commit(tx *transaction, stmt sessionstate.Statement, began time.Duration) error {
	grant, e := n.authorize()
	if e != nil {
		n.refuse(stmt, e, began)
		return endsSession(e)
	}
	r := request{stmt: stmt, grant: grant, began: began}
	sent := n.gw.cfg.Now()
	rep, err := tx.link.perform(n.gw.ctx, n.workInTransaction(r))
	if err != nil {
		n.transactionSilent(r, tx.view, tx.server, err)
		n.refuse(stmt, tx.unanswered(err), began)
		return nil
	}
	if rep.answer.code != "" {
		n.refuse(stmt, tx.commitError(rep.answer), began)
		return nil
	}
	if tx.leads && tx.wrote {
		tx.view.led(sent, tx.server.ID, rep.position)
		n.floor = position.Max(n.floor, rep.position)
	}
	n.deliver(stmt, tx.server, 1, began, rep.answer)
	return nil
}

// unanswered is what a caller is told whose COMMIT got no answer.
func (tx *transaction) unanswered(err error) *outcome.Error {
	var silent *silentError
	sent := !errors.As(err, &silent) || silent.sent
	if tx.wrote && sent {
		return errOutcomeUnknown
	}
	return errTransactionLost
}

// commitError is what a caller is told whose COMMIT the server refused.
func (tx *transaction) commitError(a answer) *outcome.Error {
	e := serverError(a)
	if e.Kind == outcome.NotRun || tx.wrote {
		return e
	}
	return errTransactionLost
}

// endIdleTransaction rolls back a transaction whose caller rests for too long.
func (n *session) endIdleTransaction() {
	n.gw.cfg.Log.idleTransaction(n)
	n.abandon()
	n.broken = errIdleTransaction
}
