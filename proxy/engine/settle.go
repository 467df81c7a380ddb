package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// handleResult decides what a relayed autocommit unit means for the caller: its answer stands, it runs
// again elsewhere, or it failed. It takes over the connection.
func (n *session) handleResult(ctx context.Context, up *upstream, u *unit, a *attempt, r *result, report *Statement) (e *outcome.Error, again bool, err error) {
	switch {
	case r.callerErr != nil:
		up.abort(errCallerGone)
		return nil, false, r.callerErr
	case r.uncovered:
		up.abort(errCallerGone)
		return n.retryUncovered(a, r.err), true, nil
	case r.err != nil:
		e, again = n.handleFailure(up, a, r)
		return e, again, nil
	case n.out.written:
	case r.code == outcome.CodeReadOnly && a.read && !up.target.Primary && !a.readOnlyTx && !n.isReadOnly():
		// A replica's refusal proves that the statement did not run: it is a write.
		up.releaseIdle()
		a.plan = plan{awaitConfirm: true, repeatable: a.repeatable && n.login.Route.Idempotent}
		a.number--
		a.uncounted = true
		return n.serverErrorOutcome(r), true, nil
	case r.code == outcome.CodeReadOnly && a.awaitConfirm && !u.mayCommit:
		n.db.ReportFailure(up.target, errReadOnlyPrimary())
		a.notRunOnPrimary = true
		up.releaseIdle()
		return errReadOnlyPrimary(), true, nil
	case r.code == codeSerializationFailure && a.read && !up.target.Primary:
		// A replica cancels reads that conflict with replication.
		up.releaseIdle()
		a.exclude = append(a.exclude, up.target.Server)
		return n.serverErrorOutcome(r), true, nil
	case r.staleStatement && !u.mayCommit:
		up.releaseIdle()
		return n.serverErrorOutcome(r), true, nil
	}
	if up.target.Verify != nil && r.status == statusIdle {
		up.EndStatement() // the server is done, and the sample may take a round trip between regions
	}
	if err := n.verify(ctx, up); err != nil {
		up.releaseIdle()
		return n.retryUncovered(a, err), true, nil
	}
	e, err = n.finish(ctx, up, u, a.plan, r, report)
	return e, false, err
}

// verify waits until the answer of up is known to cover the read's sample, if it asked for one.
func (n *session) verify(ctx context.Context, up *upstream) error {
	if up.target.Verify == nil {
		return nil
	}
	wait, done := context.WithTimeout(ctx, n.srv.cfg.PrimaryWait)
	defer done()
	if err := up.target.Verify(wait); err != nil {
		return err
	}
	up.target.Verify = nil
	return nil
}

// retryUncovered sends a read, whose answer did not cover its sample, where the sample is covered. The
// sample was begun after the read arrived, so it holds for the second placing too.
func (n *session) retryUncovered(a *attempt, cause error) *outcome.Error {
	var uncovered *UncoveredError
	if errors.As(cause, &uncovered) {
		a.knownSample = uncovered.Sample
	}
	a.number--
	a.uncounted = true
	a.sampleFirst = true
	return outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"no replica was far enough for the read", "repeat the statement").WithRetryAfter(failoverRetryAfter)
}

// serverErrorOutcome keeps a server's error for the case that the statement is not tried again.
func (n *session) serverErrorOutcome(r *result) *outcome.Error {
	return outcome.New(outcome.NotRun, r.code, r.message, "repeat the statement")
}

// handleFailure handles a connection that failed before the end of the answer.
func (n *session) handleFailure(up *upstream, a *attempt, r *result) (*outcome.Error, bool) {
	var refused *RefusedError
	if errors.As(r.err, &refused) {
		up.drop()
		return n.handleRefusal(up.target, a, refused)
	}
	killed := n.killedBy()
	if killed == nil {
		n.db.ReportFailure(up.target, r.err)
	}
	a.exclude = append(a.exclude, up.target.Server)
	if !r.sent {
		up.drop()
		a.notRunOnPrimary = !a.read
		return errNotSent(r.err), true
	}
	up.abort(r.err)
	if killed != nil {
		return errUnknown("the statement was ended: " + killed.Message), false
	}
	return errUnknown("the server's answer is missing: " + r.err.Error()), a.repeatable && !n.out.written
}

// handleRefusal handles a deferred connection that was not granted, which proves that the unit did not
// run.
func (n *session) handleRefusal(t Target, a *attempt, r *RefusedError) (*outcome.Error, bool) {
	killed := n.killedBy()
	switch {
	case killed != nil:
		return killed, false
	case r.Outcome.Code == outcome.CodeQueryCanceled:
		return r.Outcome, false
	case r.HomeMoved && a.noteHomeMoved():
		return r.Outcome, true
	}
	return r.Outcome, a.noteRefusal(t, r.Outcome)
}

func (n *session) killedBy() *outcome.Error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killErr
}

// finish takes a complete answer: it keeps or releases the connection and waits for the confirmation
// of a write.
func (n *session) finish(ctx context.Context, up *upstream, u *unit, p plan, r *result, report *Statement) (*outcome.Error, error) {
	report.Outcome = OutcomeOK
	if r.code != "" {
		report.Outcome = OutcomeServerError
		report.Code = r.code
	}
	if u.taintsConnection {
		up.tainted.Store(true)
	}
	wasOpen := n.tx.active()
	if r.status == statusIdle {
		n.endTransaction()
		up.releaseIdle()
	} else {
		n.bindTransaction(up, r.status)
		up.EndStatement()
	}
	if !p.awaitConfirm || !r.needsConfirm(u, wasOpen) {
		return nil, nil
	}
	started := time.Now()
	e := n.confirm(ctx, up.target)
	report.Confirm = time.Since(started)
	if e != nil {
		n.dropUnconfirmedTransaction()
		return e, nil
	}
	token := &pgproto3.ParameterStatus{Name: tokenParameter, Value: n.state.Token()}
	return nil, n.out.send(token)
}

// dropUnconfirmedTransaction drops a transaction that was opened behind a commit that is not confirmed.
func (n *session) dropUnconfirmedTransaction() {
	if n.tx.up == nil {
		return
	}
	n.tx.up.drop()
	n.markTransactionLost()
}

// confirm waits until the writes that target has answered are confirmed.
func (n *session) confirm(ctx context.Context, target Target) *outcome.Error {
	wait, done := context.WithTimeout(ctx, n.login.Route.ConfirmTimeout.Std())
	defer done()
	p, err := n.db.Confirm(wait, target, n.login.Route.Acknowledge)
	if err != nil {
		return errUnconfirmed(err)
	}
	n.state.WriteConfirmed(p)
	return nil
}

func errUnconfirmed(cause error) *outcome.Error {
	e := errUnknown("the write was executed but not confirmed: " + asOutcome(cause).Message)
	if c := outcome.As(cause); c != nil {
		e.RetryAfter = c.RetryAfter
	}
	return e
}

func errNotSent(cause error) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
		"the statement could not be sent: "+cause.Error(), "repeat the statement").
		WithRetryAfter(failoverRetryAfter)
}

func errReadOnlyPrimary() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeReadOnly,
		"the primary is read-only, because it is being replaced", "repeat the statement").
		WithRetryAfter(failoverRetryAfter)
}
