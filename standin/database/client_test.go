package database

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// Guards against a control client that fails because its idle connection was closed in the meantime.
func TestClientReconnects(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	c := newControlClient(t, g, 1)
	for want := uint64(1); want <= 3; want++ {
		state, err := c.Probe(ctx)
		if err != nil || state.Incarnation != want {
			t.Fatalf("incarnation %d, want %d, error %v", state.Incarnation, want, err)
		}
		if err := g.Restart(1); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a control call that outlives its context, or that blocks later calls.
func TestClientHonoursContext(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	c := newControlClient(t, g, 1)
	if _, err := c.Probe(ctx); err != nil {
		t.Fatal(err)
	}
	g.Pause(1)
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := c.Probe(shortCtx); err == nil {
		t.Error("probe of a paused server succeeded, want a timeout")
	}
	if _, err := c.ProbeFresh(shortCtx); err == nil {
		t.Error("fresh probe of a paused server succeeded, want a timeout")
	}
	g.Resume(1)
	if _, err := c.Probe(ctx); err != nil {
		t.Errorf("probe after the pause: %v", err)
	}
}

// Guards against replication that hangs on a silent link or doesn't recover afterwards.
func TestSilentReplicationLink(t *testing.T) {
	relays := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard))
	links := make(map[authority.ServerID]*toxiproxy.Proxy)
	g := startGroup(t, GroupConfig{PeerAddress: func(from, to authority.ServerID, address string) string {
		if to != "s1" {
			return address
		}
		link := toxiproxy.NewProxy(relays, string(from), "127.0.0.1:0", address)
		if err := link.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Stop)
		links[from] = link
		return link.Listen
	}})
	write(t, g.Server(0), "a")
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 1})
	toxic, err := links["s3"].Toxics.AddToxicJson(strings.NewReader(silenceToxic))
	if err != nil {
		t.Fatal(err)
	}
	write(t, g.Server(0), "b")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 2})
	waitFor(t, "s3 has lost contact with its primary", func() bool { return g.Server(2).State().PrimaryContactAge > 10*peerProbeInterval })
	if lsn := g.Server(2).State().LSN; lsn != 1 {
		t.Errorf("LSN %d, want 1: nothing is replicated over a silent link", lsn)
	}
	if err := links["s3"].Toxics.RemoveToxic(context.Background(), toxic.Name); err != nil {
		t.Fatal(err)
	}
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 2})
}

// silenceToxic is a toxic that discards all data and keeps the connection open.
const silenceToxic = `{"name":"silence","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`

// Guards against a journal that is unreadable after its process was killed during a write.
func TestIncompleteJournalLine(t *testing.T) {
	dir := t.TempDir()
	config := Config{ID: "s1", Primary: true, DataDir: dir}
	s, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	write(t, s, "a")
	s.Kill()
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(`{"record":{"lsn":2,`); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	for want := uint64(1); want <= 2; want++ {
		s, err := Start(config)
		if err != nil {
			t.Fatal(err)
		}
		if lsn := s.State().LSN; lsn != want {
			t.Errorf("LSN %d, want %d", lsn, want)
		}
		write(t, s, time.Now().String())
		s.Kill()
	}
}

// Guards against a server that doesn't report the incarnation of a connection to the client, or that
// ignores the connection cost.
func TestStartUpReportsIncarnationAfterConnectCost(t *testing.T) {
	const cost = 20 * time.Millisecond
	s := startServer(t, Config{ConnectCost: cost})
	start := time.Now()
	conn := mustConnect(t, s)
	if d := time.Since(start); d < cost {
		t.Errorf("connected after %s, want at least the connection cost of %s", d, cost)
	}
	if got := conn.PgConn().ParameterStatus(IncarnationParameter); got != "1" {
		t.Errorf("incarnation %q, want 1", got)
	}
}

// Guards against a client that keeps using a silenced connection while new ones work.
func TestSilentConnections(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{})
	conn := mustConnect(t, s)
	c, err := dbgroup.NewClient(dbgroup.Config{Server: "s1", Address: s.Address(), User: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Probe(ctx); err != nil {
		t.Fatal(err)
	}
	s.SilenceConnections()
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := c.Probe(shortCtx); err == nil {
		t.Error("probe over a silenced control connection succeeded, want a timeout")
	}
	if _, err := conn.Exec(shortCtx, "INSERT INTO kv VALUES ('a', 'b')"); err == nil {
		t.Error("statement over a silenced connection succeeded, want a timeout")
	}
	if _, err := c.Probe(ctx); err != nil {
		t.Errorf("probe over a new connection: %v", err)
	}
	if rows := s.Rows(); len(rows) != 0 {
		t.Errorf("rows %v, want none: the write was sent over a silenced connection", rows)
	}
	write(t, s, "a")
}

// Guards against sessions reported in a wrong state, which would make a proxy close a connection whose
// statement is running, or wait for a statement that never arrived.
func TestActivity(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{MaxConnections: 1})
	c, err := dbgroup.NewClient(dbgroup.Config{Server: "s1", Address: s.Address(), User: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	conn := mustConnect(t, s)
	pid := conn.PgConn().PID()
	expect := func(state, waitEvent string, executing bool) {
		t.Helper()
		// Sending any response also shows briefly as ClientWrite.
		waitFor(t, "state "+state+" "+waitEvent, func() bool {
			gotState, gotEvent, ok := s.sessionActivity(pid)
			session, other := dbgroup.Session{Incarnation: 1, PID: pid}, dbgroup.Session{Incarnation: 2, PID: pid}
			got, err := c.Executing(ctx, []dbgroup.Session{session, other})
			if err != nil || got[other] {
				t.Fatalf("executing sessions %v, error %v; want no error and no session of incarnation 2", got, err)
			}
			return ok && gotState == state && gotEvent == waitEvent && got[session] == executing
		})
	}
	expect("idle", "", false)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(3600)")
		done <- err
	}()
	expect("active", "", true)
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wantCode(t, <-done, "57014")
	for _, step := range []struct{ sql, state string }{
		{"BEGIN", "idle in transaction"},
		{"no statement", "idle in transaction (aborted)"},
		{"ROLLBACK", "idle"},
	} {
		_, _ = conn.Exec(ctx, step.sql)
		expect(step.state, "", false)
	}
	rows, err := conn.Query(ctx, "SELECT repeat('x', 1000000) FROM generate_series(1, 1000)")
	if err != nil {
		t.Fatal(err)
	}
	expect("active", "ClientWrite", false)
	_ = conn.PgConn().Conn().Close()
	rows.Close()
	waitFor(t, "end of the session", func() bool { _, _, ok := s.sessionActivity(pid); return !ok })
}

// Guards against sessions that can't be terminated and keep their locks, and against terminating a
// session of another incarnation with the same process ID.
func TestTerminate(t *testing.T) {
	ctx := testContext(t)
	s := startServer(t, Config{})
	c, err := dbgroup.NewClient(dbgroup.Config{Server: "s1", Address: s.Address(), User: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	holder, next := mustConnect(t, s), mustConnect(t, s)
	for _, sql := range []string{"BEGIN", "INSERT INTO kv VALUES ('a', 'held')"} {
		if _, err := holder.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	pid := holder.PgConn().PID()
	if err := c.Terminate(ctx, []dbgroup.Session{{Incarnation: 2, PID: pid}}); err != nil {
		t.Fatal(err)
	}
	if _, err := holder.Exec(ctx, "SELECT 1"); err != nil {
		t.Errorf("statement after terminating a session of another incarnation: %v", err)
	}
	if err := c.Terminate(ctx, []dbgroup.Session{{Incarnation: 1, PID: pid}, {Incarnation: 1, PID: pid + 1000}}); err != nil {
		t.Fatal(err)
	}
	if _, err := next.Exec(ctx, "INSERT INTO kv VALUES ('a', 'free')"); err != nil {
		t.Errorf("write to a row that the terminated session had locked: %v", err)
	}
}

// Guards against a running server that ignores changes of its service time and replication lag.
func TestServiceTimeAndLagChangeAtRunTime(t *testing.T) {
	const slow = 30 * time.Millisecond
	g := startGroup(t, GroupConfig{})
	g.Server(0).SetServiceTime(slow)
	g.Server(1).SetReplicationLag(2 * slow)
	conn := mustConnect(t, g.Server(0))
	start := time.Now()
	if _, err := conn.Exec(testContext(t), "INSERT INTO kv VALUES ('a', 'b')"); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(start); d < slow {
		t.Errorf("executed after %s, want at least the service time of %s", d, slow)
	}
	committed := time.Unix(0, g.Server(0).state.log[0].Time)
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
	if d := time.Since(committed); d < 2*slow {
		t.Errorf("replicated after %s, want at least the lag of %s", d, 2*slow)
	}
}
