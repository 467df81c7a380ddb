package bench

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// Guards against an endpoint that is not measured, and against reading the memory before the idle
// connections are open. Both endpoints are servers here; the one in place of the proxy has a service
// time.
func TestOverhead(t *testing.T) {
	const serviceTime = 2 * time.Millisecond
	direct := startServer(t, database.Config{ID: "direct", Primary: true})
	slow := startServer(t, database.Config{ID: "slow", Primary: true, ServiceTime: serviceTime})
	var calls atomic.Int64
	report, err := MeasureOverhead(context.Background(), Config{
		Direct:          endpoint(direct),
		Proxy:           endpoint(slow),
		Connections:     2,
		Rounds:          2,
		RoundDuration:   100 * time.Millisecond,
		IdleConnections: 10,
		ProxyMemory: func(context.Context) (uint64, error) {
			calls.Add(1)
			return uint64(slow.Clients()) * 1000, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Proxy.P50 < serviceTime || report.Proxy.P99 < report.Proxy.P50 {
		t.Errorf("latencies %+v, want P50 of at least the service time and P99 of at least P50", report.Proxy)
	}
	if report.Direct.StatementsPerSecond <= report.Proxy.StatementsPerSecond || report.ThroughputRatio() >= 1 {
		t.Errorf("report %+v, want less throughput through the slow endpoint", report)
	}
	if calls.Load() != 2 || report.BytesPerIdleConnection != 1000 {
		t.Errorf("%d memory readings and %.0f bytes per connection, want 2 and 1000", calls.Load(), report.BytesPerIdleConnection)
	}
}

func startServer(t *testing.T, c database.Config) *database.Server {
	t.Helper()
	s, err := database.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func endpoint(s *database.Server) Endpoint {
	return Endpoint{Addresses: []string{s.Address()}, Account: load.Account{Name: "bench"}}
}
