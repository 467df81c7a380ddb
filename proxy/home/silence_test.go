package home

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/pool"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/link"
)

const (
	// fixtureTimeout bounds every wait of the tests that use silenceFixture.
	fixtureTimeout = 20 * time.Second
	// period is the interval between Alive messages in these tests.
	period = 100 * time.Millisecond
)

// silenceFixture is a home instance with a stand-in server, reached through a link that can fail.
type silenceFixture struct {
	t      *testing.T
	link   *link.Link
	home   *Server
	client *Client
}

func startSilenceFixture(t *testing.T) *silenceFixture {
	t.Helper()
	f := &silenceFixture{t: t}
	address := startHome(t, 1, func(local engine.Pool) *Server {
		f.home = NewServer(local)
		f.home.period = period
		return f.home
	})
	path, err := link.Start(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	f.link = path
	calls := peer.NewClient(peer.ClientConfig{})
	t.Cleanup(func() { _ = calls.Close() })
	f.client = NewClient(calls)
	f.client.period = period
	return f
}

// startHome runs a stand-in server with slots slots and as many connections, and its home. It returns the
// home's address.
func startHome(t testing.TB, slots int, newServer func(engine.Pool) *Server) string {
	t.Helper()
	server, err := database.Start(database.Config{ID: "s1", Primary: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	local := pool.New(pool.Config{ReadIncarnation: func(context.Context, *pgconn.PgConn) (uint64, error) { return 1, nil }})
	local.SetServers([]manifest.Server{{ID: "s1", Address: server.Address(), Slots: slots, MaxConnections: slots}})
	return serveHome(t, newServer(local))
}

// serveHome runs the service and returns its address.
func serveHome(t testing.TB, service *Server) string {
	t.Helper()
	mux := drpcmux.New()
	if err := homepb.DRPCRegisterHomes(mux, service); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	return listener.Addr().String()
}

func (f *silenceFixture) request(timeout time.Duration) (engine.Conn, error) {
	return f.client.Acquire(f.t.Context(), f.link.Address(), engine.AcquireRequest{
		Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: timeout,
	})
}

// tryAcquire acquires and releases a connection, or returns the error.
func (f *silenceFixture) tryAcquire(timeout time.Duration) error {
	c, err := f.request(timeout)
	if err == nil {
		c.Release(true)
	}
	return err
}

func (f *silenceFixture) acquire() engine.Conn {
	f.t.Helper()
	c, err := f.request(fixtureTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(fixtureTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// run sends a statement and receives its response up to ReadyForQuery.
func run(c engine.Conn, sql string) error {
	c.Frontend().Send(&pgproto3.Query{String: sql})
	if err := c.Frontend().Flush(); err != nil {
		return err
	}
	return receiveResponse(c)
}

func receiveResponse(c engine.Conn) error {
	for {
		m, err := c.Frontend().Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}

// Guards against three faults when packets of a stream are lost in either direction: the borrower waits
// for its statement timeout; the home keeps the only slot for a borrower that it no longer receives from;
// later checkouts use connections that are affected too.
func TestSilentStream(t *testing.T) {
	for name, directions := range map[string][]link.Direction{
		"answers":  {link.Responses},
		"requests": {link.Requests},
		"both":     {link.Responses, link.Requests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startSilenceFixture(t)
			c := f.acquire()
			if err := run(c, "BEGIN"); err != nil {
				t.Fatal(err)
			}
			f.link.Silence(directions...)
			if err := run(c, "SELECT 1"); !errors.Is(err, errSilent) {
				t.Errorf("error %v, want %v", err, errSilent)
			}
			c.Release(false)
			next := f.acquire()
			if err := run(next, "SELECT 1"); err != nil {
				t.Errorf("statement of the next checkout: %v", err)
			}
			next.Release(true)
		})
	}
}

// Guards against closing a stream as silent because its statement takes long, its transaction is idle, or
// its pipeline is larger than drpc's message limit.
func TestInactiveStreamIsKept(t *testing.T) {
	f := startSilenceFixture(t)
	c := f.acquire()
	for _, sql := range []string{
		"BEGIN",
		"SELECT pg_sleep(1.5)",
		"INSERT INTO kv VALUES ('large', '" + strings.Repeat("x", 6<<20) + "')",
		"SELECT value FROM kv WHERE key = 'large'",
	} {
		if err := run(c, sql); err != nil {
			t.Fatalf("%.30s: %v", sql, err)
		}
	}
	time.Sleep(2 * homeMaxMissed * period) // the transaction is idle
	if err := run(c, "COMMIT"); err != nil {
		t.Errorf("COMMIT: %v", err)
	}
	c.Release(true)
}

// Guards against a stopping home that aborts the transactions of other instances, or that accepts further
// checkouts.
func TestDrain(t *testing.T) {
	f := startSilenceFixture(t)
	c := f.acquire()
	if err := run(c, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	drained := make(chan struct{})
	f.home.Leave()
	go func() {
		if err := f.home.Drain(t.Context(), fixtureTimeout); err != nil {
			t.Error(err)
		}
		close(drained)
	}()
	var unreachable *unreachableError
	for !errors.As(f.tryAcquire(period), &unreachable) {
		if t.Context().Err() != nil {
			t.Fatal("checkouts are not refused with unreachableError while the home stops")
		}
	}
	if err := run(c, "COMMIT"); err != nil {
		t.Errorf("COMMIT while the home stops: %v", err)
	}
	select {
	case <-drained:
		t.Error("drained while a connection is checked out")
	default:
	}
	c.Release(true)
	select {
	case <-drained:
	case <-time.After(fixtureTimeout):
		t.Error("not drained although no connection is checked out")
	}
}

// Guards against reporting silence after too few missed periods, or not at all when the path fails.
func TestKeepalive(t *testing.T) {
	silent := make(chan struct{})
	k := &keepalive{period: time.Hour, maxMissed: 2, send: func() error { return nil }, onSilent: func() { close(silent) }}
	k.start()
	defer k.stop()
	ticks := func(n int) {
		for range n {
			k.tick()
		}
	}
	ticks(9) // not receiving: no period counts as missed
	k.receiving.Store(true)
	ticks(2)
	k.progress.Add(1)
	ticks(3)
	select {
	case <-silent:
		t.Fatal("silent after 2 missed periods, want more than 2")
	default:
	}
	ticks(1)
	select {
	case <-silent:
	case <-time.After(fixtureTimeout):
		t.Error("not silent after 3 missed periods")
	}
}

// Guards against a failed write that is reported as 0 bytes written: its data may have reached the home,
// so a statement that runs would be reported as not run.
func TestFailedWriteIsNotSafeToRetry(t *testing.T) {
	f := startSilenceFixture(t)
	c := f.acquire()
	f.link.Close()
	var err error
	for err == nil {
		c.Frontend().SendQuery(&pgproto3.Query{String: string(bytes.Repeat([]byte("x"), chunkBytes))})
		err = c.Frontend().Flush()
	}
	var safe interface{ SafeToRetry() bool }
	if errors.As(err, &safe) && safe.SafeToRetry() {
		t.Errorf("write that failed with %v is safe to retry, want not safe", err)
	}
	c.Release(false)
}

// Guards against a statement that waits for the operating system's connect timeout when packets to its
// home are dropped.
func TestConnectToUnreachableHomeTimesOut(t *testing.T) {
	calls := peer.NewClient(peer.ClientConfig{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	t.Cleanup(func() { _ = calls.Close() })
	started := time.Now()
	_, err := NewClient(calls).Acquire(t.Context(), "127.0.0.1:1", engine.AcquireRequest{Timeout: time.Millisecond})
	var unreachable *unreachableError
	if !errors.As(err, &unreachable) || !outcome.Is(err, outcome.NotRun) {
		t.Errorf("error %v, want an unreachableError with outcome not run", err)
	}
	if took := time.Since(started); took > 3*connectTimeout {
		t.Errorf("failed after %s, want about %s", took, connectTimeout)
	}
}
