package suspicion

import (
	"testing"
	"time"
)

// Guards against suspects that are kept past their expiry, and against expired entries that are never removed.
func TestExpiry(t *testing.T) {
	const ttl = 2 * time.Second
	var l List[string]
	if l.Contains(0, "a") {
		t.Error("empty list contains a suspect")
	}
	l.Add(time.Second, "a", ttl)
	if !l.Contains(3*time.Second-1, "a") || l.Contains(3*time.Second, "a") {
		t.Errorf("a is not suspected for exactly %s", ttl)
	}
	l.Add(3*time.Second, "b", ttl)
	if l.Len() != 1 {
		t.Errorf("%d entries, want only the one that has not expired", l.Len())
	}
}
