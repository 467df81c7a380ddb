package benchcmd

import (
	"testing"
	"time"
)

// Guards against events that are dropped silently: those with an unknown name, with a time outside the
// run, or that need processes when the instances run in this process.
func TestParseEvents(t *testing.T) {
	const run = 10 * time.Second
	for _, bad := range []string{"4s=nothing", "crash-primary", "=crash-primary", "11s=crash-primary", "-1s=crash-primary", "4s=kill-instance"} {
		if _, err := parseEvents([]string{bad}, run, false); err == nil {
			t.Errorf("parseEvents accepts %q, want an error", bad)
		}
	}
	events, err := parseEvents([]string{"4s=restart-primary", "500ms=crash-primary", "1s=kill-instance"}, run, true)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"crash-primary", "kill-instance", "restart-primary"} {
		if events[i].name != want {
			t.Errorf("event %d is %s, want %s", i, events[i].name, want)
		}
	}
}
