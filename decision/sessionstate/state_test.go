package sessionstate

import (
	"fmt"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

func step(t *testing.T, s *State, stmt Statement, want Action) Decision {
	t.Helper()
	v := s.Step(stmt)
	if v.Action != want {
		t.Fatalf("%s in state %s: action %d, want %d (%v)", stmt.Kind, s.Tx, v.Action, want, v.Err)
	}
	return v
}

// Guards against a prepared statement that runs as another shape than its session prepared, or that is unknown
// although its preparing was acknowledged.
func TestPreparedStatementsKeepTheirContent(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Prepare, Name: "s1", Writes: true, Shape: "q2c"}, Answer)
	step(t, &s, Statement{Kind: Prepare, Name: "s2", Shape: "q9"}, Answer)
	v := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Forward)
	if !v.Writes || v.Prepared != (PreparedStatement{Writes: true, Shape: "q2c"}) {
		t.Errorf("s1 runs as %+v", v)
	}
	step(t, &s, Statement{Kind: Prepare, Name: "s1", Shape: "other"}, Answer)
	if v := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Forward); v.Writes || v.Prepared.Shape != "other" {
		t.Errorf("s1 runs as %+v after it was prepared anew", v)
	}
	step(t, &s, Statement{Kind: Deallocate, Name: "s1"}, Answer)
	if v := step(t, &s, Statement{Kind: Execute, Name: "s1"}, Refuse); v.Err.Code != outcome.CodeUndefinedStatement {
		t.Errorf("a removed statement is refused with %s", v.Err.Code)
	}
	step(t, &s, Statement{Kind: Execute, Name: "s2"}, Forward)
}

// Guards against a failed transaction that goes on, and against a state that its end does not reset.
func TestFailedTransactionTakesOnlyItsEnd(t *testing.T) {
	for _, end := range []Kind{Commit, Rollback} {
		var s State
		step(t, &s, Statement{Kind: Begin}, Answer)
		step(t, &s, Statement{Kind: Write}, Forward)
		s.StatementFailed()
		for _, kind := range []Kind{Read, Write, Set, Prepare, Execute, Deallocate, Begin, Malformed} {
			if v := step(t, &s, Statement{Kind: kind, Name: "n"}, Refuse); v.Err.Code != outcome.CodeProtocolViolation {
				t.Errorf("%s in a failed transaction is refused with %s", kind, v.Err.Code)
			}
		}
		step(t, &s, Statement{Kind: end}, Forward)
		s.TransactionEnded()
		if s.Tx != Idle || s.ReadOnly {
			t.Errorf("after %s the state is %s, read-only %t", end, s.Tx, s.ReadOnly)
		}
	}
}

// Guards against writes in a transaction that was placed on a replica.
func TestReadOnlyTransactionRefusesWrites(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Prepare, Name: "w", Writes: true, Shape: "x"}, Answer)
	step(t, &s, Statement{Kind: BeginReadOnly}, Answer)
	step(t, &s, Statement{Kind: Read}, Forward)
	step(t, &s, Statement{Kind: Write}, Refuse)
	step(t, &s, Statement{Kind: Execute, Name: "w"}, Refuse)
}

// Guards against a connection that shares its map of values with a session that changes it.
func TestValuesAreCopiedOnChange(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Set, Name: "a", Value: "1"}, Answer)
	held := s.Values()
	step(t, &s, Statement{Kind: Set, Name: "a", Value: "2"}, Answer)
	if held["a"] != "1" || s.Values()["a"] != "2" {
		t.Errorf("the earlier map has %q, the session %q", held["a"], s.Values()["a"])
	}
}

// Guards against sessions that fill the memory.
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

// Guards against transaction control that is answered in a state where it has no meaning.
func TestTransactionControlNeedsItsState(t *testing.T) {
	var s State
	step(t, &s, Statement{Kind: Commit}, Refuse)
	step(t, &s, Statement{Kind: Rollback}, Refuse)
	step(t, &s, Statement{Kind: Begin}, Answer)
	step(t, &s, Statement{Kind: Begin}, Refuse)
	s.TransactionEnded()
	s.StatementFailed()
	if s.Tx != Idle {
		t.Errorf("a failure outside a transaction leaves the state %s", s.Tx)
	}
}
