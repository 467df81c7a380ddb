package benchcmd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/group"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

const (
	serversPerGroup = 3
	// viewSettleTime lets all views detect their primary before the measurement.
	viewSettleTime = 300 * time.Millisecond
	viewWindow     = time.Second
)

// idleServer answers probes with a fixed state and counts them.
type idleServer struct {
	state  authority.ServerState
	probes *atomic.Int64
}

// Probe implements dbgroup.Server.
func (s idleServer) Probe(context.Context) (authority.ServerState, error) {
	s.probes.Add(1)
	return s.state, nil
}

// Fence implements dbgroup.Server.
func (s idleServer) Fence(context.Context, uint64, string) (authority.ServerState, error) {
	return s.state, nil
}

// Promote implements dbgroup.Server.
func (s idleServer) Promote(context.Context, uint64, string) (authority.ServerState, error) {
	return s.state, nil
}

// idleAdapters returns a connect function for idle servers, of which the first is the primary.
func idleAdapters(probes *atomic.Int64) func(manifest.Server) group.Adapter {
	return func(s manifest.Server) group.Adapter {
		role := authority.RoleReplica
		if s.ID == serverName(0) {
			role = authority.RolePrimary
		}
		server := idleServer{probes: probes, state: authority.ServerState{
			Server: authority.ServerID(s.ID), Incarnation: 1, Role: role, Term: 1, LSN: 1,
			History: position.History{{Term: 1}},
		}}
		return group.Adapter{Persistent: server, Fresh: server}
	}
}

func serverName(i int) string {
	return fmt.Sprintf("s%d", i+1)
}

// proberView measures the views of idle database groups, without the network.
func proberView() measurement {
	return measurement{
		sizes: []int{50, 100, 200},
		quantities: []quantity{
			{"prober.view.memory", "B", "database", "proxy/group, decision/authority"},
			{"prober.view.cpu", "µs/s", "database, without the wire", "proxy/group, decision/authority"},
			{"prober.view.probes", "probes/s", "database", "decision/authority"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			return func(size int) ([]float64, error) { return viewCosts(ctx, size) }, noStop, nil
		},
	}
}

func viewCosts(ctx context.Context, n int) ([]float64, error) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	var probes atomic.Int64
	memory, err := retainedBytes(func() (any, error) {
		groups, err := startViews(ctx, &running, n, &probes)
		time.Sleep(viewSettleTime)
		return groups, err
	})
	if err != nil {
		return nil, err
	}
	probes.Store(0)
	began := time.Now()
	cpu, err := cpuCost(func() error {
		time.Sleep(viewWindow)
		return nil
	})
	seconds := time.Since(began).Seconds()
	return []float64{memory, cpu / seconds, float64(probes.Load()) / seconds}, err
}

func startViews(ctx context.Context, running *sync.WaitGroup, n int, probes *atomic.Int64) ([]*group.Group, error) {
	var servers []manifest.Server
	for i := range serversPerGroup {
		servers = append(servers, manifest.Server{ID: serverName(i), Address: "127.0.0.1:1"})
	}
	groups := make([]*group.Group, n)
	for i := range groups {
		g, err := group.New(group.Config{
			Database: fmt.Sprintf("db%d", i), Servers: servers, Instance: "bench", Connect: idleAdapters(probes),
		})
		if err != nil {
			return nil, err
		}
		groups[i] = g
		running.Go(func() { _ = g.Run(ctx) })
	}
	return groups, nil
}

// countingDialer counts the bytes on the connections that it opens, without TCP and IP headers.
type countingDialer struct {
	net.Dialer
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	dialer *countingDialer
}

// DialContext opens a connection and counts its bytes in both directions.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, d}, nil
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

// costAndBytes calls f n times and returns the CPU time in microseconds and the bytes on the wire.
func (d *countingDialer) costAndBytes(n int, f func() error) ([]float64, error) {
	before := d.bytes.Load()
	cpu, err := cpuCost(func() error { return repeat(n, f) })
	return []float64{cpu, float64(d.bytes.Load() - before)}, err
}

func repeat(n int, f func() error) error {
	for range n {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// probeSetup returns a setUp that connects to a stand-in server; its run calls probe size times.
func probeSetup(probe func(*dbgroup.Client, context.Context) (authority.ServerState, error)) func(context.Context) (measureAtSize, func(), error) {
	return func(ctx context.Context) (measureAtSize, func(), error) {
		servers, err := database.StartGroup(database.GroupConfig{})
		if err != nil {
			return nil, noStop, err
		}
		dialer := &countingDialer{}
		client, err := dbgroup.NewClient(dbgroup.Config{
			Server: "s1", Address: servers.Server(0).Address(), User: "bench", Dial: dialer.DialContext,
		})
		if err != nil {
			return nil, servers.Close, err
		}
		stop := func() { client.Close(); servers.Close() }
		run := func(size int) ([]float64, error) {
			return dialer.costAndBytes(size, func() error { _, err := probe(client, ctx); return err })
		}
		return run, stop, nil
	}
}

// proberProbe measures probes over a persistent connection.
func proberProbe() measurement {
	return measurement{
		sizes: []int{1000, 2000, 4000},
		quantities: []quantity{
			{"prober.probe.cpu", "µs", "probe, both ends", "proxy/dbgroup"},
			{"prober.probe.bytes", "B", "probe, both directions", "proxy/dbgroup"},
		},
		setUp: probeSetup((*dbgroup.Client).Probe),
	}
}

// proberFreshProbe measures probes that each open a connection.
func proberFreshProbe() measurement {
	return measurement{
		sizes: []int{100, 200, 400},
		quantities: []quantity{
			{"prober.fresh.cpu", "µs", "probe with a new connection, both ends", "proxy/dbgroup"},
			{"prober.fresh.bytes", "B", "probe with a new connection, both directions", "proxy/dbgroup"},
		},
		setUp: probeSetup((*dbgroup.Client).ProbeFresh),
	}
}
