package demo

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// Guards against a demo on the users' platform that breaks a promise, or in which callers or events are missing.
func TestPlatformDemo(t *testing.T) {
	c := Config{Duration: minDuration, Seed: 1, Platform: true, OnReport: func(*Report) error { return nil }}
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if r.HasViolations() {
		t.Errorf("broken promises: %v", r.Violations)
	}
	if r.Statements == 0 || r.SessionMoves == 0 || r.ReplicaReadShare == 0 || r.WriteGapMillis == 0 {
		t.Errorf("statements, moves, reads on replicas or the failover are missing: %+v", r.Figures)
	}
	if r.Failures[withdrawnAccount][lineclient.KeyUnknown] == 0 {
		t.Errorf("the withdrawn key was never refused: %v", r.Failures)
	}
	if r.Baseline != nil {
		t.Error("a plain policy is reported, which the platform has not")
	}
}

// Guards against a flag that is ignored silently.
func TestPlatformDemoDoesNotListen(t *testing.T) {
	c := Config{Duration: minDuration, Platform: true, Listen: "127.0.0.1:6432"}
	if err := c.Validate(); err == nil {
		t.Error("--listen with --platform was accepted")
	}
}
