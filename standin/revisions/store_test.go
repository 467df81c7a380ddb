package revisions

import (
	"encoding/json"
	"testing"
)

// Guards against a stand-in that gives a new revision to a write that changes nothing, which the platform's store does not.
func TestUnchangedWriteKeepsTheRevision(t *testing.T) {
	s := New(1)
	write := func(value, status string) Object {
		t.Helper()
		o, err := s.PutWithStatus("kind", "a", json.RawMessage(value), json.RawMessage(status), nil)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	first := write(`{"a":1}`, "")
	_, _, changed, _ := s.ChangesAfter("kind", first.Revision)
	for _, same := range []string{`{"a":1}`, `{ "a": 1 }`} {
		if o := write(same, ""); o.Revision != first.Revision {
			t.Errorf("revision %d after an unchanged write, want %d", o.Revision, first.Revision)
		}
	}
	if events, revision, _, _ := s.ChangesAfter("kind", first.Revision); len(events) != 0 || revision != first.Revision {
		t.Errorf("%d events up to revision %d after unchanged writes, want none up to %d", len(events), revision, first.Revision)
	}
	select {
	case <-changed:
		t.Error("watches are woken by unchanged writes")
	default:
	}
	last := first.Revision
	for _, next := range [][2]string{{`{"a":2}`, ""}, {`{"a":2}`, `{}`}, {`{"a":2}`, ""}} {
		o := write(next[0], next[1])
		if o.Revision <= last {
			t.Errorf("revision %d after a write of %v, want one above %d", o.Revision, next, last)
		}
		last = o.Revision
	}
}
