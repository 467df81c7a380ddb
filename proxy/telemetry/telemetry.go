// Package telemetry serves the metrics of an instance in the Prometheus text format, and the health and
// readiness endpoints for the platform's load balancer.
package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters are published to the endpoint.
const reportInterval = time.Second

// shutdownTimeout bounds the wait for requests in flight when the endpoint shuts down.
const shutdownTimeout = 2 * time.Second

// DurationBuckets are the upper bounds of duration histograms in seconds, from 100 µs to 30 s.
func DurationBuckets() tally.Buckets {
	return tally.ValueBuckets{
		0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
		0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
	}
}

// sanitizeOptions leaves tag values unchanged. Tally's default options for Prometheus replace every
// character but letters and digits by an underscore, so that accounts "a-b" and "a_b" would share a series
// and names would differ from those in the manifest. The Prometheus text format allows any value.
func sanitizeOptions() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, unicode.MaxRune}}}
	return &options
}

// Metrics is the root of an instance's metrics.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  interface{ Close() error }
}

// New returns metrics whose names begin with cyclamenstile_, in a separate registry.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cyclamenstile",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Handler serves /metrics, /healthz and /readyz. An error of ready is the body of a 503 response of
// /readyz; extra adds further paths.
func (m *Metrics) Handler(ready func() error, extra map[string]http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	for path, h := range extra {
		mux.Handle(path, h)
	}
	return mux
}

// Serve serves h on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics endpoint ended; see whether its address is in use")
	}
	return nil
}
