package load

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// Guards against a reply of the line protocol that is counted as the wrong outcome: a refusal without effect is "not
// run", a lost or INDOUBT reply is "unknown".
func TestClassifyLine(t *testing.T) {
	for _, c := range []struct {
		err  error
		want history.EventKind
	}{
		{nil, history.WriteAcknowledged},
		{&lineError{code: "BUSY", notRun: true}, history.WriteNotRun},
		{&lineError{code: "INDOUBT"}, history.WriteUnknown},
		{&lineError{code: "broken"}, history.WriteUnknown},
	} {
		if got := Classify(c.err); got != c.want {
			t.Errorf("Classify(%v) = %v, want %v", c.err, got, c.want)
		}
	}
}
