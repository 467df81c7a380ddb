package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against accounts and servers whose names share a series, or are shown under other names than
// those of the manifest.
func TestTagValuesAreNotSanitized(t *testing.T) {
	m := New()
	t.Cleanup(func() { _ = m.Close() })
	want := map[string]string{
		"event-marshals": `statements_total{account="event-marshals"} 1`,
		"event_marshals": `statements_total{account="event_marshals"} 1`,
		`a "b" é`:        `statements_total{account="a \"b\" é"} 1`,
	}
	for account := range want {
		m.Scope.Tagged(map[string]string{"account": account}).Counter("statements_total").Inc(1)
	}
	handler := m.Handler(func() error { return nil }, nil)
	var page string
	for end := time.Now().Add(20 * time.Second); !strings.Contains(page, "} 1"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the counters have not reached the endpoint:\n%s", page)
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
		page = answer.Body.String()
	}
	for account, line := range want {
		if !strings.Contains(page, line) {
			t.Errorf("account %q: no line %q in\n%s", account, line, page)
		}
	}
}
