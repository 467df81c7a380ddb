package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/link"
)

const (
	// fixtureTimeout bounds every wait of the tests that use silenceFixture.
	fixtureTimeout = 20 * time.Second
	// stallTimeout is short, so that a statement of moderate duration is queried many times.
	stallTimeout = 40 * time.Millisecond
)

// silenceFixture is a pool that detects silent connections to a stand-in server.
type silenceFixture struct {
	t             *testing.T
	server        *database.Server
	pool          *Pool
	queries       atomic.Int64 // session queries sent to the server
	activeQueries atomic.Int64 // session queries in progress
	closedSilent  atomic.Int64 // connections closed as silent
	// failQueries makes session queries fail.
	failQueries atomic.Bool
	// holdQueries, if set, blocks session queries until it is closed.
	holdQueries chan struct{}
}

func startSilenceFixture(t *testing.T, c database.Config) *silenceFixture {
	t.Helper()
	c.ID, c.Primary = "s1", true
	server, err := database.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	f := &silenceFixture{t: t, server: server}
	f.pool = New(Config{
		StallTimeout:    stallTimeout,
		ResponseGrace:   stallTimeout,
		ReadIncarnation: func(context.Context, *pgconn.PgConn) (uint64, error) { return 1, nil },
		Executing:       f.executing,
		Terminate:       terminate,
		OnSilent:        func(string, uint32) { f.closedSilent.Add(1) },
	})
	f.pool.SetServers([]manifest.Server{{ID: "s1", Address: server.Address(), Slots: 8, MaxConnections: 8}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.pool.Run(ctx)
	return f
}

func (f *silenceFixture) executing(ctx context.Context, address string, sessions []dbgroup.Session) (map[dbgroup.Session]bool, error) {
	f.queries.Add(1)
	if f.activeQueries.Add(1) > 1 {
		f.t.Error("two concurrent session queries to one server, want one")
	}
	defer f.activeQueries.Add(-1)
	if f.holdQueries != nil {
		<-f.holdQueries
	}
	if f.failQueries.Load() {
		return nil, errors.New("no connection")
	}
	return executing(ctx, address, sessions)
}

func terminate(ctx context.Context, address string, sessions []dbgroup.Session) error {
	client, err := dbgroup.NewClient(dbgroup.Config{Address: address})
	if err != nil {
		return err
	}
	return client.Terminate(ctx, sessions)
}

func executing(ctx context.Context, address string, sessions []dbgroup.Session) (map[dbgroup.Session]bool, error) {
	client, err := dbgroup.NewClient(dbgroup.Config{Address: address})
	if err != nil {
		return nil, err
	}
	return client.Executing(ctx, sessions)
}

func (f *silenceFixture) acquire() *pooledConn {
	f.t.Helper()
	c, err := f.pool.Acquire(f.t.Context(), engine.AcquireRequest{
		Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: fixtureTimeout,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	conn := c.(*pooledConn)
	if err := conn.SetDeadline(time.Now().Add(fixtureTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// send sends a statement.
func (c *pooledConn) send(t *testing.T, sql string) {
	t.Helper()
	c.Frontend().Send(&pgproto3.Query{String: sql})
	if err := c.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
}

// receive receives a response up to ReadyForQuery.
func (c *pooledConn) receive() error {
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

// Guards against a statement that waits for its timeout on a silent connection, whether its own bytes or
// those of its response are lost, and against use of idle connections that are affected too.
func TestSilentConnection(t *testing.T) {
	for _, lost := range []string{"answer", "statement"} {
		f := startSilenceFixture(t, database.Config{})
		c, idle := f.acquire(), f.acquire()
		idle.send(t, "SELECT 1")
		if err := idle.receive(); err != nil {
			t.Fatal(err)
		}
		idle.Release(true)
		if lost == "answer" {
			c.send(t, "SELECT pg_sleep(0.1)")
			f.awaitBusy(c)
		}
		f.server.SilenceConnections()
		if lost == "statement" {
			c.send(t, "SELECT 1")
		}
		if err := c.receive(); !errors.Is(err, errSilent) {
			t.Errorf("lost %s: error %v, want %v", lost, err, errSilent)
		}
		c.Release(false)
		next := f.acquire()
		next.send(t, "SELECT 1")
		if err := next.receive(); err != nil {
			t.Errorf("lost %s: statement on the next connection: %v", lost, err)
		}
		next.Release(true)
		if n := f.closedSilent.Load(); n != 1 {
			t.Errorf("lost %s: %d connections closed as silent, want 1", lost, n)
		}
	}
}

// Guards against sessions that stay on the server after their path went silent, where they hold locks and
// use up all connections.
func TestSilentSessionsEnd(t *testing.T) {
	f := startSilenceFixture(t, database.Config{MaxConnections: 2})
	path, err := link.Start(f.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	f.pool.SetServers([]manifest.Server{{ID: "s1", Address: path.Address(), Slots: 8, MaxConnections: 2}})
	holder, idle := f.acquire(), f.acquire()
	for _, sql := range []string{"BEGIN", "INSERT INTO kv VALUES ('a', 'held')"} {
		holder.send(t, sql)
		if err := holder.receive(); err != nil {
			t.Fatal(err)
		}
	}
	idle.Release(true)
	path.Silence()
	holder.send(t, "COMMIT")
	if err := holder.receive(); !errors.Is(err, errSilent) {
		t.Errorf("error %v, want %v", err, errSilent)
	}
	holder.Release(false)
	f.await("end of both sessions", func() bool { return f.server.Clients() == 0 })
	next := f.acquire()
	next.send(t, "INSERT INTO kv VALUES ('a', 'free')")
	if err := next.receive(); err != nil {
		t.Errorf("write to a row that the terminated transaction had locked: %v", err)
	}
	if got := f.server.Rows()["a"]; got != "free" {
		t.Errorf("row holds %q, want %q", got, "free")
	}
}

// Guards against closing a connection as silent while its statement runs long, while its response is not
// read for some time, or while its transaction is idle.
func TestBusyConnectionKept(t *testing.T) {
	const long = 10 * stallTimeout
	f := startSilenceFixture(t, database.Config{MaxConnections: 4})
	running, large, idleTx := f.acquire(), f.acquire(), f.acquire()
	idleTx.send(t, "BEGIN")
	if err := idleTx.receive(); err != nil {
		t.Fatal(err)
	}
	large.send(t, "SELECT repeat('x', 100000) FROM generate_series(1, 1000)")
	running.send(t, "SELECT pg_sleep(0.4)")
	if err := running.receive(); err != nil {
		t.Errorf("statement that ran for %s without sending bytes: %v", long, err)
	}
	if err := large.receive(); err != nil {
		t.Errorf("response that was not read for %s: %v", long, err)
	}
	idleTx.send(t, "COMMIT")
	if err := idleTx.receive(); err != nil {
		t.Errorf("transaction that was idle for %s: %v", long, err)
	}
	if f.queries.Load() < 2 {
		t.Errorf("%d session queries during %s, want several", f.queries.Load(), long)
	}
	if n := f.closedSilent.Load(); n > 0 {
		t.Errorf("%d connections closed as silent, want none", n)
	}
}

// Guards against closing connections because the session query fails: a server that can't be queried may
// still execute the statement.
func TestSessionQueryFails(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	f.failQueries.Store(true)
	c := f.acquire()
	f.server.SilenceConnections()
	c.send(t, "SELECT 1")
	ended := make(chan error, 1)
	go func() { ended <- c.receive() }()
	f.await("several session queries", func() bool { return f.queries.Load() >= 3 })
	if n := f.closedSilent.Load(); n > 0 {
		t.Errorf("%d connections closed although all session queries failed, want none", n)
	}
	f.failQueries.Store(false)
	if err := <-ended; !errors.Is(err, errSilent) {
		t.Errorf("error %v, want %v", err, errSilent)
	}
}

// Guards against session queries that pile up at a slow server.
func TestOneSessionQueryAtATime(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	f.holdQueries = make(chan struct{})
	c := f.acquire()
	c.send(t, "SELECT pg_sleep(0.4)") // the connection is checked many times meanwhile
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	if n := f.queries.Load(); n != 1 {
		t.Errorf("%d session queries while the first was in progress, want 1", n)
	}
	close(f.holdQueries)
}

// Guards against a response that stalls midway: the server waits to send the rest and the pool to receive
// it, without end.
func TestResponseStallsMidway(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	path, err := link.Start(f.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	f.pool.SetServers([]manifest.Server{{ID: "s1", Address: path.Address(), Slots: 8, MaxConnections: 8}})
	c := f.acquire()
	c.send(t, "SELECT repeat('x', 100000) FROM generate_series(1, 1000)")
	if _, err := c.Frontend().Receive(); err != nil {
		t.Fatal(err)
	}
	path.Stall(link.Responses)
	if err := c.receive(); !errors.Is(err, errSilent) {
		t.Errorf("error %v, want %v", err, errSilent)
	}
}

// awaitBusy waits until the server executes the statement sent on c.
func (f *silenceFixture) awaitBusy(c *pooledConn) {
	f.t.Helper()
	f.await("execution", func() bool {
		got, err := executing(f.t.Context(), f.server.Address(), []dbgroup.Session{c.upstream.session()})
		return err == nil && got[c.upstream.session()]
	})
}

func (f *silenceFixture) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(fixtureTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %s", what, fixtureTimeout)
		}
	}
}
