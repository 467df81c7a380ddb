package gateway

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

// transaction is a caller's open transaction. It gets a server with its first statement.
type transaction struct {
	try         *try
	done        func()
	placed      placed // without a connection before the first statement
	readOnly    bool
	wrote       bool
	setUp       bool // session values or prepared statements were sent inside the transaction
	idleTimeout time.Duration
}

// beginTransaction charges the operation; the server is chosen with the first statement.
func (n *session) beginTransaction(stmt sessionstate.Statement, began time.Duration) *outcome.Error {
	grant, e := n.authorize()
	if e != nil {
		return e
	}
	if e := n.admit(grant); e != nil {
		return e
	}
	n.tx = &transaction{
		readOnly:    stmt.Kind == sessionstate.BeginReadOnly,
		idleTimeout: grant.Route.IdleInTransaction,
	}
	return nil
}

// runInTransaction runs a statement of the open transaction.
func (n *session) runInTransaction(r request) error {
	if n.tx.placed.up == nil {
		if e := n.openTransaction(r); e != nil {
			n.failTransaction(r, e)
			return nil
		}
	}
	a, err := n.statement(r)
	if err != nil {
		n.gw.cfg.Log.noAnswer(n, r.stmt, n.tx.placed.server, true, err)
		n.gw.suspect(n.tx.try.view, n.tx.placed.server.ID)
		n.failTransaction(r, errTransactionLost)
		return nil
	}
	if a.code != "" {
		n.transactionRefused(r, a)
		return nil
	}
	n.tx.wrote = n.tx.wrote || r.verdict.Writes
	for _, row := range a.rows {
		n.codec.Row(row)
	}
	n.codec.Complete(a.receipt)
	n.gw.cfg.Log.served(n, r.stmt, n.tx.placed.server, n.tx.try.number, n.gw.cfg.Now()-r.began)
	return nil
}

// openTransaction finds a server that accepts the transaction and begins it there.
func (n *session) openTransaction(r request) *outcome.Error {
	t, done, e := n.newTry(r)
	if e != nil {
		return e
	}
	defer done()
	t.onLeader = !n.tx.readOnly || r.grant.Route.MaxStaleness == 0
	for t.mayTry() {
		p, e := n.place(t)
		if e != nil {
			return e
		}
		if n.beginOn(t, p) {
			n.tx.try, n.tx.placed = t, p
			return nil
		}
	}
	return notRun(t.last)
}

// notRun is the refusal of a transaction of which no statement was sent.
func notRun(e *outcome.Error) *outcome.Error {
	if e.Kind == outcome.NotRun {
		return e
	}
	return errNoServer
}

// beginOn begins the transaction on a server and reports whether it was accepted.
func (n *session) beginOn(t *try, p placed) bool {
	p.up.deadline(t.timeout())
	queued := p.up.setup(n.state.Values(), nil)
	if t.leads() {
		p.up.codec.Begin()
	} else {
		p.up.codec.BeginReadOnly(t.floor)
	}
	sent := n.gw.cfg.Now()
	t.view.sent(p.server.ID)
	err := p.up.codec.Flush()
	var a answer
	if err == nil {
		a, err = p.up.settle(queued + 1)
	}
	if err != nil {
		n.attemptFailed(t, p, false, err)
		return false
	}
	t.view.answered(p.server.ID, n.gw.cfg.Now()-sent, p.up.position)
	if a.code != "" {
		p.up.unknown = true
		n.beginRefused(t, p, a)
		return false
	}
	if t.leads() {
		t.view.led(sent, p.server.ID, p.up.position)
	}
	return true
}

func (n *session) beginRefused(t *try, p placed, a answer) {
	n.endProof(p)
	t.last = notRun(serverError(a))
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.denied(p.server.ID)
		t.number--
	case outcome.CodeNotCaughtUp:
		t.view.lagged(p.server.ID)
		t.exclude = append(t.exclude, p.server.ID)
	default:
		t.exclude = append(t.exclude, p.server.ID)
	}
}

// statement sends a statement on the transaction's connection.
func (n *session) statement(r request) (answer, error) {
	up := n.tx.placed.up
	up.deadline(r.grant.Route.StatementTimeout - (n.gw.cfg.Now() - r.began))
	var p *sessionstate.Prepared
	if r.stmt.Kind == sessionstate.Execute {
		p = &r.verdict.Uses
	}
	if queued := up.setup(n.state.Values(), p); queued > 0 {
		if err := up.codec.Flush(); err != nil {
			return answer{}, err
		}
		n.tx.setUp = true
		a, err := up.settle(queued)
		if err != nil || a.code != "" {
			up.unknown = true
			return a, err
		}
	}
	sent := n.gw.cfg.Now()
	up.query(r.stmt, r.verdict, position.Position{})
	if err := up.codec.Flush(); err != nil {
		return answer{}, err
	}
	a, err := up.receive()
	if err == nil && a.code == "" && n.tx.try.leads() {
		n.tx.try.view.led(sent, n.tx.placed.server.ID, up.position)
	}
	return a, err
}

// transactionRefused passes on a server's error; the transaction is rolled back.
func (n *session) transactionRefused(r request, a answer) {
	if a.code == outcome.CodeReadOnly {
		n.tx.try.view.denied(n.tx.placed.server.ID)
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
	n.state.Fail()
	n.refuse(r.stmt, e, r.began)
}

// abandon rolls the open transaction back.
func (n *session) abandon() {
	tx := n.tx
	n.tx = nil
	n.rollBack(tx)
}

// rollBack ends a transaction that is not to be committed.
func (n *session) rollBack(tx *transaction) {
	if tx == nil || tx.placed.up == nil {
		return
	}
	if tx.setUp {
		// The server may take back what was set inside the transaction.
		tx.placed.up.unknown = true
	}
	n.gw.rollBack(tx.placed.up)
}

// finish answers COMMIT and ROLLBACK.
func (n *session) finish(stmt sessionstate.Statement, began time.Duration) error {
	failed := n.state.Tx == sessionstate.Failed
	tx := n.tx
	n.tx = nil
	n.state.Ended()
	if stmt.Kind == sessionstate.Rollback {
		n.rollBack(tx)
		n.codec.Complete("")
		return nil
	}
	if failed || tx == nil {
		n.refuse(stmt, errFailedTransaction, began)
		return nil
	}
	if tx.placed.up == nil {
		// Nothing was sent, so no server can give the receipt that a commit needs.
		n.refuse(stmt, errFailedTransaction, began)
		return nil
	}
	return n.commit(tx, stmt, began)
}

// commit sends COMMIT and passes on the answer.
func (n *session) commit(tx *transaction, stmt sessionstate.Statement, began time.Duration) error {
	up, server := tx.placed.up, tx.placed.server
	grant, e := n.authorize()
	if e != nil {
		n.rollBack(tx)
		n.refuse(stmt, e, began)
		return endsSession(e)
	}
	up.deadline(grant.Route.StatementTimeout)
	sent := n.gw.cfg.Now()
	up.codec.Query(stmt, position.Position{})
	err := up.codec.Flush()
	var a answer
	if err == nil {
		a, err = up.receive()
	}
	if err != nil {
		n.gw.pool.release(up, false)
		n.gw.cfg.Log.noAnswer(n, stmt, server, true, err)
		n.gw.suspect(tx.try.view, server.ID)
		n.refuse(stmt, tx.unanswered(), began)
		return nil
	}
	if a.code != "" {
		n.rollBack(tx)
		n.refuse(stmt, tx.commitError(a), began)
		return nil
	}
	n.gw.rollBack(up)
	if tx.try.leads() && tx.wrote {
		tx.try.view.led(sent, server.ID, up.position)
		n.floor = position.Max(n.floor, up.position)
	}
	n.codec.Complete(a.receipt)
	n.gw.cfg.Log.served(n, stmt, server, 1, n.gw.cfg.Now()-began)
	return nil
}

// unanswered is what a caller is told whose COMMIT got no answer.
func (tx *transaction) unanswered() *outcome.Error {
	if tx.wrote {
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
