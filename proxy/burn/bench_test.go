package burn

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// Guards against an unnoticed increase of the cost on the statement path: all sessions share one meter.
func BenchmarkStatementDone(b *testing.B) {
	metrics := telemetry.New()
	defer func() { _ = metrics.Close() }()
	m := New(Config{Objective: burn.Objective{Availability: 99.9, Latency: manifest.Duration(latency)}, Scope: metrics.Scope})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		s := engine.Statement{Account: "clerks", Route: "orders", Server: "a", Outcome: engine.OutcomeOK}
		for pb.Next() {
			m.StatementDone(s)
		}
	})
}
