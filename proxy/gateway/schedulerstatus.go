package gateway

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// schedulerMetrics are the metrics of the queue of one server.
type schedulerMetrics struct {
	waiting, running, expectedWait tally.Gauge
	refused                        tally.Counter
}

func newSchedulerMetrics(scope tally.Scope, server string) *schedulerMetrics {
	scope = scope.Tagged(map[string]string{"server": server})
	return &schedulerMetrics{
		waiting:      scope.Gauge("scheduler_waiting"),
		running:      scope.Gauge("scheduler_running"),
		expectedWait: scope.Gauge("scheduler_expected_wait_seconds"),
		refused:      scope.Counter("scheduler_refused_total"),
	}
}

// clear resets the gauges of a server that is not used any more.
func (m *schedulerMetrics) clear() {
	if m == nil {
		return
	}
	m.waiting.Update(0)
	m.running.Update(0)
	m.expectedWait.Update(0)
}

// schedulerReport is the state of a scheduler since the last report.
type schedulerReport struct {
	started, ended             bool // whether this instance has begun or ceased to schedule
	overloadBegan, overloadEnd bool
	waiting, running           int
	refused                    int64
	expectedWait               time.Duration
}

// report returns what has changed since the last call; ok is false if this instance was never the scheduler.
func (q *admissionQueue) report(now time.Duration) (r schedulerReport, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.scheduledAt == 0 {
		return r, false
	}
	q.dropUnservable(now)
	q.notify(q.queue.Grant(now), true)
	schedules := now-q.scheduledAt < schedulingIdle
	r.started, r.ended = schedules && !q.reportedScheduling, !schedules && q.reportedScheduling
	q.reportedScheduling = schedules
	r.overloadBegan, r.overloadEnd = q.overload.Step(now)
	r.waiting = q.queue.Waiting()
	r.running, _ = q.queue.InUse()
	r.expectedWait = q.queue.ExpectedWait(now)
	r.refused, q.refused = q.refused, 0
	return r, true
}

// observeSchedulers reports the queues of the servers that this instance schedules.
func (g *Gateway) observeSchedulers() {
	g.mu.Lock()
	queues := maps.Clone(g.admissionQueues)
	g.mu.Unlock()
	for key, queue := range queues {
		if r, ok := queue.report(g.cfg.Now()); ok {
			g.cfg.Log.scheduler(key, queue, r)
		}
	}
}

// scheduler logs and counts the state of the queue of one server.
func (l *EventLog) scheduler(key admissionKey, queue *admissionQueue, r schedulerReport) {
	if queue.metrics == nil {
		queue.metrics = newSchedulerMetrics(l.metrics.scope, key.server)
	}
	queue.metrics.waiting.Update(float64(r.waiting))
	queue.metrics.running.Update(float64(r.running))
	queue.metrics.expectedWait.Update(r.expectedWait.Seconds())
	queue.metrics.refused.Inc(r.refused)
	fields := logrus.Fields{
		"server": key.server, "database": key.database, "waiting": r.waiting, "running": r.running,
		"expected_wait_ms": r.expectedWait.Milliseconds(),
	}
	if r.started {
		l.writeLine(EventScheduling, func(e *logrus.Entry) { e.WithFields(fields).Info("this instance schedules the server") })
	}
	if r.overloadBegan {
		l.writeLine(EventOverloaded, func(e *logrus.Entry) { e.WithFields(fields).Warn("server is overloaded") })
	}
	if r.overloadEnd {
		l.writeLine(EventOverloadEnded, func(e *logrus.Entry) { e.WithFields(fields).Info("server is not overloaded any more") })
	}
	if r.ended {
		l.writeLine(EventSchedulingEnded, func(e *logrus.Entry) { e.WithFields(fields).Info("this instance schedules the server no more") })
	}
}
