package suspicion

import (
	"testing"
	"time"
)

// Guards against suspicions that outlast their term, or that are remembered for ever.
func TestTerms(t *testing.T) {
	const term = 2 * time.Second
	var l List[string]
	if l.Contains(0, "a") {
		t.Error("the empty list holds a suspect")
	}
	l.Add(time.Second, "a", term)
	if !l.Contains(3*time.Second-1, "a") || l.Contains(3*time.Second, "a") {
		t.Errorf("a is not suspected for %s exactly", term)
	}
	l.Add(3*time.Second, "b", term)
	if l.Len() != 1 {
		t.Errorf("%d entries, want the one that has not ended", l.Len())
	}
}
