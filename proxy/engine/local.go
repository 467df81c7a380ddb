package engine

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/statement"
)

// textOID is the type text. Source: PostgreSQL catalog pg_type.
const textOID = 25

// answersLocally reports whether the proxy answers the unit without a server.
func (s *session) answersLocally(u *unit) bool {
	switch {
	case !u.needsServer(), u.hasLocal && u.allLocal:
		return true
	case s.tx.lost:
		return true
	case s.tx.failed:
		return !s.forwardedWhenFailed(u)
	case !s.tx.active():
		_, known := s.proxyParameter(u)
		return known || u.executesOnly(statement.Commit) || u.executesOnly(statement.Rollback)
	}
	return false
}

// forwardedWhenFailed reports whether the unit is sent to the server although the proxy considers the
// transaction failed: ROLLBACK TO SAVEPOINT, or a unit that executes nothing. The end of the transaction is
// handled here, because a COMMIT has to become a rollback.
func (s *session) forwardedWhenFailed(u *unit) bool {
	if u.executeCount == 0 {
		return true
	}
	return u.executeCount == 1 && u.firstClass.RollbackTo
}

// answerLocal answers every message of the unit without a server.
func (s *session) answerLocal(u *unit) *outcome.Error {
	if value, known := s.proxyParameter(u); known {
		return s.sendParameter(u.firstClass.Name, value)
	}
	if u.simple {
		return s.executeLocal(u.firstClass)
	}
	for i, o := range u.ops {
		if e := s.answerOp(o); e != nil {
			return e
		}
		u.completedOps = i + 1
	}
	return nil
}

func (s *session) answerOp(o op) *outcome.Error {
	if o.stmt != nil && s.readyStatus() == statusFailed && !endsTransaction(o.stmt.class) {
		return errFailedTransaction()
	}
	switch o.kind {
	case opParse:
		return s.sendLocal(&pgproto3.ParseComplete{})
	case opBind:
		return s.sendLocal(&pgproto3.BindComplete{})
	case opCloseStatement, opClosePortal:
		return s.sendLocal(&pgproto3.CloseComplete{})
	case opDescribeStatement:
		if e := s.sendLocal(&pgproto3.ParameterDescription{}); e != nil {
			return e
		}
		return s.sendLocal(&pgproto3.NoData{})
	case opDescribePortal:
		return s.sendLocal(&pgproto3.NoData{})
	}
	return s.executeLocal(o.stmt.class)
}

func (s *session) sendLocal(m pgproto3.BackendMessage) *outcome.Error {
	if err := s.out.send(m); err != nil {
		return asOutcome(err)
	}
	return nil
}

// executeLocal runs a statement that affects only the session.
func (s *session) executeLocal(c statement.Class) *outcome.Error {
	if c.Kind == statement.Empty {
		return s.sendLocal(&pgproto3.EmptyQueryResponse{})
	}
	if s.readyStatus() == statusFailed && !endsTransaction(c) {
		return errFailedTransaction()
	}
	switch c.Kind {
	case statement.Setting:
		return s.executeSetting(c)
	case statement.Discard:
		return s.executeDiscard(c)
	case statement.Commit, statement.Rollback:
		return s.executeTransactionEnd(c)
	}
	return errFailedTransaction()
}

// proxyParameter returns the value of a parameter that the unit requests with SHOW and that only the proxy
// can answer. Drivers ask for transaction_read_only to find a server that accepts writes; a replica would
// give the wrong answer.
func (s *session) proxyParameter(u *unit) (value string, known bool) {
	if !u.simple || s.tx.active() || !u.executesOnly(statement.Read) {
		return "", false
	}
	switch u.firstClass.Name {
	case tokenParameter:
		return s.state.Token(), true
	case "transaction_read_only", "default_transaction_read_only":
		return onOff(s.isReadOnly()), true
	}
	return "", false
}

func (s *session) sendParameter(name, value string) *outcome.Error {
	row := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
	if e := s.sendLocal(row); e != nil {
		return e
	}
	if e := s.sendLocal(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); e != nil {
		return e
	}
	return s.sendCommandComplete("SHOW")
}

func endsTransaction(c statement.Class) bool {
	return c.Count == 1 && (c.Kind == statement.Commit || c.Kind == statement.Rollback)
}

func (s *session) executeSetting(c statement.Class) *outcome.Error {
	if c.Reset {
		s.resetSetting(c.Name)
		return s.sendCommandComplete("RESET")
	}
	if e := s.applySetting(c.Name, c.Value); e != nil {
		return e
	}
	return s.sendCommandComplete("SET")
}

func (s *session) executeDiscard(c statement.Class) *outcome.Error {
	switch c.Name {
	case "unlisten":
		return s.sendCommandComplete("UNLISTEN")
	case "discard":
		s.statements = statementSet{}
		return s.sendCommandComplete("DISCARD")
	}
	if c.Value == "all" {
		s.statements = statementSet{}
		return s.sendCommandComplete("DEALLOCATE ALL")
	}
	if s.statements.get(c.Value) == nil {
		return errNoStatement(c.Value)
	}
	s.statements.remove(c.Value)
	return s.sendCommandComplete("DEALLOCATE")
}

// executeTransactionEnd ends a failed transaction, or answers as PostgreSQL does outside one.
func (s *session) executeTransactionEnd(c statement.Class) *outcome.Error {
	if s.tx.active() {
		s.abandonTransaction()
		return s.sendCommandComplete("ROLLBACK")
	}
	notice := &pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING",
		Code: codeNoActiveTransaction, Message: "there is no transaction in progress"}
	if e := s.sendLocal(notice); e != nil {
		return e
	}
	if c.Kind == statement.Commit {
		return s.sendCommandComplete("COMMIT")
	}
	return s.sendCommandComplete("ROLLBACK")
}

func (s *session) sendCommandComplete(tag string) *outcome.Error {
	return s.sendLocal(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
