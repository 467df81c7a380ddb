package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Guards against a hang that leaves no trace: statements that wait for long are reported with what they wait for, in
// a bounded number of lines, and the gauge returns to 0.
func TestStalledStatementsAreReported(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	scope := tally.NewTestScope("", nil)
	var stalled []engine.StalledStatement
	m := newStallMonitor(scope, log, func(time.Duration) []engine.StalledStatement { return stalled })
	gauge := func() float64 { return scope.Snapshot().Gauges()["statements_stalled+stage=confirmation"].Value() }

	stalled = []engine.StalledStatement{
		{Stage: engine.StageConfirmation, Age: 2 * time.Second},
		{Stage: engine.StageConfirmation, Age: 3 * time.Second},
	}
	start := time.Now()
	for i := range 10 {
		m.check(start.Add(time.Duration(i) * stallCheckInterval))
	}
	if got := strings.Count(out.String(), EventStatementsStalled); got != 1 {
		t.Errorf("%d lines in 5 s, want 1:\n%s", got, out.String())
	}
	if want := "oldest_ms=3000"; !strings.Contains(out.String(), want) || !strings.Contains(out.String(), "statements=2") {
		t.Errorf("log %q, want 2 statements and %s", out.String(), want)
	}
	if got := gauge(); got != 2 {
		t.Errorf("gauge shows %v, want 2", got)
	}
	stalled = nil
	m.check(start.Add(time.Minute))
	if got := gauge(); got != 0 {
		t.Errorf("gauge shows %v after the end, want 0", got)
	}
}

// Guards against blaming statements for a process that did not run.
func TestProcessStallIsReported(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	m := newStallMonitor(tally.NoopScope, log, nil)
	m.checkProcess(stallCheckInterval + processStallAge - 1)
	if out.Len() > 0 {
		t.Errorf("log %q for a check that is hardly late, want none", out.String())
	}
	m.checkProcess(stallCheckInterval + 9*time.Second)
	if !strings.Contains(out.String(), EventProcessStalled) || !strings.Contains(out.String(), "late_ms=9000") {
		t.Errorf("log %q, want %s with 9000 ms", out.String(), EventProcessStalled)
	}
}
