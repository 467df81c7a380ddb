package benchcmd

import (
	"bytes"
	"encoding/json"
	"testing"
)

// runJSON runs a bench command and decodes its report.
func runJSON(t *testing.T, report any, args ...string) {
	t.Helper()
	cmd := New()
	cmd.PersistentFlags().Bool("json", false, "")
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(append(args, "--json"))
	if err := cmd.Execute(); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	if err := json.Unmarshal(out.Bytes(), report); err != nil {
		t.Fatal(err)
	}
}

// Guards against a run that counts no statements, misses the failover, or breaks a guarantee.
func TestFailoverCommand(t *testing.T) {
	t.Parallel()
	var r failoverReport
	runJSON(t, &r, "failover", "--only", "store down", "--settle", "300ms", "--deployment", "malabar")
	if len(r.Rows) != 1 {
		t.Fatalf("%d rows, want 1", len(r.Rows))
	}
	row := r.Rows[0]
	if row.Proxy.Statements == 0 || row.Proxy.WriteGapMillis == 0 || row.Baseline.Statements == 0 {
		t.Errorf("row %+v, want statements of both and a write gap of the proxy", row)
	}
	// The timeout starts at the last answered probe, and the crash may follow up to one probe later.
	least := plainTimeout - plainInterval - plainCallTimeout
	if row.Baseline.WriteGapMillis < least.Milliseconds() {
		t.Errorf("the plain policy's write gap is %d ms, too short for its timeout of %s", row.Baseline.WriteGapMillis, plainTimeout)
	}
}

// Guards against a run whose sessions send nothing, that omits a lag or a mode, or whose reads are
// stale.
func TestSessionsCommand(t *testing.T) {
	t.Parallel()
	var r sessionsReport
	runJSON(t, &r, "sessions", "--only", "token", "--duration", "300ms", "--deployment", "malabar")
	if want := 2 * len(sessionLags); len(r.Rows) != want {
		t.Fatalf("%d rows, want %d", len(r.Rows), want)
	}
	var statements int64
	for _, row := range r.Rows {
		statements += row.Reads + row.Writes
		if row.StaleReads != 0 {
			t.Errorf("stale reads in row %+v, want none", row)
		}
	}
	if statements == 0 {
		t.Error("no statement was answered, want some")
	}
}

// Guards against a broken guarantee that is not reported or ends with exit code 0.
func TestBrokenGuaranteeIsReported(t *testing.T) {
	failover := failoverReport{Rows: []failoverRow{
		{LimitMillis: 3000, Proxy: failoverFigures{WriteGapMillis: 2999}},
		{LimitMillis: 3000, Proxy: failoverFigures{WriteGapMillis: 3000}},
		{LimitMillis: 3000, Proxy: failoverFigures{ShownViolations: []string{"lost write"}}},
		{LimitMillis: 3000, Baseline: failoverFigures{WriteGapMillis: 9000, ShownViolations: []string{"lost write"}}},
	}}
	failover.checkGuarantees()
	if len(failover.Broken) != 2 {
		t.Errorf("failover: broken guarantees %v, want those of the second and third row", failover.Broken)
	}
	sessions := sessionsReport{Rows: []sessionRow{
		{Variant: "token", Broken: []string{"stale read"}},
		{Variant: baselineVariant, Broken: []string{"stale read"}},
	}}
	sessions.checkGuarantees()
	if len(sessions.Broken) != 1 {
		t.Errorf("sessions: broken guarantees %v, want those of the first row", sessions.Broken)
	}
	err := printReport(new(bytes.Buffer), true, failover, nil, failover.Broken)
	if err == nil {
		t.Error("no error for a broken guarantee, so the exit code would be 0")
	}
}
