package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// handleResult decides how a relayed autocommit unit ends: with its answer, with another attempt, or with an
// error. It releases the connection or binds it to the transaction.
func (s *session) handleResult(ctx context.Context, up *upstream, u *unit, a *attempt, r *result, report *Statement) (e *outcome.Error, retry bool, err error) {
	switch {
	case r.callerErr != nil:
		up.abort(errCallerGone)
		return nil, false, r.callerErr
	case r.uncovered:
		up.abort(errCallerGone)
		return s.retryUncovered(a, r.err), true, nil
	case r.err != nil:
		e, retry = s.handleFailure(up, a, r)
		return e, retry, nil
	case s.out.written:
	case r.code == outcome.CodeReadOnly && a.read && !up.target.Primary && !a.readOnlyTx && !s.isReadOnly():
		// The statement is a write. The replica's refusal proves that it did not run.
		up.releaseIdle()
		a.plan = plan{awaitConfirm: true, repeatable: a.repeatable && s.login.Route.Idempotent}
		a.number--
		a.uncounted = true
		return s.serverErrorOutcome(r), true, nil
	case r.code == outcome.CodeReadOnly && a.awaitConfirm && !u.mayCommit:
		s.db.ReportFailure(up.target, errReadOnlyPrimary())
		a.notRunOnPrimary = true
		up.releaseIdle()
		return errReadOnlyPrimary(), true, nil
	case r.code == codeSerializationFailure && a.read && !up.target.Primary:
		// A replica cancels reads that conflict with replication.
		up.releaseIdle()
		a.exclude = append(a.exclude, up.target.Server)
		return s.serverErrorOutcome(r), true, nil
	case r.staleStatement && !u.mayCommit:
		up.releaseIdle()
		return s.serverErrorOutcome(r), true, nil
	}
	if up.target.Verify != nil && r.status == statusIdle {
		up.EndStatement() // the server is done, and the sample may take a round trip between regions
	}
	if err := s.verify(ctx, up); err != nil {
		up.releaseIdle()
		return s.retryUncovered(a, err), true, nil
	}
	e, err = s.finish(ctx, up, u, a.plan, r, report)
	return e, false, err
}

// verify waits until the answer of up is known to cover the sample of the read, if it has one.
func (s *session) verify(ctx context.Context, up *upstream) error {
	if up.target.Verify == nil {
		return nil
	}
	s.stage.enter(StageVerification)
	waitCtx, cancel := context.WithTimeout(ctx, s.srv.cfg.PrimaryWait)
	defer cancel()
	if err := up.target.Verify(waitCtx); err != nil {
		return err
	}
	up.target.Verify = nil
	return nil
}

// retryUncovered prepares the next attempt of a read whose answer did not cover its sample, on a server that
// covers it. The sample was begun after the read arrived, so it is valid for the second attempt too.
func (s *session) retryUncovered(a *attempt, cause error) *outcome.Error {
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

// serverErrorOutcome converts a server's error, which is reported if the statement is not retried.
func (s *session) serverErrorOutcome(r *result) *outcome.Error {
	return outcome.New(outcome.NotRun, r.code, r.message, "repeat the statement")
}

// handleFailure handles a connection that failed before the end of the answer.
func (s *session) handleFailure(up *upstream, a *attempt, r *result) (*outcome.Error, bool) {
	var refused *RefusedError
	if errors.As(r.err, &refused) {
		up.drop()
		return s.handleRefusal(up.target, a, refused)
	}
	killed := s.killedBy()
	if killed == nil {
		s.db.ReportFailure(up.target, r.err)
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
	return errUnknown("the server's answer is missing: " + r.err.Error()), a.repeatable && !s.out.written
}

// handleRefusal handles a deferred connection that was not granted, which proves that the unit did not run.
func (s *session) handleRefusal(t Target, a *attempt, r *RefusedError) (*outcome.Error, bool) {
	killed := s.killedBy()
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

func (s *session) killedBy() *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killErr
}

// finish processes a complete answer: it binds the connection to the open transaction or releases it, and
// waits for the confirmation of a write.
func (s *session) finish(ctx context.Context, up *upstream, u *unit, unitPlan plan, r *result, report *Statement) (*outcome.Error, error) {
	report.Outcome = OutcomeOK
	if r.code != "" {
		report.Outcome = OutcomeServerError
		report.Code = r.code
	}
	if u.taintsConnection {
		up.tainted.Store(true)
	}
	wasOpen := s.tx.active()
	if r.status == statusIdle {
		s.endTransaction()
		up.releaseIdle()
	} else {
		s.bindTransaction(up, r.status)
		up.EndStatement()
	}
	if !unitPlan.awaitConfirm || !r.needsConfirm(u, wasOpen) {
		return nil, nil
	}
	started := time.Now()
	e := s.confirm(ctx, up.target)
	report.Confirm = time.Since(started)
	if e != nil {
		s.dropUnconfirmedTransaction()
		return e, nil
	}
	token := &pgproto3.ParameterStatus{Name: tokenParameter, Value: s.state.Token()}
	return nil, s.out.send(token)
}

// dropUnconfirmedTransaction ends a transaction that was opened after a commit that is not confirmed.
func (s *session) dropUnconfirmedTransaction() {
	if s.tx.up == nil {
		return
	}
	s.tx.up.drop()
	s.markTransactionLost()
}

// confirm waits until the writes that target has answered are confirmed as the route requires.
func (s *session) confirm(ctx context.Context, target Target) *outcome.Error {
	s.stage.enter(StageConfirmation)
	waitCtx, cancel := context.WithTimeout(ctx, s.login.Route.ConfirmTimeout.Std())
	defer cancel()
	p, err := s.db.Confirm(waitCtx, target, s.login.Route.Acknowledge)
	if err != nil {
		return errUnconfirmed(err)
	}
	s.state.WriteConfirmed(p)
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
