package home

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/standin/link"
)

// acquireDeferred acquires a connection whose first statement is sent with the request for it.
func acquireDeferred(t testing.TB, client *Client, address string, r engine.AcquireRequest) engine.Conn {
	t.Helper()
	r.Deferred, r.SingleExchange = true, true
	c, err := client.Acquire(t.Context(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// acquireDeferredCounting is acquireDeferred that also counts the reported failures of the home.
func acquireDeferredCounting(t *testing.T, address string) (c engine.Conn, failures *atomic.Int64) {
	t.Helper()
	failures = new(atomic.Int64)
	r := request()
	r.Deferred, r.SingleExchange = true, true
	c, err := newClient(t).acquire(t.Context(), address, r, func() { failures.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	return c, failures
}

// sendQuery sends a statement without waiting for the response.
func sendQuery(t testing.TB, c engine.Conn, sql string) {
	t.Helper()
	c.Frontend().SendQuery(&pgproto3.Query{String: sql})
	if err := c.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
}

// receiveAtServer receives the first message at the server and returns the server's end.
func (i *instance) receiveAtServer(t *testing.T) *pgproto3.Backend {
	t.Helper()
	serverSide := receive(t, "connection", i.pool.servers)
	server := pgproto3.NewBackend(serverSide, serverSide)
	if _, err := server.Receive(); err != nil {
		t.Fatal(err)
	}
	return server
}

func respondWith(t testing.TB, server *pgproto3.Backend, messages ...pgproto3.BackendMessage) {
	t.Helper()
	for _, m := range messages {
		server.Send(m)
	}
	if err := server.Flush(); err != nil {
		t.Fatal(err)
	}
}

func refusalOf(err error) *engine.RefusedError {
	var refused *engine.RefusedError
	errors.As(err, &refused)
	return refused
}

// Guards against three faults: a refusal is reported as an unknown outcome although the statement never
// left the home; a refusal loses its code or its retry delay; a leaving home is not reported as failed and
// is tried again.
func TestDeferredRefusals(t *testing.T) {
	full := outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, "full", "wait").WithRetryAfter(7 * time.Millisecond)
	for name, test := range map[string]struct {
		prepare func(*instance)
		during  func(context.Context, engine.Conn) error // while the statement is queued
		code    string
		retry   time.Duration
		moved   bool
	}{
		"full queue":   {prepare: func(i *instance) { i.pool.refusal = full }, code: full.Code, retry: full.RetryAfter},
		"leaving home": {prepare: (*instance).Leave, code: outcome.CodeCannotConnectNow, moved: true},
		"cancel request in the queue": {
			prepare: func(i *instance) { i.pool.block, i.pool.refusal = true, full },
			during:  func(ctx context.Context, c engine.Conn) error { return c.Cancel(ctx) },
			code:    outcome.CodeQueryCanceled,
		},
		"use ended in the queue": {
			prepare: func(i *instance) { i.pool.block, i.pool.refusal = true, full },
			during:  func(_ context.Context, c engine.Conn) error { return c.SetDeadline(pastDeadline) },
			code:    outcome.CodeQueryCanceled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := serve(t)
			test.prepare(i)
			c, failures := acquireDeferredCounting(t, i.address)
			sendQuery(t, c, "INSERT")
			if test.during != nil {
				receive(t, "request at the home", i.pool.waiting)
				if err := test.during(t.Context(), c); err != nil {
					t.Error(err)
				}
				receive(t, "end of the wait at the home", i.pool.ended)
			}
			_, err := c.Frontend().Receive()
			refused := refusalOf(err)
			if refused == nil || refused.Outcome.Kind != outcome.NotRun || refused.Outcome.Code != test.code ||
				refused.Outcome.RetryAfter != test.retry || refused.HomeMoved != test.moved {
				t.Errorf("error %#v, want the home's refusal", err)
			}
			if (failures.Load() == 1) != test.moved {
				t.Errorf("home reported as failed %d times", failures.Load())
			}
			c.Release(false)
		})
	}
}

// Guards against a statement that is reported as not run, and therefore repeated, although the home may
// have sent it to the server before the home or the server failed. Also guards against a home that is
// skipped because its server failed.
func TestFailureAfterOpen(t *testing.T) {
	for name, test := range map[string]struct{ queued, server bool }{
		"home, statement in execution": {},
		"home, statement in the queue": {queued: true},
		"server":                       {server: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := serve(t)
			i.pool.block = test.queued
			path, err := link.Start(i.address)
			if err != nil {
				t.Fatal(err)
			}
			c, failures := acquireDeferredCounting(t, path.Address())
			sendQuery(t, c, "INSERT")
			if test.queued {
				receive(t, "request at the home", i.pool.waiting)
			} else {
				serverSide := receive(t, "connection", i.pool.servers)
				if _, err := pgproto3.NewBackend(serverSide, serverSide).Receive(); err != nil {
					t.Fatal(err)
				}
				if test.server {
					_ = serverSide.Close()
				}
			}
			if !test.server {
				path.Close()
			}
			_, err = c.Frontend().Receive()
			if err == nil || outcome.As(err) != nil {
				t.Errorf("error %v, want one without a known outcome", err)
			}
			if (failures.Load() == 1) == test.server {
				t.Errorf("home reported as failed %d times", failures.Load())
			}
			c.Release(true)
			if !test.queued && receive(t, "release at the home", i.pool.released) {
				t.Error("home reused the connection of a failed statement")
			}
		})
	}
}

// Guards against reuse of a connection in an unknown state, for example with a cancel request in
// progress, against the release of a connection before its use has ended, and against a truncated
// response.
func TestEndOfSingleExchange(t *testing.T) {
	idle, open := &pgproto3.ReadyForQuery{TxStatus: 'I'}, &pgproto3.ReadyForQuery{TxStatus: 'T'}
	changed := &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}
	done := &pgproto3.CommandComplete{CommandTag: []byte("DONE")}
	for name, test := range map[string]struct {
		requests int
		response []pgproto3.BackendMessage
		ends     bool
		reuse    bool
		cancel   bool
	}{
		"statement":              {1, []pgproto3.BackendMessage{done, idle}, true, true, false},
		"cancel request":         {1, []pgproto3.BackendMessage{done, idle}, true, false, true},
		"setting changed":        {1, []pgproto3.BackendMessage{changed, done, idle}, true, false, false},
		"transaction opened":     {1, []pgproto3.BackendMessage{done, open}, false, false, false},
		"several requests":       {3, []pgproto3.BackendMessage{done, open, done, open, done, idle}, true, true, false},
		"first of several":       {3, []pgproto3.BackendMessage{done, idle}, false, false, false},
		"statement without tail": {1, []pgproto3.BackendMessage{done}, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := serve(t)
			c := acquireDeferred(t, newClient(t), i.address, request())
			for range test.requests {
				c.Frontend().SendQuery(&pgproto3.Query{String: "SELECT 1"})
			}
			if err := c.Frontend().Flush(); err != nil {
				t.Fatal(err)
			}
			server := i.receiveAtServer(t)
			for range test.requests - 1 {
				if _, err := server.Receive(); err != nil {
					t.Fatal(err)
				}
			}
			if test.cancel {
				if err := c.Cancel(t.Context()); err != nil {
					t.Fatal(err)
				}
				receive(t, "cancel request at the server", i.pool.cancels)
			}
			respondWith(t, server, test.response...)
			if test.ends && receive(t, "release at the home", i.pool.released) != test.reuse {
				t.Errorf("connection reused: %v", !test.reuse)
			}
			for n, want := range test.response {
				if got, err := c.Frontend().Receive(); err != nil || fmt.Sprintf("%T", got) != fmt.Sprintf("%T", want) {
					t.Fatalf("message %d is %T, error %v, want %T", n, got, err, want)
				}
			}
			c.Release(false)
			if !test.ends && receive(t, "release at the home", i.pool.released) {
				t.Error("connection was reused before its use had ended")
			}
		})
	}
}

// Guards against a caller that holds the only slot because it reads its response slowly.
func TestSlowCallerDoesNotHoldTheSlot(t *testing.T) {
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: fixtureTimeout}
	slow := acquireDeferred(t, f.client, f.link.Address(), r)
	sendQuery(t, slow, "SELECT 1")
	for range 3 {
		c := acquireDeferred(t, f.client, f.link.Address(), r)
		if err := run(c, "SELECT 1"); err != nil {
			t.Fatal(err)
		}
		c.Release(true)
	}
	if err := receiveResponse(slow); err != nil {
		t.Error(err)
	}
	slow.Release(true)
}

// Guards against a statement timeout that expires in the queue, and against a running statement that is
// canceled because its grant was not noticed.
func TestTimeoutsOfDeferredStatements(t *testing.T) {
	t.Parallel()
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: fixtureTimeout}
	const short = 100 * time.Millisecond
	holder := f.acquire()
	queued := acquireDeferred(t, f.client, f.link.Address(), r)
	if err := queued.SetDeadline(time.Now().Add(short)); err != nil {
		t.Fatal(err)
	}
	sendQuery(t, queued, "SELECT 1")
	time.Sleep(3 * short)
	holder.Release(true)
	if err := receiveResponse(queued); err != nil {
		t.Errorf("statement that waited longer than its timeout: %v", err)
	}
	queued.Release(true)
	r.Timeout = short
	long := acquireDeferred(t, f.client, f.link.Address(), r)
	limit := r.Timeout + grantAllowance + borrowerMaxMissed*period
	if err := run(long, fmt.Sprintf("SELECT pg_sleep(%f)", (limit+period).Seconds())); err != nil {
		t.Errorf("statement that ran longer than the time for its grant: %v", err)
	}
	long.Release(true)
}

// Guards against a transaction that loses its connection after its first statement, and against a
// statement that runs on another incarnation of the server than the one it was routed to.
func TestDeferredTransaction(t *testing.T) {
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: fixtureTimeout}
	c := acquireDeferred(t, f.client, f.link.Address(), r)
	for _, sql := range []string{"BEGIN", "INSERT INTO kv VALUES ('a', 'b')"} {
		if err := run(c, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	if err := f.tryAcquire(20 * time.Millisecond); outcome.As(err) == nil {
		t.Errorf("error %v while a transaction holds the only connection, want a refusal", err)
	}
	if err := run(c, "COMMIT"); err != nil {
		t.Fatal(err)
	}
	c.Release(true)
	r.Target.Incarnation = 2
	stale := acquireDeferred(t, f.client, f.link.Address(), r)
	sendQuery(t, stale, "INSERT INTO kv VALUES ('c', 'd')")
	if _, err := stale.Frontend().Receive(); refusalOf(err) == nil {
		t.Errorf("error %v of a statement for another incarnation, want a refusal", err)
	}
	stale.Release(false)
}

// runSingleExchange runs a statement as the single exchange of c, up to its release at i.
func runSingleExchange(t *testing.T, i *instance, c engine.Conn) {
	t.Helper()
	sendQuery(t, c, "SELECT 1")
	respondWith(t, i.receiveAtServer(t), &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if _, err := c.Frontend().Receive(); err != nil {
		t.Fatal(err)
	}
	receive(t, "release at the home", i.pool.released)
}

// Guards against a new stream for each statement, and against a late deadline, cancel request or release
// of one statement that affects the next one on the same stream.
func TestStreamIsReused(t *testing.T) {
	i := serve(t)
	client := newClient(t)
	first := acquireDeferred(t, client, i.address, request())
	if err := first.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		t.Fatal(err)
	}
	runSingleExchange(t, i, first)
	second := acquireDeferred(t, client, i.address, request())
	if first.(*remoteConn).reusableStream != second.(*remoteConn).reusableStream {
		t.Error("second statement uses a new stream, want the first one's")
	}
	sendQuery(t, second, "SELECT 2")
	server := i.receiveAtServer(t)
	if err := errors.CombineErrors(first.Cancel(t.Context()), first.SetDeadline(pastDeadline)); err != nil {
		t.Error(err)
	}
	first.Release(true)
	respondWith(t, server, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if _, err := second.Frontend().Receive(); err != nil {
		t.Errorf("second statement: %v", err)
	}
	if !receive(t, "release at the home", i.pool.released) || len(i.pool.cancels) > 0 {
		t.Error("the cancel request of the first statement reached the second one's connection")
	}
	second.Release(true)
}

// Guards against a statement that is sent to an unreachable or leaving home over a reused stream: the caller
// would get an unknown outcome or a refusal although another home is available.
func TestReusedStreamOfLeavingOrUnreachableHome(t *testing.T) {
	i := serve(t)
	path, err := link.Start(i.address)
	if err != nil {
		t.Fatal(err)
	}
	client := newClient(t)
	runSingleExchange(t, i, acquireDeferred(t, client, path.Address(), request()))
	i.Leave()
	leaving := acquireDeferred(t, client, path.Address(), request())
	sendQuery(t, leaving, "INSERT")
	if _, err := leaving.Frontend().Receive(); refusalOf(err) == nil || !refusalOf(err).HomeMoved {
		t.Errorf("error %v from a leaving home, want a refusal with HomeMoved set", err)
	}
	leaving.Release(false)

	i = serve(t)
	path, err = link.Start(i.address)
	if err != nil {
		t.Fatal(err)
	}
	reused := acquireDeferred(t, client, path.Address(), request())
	runSingleExchange(t, i, reused)
	path.Close()
	receive(t, "end of the reused stream", reused.(*remoteConn).stream.Context().Done())
	r := request()
	r.Deferred = true
	if _, err := client.Acquire(t.Context(), path.Address(), r); !isUnreachable(err) {
		t.Errorf("error %v from an unreachable home, want an unreachableError", err)
	}
}

// Guards against one message for each part of a long response, and against a first row that is delayed
// until more rows arrive.
func TestResponsesAreCoalesced(t *testing.T) {
	const rows = 200
	i := serve(t)
	c := acquireDeferred(t, newClient(t), i.address, request())
	sendQuery(t, c, "SELECT")
	server := i.receiveAtServer(t)
	row := &pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}}
	respondWith(t, server, row)
	if _, err := c.Frontend().Receive(); err != nil {
		t.Fatalf("first row: %v", err)
	}
	go func() {
		for range rows {
			respondWith(t, server, row)
		}
		respondWith(t, server, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	}()
	messages := 0
	for buf := make([]byte, chunkBytes); !c.(*remoteConn).returned.Load(); messages++ {
		if _, err := c.(*remoteConn).frontend.Read(buf); err != nil {
			t.Fatal(err)
		}
	}
	if messages > rows/2 {
		t.Errorf("%d messages for %d rows, want at most half as many", messages, rows)
	}
}

const (
	// interRegionLatency is the one-way latency between regions that the design page states.
	interRegionLatency = 20 * time.Millisecond
	distantSlots       = 3
	distantCallers     = 24
)

// distantRate measures the statements/s through a home in another region.
func distantRate(t testing.TB, isDeferred bool, statements int) float64 {
	address := startHome(t, distantSlots, NewServer)
	path, err := link.StartDelayed(address, interRegionLatency)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	calls := peer.NewClient(peer.ClientConfig{MaxIdleConnsPerPeer: distantCallers})
	t.Cleanup(func() { _ = calls.Close() })
	client := NewClient(calls)
	r := engine.AcquireRequest{
		Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: fixtureTimeout,
		Deferred: isDeferred, SingleExchange: isDeferred,
	}
	var left atomic.Int64
	left.Store(int64(statements))
	var callers sync.WaitGroup
	started := time.Now()
	for range distantCallers {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				c, err := client.Acquire(t.Context(), path.Address(), r)
				if err == nil {
					err = run(c, "SELECT 1")
					c.Release(err == nil)
				}
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	return float64(statements) / time.Since(started).Seconds()
}

// Guards against a slot that is held while messages travel between regions: each of the 3 slots would
// then serve at most one statement per round trip.
func TestDistantHomeRateIsNotBoundByRoundTrips(t *testing.T) {
	limit := distantSlots / (2 * interRegionLatency).Seconds()
	if rate := distantRate(t, true, 10*distantCallers); rate < limit {
		t.Errorf("%.0f statements/s, want more than %.0f", rate, limit)
	}
}

// BenchmarkDistantHome measures the statements/s through a home in another region, with the statement
// sent after the grant and with the request.
func BenchmarkDistantHome(b *testing.B) {
	for name, isDeferred := range map[string]bool{"after the grant": false, "with the request": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportMetric(distantRate(b, isDeferred, b.N), "statements/s")
		})
	}
}
