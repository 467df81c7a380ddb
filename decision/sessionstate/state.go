package sessionstate

import (
	"maps"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// Limits on the state of a session, which is kept in memory while the session is open.
const (
	maxValues   = 256
	maxPrepared = 1024
)

// State is the state of one session. The zero value is the state of a new session.
type State struct {
	Tx       TxState
	ReadOnly bool // the open transaction is read-only
	values   map[string]string
	prepared map[string]PreparedStatement
}

// Action is how a statement is handled.
type Action int

const (
	// Answer: the proxy answers without a server; the state is already updated.
	Answer Action = iota + 1
	// Forward: the statement runs on a server.
	Forward
	// Refuse: the statement is refused with the error of the decision.
	Refuse
)

// Decision is how to handle one statement.
type Decision struct {
	Action   Action
	Writes   bool              // Forward: the statement is a write
	Prepared PreparedStatement // Forward of Execute: the prepared statement
	Err      *outcome.Error
}

// Step decides how to handle a statement and applies the state changes that need no server. The end
// of a transaction is forwarded; the caller of Step reports it with TransactionEnded.
func (s *State) Step(stmt Statement) Decision {
	if s.Tx == Failed && stmt.Kind != Commit && stmt.Kind != Rollback {
		return refuse(invalid("the transaction has failed", "end it with COMMIT or ROLLBACK"))
	}
	switch stmt.Kind {
	case Begin, BeginReadOnly:
		return s.begin(stmt.Kind == BeginReadOnly)
	case Commit, Rollback:
		return s.end()
	case Read:
		return Decision{Action: Forward}
	case Write:
		return s.write(Decision{Action: Forward, Writes: true})
	case Set:
		return s.set(stmt)
	case Prepare:
		return s.prepare(stmt)
	case Execute:
		return s.execute(stmt)
	case Deallocate:
		return s.deallocate(stmt)
	}
	return refuse(invalid("the request has no known form", "see the list of requests"))
}

// TransactionEnded records that the transaction was committed or rolled back.
func (s *State) TransactionEnded() {
	s.Tx = Idle
	s.ReadOnly = false
}

// StatementFailed records that a statement failed, which fails the open transaction. Outside a
// transaction it has no effect.
func (s *State) StatementFailed() {
	if s.Tx == InTransaction {
		s.Tx = Failed
	}
}

// Values returns the session values. The caller must not change them.
func (s *State) Values() map[string]string {
	return s.values
}

func (s *State) begin(readOnly bool) Decision {
	if s.Tx != Idle {
		return refuse(invalid("a transaction is open already", "end it first"))
	}
	s.Tx = InTransaction
	s.ReadOnly = readOnly
	return Decision{Action: Answer}
}

func (s *State) end() Decision {
	if s.Tx == Idle {
		return refuse(invalid("no transaction is open", "begin one first"))
	}
	return Decision{Action: Forward}
}

func (s *State) write(decision Decision) Decision {
	if s.Tx == InTransaction && s.ReadOnly {
		return refuse(outcome.New(outcome.Invalid, outcome.CodeReadOnly,
			"the transaction was begun as read-only", "begin it without READ to write"))
	}
	return decision
}

func (s *State) set(stmt Statement) Decision {
	if _, known := s.values[stmt.Name]; !known && len(s.values) >= maxValues {
		return refuse(invalid("the session holds too many values", "use fewer names"))
	}
	if s.values == nil {
		s.values = map[string]string{}
	} else {
		// Copied because server connections keep a reference to the map that they were set up with.
		s.values = maps.Clone(s.values)
	}
	s.values[stmt.Name] = stmt.Value
	return Decision{Action: Answer}
}

func (s *State) prepare(stmt Statement) Decision {
	if _, known := s.prepared[stmt.Name]; !known && len(s.prepared) >= maxPrepared {
		return refuse(invalid("the session holds too many prepared statements", "deallocate some"))
	}
	if s.prepared == nil {
		s.prepared = map[string]PreparedStatement{}
	}
	s.prepared[stmt.Name] = PreparedStatement{Writes: stmt.Writes, Shape: stmt.Shape}
	return Decision{Action: Answer}
}

func (s *State) execute(stmt Statement) Decision {
	p, known := s.prepared[stmt.Name]
	if !known {
		return refuse(outcome.New(outcome.Invalid, outcome.CodeUndefinedStatement,
			"the prepared statement is not known to this session", "prepare it first"))
	}
	decision := Decision{Action: Forward, Writes: p.Writes, Prepared: p}
	if p.Writes {
		return s.write(decision)
	}
	return decision
}

func (s *State) deallocate(stmt Statement) Decision {
	if _, known := s.prepared[stmt.Name]; !known {
		return refuse(outcome.New(outcome.Invalid, outcome.CodeUndefinedStatement,
			"the prepared statement is not known to this session", "prepare it first"))
	}
	delete(s.prepared, stmt.Name)
	return Decision{Action: Answer}
}

func refuse(e *outcome.Error) Decision {
	return Decision{Action: Refuse, Err: e}
}

func invalid(message, remedy string) *outcome.Error {
	return outcome.New(outcome.Invalid, outcome.CodeProtocolViolation, message, remedy)
}
