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
		return !n.forwardedWhenFailed(u)
	case !n.tx.active():
		_, known := n.proxyParameter(u)
		return known || u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback)
	}
	return false
}

// forwardedWhenFailed reports whether the unit goes to the server of a transaction that the proxy holds
// for failed: a return to a savepoint, or nothing that executes. Its end is answered here, because
// a COMMIT has to become a rollback.
func (n *session) forwardedWhenFailed(u *unit) bool {
	if u.executeCount == 0 {
		return true
	}
	return u.executeCount == 1 && u.firstClass.RollbackTo
}

// answerLocal answers every message of the unit itself.
func (n *session) answerLocal(u *unit) *outcome.Error {
	if value, known := n.proxyParameter(u); known {
		return n.sendParameter(u.firstClass.Name, value)
	}
	if u.simple {
		return n.executeLocal(u.firstClass)
	}
	for i, o := range u.ops {
		if e := n.answerOp(o); e != nil {
			return e
		}
		u.completedOps = i + 1
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
		return n.executeTransactionEnd(c)
	}
	return errFailedTransaction()
}

// proxyParameter returns the value of a parameter that only the proxy knows. Drivers ask for
// transaction_read_only to find a server that accepts writes; a replica would give the wrong answer.
func (n *session) proxyParameter(u *unit) (value string, known bool) {
	if !u.simple || n.tx.active() || !u.executesOnly(statement.Read) {
		return "", false
	}
	switch u.firstClass.Name {
	case tokenParameter:
		return n.state.Token(), true
	case "transaction_read_only", "default_transaction_read_only":
		return onOff(n.isReadOnly()), true
	}
	return "", false
}

func (n *session) sendParameter(name, value string) *outcome.Error {
	row := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
	if e := n.sendLocal(row); e != nil {
		return e
	}
	if e := n.sendLocal(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); e != nil {
		return e
	}
	return n.sendCommandComplete("SHOW")
}

func endsTransaction(c statement.Class) bool {
	return c.Count == 1 && (c.Kind == statement.Commit || c.Kind == statement.Rollback)
}

func (n *session) executeSetting(c statement.Class) *outcome.Error {
	if c.Reset {
		n.resetSetting(c.Name)
		return n.sendCommandComplete("RESET")
	}
	if e := n.applySetting(c.Name, c.Value); e != nil {
		return e
	}
	return n.sendCommandComplete("SET")
}

func (n *session) executeDiscard(c statement.Class) *outcome.Error {
	switch c.Name {
	case "unlisten":
		return n.sendCommandComplete("UNLISTEN")
	case "discard":
		n.statements = statementSet{}
		return n.sendCommandComplete("DISCARD")
	}
	if c.Value == "all" {
		n.statements = statementSet{}
		return n.sendCommandComplete("DEALLOCATE ALL")
	}
	if n.statements.get(c.Value) == nil {
		return errNoStatement(c.Value)
	}
	n.statements.remove(c.Value)
	return n.sendCommandComplete("DEALLOCATE")
}

// executeTransactionEnd ends a failed transaction, or answers as PostgreSQL does outside one.
func (n *session) executeTransactionEnd(c statement.Class) *outcome.Error {
	if n.tx.active() {
		n.abandonTransaction()
		return n.sendCommandComplete("ROLLBACK")
	}
	notice := &pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING",
		Code: codeNoActiveTransaction, Message: "there is no transaction in progress"}
	if e := n.sendLocal(notice); e != nil {
		return e
	}
	if c.Kind == statement.Commit {
		return n.sendCommandComplete("COMMIT")
	}
	return n.sendCommandComplete("ROLLBACK")
}

func (n *session) sendCommandComplete(tag string) *outcome.Error {
	return n.sendLocal(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
