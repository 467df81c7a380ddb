package daemon

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// statementMetrics records metrics of sessions and statements. It implements engine.Observer.
type statementMetrics struct {
	scope       tally.Scope
	retries     *retryBudgets
	sessions    tally.Gauge
	onStatement func(engine.Statement) // nil: not called

	mu           sync.Mutex
	openSessions int
	series       map[statementKey]*statementSeries
}

type statementKey struct {
	account, route, served string
	outcome                engine.Outcome
}

type statementSeries struct {
	count tally.Counter
	wait  tally.Histogram
	run   tally.Histogram
}

func newStatementMetrics(scope tally.Scope, retries *retryBudgets, onStatement func(engine.Statement)) *statementMetrics {
	return &statementMetrics{
		onStatement: onStatement,
		scope:       scope,
		retries:     retries,
		sessions:    scope.Gauge("sessions"),
		series:      make(map[statementKey]*statementSeries),
	}
}

// StartupRefused implements engine.Observer.
func (m *statementMetrics) StartupRefused(_ string, err error) {
	code := "connection"
	if e := outcome.As(err); e != nil {
		code = e.Code
	}
	m.scope.Tagged(map[string]string{"code": code}).Counter("startups_refused_total").Inc(1)
}

// SessionOpened implements engine.Observer.
func (m *statementMetrics) SessionOpened(engine.Session) {
	m.addSessions(1)
}

// SessionClosed implements engine.Observer.
func (m *statementMetrics) SessionClosed(engine.Session, error) {
	m.addSessions(-1)
}

func (m *statementMetrics) addSessions(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openSessions += n
	m.sessions.Update(float64(m.openSessions))
}

// StatementDone implements engine.Observer.
func (m *statementMetrics) StatementDone(s engine.Statement) {
	m.retries.recordRequest(s.Route)
	if m.onStatement != nil {
		m.onStatement(s)
	}
	series := m.seriesFor(statementKey{s.Account, s.Route, served(s), s.Outcome})
	series.count.Inc(1)
	series.wait.RecordValue(s.Wait.Seconds())
	series.run.RecordValue((s.Run + s.Confirm).Seconds())
}

// served returns the value of the label "served": which kind of server ran the statement and how.
func served(s engine.Statement) string {
	switch {
	case s.Server == "":
		return "none"
	case s.Primary && s.Read:
		return "primary_read"
	case s.Primary:
		return "primary_write"
	}
	return "replica"
}

func (m *statementMetrics) seriesFor(key statementKey) *statementSeries {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.series[key]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{
		"account": key.account, "route": key.route, "served": key.served, "outcome": string(key.outcome),
	})
	s := &statementSeries{
		count: scope.Counter("statements_total"),
		wait:  scope.Histogram("statement_wait_seconds", telemetry.DurationBuckets()),
		run:   scope.Histogram("statement_run_seconds", telemetry.DurationBuckets()),
	}
	m.series[key] = s
	return s
}

// groupMetrics implements group.Observer for one database.
type groupMetrics struct {
	term       tally.Gauge
	promotions tally.Counter
	probe      tally.Histogram
	confirm    tally.Histogram
	failed     tally.Counter
}

func newGroupMetrics(scope tally.Scope, database string) *groupMetrics {
	s := scope.Tagged(map[string]string{"database": database})
	return &groupMetrics{
		term:       s.Gauge("primary_term"),
		promotions: s.Counter("promotions_ordered_total"),
		probe:      s.Histogram("probe_seconds", telemetry.DurationBuckets()),
		confirm:    s.Histogram("confirm_seconds", telemetry.DurationBuckets()),
		failed:     s.Counter("confirm_failed_total"),
	}
}

// PrimaryChanged implements group.Observer.
func (m *groupMetrics) PrimaryChanged(_ authority.ServerID, term uint64) {
	m.term.Update(float64(term))
}

// PromotionAttempted implements group.Observer.
func (m *groupMetrics) PromotionAttempted(authority.ServerID, uint64, authority.Reason) {
	m.promotions.Inc(1)
}

// ProbeRoundTrip implements group.Observer.
func (m *groupMetrics) ProbeRoundTrip(_ authority.ServerID, d time.Duration) {
	m.probe.RecordValue(d.Seconds())
}

// ConfirmLatency implements group.Observer.
func (m *groupMetrics) ConfirmLatency(_ manifest.Acknowledge, d time.Duration, confirmed bool) {
	m.confirm.RecordValue(d.Seconds())
	if !confirmed {
		m.failed.Inc(1)
	}
}
