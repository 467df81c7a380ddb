package engine

import (
	"context"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// runInTransaction runs a unit on the connection of the open transaction.
func (n *session) runInTransaction(ctx context.Context, u *unit, report *Statement) (*outcome.Error, error) {
	up := n.tx.up
	started := time.Now()
	report.Attempts = 1
	report.Server = up.target.Server
	report.Primary = up.target.Primary
	if e := n.checkAuthority(ctx, up, u); e != nil {
		return e, nil
	}
	if e := n.acquireSlot(ctx, up, u); e != nil {
		return e, nil
	}
	n.recordTarget(report, up, started)
	p := plan{awaitConfirm: u.mayCommit && up.target.Primary}
	r := n.relay(ctx, up, u, p)
	report.Run = time.Since(started) - report.Wait
	if r.callerErr != nil {
		n.endTransaction()
		up.abort(errCallerGone)
		return nil, r.callerErr
	}
	if r.err != nil {
		return n.transactionFailed(up, u, &r), nil
	}
	if u.firstClass.RollbackTo && r.code == "" {
		n.tx.failed = false
	}
	return n.finish(ctx, up, u, p, &r, report)
}

// acquireSlot waits for an execution slot. The end of a transaction needs none: it is short, and other
// statements in execution may be waiting for the locks that it frees.
func (n *session) acquireSlot(ctx context.Context, up *upstream, u *unit) *outcome.Error {
	if u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback) {
		return nil
	}
	if err := up.BeginStatement(ctx, n.login.Route.QueueTimeout.Std()); err != nil {
		return n.waitError(ctx, err)
	}
	return nil
}

// checkAuthority makes sure that the primary of the transaction is not superseded before it answers
// a read. Writes are covered by the confirmation of the commit.
func (n *session) checkAuthority(ctx context.Context, up *upstream, u *unit) *outcome.Error {
	if !up.target.Primary || !u.allReads || u.executeCount == 0 {
		return nil
	}
	wait, done := context.WithTimeout(ctx, n.login.Route.ConfirmTimeout.Std())
	defer done()
	if _, err := n.db.Confirm(wait, up.target, manifest.AcknowledgePrimary); err != nil {
		up.drop()
		n.markTransactionLost()
		return errTransactionLost(err)
	}
	return nil
}

// transactionFailed handles the loss of the transaction's connection. Without a COMMIT under way the
// server has rolled everything back.
func (n *session) transactionFailed(up *upstream, u *unit, r *result) *outcome.Error {
	killed := n.killedBy()
	if killed == nil {
		n.db.ReportFailure(up.target, r.err)
	}
	up.abort(r.err)
	if u.mayCommit && r.sent {
		n.endTransaction()
		return errUnknown("the answer to COMMIT is missing: " + r.err.Error())
	}
	n.markTransactionLost()
	if killed != nil {
		return errUnknown("the statement was ended: " + killed.Message)
	}
	return errTransactionLost(r.err)
}
