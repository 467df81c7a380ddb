package engine

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// runInTransaction runs a unit on the connection of the open transaction.
func (s *session) runInTransaction(ctx context.Context, u *unit, report *Statement) (*outcome.Error, error) {
	up := s.tx.up
	started := time.Now()
	report.Attempts = 1
	report.Server = up.target.Server
	report.Primary = up.target.Primary
	s.stage.enter(StagePlacement)
	if e := s.checkAuthority(ctx, up, u); e != nil {
		return e, nil
	}
	s.stage.enter(StageConnection)
	if e := s.acquireSlot(ctx, up, u); e != nil {
		return e, nil
	}
	s.recordTarget(report, up, started)
	unitPlan := plan{awaitConfirm: u.mayCommit && up.target.Primary}
	r := s.relay(ctx, up, u, unitPlan)
	report.Run = time.Since(started) - report.Wait
	if r.callerErr != nil {
		s.endTransaction()
		up.abort(errCallerGone)
		return nil, r.callerErr
	}
	if r.err != nil {
		return s.transactionFailed(up, u, &r), nil
	}
	if u.firstClass.RollbackTo && r.code == "" {
		s.tx.failed = false
	}
	return s.finish(ctx, up, u, unitPlan, &r, report)
}

// acquireSlot waits for an execution slot. The end of a transaction needs none: it is short, and the
// statements that hold the slots may be waiting for locks that it releases.
func (s *session) acquireSlot(ctx context.Context, up *upstream, u *unit) *outcome.Error {
	if u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback) {
		return nil
	}
	if err := up.BeginStatement(ctx, s.login.Route.QueueTimeout.Std()); err != nil {
		return s.waitError(ctx, err)
	}
	return nil
}

// checkAuthority confirms that the primary of the transaction is not superseded before it answers a
// read. Writes are covered by the confirmation of the commit.
func (s *session) checkAuthority(ctx context.Context, up *upstream, u *unit) *outcome.Error {
	if !up.target.Primary || !u.allReads || u.executeCount == 0 {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, s.login.Route.ConfirmTimeout.Std())
	defer cancel()
	if _, err := s.db.Confirm(waitCtx, up.target, manifest.AcknowledgePrimary); err != nil {
		up.drop()
		s.markTransactionLost()
		return errTransactionLost(err)
	}
	return nil
}

// transactionFailed handles the loss of the transaction's connection. Unless a COMMIT was sent, the server
// has rolled everything back.
func (s *session) transactionFailed(up *upstream, u *unit, r *result) *outcome.Error {
	killed := s.killedBy()
	if killed == nil {
		s.db.ReportFailure(up.target, r.err)
	}
	up.abort(r.err)
	if u.mayCommit && r.sent {
		s.endTransaction()
		return errUnknown("the answer to COMMIT is missing: " + r.err.Error())
	}
	s.markTransactionLost()
	if killed != nil {
		return errUnknown("the statement was ended: " + killed.Message)
	}
	return errTransactionLost(r.err)
}
