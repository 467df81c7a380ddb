package group

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// freshClient probes over a new connection each time.
type freshClient struct{ *dbgroup.Client }

func (f freshClient) Probe(ctx context.Context) (authority.ServerState, error) {
	return f.ProbeFresh(ctx)
}

// startStandIn starts a group of stand-in servers and the given number of Groups that manage it.
func startStandIn(t testing.TB, lag time.Duration, instances int, change ...func(*Config)) (*database.Group, []*Group, context.Context) {
	t.Helper()
	d, err := database.StartGroup(database.GroupConfig{Server: database.Config{ReplicationLag: lag}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*deadline)
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
		d.Close()
	})
	var views []*Group
	for i := range instances {
		cfg := Config{Database: "db", Servers: standInServers(d), Instance: fmt.Sprintf("i%d", i), Connect: connectStandIn(t)}
		for _, f := range change {
			f(&cfg)
		}
		g, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { _ = g.Run(ctx) })
		views = append(views, g)
	}
	return d, views, ctx
}

// coverPrimary configures a Group for tests that acknowledge in primary mode.
func coverPrimary(c *Config) { c.CoverPrimary = true }

func standInServers(d *database.Group) []manifest.Server {
	var out []manifest.Server
	for i := range d.Size() {
		id := authority.ServerID(fmt.Sprintf("s%d", i+1))
		out = append(out, manifest.Server{ID: string(id), Address: d.Addresses()[id]})
	}
	return out
}

func connectStandIn(t testing.TB) func(manifest.Server) Adapter {
	return func(s manifest.Server) Adapter {
		c, err := dbgroup.NewClient(dbgroup.Config{Server: authority.ServerID(s.ID), Address: s.Address, User: "proxy"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return Adapter{Persistent: c, Fresh: freshClient{c}}
	}
}

// writer writes over one connection to the current primary.
type writer struct {
	g    *Group
	conn *pgconn.PgConn
	to   engine.Target
}

func (w *writer) write(ctx context.Context, n int) error {
	to, err := w.g.Primary(ctx)
	if err != nil {
		return err
	}
	if w.conn == nil || w.conn.IsClosed() || to.Address != w.to.Address {
		if err := w.connect(ctx, to); err != nil {
			w.g.ReportFailure(to, err)
			return err
		}
	}
	w.to = to
	args := [][]byte{[]byte("k"), []byte(strconv.Itoa(n))}
	const statement = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value"
	if err := w.conn.ExecParams(ctx, statement, args, nil, nil, nil).Read().Err; err != nil {
		w.g.ReportFailure(to, err)
		return err
	}
	return nil
}

func (w *writer) connect(ctx context.Context, to engine.Target) error {
	w.close()
	conf, err := dbgroup.ConnConfig(dbgroup.Config{Address: to.Address, User: "writer"})
	if err != nil {
		return err
	}
	w.conn, err = pgconn.ConnectConfig(ctx, conf)
	return err
}

func (w *writer) close() {
	if w.conn != nil {
		_ = w.conn.Close(context.Background())
	}
}

// writeOnce writes and, if mode is set, confirms the write, all within one second.
func (w *writer) writeOnce(ctx context.Context, n int, mode manifest.Acknowledge) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := w.write(ctx, n); err != nil || mode == "" {
		return err
	}
	_, err := w.g.Confirm(ctx, w.to, mode)
	return err
}

// BenchmarkConfirm measures acknowledged writes by mode, replication lag and number of writers, which
// share the probe rounds. Mode none is a write without confirmation.
func BenchmarkConfirm(b *testing.B) {
	for _, lag := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, mode := range []manifest.Acknowledge{"", manifest.AcknowledgePrimary, manifest.AcknowledgeMajority} {
			for _, writers := range []int{1, 16} {
				name := fmt.Sprintf("lag=%v/mode=%s/writers=%d", lag, modeName(mode), writers)
				b.Run(name, func(b *testing.B) { benchmarkConfirm(b, lag, mode, writers) })
			}
		}
	}
}

func modeName(mode manifest.Acknowledge) string {
	if mode == "" {
		return "none"
	}
	return string(mode)
}

func benchmarkConfirm(b *testing.B, lag time.Duration, mode manifest.Acknowledge, writers int) {
	_, views, ctx := startStandIn(b, lag, 1, func(c *Config) { c.CoverPrimary = mode == manifest.AcknowledgePrimary })
	took := make([][]time.Duration, writers)
	var running sync.WaitGroup
	b.ResetTimer()
	for i := range writers {
		running.Go(func() {
			w := &writer{g: views[0]}
			defer w.close()
			for n := i; n < b.N; n += writers {
				start := time.Now()
				if err := w.writeOnce(ctx, n, mode); err != nil {
					b.Error(err)
				}
				took[i] = append(took[i], time.Since(start))
			}
		})
	}
	running.Wait()
	all := slices.Concat(took...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// Guards the target that confirmed writes resume within 3 s after the primary's process has ended or
// its host stopped responding, with instances that compete for the promotion. A second crash soon
// after a promotion must not be delayed by damping, because refused connections prove it.
func TestWriteGap(t *testing.T) {
	crash := func(d *database.Group, i int) { d.Kill(i) }
	silent := func(d *database.Group, i int) { d.Pause(i) }
	for name, faults := range map[string][]func(*database.Group, int){
		"crash": {crash}, "silent": {silent}, "crash after crash": {crash, crash},
	} {
		t.Run(name, func(t *testing.T) {
			d, views, ctx := startStandIn(t, time.Millisecond, 3)
			w := &writer{g: views[0]}
			defer w.close()
			for _, fault := range faults {
				confirmOne(t, ctx, w)
				waitForReplicas(t, ctx, d)
				i := serverIndex(w.to.Server)
				start := time.Now()
				fault(d, i)
				confirmOne(t, ctx, w)
				gap := time.Since(start)
				t.Logf("write gap %v", gap)
				if gap > 3*time.Second {
					t.Errorf("write gap %v, want under 3 s", gap)
				}
				d.Resume(i)
				if err := d.Restart(i); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

func serverIndex(id authority.ServerID) int {
	return int(id[len(id)-1] - '1')
}

// waitForReplicas waits until all servers are in the same term.
func waitForReplicas(t *testing.T, ctx context.Context, d *database.Group) {
	t.Helper()
	for d.Server(0).State().Term != d.Server(1).State().Term || d.Server(1).State().Term != d.Server(2).State().Term {
		if ctx.Err() != nil {
			t.Fatal("servers are not in the same term, want one term")
		}
		time.Sleep(time.Millisecond)
	}
}

// confirmOne repeats a write until it is confirmed.
func confirmOne(t *testing.T, ctx context.Context, w *writer) {
	t.Helper()
	for n := 0; w.writeOnce(ctx, n, manifest.AcknowledgeMajority) != nil; n++ {
		if ctx.Err() != nil {
			t.Fatal("no write was confirmed")
		}
	}
}
