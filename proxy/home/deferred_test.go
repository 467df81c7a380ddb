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

// acquireDeferred borrows a connection whose first statement goes with the request.
func acquireDeferred(t testing.TB, client *Client, address string, r engine.AcquireRequest) engine.Conn {
	t.Helper()
	r.Deferred, r.SingleExchange = true, true
	c, err := client.Acquire(t.Context(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// acquireDeferredCounting is deferred, with the number of times that the home was passed over.
func acquireDeferredCounting(t *testing.T, address string) (c engine.Conn, passed *atomic.Int64) {
	t.Helper()
	passed = new(atomic.Int64)
	r := request()
	r.Deferred, r.SingleExchange = true, true
	c, err := newClient(t).acquire(t.Context(), address, r, func() { passed.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	return c, passed
}

// sendQuery sends a statement without waiting for its answer.
func sendQuery(t testing.TB, c engine.Conn, sql string) {
	t.Helper()
	c.Frontend().SendQuery(&pgproto3.Query{String: sql})
	if err := c.Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
}

// receiveAtServer takes the statement that reaches the server.
func (i *instance) receiveAtServer(t *testing.T) *pgproto3.Backend {
	t.Helper()
	far := receive(t, "connection", i.pool.servers)
	server := pgproto3.NewBackend(far, far)
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

// Guards against a refusal that is reported as an unknown outcome although the statement never left the
// home, against a refusal that loses its code or its time to retry, and against a home that leaves and is
// asked again.
func TestDeferredRefusals(t *testing.T) {
	full := outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, "full", "wait").WithRetryAfter(7 * time.Millisecond)
	for name, test := range map[string]struct {
		prepare func(*instance)
		during  func(context.Context, engine.Conn) error // while it waits
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
			c, passed := acquireDeferredCounting(t, i.address)
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
				t.Errorf("error %#v", err)
			}
			if (passed.Load() == 1) != test.moved {
				t.Errorf("passed over %d times", passed.Load())
			}
			c.Release(false)
		})
	}
}

// Guards against a statement that is reported as not run, and so repeated, although the home may have
// sent it to the server before one of them failed, and against a home that is passed over because its
// server failed.
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
			c, passed := acquireDeferredCounting(t, path.Address())
			sendQuery(t, c, "INSERT")
			if test.queued {
				receive(t, "request at the home", i.pool.waiting)
			} else {
				far := receive(t, "connection", i.pool.servers)
				if _, err := pgproto3.NewBackend(far, far).Receive(); err != nil {
					t.Fatal(err)
				}
				if test.server {
					_ = far.Close()
				}
			}
			if !test.server {
				path.Close()
			}
			_, err = c.Frontend().Receive()
			if err == nil || outcome.As(err) != nil {
				t.Errorf("error %v, want one that proves nothing", err)
			}
			if (passed.Load() == 1) == test.server {
				t.Errorf("home passed over %d times", passed.Load())
			}
			c.Release(true)
			if !test.queued && receive(t, "release at the home", i.pool.released) {
				t.Error("the home reuses the connection of a failed statement")
			}
		})
	}
}

// Guards against a connection in doubt that is reused, as one with a cancel request under way, against one that is given back before its use has
// ended, and against a caller that sees less than the whole answer.
func TestEndOfWholeUse(t *testing.T) {
	idle, open := &pgproto3.ReadyForQuery{TxStatus: 'I'}, &pgproto3.ReadyForQuery{TxStatus: 'T'}
	changed := &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}
	done := &pgproto3.CommandComplete{CommandTag: []byte("DONE")}
	for name, test := range map[string]struct {
		requests int
		answer   []pgproto3.BackendMessage
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
			respondWith(t, server, test.answer...)
			if test.ends && receive(t, "release at the home", i.pool.released) != test.reuse {
				t.Errorf("connection reused: %v", !test.reuse)
			}
			for n, want := range test.answer {
				if got, err := c.Frontend().Receive(); err != nil || fmt.Sprintf("%T", got) != fmt.Sprintf("%T", want) {
					t.Fatalf("message %d is %T, error %v, want %T", n, got, err, want)
				}
			}
			c.Release(false)
			if !test.ends && receive(t, "release at the home", i.pool.released) {
				t.Error("a connection was reused in the midst of its use")
			}
		})
	}
}

// Guards against the only slot being held by a caller that is slow to take its answer.
func TestSlowCallerDoesNotHoldTheSlot(t *testing.T) {
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: deadline}
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

// Guards against a statement timeout that runs out in the queue, and against one in execution that is
// given up because its grant is taken for missing.
func TestTimeoutsOfDeferredStatements(t *testing.T) {
	t.Parallel()
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: deadline}
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

// Guards against a transaction that loses its connection with its first statement, and against a
// statement of another incarnation than the one that it was routed by.
func TestDeferredTransaction(t *testing.T) {
	f := startSilenceFixture(t)
	r := engine.AcquireRequest{Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: deadline}
	c := acquireDeferred(t, f.client, f.link.Address(), r)
	for _, sql := range []string{"BEGIN", "INSERT INTO kv VALUES ('a', 'b')"} {
		if err := run(c, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	if err := f.tryAcquire(20 * time.Millisecond); outcome.As(err) == nil {
		t.Errorf("error %v while a transaction has the only connection, want a refusal", err)
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

// runWholeUse runs a statement of a whole use over i.
func runWholeUse(t *testing.T, i *instance, c engine.Conn) {
	t.Helper()
	sendQuery(t, c, "SELECT 1")
	respondWith(t, i.receiveAtServer(t), &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if _, err := c.Frontend().Receive(); err != nil {
		t.Fatal(err)
	}
	receive(t, "release at the home", i.pool.released)
}

// Guards against a stream for each statement, and against a late deadline, cancel request or release of
// one statement that harms the next one on its stream.
func TestStreamIsReused(t *testing.T) {
	i := serve(t)
	client := newClient(t)
	first := acquireDeferred(t, client, i.address, request())
	if err := first.SetDeadline(time.Now().Add(eventually)); err != nil {
		t.Fatal(err)
	}
	runWholeUse(t, i, first)
	second := acquireDeferred(t, client, i.address, request())
	if first.(*remoteConn).reusableStream != second.(*remoteConn).reusableStream {
		t.Error("the second statement has a stream of its own")
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

// Guards against a statement that goes to a dead or leaving home over a kept stream: it would be unknown
// or refused to the caller although another home is there.
func TestReusedStreamOfLeavingOrDeadHome(t *testing.T) {
	i := serve(t)
	path, err := link.Start(i.address)
	if err != nil {
		t.Fatal(err)
	}
	client := newClient(t)
	runWholeUse(t, i, acquireDeferred(t, client, path.Address(), request()))
	i.Leave()
	leaving := acquireDeferred(t, client, path.Address(), request())
	sendQuery(t, leaving, "INSERT")
	if _, err := leaving.Frontend().Receive(); refusalOf(err) == nil || !refusalOf(err).HomeMoved {
		t.Errorf("error %v of a leaving home, want one that leads to the next home", err)
	}
	leaving.Release(false)

	i = serve(t)
	path, err = link.Start(i.address)
	if err != nil {
		t.Fatal(err)
	}
	kept := acquireDeferred(t, client, path.Address(), request())
	runWholeUse(t, i, kept)
	path.Close()
	receive(t, "end of the kept stream", kept.(*remoteConn).stream.Context().Done())
	r := request()
	r.Deferred = true
	if _, err := client.Acquire(t.Context(), path.Address(), r); !isUnreachable(err) {
		t.Errorf("error %v of a dead home, want that it is unreachable", err)
	}
}

// Guards against a message for each piece of a long answer, and against a first row that waits for the
// rows behind it.
func TestResponsesAreCoalesced(t *testing.T) {
	const pieces = 200
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
		for range pieces {
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
	if messages > pieces/2 {
		t.Errorf("%d messages for %d pieces", messages, pieces)
	}
}

const (
	// interRegionLatency is the latency between regions on the design page, one way.
	interRegionLatency = 20 * time.Millisecond
	distantSlots       = 3
	distantCallers     = 24
)

// distantRate returns the statements/s through a home in another region.
func distantRate(t testing.TB, isDeferred bool, statements int) float64 {
	address := startHome(t, distantSlots, NewServer)
	path, err := link.StartDelayed(address, interRegionLatency)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	calls := peer.NewClient(peer.ClientConfig{KeptPerPeer: distantCallers})
	t.Cleanup(func() { _ = calls.Close() })
	client := NewClient(calls)
	r := engine.AcquireRequest{
		Target: engine.Target{Server: "s1", Incarnation: 1}, Account: "a", Weight: 1, Timeout: deadline,
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

// Guards against a slot that is held while messages cross regions: 3 slots would then carry at most one
// statement each in a round trip.
func TestDistantHomeRateIsNotBoundByRoundTrips(t *testing.T) {
	limit := distantSlots / (2 * interRegionLatency).Seconds()
	if rate := distantRate(t, true, 10*distantCallers); rate < limit {
		t.Errorf("%.0f statements/s, want more than %.0f", rate, limit)
	}
}

// BenchmarkDistantHome shows the statements/s through a home in another region, with the statement sent
// after the grant and with the request.
func BenchmarkDistantHome(b *testing.B) {
	for name, isDeferred := range map[string]bool{"after the grant": false, "with the request": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportMetric(distantRate(b, isDeferred, b.N), "statements/s")
		})
	}
}
