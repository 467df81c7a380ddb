package demo

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// Guards against a demo on the users' platform that reports a violation, or in which the load or an event does not take
// place.
func TestPlatformDemo(t *testing.T) {
	c := Config{Duration: minDuration, Seed: 1, Platform: true, OnReport: func(*Report) error { return nil }}
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if r.HasViolations() {
		t.Errorf("violations: %v, want none", r.Violations)
	}
	if r.Statements == 0 || r.SessionMoves == 0 || r.ReplicaReadShare == 0 || r.WriteGapMillis == 0 {
		t.Errorf("figures %+v, want statements, session moves, replica reads and a write gap", r.Figures)
	}
	if r.Failures[withdrawnAccount][lineclient.InvalidKey] == 0 {
		t.Errorf("failures %v, want refusals of the withdrawn key", r.Failures)
	}
	if r.Baseline != nil {
		t.Error("report has a baseline, want none on the users' platform")
	}
}

// Guards against a --listen flag that is silently ignored with --platform.
func TestPlatformDemoDoesNotListen(t *testing.T) {
	c := Config{Duration: minDuration, Platform: true, Listen: "127.0.0.1:6432"}
	if err := c.Validate(); err == nil {
		t.Error("--listen with --platform was accepted, want an error")
	}
}
