package burn

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// Path is the URL path of the report on the operations listener.
const Path = "/burn"

// updateInterval is the interval at which the gauges are set, equal to the bucket length of the shortest
// window.
const updateInterval = 10 * time.Second

// Config holds the settings of a Meter.
type Config struct {
	Instance  string
	Objective burn.Objective
	Scope     tally.Scope
	// Now returns the time since a fixed origin; nil means the time since New.
	Now func() time.Duration
}

// Meter tracks the error budget burn of an instance. It implements engine.Observer, and http.Handler for
// the report.
type Meter struct {
	cfg Config

	mu      sync.Mutex
	tracker *burn.Tracker
	metrics map[burn.Key]*seriesMetrics
}

type seriesMetrics struct {
	statements map[burn.Class]tally.Counter // created when a class first occurs, since a tagged scope takes 2 KB
	rates      []tally.Gauge                // in the order of the report's windows
	budgetLeft tally.Gauge
	scope      tally.Scope
}

// New returns a meter without statements.
func New(cfg Config) *Meter {
	if cfg.Now == nil {
		origin := time.Now()
		cfg.Now = func() time.Duration { return time.Since(origin) }
	}
	return &Meter{
		cfg:     cfg,
		tracker: burn.NewTracker(burn.DefaultMaxSeries),
		metrics: make(map[burn.Key]*seriesMetrics),
	}
}

// StartupRefused implements engine.Observer.
func (m *Meter) StartupRefused(string, error) {}

// SessionOpened implements engine.Observer.
func (m *Meter) SessionOpened(engine.Session) {}

// SessionClosed implements engine.Observer.
func (m *Meter) SessionClosed(engine.Session, error) {}

// StatementDone implements engine.Observer.
func (m *Meter) StatementDone(s engine.Statement) {
	class, counted := Classify(s, m.cfg.Objective.Latency.Std())
	if !counted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := m.tracker.Record(m.cfg.Now(), burn.Key{Account: s.Account, Route: s.Route}, class)
	m.seriesFor(key).counter(class).Inc(1)
}

// seriesFor returns the metrics of a series, which it creates if needed. The tracker bounds the number of
// series.
func (m *Meter) seriesFor(key burn.Key) *seriesMetrics {
	if s, ok := m.metrics[key]; ok {
		return s
	}
	s := &seriesMetrics{
		statements: make(map[burn.Class]tally.Counter),
		scope:      m.cfg.Scope.Tagged(map[string]string{"account": key.Account, "route": key.Route}),
	}
	s.budgetLeft = s.scope.Gauge("objective_budget_left")
	m.metrics[key] = s
	return s
}

func (s *seriesMetrics) counter(class burn.Class) tally.Counter {
	if c, ok := s.statements[class]; ok {
		return c
	}
	c := s.scope.Tagged(map[string]string{"class": class.String()}).Counter("objective_statements_total")
	s.statements[class] = c
	return c
}

// Report returns the current report.
func (m *Meter) Report() burn.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.tracker.Report(m.cfg.Now(), m.cfg.Objective)
	r.Instances = []string{m.cfg.Instance}
	return r
}

// ServeHTTP answers with the report as JSON.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(m.Report())
}

// Run keeps the gauges up to date until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	wait.Every(ctx, updateInterval, m.update)
}

func (m *Meter) update() {
	for _, s := range m.Report().Series {
		m.mu.Lock()
		metrics := m.seriesFor(s.Key)
		m.mu.Unlock()
		metrics.setGauges(s)
	}
}

// setGauges sets the gauges; only update calls it.
func (s *seriesMetrics) setGauges(series burn.Series) {
	s.budgetLeft.Update(series.BudgetLeft)
	if s.rates == nil {
		for _, w := range series.Windows {
			tagged := s.scope.Tagged(map[string]string{"window": w.Window.String()})
			s.rates = append(s.rates, tagged.Gauge("objective_burn_rate"))
		}
	}
	for i, w := range series.Windows {
		s.rates[i].Update(w.BurnRate)
	}
}
