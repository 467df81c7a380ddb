// Package bench measures the overhead of the proxy against direct connections to the servers in the
// same run.
package bench

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
)

// Defaults for zero fields of Config.
const (
	DefaultConnections     = 32
	DefaultIdleConnections = 1000
	DefaultRounds          = 5
	DefaultRoundDuration   = time.Second
)

const (
	statementSQL = "SELECT value FROM kv WHERE key = $1"
	statementKey = "bench"
	// warmUpDuration precedes the measurement in each round, to fill caches and open connections.
	warmUpDuration = 200 * time.Millisecond
	// maxConcurrentConnects limits how many connections are being opened at the same time.
	maxConcurrentConnects = 16
	closeTimeout          = time.Second
)

// Endpoint is one of the two endpoints that are compared.
type Endpoint struct {
	Addresses []string // IP:port; connections are distributed round-robin
	Database  string   // database name or route name
	Account   load.Account
}

// Config describes a measurement. Zero values select the defaults.
type Config struct {
	Direct          Endpoint // the database servers
	Proxy           Endpoint // the proxy in front of them
	Connections     int      // busy at the same time per endpoint
	Rounds          int      // per endpoint; the endpoints alternate
	RoundDuration   time.Duration
	IdleConnections int // through the proxy; negative skips the memory measurement
	// ProxyMemory returns the heap and stack bytes that the proxy uses after a garbage
	// collection; nil skips the memory measurement.
	ProxyMemory func(ctx context.Context) (uint64, error)
}

// EndpointResult holds the throughput and latencies of one endpoint.
type EndpointResult struct {
	StatementsPerSecond float64
	P50, P99            time.Duration
}

// Report compares both endpoints.
type Report struct {
	Direct, Proxy   EndpointResult
	IdleConnections int
	// BytesPerIdleConnection is the growth of the proxy's memory per idle client connection.
	BytesPerIdleConnection float64
}

// ThroughputRatio returns the throughput of the proxy relative to the direct throughput.
func (r Report) ThroughputRatio() float64 {
	return r.Proxy.StatementsPerSecond / r.Direct.StatementsPerSecond
}

// MeasureOverhead alternates between both endpoints, so that a change of the machine's load affects
// both.
func MeasureOverhead(ctx context.Context, c Config) (Report, error) {
	c = c.withDefaults()
	direct, proxy := newMeter(c.Direct), newMeter(c.Proxy)
	defer direct.close()
	defer proxy.close()
	for _, m := range []*meter{direct, proxy} {
		if err := m.open(ctx, c.Connections); err != nil {
			return Report{}, err
		}
	}
	for range c.Rounds {
		for _, m := range []*meter{direct, proxy} {
			if err := m.runRound(ctx, c.RoundDuration); err != nil {
				return Report{}, err
			}
		}
	}
	report := Report{Direct: direct.result(), Proxy: proxy.result()}
	if c.ProxyMemory == nil || c.IdleConnections < 0 {
		return report, nil
	}
	report.IdleConnections = c.IdleConnections
	var err error
	report.BytesPerIdleConnection, err = memoryPerIdleConnection(ctx, c)
	return report, err
}

func (c Config) withDefaults() Config {
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.Rounds == 0 {
		c.Rounds = DefaultRounds
	}
	if c.RoundDuration == 0 {
		c.RoundDuration = DefaultRoundDuration
	}
	if c.IdleConnections == 0 {
		c.IdleConnections = DefaultIdleConnections
	}
	return c
}

// meter sends statements to one endpoint and records their latencies.
type meter struct {
	endpoint   Endpoint
	conns      []*pgx.Conn
	latencies  *hdrhistogram.Histogram // microseconds
	statements int
	elapsed    time.Duration
}

func newMeter(e Endpoint) *meter {
	return &meter{endpoint: e, latencies: load.NewHistogram()}
}

func (m *meter) open(ctx context.Context, n int) error {
	conns, err := openConnections(ctx, m.endpoint, n)
	m.conns = conns
	return err
}

func (m *meter) close() { closeConnections(m.conns) }

// connect opens connection i to the endpoint, on address i modulo their number.
func (e Endpoint) connect(ctx context.Context, i int) (*pgx.Conn, error) {
	address := e.Addresses[i%len(e.Addresses)]
	conf, err := load.ConnConfig(address, e.Database, e.Account)
	if err != nil {
		return nil, err
	}
	conn, err := pgx.ConnectConfig(ctx, conf)
	return conn, errors.Wrapf(err, "connect to %s", address)
}

// openConnections opens n connections and runs one statement on each. On an error it also returns
// the connections that it opened.
func openConnections(ctx context.Context, e Endpoint, n int) ([]*pgx.Conn, error) {
	var mu sync.Mutex
	var conns []*pgx.Conn
	err := inParallel(n, maxConcurrentConnects, func(i int) error {
		conn, err := e.connect(ctx, i)
		if err != nil {
			return err
		}
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		return runStatement(ctx, conn)
	})
	return conns, err
}

func closeConnections(conns []*pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, conn := range conns {
		_ = conn.Close(ctx)
	}
}

// OpenStatementRunner opens a connection to e. It returns run, which runs the measured statement n
// times on the connection, and stop, which closes it.
func OpenStatementRunner(ctx context.Context, e Endpoint) (run func(n int) error, stop func(), err error) {
	conns, err := openConnections(ctx, e, 1)
	stop = func() { closeConnections(conns) }
	if err != nil {
		stop()
		return nil, nil, err
	}
	run = func(n int) error {
		for range n {
			if err := runStatement(ctx, conns[0]); err != nil {
				return err
			}
		}
		return nil
	}
	return run, stop, nil
}

func runStatement(ctx context.Context, conn *pgx.Conn) error {
	var value string
	err := conn.QueryRow(ctx, statementSQL, statementKey).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return errors.Wrap(err, "run the measured statement")
}

// inParallel runs step for 0 to n-1 in at most workers goroutines and returns the last error.
func inParallel(n, workers int, step func(i int) error) error {
	next := make(chan int)
	var running sync.WaitGroup
	var mu sync.Mutex
	var lastErr error
	for range min(n, workers) {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range next {
				if err := step(i); err != nil {
					mu.Lock()
					lastErr = err
					mu.Unlock()
				}
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	running.Wait()
	return lastErr
}

// runRound keeps all connections busy for the warm-up and then for d, and adds the statements of the
// second part to the figures.
func (m *meter) runRound(ctx context.Context, d time.Duration) error {
	start := time.Now().Add(warmUpDuration)
	histograms := make([]*hdrhistogram.Histogram, len(m.conns))
	err := inParallel(len(m.conns), len(m.conns), func(i int) error {
		histograms[i] = load.NewHistogram()
		return measureConnection(ctx, m.conns[i], start, d, histograms[i])
	})
	for _, h := range histograms {
		m.latencies.Merge(h)
		m.statements += int(h.TotalCount())
	}
	m.elapsed += d
	return err
}

// measureConnection runs statements sequentially until start+d and records the latency of those that
// end between start and start+d.
func measureConnection(ctx context.Context, conn *pgx.Conn, start time.Time, d time.Duration, h *hdrhistogram.Histogram) error {
	for {
		sent := time.Now()
		if err := runStatement(ctx, conn); err != nil {
			return err
		}
		answered := time.Now()
		if answered.After(start.Add(d)) {
			return nil
		}
		if answered.After(start) {
			_ = h.RecordValue(answered.Sub(sent).Microseconds())
		}
	}
}

func (m *meter) result() EndpointResult {
	return EndpointResult{
		StatementsPerSecond: float64(m.statements) / m.elapsed.Seconds(),
		P50:                 time.Duration(m.latencies.ValueAtQuantile(50)) * time.Microsecond,
		P99:                 time.Duration(m.latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// memoryPerIdleConnection returns the growth of the proxy's memory in bytes per idle connection.
func memoryPerIdleConnection(ctx context.Context, c Config) (float64, error) {
	before, err := c.ProxyMemory(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "read the proxy's memory before the idle connections")
	}
	conns, err := openIdleSockets(ctx, c.Proxy, c.IdleConnections)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	if err != nil {
		return 0, err
	}
	after, err := c.ProxyMemory(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "read the proxy's memory with the idle connections")
	}
	return (float64(after) - float64(before)) / float64(len(conns)), nil
}

// openIdleSockets opens n sessions, runs one statement on each and keeps only their sockets, so that
// the client's own memory counts little when the proxy runs in the same process.
func openIdleSockets(ctx context.Context, e Endpoint, n int) ([]net.Conn, error) {
	var mu sync.Mutex
	var conns []net.Conn
	err := inParallel(n, maxConcurrentConnects, func(i int) error {
		conn, err := e.connect(ctx, i)
		if err != nil {
			return err
		}
		if err := runStatement(ctx, conn); err != nil {
			return err
		}
		hijacked, err := conn.PgConn().Hijack()
		if err != nil {
			return errors.Wrap(err, "keep the socket of an idle session")
		}
		mu.Lock()
		conns = append(conns, hijacked.Conn)
		mu.Unlock()
		return nil
	})
	return conns, err
}
