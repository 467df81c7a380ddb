package engine

import (
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// plan describes how a unit runs that is not part of an open transaction.
type plan struct {
	read         bool // on a server chosen by Database.Read, else on the primary
	awaitConfirm bool // the end of the answer is held back until Database.Confirm
	repeatable   bool // may run twice
	readOnlyTx   bool // on a primary, wrap the unit in a read-only transaction
	verifyLater  bool // the sample of a read may be taken concurrently with the read
}

// planUnit decides how an autocommit unit runs.
func (s *session) planUnit(u *unit) (plan, *outcome.Error) {
	if s.isReadOnly() {
		if e := s.refuseWrites(u); e != nil {
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
	case s.isReadOnly():
		return plan{read: true, repeatable: true, readOnlyTx: true}, nil
	}
	return plan{awaitConfirm: true, repeatable: s.login.Route.Idempotent}, nil
}

// refuseWrites refuses a certain write on a read-only route or session. Any other statement that may
// write runs in a read-only transaction instead.
func (s *session) refuseWrites(u *unit) *outcome.Error {
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
