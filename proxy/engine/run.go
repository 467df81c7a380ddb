package engine

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// run executes a unit and answers it. An error ends the session.
func (n *session) run(u *unit) error {
	if _, err := n.runUnit(u); err != nil {
		return err
	}
	return n.sendReady()
}

// runUnit executes a unit, without the ReadyForQuery at its end. failed tells that the caller is told
// an error.
func (n *session) runUnit(u *unit) (failed bool, err error) {
	defer u.recycle()
	n.out.begin()
	report := Statement{Account: n.login.Account.Name, Route: n.login.Route.Name, Read: u.allReads}
	ctx, done := n.beginUnit()
	defer done()
	e, err := n.execute(ctx, u, &report)
	if err != nil {
		report.Outcome = OutcomeCallerGone
		n.srv.cfg.Observer.StatementDone(report)
		return true, err
	}
	if e != nil {
		report.Outcome = Outcome(e.Kind.String())
		report.Code = e.Code
		err = n.answerError(u, e)
	}
	n.applyPrepared(u)
	n.srv.cfg.Observer.StatementDone(report)
	return report.Code != "", err
}

// beginUnit returns the context for the unit's waits, which a cancel request, a withdrawn key or a
// forced shutdown ends.
func (n *session) beginUnit() (context.Context, func()) {
	ctx, stop := context.WithCancelCause(n.srv.ctx)
	n.mu.Lock()
	n.cancelWait = stop
	n.transmitted = false
	if n.killErr != nil {
		stop(n.killErr)
	}
	n.mu.Unlock()
	return ctx, func() {
		n.mu.Lock()
		n.cancelWait = nil
		n.mu.Unlock()
		stop(nil)
	}
}

// execute returns the error that the caller is to be told, or the error of the caller's connection.
func (n *session) execute(ctx context.Context, u *unit, report *Statement) (*outcome.Error, error) {
	if u.err != nil {
		return u.err, nil
	}
	if err := n.srv.cfg.Directory.Check(n.login); err != nil {
		return asOutcome(err), nil
	}
	if n.login.Route.ReadOnly && u.wantsReadWrite {
		return errReadOnly("a read-write transaction"), nil
	}
	if u.hasLocal && !u.allLocal {
		return errMixedSettings(), nil
	}
	if n.answersLocally(u) {
		report.Outcome = OutcomeOK
		return n.answerLocal(u), nil
	}
	started := time.Now()
	if e := n.admit(ctx, u); e != nil {
		return e, nil
	}
	if n.tx.active() {
		return n.runInTransaction(ctx, u, report)
	}
	return n.runAutocommit(ctx, u, report, started)
}

// admit asks the quota. The end of a transaction is always admitted, since it frees a connection. A
// request that only prepares or describes is not charged: drivers prepare again after a refusal, and
// a statement charged twice would need two tokens to get through. A caller of an open route belongs to
// no client account, so it has no rate; the fair queue bounds its share of a server.
func (n *session) admit(ctx context.Context, u *unit) *outcome.Error {
	if u.executeCount == 0 || n.login.Account.Name == "" {
		return nil
	}
	if n.tx.active() && (u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback)) {
		return nil
	}
	if err := n.srv.cfg.Quota.Admit(ctx, n.login.Account.Name); err != nil {
		return n.waitError(ctx, err)
	}
	return nil
}

// waitError returns the error of a wait before anything was sent. A cancelled wait is reported as
// its cause.
func (n *session) waitError(ctx context.Context, err error) *outcome.Error {
	if cause := outcome.As(context.Cause(ctx)); cause != nil {
		return cause
	}
	return asOutcome(err)
}

// answerError replaces what the caller has not received yet by e.
func (n *session) answerError(u *unit, e *outcome.Error) error {
	n.out.discardUnwritten()
	if n.tx.up != nil {
		n.tx.failed = true
	}
	if u.err == errReported {
		return nil
	}
	return n.out.send(errorResponse(severityError, e))
}

// sendReady ends the answer.
func (n *session) sendReady() error {
	if err := n.out.send(&pgproto3.ReadyForQuery{TxStatus: n.readyStatus()}); err != nil {
		return err
	}
	return n.out.flush()
}

func errMixedSettings() *outcome.Error {
	return invalid(codeFeatureNotSupported,
		"a session setting can't be combined with other statements in one request",
		"send it as a request of its own")
}
