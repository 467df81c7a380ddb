package sessionstate

import (
	"fmt"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

func step(t *testing.T, s *State, stmt Statement, want Action) Decision {
	t.Helper()
	decision := s.Step(stmt)
	if decision.Action != want {
		t.Fatalf("%s in state %s: action %d, want %d (%v)", stmt.Kind, s.Tx, decision.Action, want, decision.Err)
	}
	return decision
}

// Guards against a prepared statement that runs with a different shape than its session prepared, or
// that is unknown although PREPARE was acknowledged.
func TestPreparedStatementsKeepTheirContent(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Prepare, Name: "s1", Writes: true, Shape: "q2c"}, Answer)
	step(t, &s, Statement{Kind: Prepare, Name: "s2", Shape: "q9"}, Answer)
	decision := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Forward)
	if !decision.Writes || decision.Prepared != (PreparedStatement{Writes: true, Shape: "q2c"}) {
		t.Errorf("s1 runs as %+v, want a write of shape q2c", decision)
	}
	step(t, &s, Statement{Kind: Prepare, Name: "s1", Shape: "other"}, Answer)
	if decision := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Forward); decision.Writes || decision.Prepared.Shape != "other" {
		t.Errorf("s1 runs as %+v after it was prepared again, want a read of shape other", decision)
	}
	step(t, &s, Statement{Kind: Deallocate, Name: "s1"}, Answer)
	if decision := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Refuse); decision.Err.Code != outcome.CodeUndefinedStatement {
		t.Errorf("a deallocated statement is refused with %s, want an undefined statement error", decision.Err.Code)
	}
	step(t, &s, Statement{Kind: Execute, Name: "s2"}, Forward)
}

// Guards against a failed transaction that runs further statements, and against an end of the
// transaction that does not reset the state.
func TestFailedTransactionAcceptsOnlyItsEnd(t *testing.T) {
	for _, end := range []Kind{Commit, Rollback} {
		var s State
		step(t, &s, Statement{Kind: Begin}, Answer)
		step(t, &s, Statement{Kind: Write}, Forward)
		s.StatementFailed()
		for _, kind := range []Kind{Read, Write, Set, Prepare, Execute, Deallocate, Begin, Malformed} {
			if decision := step(t, &s, Statement{Kind: kind, Name: "n"}, Refuse); decision.Err.Code != outcome.CodeProtocolViolation {
				t.Errorf("%s in a failed transaction is refused with %s, want a protocol violation", kind, decision.Err.Code)
			}
		}
		step(t, &s, Statement{Kind: end}, Forward)
		s.TransactionEnded()
		if s.Tx != Idle || s.ReadOnly {
			t.Errorf("after %s the state is %s, read-only %t; want idle, not read-only", end, s.Tx, s.ReadOnly)
		}
	}
}

// Guards against writes in a read-only transaction, which may run on a replica.
func TestReadOnlyTransactionRefusesWrites(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Prepare, Name: "w", Writes: true, Shape: "x"}, Answer)
	step(t, &s, Statement{Kind: BeginReadOnly}, Answer)
	step(t, &s, Statement{Kind: Read}, Forward)
	step(t, &s, Statement{Kind: Write}, Refuse)
	step(t, &s, Statement{Kind: Execute, Name: "w"}, Refuse)
}

// Guards against changing the map of values that a server connection still refers to.
func TestValuesAreCopiedOnChange(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Set, Name: "a", Value: "1"}, Answer)
	earlier := s.Values()
	step(t, &s, Statement{Kind: Set, Name: "a", Value: "2"}, Answer)
	if earlier["a"] != "1" || s.Values()["a"] != "2" {
		t.Errorf("the earlier map has %q, want 1; the session has %q, want 2", earlier["a"], s.Values()["a"])
	}
}

// Guards against session state that grows without limit.
func TestSessionStateIsBounded(t *testing.T) {
	var s State
	for i := range maxValues {
		step(t, &s, Statement{Kind: Set, Name: fmt.Sprint(i)}, Answer)
	}
	step(t, &s, Statement{Kind: Set, Name: "more"}, Refuse)
	step(t, &s, Statement{Kind: Set, Name: "0", Value: "new"}, Answer)
	for i := range maxPrepared {
		step(t, &s, Statement{Kind: Prepare, Name: fmt.Sprint(i)}, Answer)
	}
	step(t, &s, Statement{Kind: Prepare, Name: "more"}, Refuse)
}

// Guards against accepting BEGIN inside a transaction, and COMMIT or ROLLBACK outside one.
func TestTransactionControlDependsOnState(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Commit}, Refuse)
	step(t, &s, Statement{Kind: Rollback}, Refuse)
	step(t, &s, Statement{Kind: Begin}, Answer)
	step(t, &s, Statement{Kind: Begin}, Refuse)
	s.TransactionEnded()
	s.StatementFailed()
	if s.Tx != Idle {
		t.Errorf("the state is %s after a failure outside a transaction, want idle", s.Tx)
	}
}
