package engine

import (
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// plan tells how a unit runs outside a transaction, or opens one.
type plan struct {
	read  bool // on a server chosen by Database.Read, else on the primary
	hold  bool // the end of the answer waits for Database.Confirm
	retry bool // may run twice
	guard bool // on a primary the unit is wrapped in a read-only transaction
	later bool // the sample of a read may be awaited beside the read
}

// plan decides how an autocommit unit runs.
func (n *session) plan(u *unit) (plan, *outcome.Error) {
	if n.onlyReads() {
		if e := n.refuseWrites(u); e != nil {
			return plan{}, e
		}
	}
	switch {
	case u.executes == 0, u.allReads:
		return plan{read: true, retry: true, later: true}, nil
	case u.first.Kind == statement.Begin && u.first.Access == statement.ReadOnly && !u.ends:
		return plan{read: true, retry: u.executes == 1}, nil
	case u.first.Kind == statement.Begin:
		return plan{hold: u.ends, retry: u.executes == 1 && !u.ends}, nil
	case n.onlyReads():
		return plan{read: true, retry: true, guard: true}, nil
	}
	return plan{hold: true, retry: n.login.Route.Idempotent}, nil
}

// refuseWrites refuses what can't be a read on a read-only route or session. A doubtful statement
// runs in a read-only transaction instead.
func (n *session) refuseWrites(u *unit) *outcome.Error {
	if u.first.Kind == statement.Begin {
		return nil
	}
	if u.certain {
		return errReadOnly("a write")
	}
	if u.control {
		return errReadOnly("transaction control together with other statements")
	}
	return nil
}

func errReadOnly(what string) *outcome.Error {
	return outcome.New(outcome.Denied, outcome.CodeReadOnly,
		what+" is not possible on a read-only route or session",
		"use a route that accepts writes, or set default_transaction_read_only to off")
}
