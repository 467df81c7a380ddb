package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// stallAge is how long a statement may stay in one stage before it is reported.
	stallAge = time.Second
	// stallCheckInterval is the interval between two checks.
	stallCheckInterval = 500 * time.Millisecond
	// stallLogInterval is the least time between two log lines about the same stage and server.
	stallLogInterval = 5 * time.Second
	// processStallAge is how late a check must be for the process to be reported as stalled.
	processStallAge = 500 * time.Millisecond
)

// stalledAt is where statements wait.
type stalledAt struct {
	stage  engine.Stage
	server authority.ServerID
}

// stallMonitor reports statements that make no progress, and times in which the process did not run.
type stallMonitor struct {
	scope   tally.Scope
	log     logrus.FieldLogger
	stalled func(age time.Duration) []engine.StalledStatement

	loggedAt map[stalledAt]time.Time
	shown    map[engine.Stage]bool // stages whose gauge is not 0
}

func newStallMonitor(scope tally.Scope, log logrus.FieldLogger, stalled func(time.Duration) []engine.StalledStatement) *stallMonitor {
	return &stallMonitor{
		scope: scope, log: log, stalled: stalled,
		loggedAt: map[stalledAt]time.Time{}, shown: map[engine.Stage]bool{},
	}
}

func (m *stallMonitor) run(ctx context.Context) {
	last := time.Now()
	wait.Every(ctx, stallCheckInterval, func() {
		now := time.Now()
		m.checkProcess(now.Sub(last))
		m.check(now)
		last = now
	})
}

// checkProcess reports that the process did not run, given the time since the check before.
func (m *stallMonitor) checkProcess(sinceLast time.Duration) {
	if late := sinceLast - stallCheckInterval; late >= processStallAge {
		event(m.log, EventProcessStalled).WithField("late_ms", late.Milliseconds()).
			Warn("the process did not run for a while; check the load of the machine")
	}
}

// check reports the statements that are stalled now, as one line for each stage and server.
func (m *stallMonitor) check(now time.Time) {
	count, oldest := map[stalledAt]int{}, map[stalledAt]time.Duration{}
	byStage := map[engine.Stage]int{}
	for _, s := range m.stalled(stallAge) {
		at := stalledAt{s.Stage, s.Server}
		count[at]++
		oldest[at] = max(oldest[at], s.Age)
		byStage[s.Stage]++
	}
	m.updateGauges(byStage)
	for at, n := range count {
		if now.Sub(m.loggedAt[at]) < stallLogInterval {
			continue
		}
		m.loggedAt[at] = now
		event(m.log, EventStatementsStalled).WithFields(logrus.Fields{
			"stage": at.stage.String(), "server": at.server, "statements": n, "oldest_ms": oldest[at].Milliseconds(),
		}).Warn("statements make no progress; the stage tells what they wait for")
	}
}

func (m *stallMonitor) updateGauges(byStage map[engine.Stage]int) {
	for stage := range byStage {
		m.shown[stage] = true
	}
	for stage := range m.shown {
		m.scope.Tagged(map[string]string{"stage": stage.String()}).Gauge("statements_stalled").Update(float64(byStage[stage]))
		if byStage[stage] == 0 {
			delete(m.shown, stage)
		}
	}
}
