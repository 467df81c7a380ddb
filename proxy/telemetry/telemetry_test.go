package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against tag values that are sanitized: accounts and servers would share a series, or appear under
// names other than those in the manifest.
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
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(page, "} 1"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the endpoint does not show the counters:\n%s", page)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		page = recorder.Body.String()
	}
	for account, line := range want {
		if !strings.Contains(page, line) {
			t.Errorf("account %q: want the line %q in\n%s", account, line, page)
		}
	}
}
