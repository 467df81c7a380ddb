package engine

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// textOID is the type text. Source: PostgreSQL catalog pg_type.
const textOID = 25

// answersLocally reports whether the unit is answered without a server.
func (n *session) answersLocally(u *unit) bool {
	switch {
	case !u.needsServer(), u.hasLocal && u.allLocal:
		return true
	case n.tx.lost:
		return true
	case n.tx.failed:
		return !n.leavesFailure(u)
	case !n.tx.active():
		_, known := n.shown(u)
		return known || u.sole(statement.Commit) || u.sole(statement.Rollback)
	}
	return false
}

// leavesFailure reports whether the unit goes to the server of a transaction that the proxy holds
// for failed: a return to a savepoint, or nothing that executes. Its end is answered here, because
// a COMMIT has to become a rollback.
func (n *session) leavesFailure(u *unit) bool {
	if u.executes == 0 {
		return true
	}
	return u.executes == 1 && u.first.RollbackTo
}

// answerLocal answers every message of the unit itself.
func (n *session) answerLocal(u *unit) *outcome.Error {
	if value, known := n.shown(u); known {
		return n.show(u.first.Name, value)
	}
	if u.simple {
		return n.executeLocal(u.first)
	}
	for i, o := range u.ops {
		if e := n.answerOp(o); e != nil {
			return e
		}
		u.done = i + 1
	}
	return nil
}

func (n *session) answerOp(o op) *outcome.Error {
	if o.stmt != nil && n.readyStatus() == statusFailed && !endsTransaction(o.stmt.class) {
		return errFailedTransaction()
	}
	switch o.kind {
	case opParse:
		return n.sendLocal(&pgproto3.ParseComplete{})
	case opBind:
		return n.sendLocal(&pgproto3.BindComplete{})
	case opCloseStatement, opClosePortal:
		return n.sendLocal(&pgproto3.CloseComplete{})
	case opDescribeStatement:
		if e := n.sendLocal(&pgproto3.ParameterDescription{}); e != nil {
			return e
		}
		return n.sendLocal(&pgproto3.NoData{})
	case opDescribePortal:
		return n.sendLocal(&pgproto3.NoData{})
	}
	return n.executeLocal(o.stmt.class)
}

func (n *session) sendLocal(m pgproto3.BackendMessage) *outcome.Error {
	if err := n.out.send(m); err != nil {
		return asOutcome(err)
	}
	return nil
}

// executeLocal runs a statement that concerns the session only.
func (n *session) executeLocal(c statement.Class) *outcome.Error {
	if c.Kind == statement.Empty {
		return n.sendLocal(&pgproto3.EmptyQueryResponse{})
	}
	if n.readyStatus() == statusFailed && !endsTransaction(c) {
		return errFailedTransaction()
	}
	switch c.Kind {
	case statement.Setting:
		return n.executeSetting(c)
	case statement.Discard:
		return n.executeDiscard(c)
	case statement.Commit, statement.Rollback:
		return n.executeEnd(c)
	}
	return errFailedTransaction()
}

// shown returns the value of a parameter that only the proxy knows. Drivers ask for
// transaction_read_only to find a server that accepts writes; a replica would give the wrong answer.
func (n *session) shown(u *unit) (value string, known bool) {
	if !u.simple || n.tx.active() || !u.sole(statement.Read) {
		return "", false
	}
	switch u.first.Name {
	case tokenParameter:
		return n.state.Token(), true
	case "transaction_read_only", "default_transaction_read_only":
		return onOff(n.onlyReads()), true
	}
	return "", false
}

func (n *session) show(name, value string) *outcome.Error {
	row := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
	if e := n.sendLocal(row); e != nil {
		return e
	}
	if e := n.sendLocal(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); e != nil {
		return e
	}
	return n.complete("SHOW")
}

func endsTransaction(c statement.Class) bool {
	return c.Count == 1 && (c.Kind == statement.Commit || c.Kind == statement.Rollback)
}

func (n *session) executeSetting(c statement.Class) *outcome.Error {
	if c.Reset {
		n.resetSetting(c.Name)
		return n.complete("RESET")
	}
	if e := n.applySetting(c.Name, c.Value); e != nil {
		return e
	}
	return n.complete("SET")
}

func (n *session) executeDiscard(c statement.Class) *outcome.Error {
	switch c.Name {
	case "unlisten":
		return n.complete("UNLISTEN")
	case "discard":
		n.statements = statementSet{}
		return n.complete("DISCARD")
	}
	if c.Value == "all" {
		n.statements = statementSet{}
		return n.complete("DEALLOCATE ALL")
	}
	if n.statements.get(c.Value) == nil {
		return errNoStatement(c.Value)
	}
	n.statements.remove(c.Value)
	return n.complete("DEALLOCATE")
}

// executeEnd ends a failed transaction, or answers as PostgreSQL does outside one.
func (n *session) executeEnd(c statement.Class) *outcome.Error {
	if n.tx.active() {
		n.abandonTransaction()
		return n.complete("ROLLBACK")
	}
	notice := &pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING",
		Code: codeNoActiveTransaction, Message: "there is no transaction in progress"}
	if e := n.sendLocal(notice); e != nil {
		return e
	}
	if c.Kind == statement.Commit {
		return n.complete("COMMIT")
	}
	return n.complete("ROLLBACK")
}

func (n *session) complete(tag string) *outcome.Error {
	return n.sendLocal(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
