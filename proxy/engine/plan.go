package engine

import (
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// plan tells how a unit runs outside a transaction, or opens one.
type plan struct {
	read         bool // on a server chosen by Database.Read, else on the primary
	awaitConfirm bool // the end of the answer waits for Database.Confirm
	repeatable   bool // may run twice
	readOnlyTx   bool // on a primary the unit is wrapped in a read-only transaction
	verifyLater  bool // the sample of a read may be awaited beside the read
}

// planUnit decides how an autocommit unit runs.
func (n *session) planUnit(u *unit) (plan, *outcome.Error) {
	if n.isReadOnly() {
		if e := n.refuseWrites(u); e != nil {
			return plan{}, e
		}
	}
	switch {
	case u.executeCount == 0, u.allReads:
		return plan{read: true, repeatable: true, verifyLater: true}, nil
	case u.firstClass.Kind == statement.Begin && u.firstClass.Access == statement.ReadOnly && !u.mayCommit:
		return plan{read: true, repeatable: u.executeCount == 1}, nil
	case u.firstClass.Kind == statement.Begin:
		return plan{awaitConfirm: u.mayCommit, repeatable: u.executeCount == 1 && !u.mayCommit}, nil
	case n.isReadOnly():
		return plan{read: true, repeatable: true, readOnlyTx: true}, nil
	}
	return plan{awaitConfirm: true, repeatable: n.login.Route.Idempotent}, nil
}

// refuseWrites refuses what can't be a read on a read-only route or session. A doubtful statement
// runs in a read-only transaction instead.
func (n *session) refuseWrites(u *unit) *outcome.Error {
	if u.firstClass.Kind == statement.Begin {
		return nil
	}
	if u.certainWrite {
		return errReadOnly("a write")
	}
	if u.hasTransactionControl {
		return errReadOnly("transaction control together with other statements")
	}
	return nil
}

func errReadOnly(what string) *outcome.Error {
	return outcome.New(outcome.Denied, outcome.CodeReadOnly,
		what+" is not possible on a read-only route or session",
		"use a route that accepts writes, or set default_transaction_read_only to off")
}
