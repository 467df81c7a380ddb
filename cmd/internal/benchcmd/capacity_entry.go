package benchcmd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/bench"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/selfsigned"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

const (
	benchAccount = "bench"
	// sampleOnceRoute samples a floor once per connection, at its start-up; samplePerReadRoute samples
	// one for each read.
	sampleOnceRoute    = "once"
	samplePerReadRoute = "each"
	// idleRoundDuration keeps the round short that bench.MeasureOverhead runs before it opens the idle
	// connections.
	idleRoundDuration = 20 * time.Millisecond
	// concurrentConnections is the number of connections that run statements at the same time.
	concurrentConnections = 16
)

// startEntry starts one instance with both routes. The servers have no service time, so that many
// statements run in a short time.
func startEntry(ctx context.Context) (*local.Deployment, error) {
	route := func(name string, scope manifest.SessionScope) manifest.Route {
		return manifest.Route{Name: name, Database: local.DatabaseName, Accounts: []string{benchAccount}, SessionScope: scope}
	}
	return local.Start(ctx, local.Config{
		Instances: 1,
		Server:    database.Config{MaxConnections: 200, Slots: 128, ReplicationLag: time.Millisecond},
		Accounts:  []local.Account{{Name: benchAccount, Weight: 1, Rate: manifest.MaxRate, Burst: manifest.MaxRate}},
		Routes:    []manifest.Route{route(sampleOnceRoute, manifest.ScopeConnection), route(samplePerReadRoute, manifest.ScopeAny)},
	})
}

func directEndpoint(d *local.Deployment) bench.Endpoint {
	return bench.Endpoint{Addresses: replicas(d), Account: load.Account{Name: benchAccount}}
}

func proxyEndpoint(d *local.Deployment, route string) bench.Endpoint {
	return bench.Endpoint{
		Addresses: []string{d.Instances[0].Address}, Database: route,
		Account: load.Account{Name: benchAccount, Key: d.Key(benchAccount)},
	}
}

// entryIdle measures the memory of idle client connections, including the client's socket.
func entryIdle() measurement {
	return measurement{
		sizes:      []int{500, 1000, 2000},
		quantities: []quantity{{"entry.idle.memory", "B", "connection", "proxy/engine"}},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			d, err := startEntry(ctx)
			if err != nil {
				return nil, noStop, err
			}
			run := func(size int) ([]float64, error) {
				r, err := bench.MeasureOverhead(ctx, bench.Config{
					Direct: directEndpoint(d), Proxy: proxyEndpoint(d, sampleOnceRoute),
					Connections: 1, Rounds: 1, RoundDuration: idleRoundDuration,
					IdleConnections: size, ProxyMemory: memoryInUse,
				})
				return []float64{r.BytesPerIdleConnection * float64(size)}, err
			}
			return run, d.Close, nil
		},
	}
}

// entryStatement measures the CPU time of a read while several connections are busy: with a single
// connection the Go scheduler's search for work between two statements would count too. The direct
// path shows the share of the load generator and the server, which run in the same process.
func entryStatement() measurement {
	return measurement{
		sizes: []int{1600, 3200, 6400},
		quantities: []quantity{
			{"entry.statement.direct.cpu", "µs", "statement", "standin/database"},
			{"entry.statement.once.cpu", "µs", "statement", "proxy/engine"},
			{"entry.statement.each.cpu", "µs", "statement", "proxy/engine, proxy/group"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			d, err := startEntry(ctx)
			if err != nil {
				return nil, noStop, err
			}
			endpoints := []bench.Endpoint{directEndpoint(d), proxyEndpoint(d, sampleOnceRoute), proxyEndpoint(d, samplePerReadRoute)}
			run := func(size int) ([]float64, error) { return statementCosts(ctx, endpoints, size) }
			return run, d.Close, nil
		},
	}
}

func statementCosts(ctx context.Context, endpoints []bench.Endpoint, size int) ([]float64, error) {
	values := make([]float64, len(endpoints))
	for i, e := range endpoints {
		runs, stop, err := openStatements(ctx, e)
		if err == nil {
			values[i], err = cpuCost(func() error { return runConcurrently(concurrentConnections, size, runs) })
		}
		stop()
		if err != nil {
			return nil, err
		}
	}
	return values, nil
}

// openStatements opens concurrentConnections connections. run runs n statements on the connection of a
// worker; stop closes all of them.
func openStatements(ctx context.Context, e bench.Endpoint) (run func(worker, n int) error, stop func(), err error) {
	var runs []func(n int) error
	var stops []func()
	stop = func() {
		for _, s := range stops {
			s()
		}
	}
	for range concurrentConnections {
		r, s, err := bench.OpenStatementRunner(ctx, e)
		if err != nil {
			return nil, stop, err
		}
		runs, stops = append(runs, r), append(stops, s)
	}
	return func(worker, n int) error { return runs[worker](n) }, stop, nil
}

// runConcurrently divides n calls among workers that run at the same time.
func runConcurrently(workers, n int, run func(worker, n int) error) error {
	var group sync.WaitGroup
	failures := make([]error, workers)
	for i := range workers {
		share := (n + i) / workers
		group.Go(func() { failures[i] = run(i, share) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// entryHandshake measures full TLS 1.3 handshakes over TCP and the memory of their connections.
func entryHandshake() measurement {
	return measurement{
		sizes: []int{50, 100, 200},
		quantities: []quantity{
			{"entry.tls.cpu", "µs", "handshake, both ends", "crypto/tls"},
			{"entry.tls.memory", "B", "connection, both ends", "crypto/tls"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			server, err := tlsServer()
			if err != nil {
				return nil, noStop, err
			}
			listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
			if err != nil {
				return nil, noStop, err
			}
			go acceptAll(listener)
			run := func(size int) ([]float64, error) { return handshakeCosts(ctx, listener.Addr().String(), size) }
			return run, func() { _ = listener.Close() }, nil
		},
	}
}

// tlsServer returns a server configuration with a new self-signed ECDSA P-256 certificate.
func tlsServer() (*tls.Config, error) {
	pair, err := selfsigned.New()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, err
	}
	// With session tickets later handshakes would resume. Clients that reconnect after losing an
	// instance have no ticket, so full handshakes are measured.
	return &tls.Config{
		Certificates:           []tls.Certificate{certificate},
		SessionTicketsDisabled: true,
	}, nil
}

// acceptAll accepts connections and keeps each open until its client closes it.
func acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
}

func handshakeCosts(ctx context.Context, address string, n int) ([]float64, error) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	// Skipping verification is safe: the certificate is self-signed and the listener belongs to this
	// process.
	dialer := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
	var cpu float64
	memory, err := retainedBytes(func() (any, error) {
		var err error
		cpu, err = cpuCost(func() error {
			for range n {
				conn, err := dialer.DialContext(ctx, "tcp", address)
				if err != nil {
					return err
				}
				conns = append(conns, conn)
			}
			return nil
		})
		return conns, err
	})
	return []float64{cpu, memory}, err
}
