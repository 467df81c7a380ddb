package burn

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

const latency = 250 * time.Millisecond

// Guards against callers that spend the error budget by their own errors or by exceeding their rate, and
// against failures of the proxy that are not counted.
func TestClassify(t *testing.T) {
	const ignored = burn.Class(-1)
	refusal := func(code string) engine.Statement {
		return engine.Statement{Outcome: "not_run", Code: code}
	}
	for name, c := range map[string]struct {
		statement engine.Statement
		want      burn.Class
	}{
		"answered in time":       {engine.Statement{Server: "a", Outcome: engine.OutcomeOK, Run: latency}, burn.Good},
		"late in the queue":      {engine.Statement{Server: "a", Outcome: engine.OutcomeOK, Wait: latency, Run: 1}, burn.Late},
		"late confirmation":      {engine.Statement{Server: "a", Outcome: engine.OutcomeOK, Run: 1, Confirm: latency}, burn.Late},
		"SQL error":              {engine.Statement{Server: "a", Outcome: engine.OutcomeServerError, Code: "42601"}, burn.Good},
		"late SQL error":         {engine.Statement{Server: "a", Outcome: engine.OutcomeServerError, Run: time.Second}, burn.Late},
		"session setting":        {engine.Statement{Outcome: engine.OutcomeOK}, ignored},
		"outcome unknown":        {engine.Statement{Server: "a", Outcome: "outcome_unknown"}, burn.Unknown},
		"lost write":             {engine.Statement{Outcome: "lost_write"}, burn.NotRun},
		"denied":                 {engine.Statement{Outcome: "denied"}, ignored},
		"invalid":                {engine.Statement{Outcome: "invalid"}, ignored},
		"caller gone":            {engine.Statement{Outcome: engine.OutcomeCallerGone}, ignored},
		"above the rate":         {refusal(outcome.CodeTooManyRequests), burn.OverRate},
		"no slot in time":        {refusal(outcome.CodeInsufficientResources), burn.RefusedInsideRate},
		"no primary":             {refusal(outcome.CodeCannotConnectNow), burn.NotRun},
		"server unreachable":     {refusal(outcome.CodeConnectionFailure), burn.NotRun},
		"instance stops":         {refusal(outcome.CodeAdminShutdown), burn.NotRun},
		"canceled by the caller": {refusal(outcome.CodeQueryCanceled), ignored},
		"failed transaction":     {refusal(codeInFailedTransaction), ignored},
	} {
		got, counted := Classify(c.statement, latency)
		if counted != (c.want != ignored) || counted && got != c.want {
			t.Errorf("%s: class %d, counts %t, want %d", name, got, counted, c.want)
		}
	}
}

// Guards against a report or metrics that don't match the observed statements.
func TestMeterReports(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := New(Config{
		Instance:  "proxy-1",
		Objective: burn.Objective{Availability: 90, Latency: manifest.Duration(latency)},
		Scope:     scope,
		Now:       func() time.Duration { return time.Hour },
	})
	var _ engine.Observer = m
	for range 3 {
		m.StatementDone(engine.Statement{Account: "clerks", Route: "orders", Server: "a", Outcome: engine.OutcomeOK})
	}
	m.StatementDone(engine.Statement{Account: "clerks", Route: "orders", Outcome: "outcome_unknown"})
	m.StatementDone(engine.Statement{Account: "clerks", Route: "orders", Outcome: "denied"})
	m.update()

	answer := httptest.NewRecorder()
	m.ServeHTTP(answer, httptest.NewRequest("GET", Path, nil))
	var r burn.Report
	if err := json.Unmarshal(answer.Body.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if err := r.Validate(); err != nil || len(r.Series) != 1 || r.Instances[0] != "proxy-1" {
		t.Fatalf("report %+v, error %v, want a valid report with one series of proxy-1", r, err)
	}
	if c := r.Series[0].Windows[burn.FiveMinutes].Counts; c != (burn.Counts{Good: 3, Unknown: 1}) {
		t.Errorf("counts %+v, want 3 good and 1 unknown", c)
	}
	snapshot := scope.Snapshot()
	if c := snapshot.Counters()["objective_statements_total+account=clerks,class=good,route=orders"]; c == nil || c.Value() != 3 {
		t.Errorf("counters %v, want 3 good statements", snapshot.Counters())
	}
	if g := snapshot.Gauges()["objective_burn_rate+account=clerks,route=orders,window=5m"]; g == nil || g.Value() < 2.49 || g.Value() > 2.51 {
		t.Errorf("gauges %v, want a 5m burn rate of 2.5", snapshot.Gauges())
	}
}
