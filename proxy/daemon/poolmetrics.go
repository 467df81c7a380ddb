package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/pool"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// poolMetricsPeriod is the interval at which the pool's usage is read, equal to the interval at which
// metrics are reported to the endpoint.
const poolMetricsPeriod = time.Second

// poolMetrics reports the use of the connections and slots of each server.
type poolMetrics struct {
	scope  tally.Scope
	usage  func() []pool.Usage
	series map[authority.ServerID]*serverSeries
}

type serverSeries struct {
	idle, inUse, slots, waiting tally.Gauge
	opened                      tally.Counter
	reportedOpened              uint64 // value of OpenedTotal already added to opened
}

func newPoolMetrics(scope tally.Scope, usage func() []pool.Usage) *poolMetrics {
	return &poolMetrics{scope: scope, usage: usage, series: make(map[authority.ServerID]*serverSeries)}
}

func (m *poolMetrics) run(ctx context.Context) {
	m.report()
	wait.Every(ctx, poolMetricsPeriod, m.report)
}

// report updates the metrics. The gauges of a server that left the configuration are set to 0.
func (m *poolMetrics) report() {
	usage := make(map[authority.ServerID]pool.Usage)
	for _, u := range m.usage() {
		usage[u.Server] = u
		m.seriesFor(u.Server)
	}
	for id, s := range m.series {
		s.set(usage[id])
	}
}

func (m *poolMetrics) seriesFor(id authority.ServerID) *serverSeries {
	if s, ok := m.series[id]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"server": string(id)})
	s := &serverSeries{
		idle:    scope.Tagged(map[string]string{"state": "idle"}).Gauge("server_connections"),
		inUse:   scope.Tagged(map[string]string{"state": "lent"}).Gauge("server_connections"),
		slots:   scope.Gauge("server_slots_in_use"),
		waiting: scope.Gauge("server_statements_waiting"),
		opened:  scope.Counter("server_connections_opened_total"),
	}
	m.series[id] = s
	return s
}

func (s *serverSeries) set(u pool.Usage) {
	s.idle.Update(float64(u.Idle))
	s.inUse.Update(float64(u.InUse))
	s.slots.Update(float64(u.SlotsInUse))
	s.waiting.Update(float64(u.Waiting))
	if u.OpenedTotal < s.reportedOpened {
		s.reportedOpened = 0 // the server has a new address, so its count restarted at 0
	}
	s.opened.Inc(int64(u.OpenedTotal - s.reportedOpened))
	s.reportedOpened = u.OpenedTotal
}
