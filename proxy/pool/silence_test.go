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
	// deadline bounds every wait for an event.
	deadline = 20 * time.Second
	// stallTimeout is short, so that a statement of moderate length is asked about many times.
	stallTimeout = 40 * time.Millisecond
)

// silenceFixture is a pool that watches its connections to a stand-in server.
type silenceFixture struct {
	t             *testing.T
	server        *database.Server
	pool          *Pool
	queries       atomic.Int64 // questions to the server
	activeQueries atomic.Int64 // questions at present
	closedSilent  atomic.Int64 // connections closed as silent
	// failQueries makes questions fail.
	failQueries atomic.Bool
	// holdQueries, if set, keeps questions from being answered until it is closed.
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
		f.t.Error("two connections at a time ask one server")
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
		Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: deadline,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	l := c.(*pooledConn)
	if err := l.SetDeadline(time.Now().Add(deadline)); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// send sends a statement.
func (l *pooledConn) send(t *testing.T, sql string) {
	t.Helper()
	l.Frontend().Send(&pgproto3.Query{String: sql})
	if err := l.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
}

// receive takes an answer up to ReadyForQuery.
func (l *pooledConn) receive() error {
	for {
		m, err := l.Frontend().Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}

// Guards against a statement that waits for its timeout on a silent connection, whether its bytes or
// those of its answer are lost, and against idle connections that share the fault.
func TestSilentConnection(t *testing.T) {
	for _, lost := range []string{"answer", "statement"} {
		f := startSilenceFixture(t, database.Config{})
		l, idle := f.acquire(), f.acquire()
		idle.send(t, "SELECT 1")
		if err := idle.receive(); err != nil {
			t.Fatal(err)
		}
		idle.Release(true)
		if lost == "answer" {
			l.send(t, "SELECT pg_sleep(0.1)")
			f.awaitBusy(l)
		}
		f.server.SilenceConnections()
		if lost == "statement" {
			l.send(t, "SELECT 1")
		}
		if err := l.receive(); !errors.Is(err, errSilent) {
			t.Errorf("lost %s: error %v, want %v", lost, err, errSilent)
		}
		l.Release(false)
		next := f.acquire()
		next.send(t, "SELECT 1")
		if err := next.receive(); err != nil {
			t.Errorf("lost %s: statement on the next connection: %v", lost, err)
		}
		next.Release(true)
		if n := f.closedSilent.Load(); n != 1 {
			t.Errorf("lost %s: %d statements ended by silence, want 1", lost, n)
		}
	}
}

// Guards against sessions that a silent path leaves on the server, where they hold locks and take up
// all connections.
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
		t.Errorf("write to a row that the ended transaction had locked: %v", err)
	}
	if got := f.server.Rows()["a"]; got != "free" {
		t.Errorf("row holds %q, want %q", got, "free")
	}
}

// Guards against closing the connection of a statement that runs long, without or with bytes, of an
// answer that nobody reads for a while, and of an open transaction.
func TestBusyConnectionKept(t *testing.T) {
	const long = 10 * stallTimeout
	f := startSilenceFixture(t, database.Config{MaxConnections: 4})
	quiet, large, resting := f.acquire(), f.acquire(), f.acquire()
	resting.send(t, "BEGIN")
	if err := resting.receive(); err != nil {
		t.Fatal(err)
	}
	large.send(t, "SELECT repeat('x', 100000) FROM generate_series(1, 1000)")
	quiet.send(t, "SELECT pg_sleep(0.4)")
	if err := quiet.receive(); err != nil {
		t.Errorf("statement of %s without bytes: %v", long, err)
	}
	if err := large.receive(); err != nil {
		t.Errorf("answer that was not read for %s: %v", long, err)
	}
	resting.send(t, "COMMIT")
	if err := resting.receive(); err != nil {
		t.Errorf("transaction at rest for %s: %v", long, err)
	}
	if f.queries.Load() < 2 {
		t.Errorf("the server was asked %d times during %s, want several times", f.queries.Load(), long)
	}
	if n := f.closedSilent.Load(); n > 0 {
		t.Errorf("%d connections closed as silent", n)
	}
}

// Guards against closing connections because the question fails: a server that can't be asked may
// still execute the statement.
func TestSessionQueryFails(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	f.failQueries.Store(true)
	l := f.acquire()
	f.server.SilenceConnections()
	l.send(t, "SELECT 1")
	ended := make(chan error, 1)
	go func() { ended <- l.receive() }()
	f.await("several questions", func() bool { return f.queries.Load() >= 3 })
	if n := f.closedSilent.Load(); n > 0 {
		t.Errorf("%d connections closed although no question was answered", n)
	}
	f.failQueries.Store(false)
	if err := <-ended; !errors.Is(err, errSilent) {
		t.Errorf("error %v, want %v", err, errSilent)
	}
}

// Guards against a slow server that gets more and more questions.
func TestOneSessionQueryAtATime(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	f.holdQueries = make(chan struct{})
	l := f.acquire()
	l.send(t, "SELECT pg_sleep(0.4)") // many looks at the connection
	if err := l.receive(); err != nil {
		t.Error(err)
	}
	if n := f.queries.Load(); n != 1 {
		t.Errorf("%d questions while the first was not answered, want 1", n)
	}
	close(f.holdQueries)
}

// Guards against an answer that stops in its middle: the server waits to send it, the pool to
// receive it, and neither ends.
func TestResponseStallsMidway(t *testing.T) {
	f := startSilenceFixture(t, database.Config{})
	path, err := link.Start(f.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	f.pool.SetServers([]manifest.Server{{ID: "s1", Address: path.Address(), Slots: 8, MaxConnections: 8}})
	l := f.acquire()
	l.send(t, "SELECT repeat('x', 100000) FROM generate_series(1, 1000)")
	if _, err := l.Frontend().Receive(); err != nil {
		t.Fatal(err)
	}
	path.Stall(link.Answers)
	if err := l.receive(); !errors.Is(err, errSilent) {
		t.Errorf("error %v, want %v", err, errSilent)
	}
}

// awaitBusy waits until the server executes the statement of l.
func (f *silenceFixture) awaitBusy(l *pooledConn) {
	f.t.Helper()
	f.await("execution", func() bool {
		got, err := executing(f.t.Context(), f.server.Address(), []dbgroup.Session{l.upstream.session()})
		return err == nil && got[l.upstream.session()]
	})
}

func (f *silenceFixture) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(deadline); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %s", what, deadline)
		}
	}
}
