package engine

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// Guards against the statements of a transaction running on several connections, and against another session
// using the transaction's connection.
func TestTransactionKeepsItsConnection(t *testing.T) {
	r := newRig(t)
	r.db.replicas = nil
	c, other := r.connect(), r.connect()
	exec(t, c, "begin")
	mine := queryText(t, c, "select 1")
	for range 3 {
		if got := queryText(t, other, "select 1"); got == mine {
			t.Fatal("another session used the transaction's connection, want a connection of its own")
		}
		if got := queryText(t, c, "select 1"); got != mine {
			t.Errorf("statement ran on connection %s, want %s", got, mine)
		}
	}
	exec(t, c, "insert a")
	exec(t, c, "commit")
	if got := c.PgConn().ParameterStatus(tokenParameter); got == "" {
		t.Error("no session token after COMMIT, want one")
	}
	if dials, dropped, inUse := r.pool.counts(); dials != 2 || dropped != 0 || inUse != 0 {
		t.Errorf("%d dials, %d dropped, %d in use; want 2, 0, 0", dials, dropped, inUse)
	}
}

// Guards against a read-only transaction that runs on the primary, or that is not opened as read-only.
func TestReadOnlyTransaction(t *testing.T) {
	r := newRig(t)
	c := r.connect("default_transaction_read_only=on")
	exec(t, c, "begin")
	queryText(t, c, "select 1")
	exec(t, c, "commit")
	if got := r.rec.last(); got.Server != "r" {
		t.Errorf("last statement ran on %s, want the replica", got.Server)
	}
	if got := r.replica.executed(); got[0] != "begin read only" {
		t.Errorf("transaction opened with %q, want begin read only", got[0])
	}
	exec(t, c, "begin read write")
	exec(t, c, "insert a")
	exec(t, c, "commit")
}

// Guards against statements that run after the connection of their transaction was lost, in the simple and the
// extended protocol.
func TestTransactionConnectionLost(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	exec(t, c, "begin")
	exec(t, c, "insert a")
	if e := wantCode(t, c, "die", outcome.CodeConnectionFailure); e.Detail != "not_run" {
		t.Errorf("detail %q, want not_run", e.Detail)
	}
	wantCode(t, c, "insert b", codeInFailedTransaction)
	if _, err := c.Exec(context.Background(), "select $1", "x"); err == nil {
		t.Error("extended statement ran in a failed transaction, want an error")
	}
	if tag, err := c.Exec(context.Background(), "commit"); err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("commit returned %q, %v; want ROLLBACK", tag, err)
	}
	exec(t, c, "insert c")
}

// Guards against a COMMIT of a transaction in which the proxy refused a statement, and against a refusal
// that makes savepoints unusable.
func TestRefusalFailsTheTransaction(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	exec(t, c, "begin")
	exec(t, c, "insert a")
	wantCode(t, c, "listen x", codeFeatureNotSupported)
	wantCode(t, c, "insert b", codeInFailedTransaction)
	exec(t, c, "rollback to savepoint s")
	exec(t, c, "insert c")
	wantCode(t, c, "listen x", codeFeatureNotSupported)
	if tag, err := c.Exec(context.Background(), "commit"); err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("commit returned %q, %v; want ROLLBACK", tag, err)
	}
	want := []string{"begin", "insert a", "rollback to savepoint s", "insert c", "rollback"}
	if got := r.primary.executed(); !slices.Equal(got, want) {
		t.Errorf("executed %q, want %q", got, want)
	}
}

// Guards against an open transaction that holds its connection after its caller has disconnected, and against
// a connection that is reused inside a transaction.
func TestCallerLeavesTransaction(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	exec(t, c, "begin")
	exec(t, c, "insert a")
	_ = c.Close(context.Background())
	<-r.rec.closed
	if _, _, inUse := r.pool.counts(); inUse != 0 {
		t.Error("connection is still in use, want it released")
	}
	if got := r.primary.executed(); got[len(got)-1] != "rollback" {
		t.Errorf("last statement %q, want rollback", got[len(got)-1])
	}
}

// Guards against ignoring transaction control inside a pipeline, which some drivers send.
func TestTransactionInPipeline(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	for range 2 {
		b := &pgx.Batch{}
		b.Queue("begin")
		b.Queue("insert $1", "a")
		if err := c.SendBatch(context.Background(), b).Close(); err != nil {
			t.Fatal(err)
		}
		if c.PgConn().TxStatus() != 'T' {
			t.Fatal("no transaction after BEGIN in a pipeline, want one")
		}
		r.db.setConfirm(func(context.Context) error { return errNoMajority })
		b = &pgx.Batch{}
		b.Queue("insert $1", "a")
		b.Queue("commit")
		if err := c.SendBatch(context.Background(), b).Close(); err == nil {
			t.Fatal("unconfirmed COMMIT in a pipeline was acknowledged, want an error")
		}
		r.db.setConfirm(nil)
	}
}

// Guards against a cancel request that doesn't reach its statement or cancels another session's, and against
// the reuse of the connection while the request may still arrive.
func TestCancel(t *testing.T) {
	r := newRig(t)
	c, other := r.connect(), r.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "hang")
		failed <- err
	}()
	<-r.primary.running
	if err := other.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.cancelRaw(c.PgConn().PID(), []byte{1, 2, 3, 4})
	if n := r.primary.cancels.Load(); n != 0 {
		t.Error("cancel request for another session or with a wrong secret reached the server")
	}
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	var pg *pgconn.PgError
	if err := <-failed; !errors.As(err, &pg) || pg.Code != outcome.CodeQueryCanceled {
		t.Errorf("canceled statement ended with %v, want query canceled", err)
	}
	if _, dropped, _ := r.pool.counts(); dropped != 1 {
		t.Errorf("%d connections dropped, want 1", dropped)
	}
}

// cancelRaw sends a cancel request and waits until it is handled.
func (r *rig) cancelRaw(pid uint32, secret []byte) {
	conn := r.dialRaw()
	b, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		r.t.Fatal(err)
	}
	_, _ = conn.Write(b)
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a setting changed by one session that affects the next session on the connection.
func TestChangedSettingDropsConnection(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	exec(t, c, "change")
	exec(t, c, "do $$ begin end $$")
	if dials, dropped, _ := r.pool.counts(); dials != 2 || dropped != 2 {
		t.Errorf("%d dials, %d dropped; want 2 and 2", dials, dropped)
	}
}

// Guards against sessions that continue after their key was withdrawn: idle sessions end at once, a statement
// in flight ends after withdrawGrace.
func TestWithdrawnKey(t *testing.T) {
	r := newRig(t)
	idle, busy := r.connect(), r.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "hang")
		failed <- err
	}()
	<-r.primary.running
	started := time.Now()
	close(r.dir.withdrawn)
	if err := <-r.rec.closed; !outcome.Is(err, outcome.Denied) {
		t.Errorf("idle session ended with %v, want kind denied", err)
	}
	if _, err := idle.Exec(context.Background(), "insert a"); err == nil {
		t.Error("idle session continued after its key was withdrawn, want an error")
	}
	err := <-failed
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != outcome.CodeStatementCompletionUnknown {
		t.Errorf("statement in flight ended with %v, want completion unknown", err)
	}
	if d := time.Since(started); d < withdrawGrace {
		t.Errorf("statement in flight ended after %v, want at least %v", d, withdrawGrace)
	}
	<-r.rec.closed
}

// Guards against connected sessions that keep the settings of their login, against a change of the session
// scope within a session, and against writes acknowledged by less than the majority the session began with.
func TestChangedRouteAppliesToConnectedSessions(t *testing.T) {
	r := newRig(t)
	c, open := r.connect(), r.connect()
	queryText(t, c, "select 1")
	exec(t, open, "begin")
	exec(t, open, "insert a")
	r.dir.change(func(route *manifest.Route, weight *int) {
		route.MaxStaleness, route.ReadWait, route.QueueTimeout = manifest.Duration(time.Minute), 7, 9
		route.SessionScope, route.Acknowledge = manifest.ScopeConnection, manifest.AcknowledgePrimary
		*weight = 5
	})
	var byMajority atomic.Bool
	r.db.setConfirm(func(context.Context) error { byMajority.Store(true); return nil })
	queryText(t, c, "select 2")
	if got := r.db.lastRead(); got.MaxStaleness != time.Minute || got.Wait != 7 {
		t.Errorf("read request is %+v, want the route's new settings", got)
	}
	if got := r.pool.lastRequest(); got.Weight != 5 || got.Timeout != 9 {
		t.Errorf("connection request is %+v, want the new weight and timeout", got)
	}
	exec(t, c, "insert b")
	if !byMajority.Load() {
		t.Error("write was acknowledged without a majority, want the mode that the session began with")
	}
	r.dir.change(func(route *manifest.Route, _ *int) { route.ReadOnly = true })
	wantCode(t, c, "insert c", outcome.CodeReadOnly)
	exec(t, open, "insert d")
	exec(t, open, "commit")
}

// Guards against a graceful shutdown that interrupts statements or transactions, and against idle sessions
// that delay it.
func TestShutdown(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.DrainTimeout = time.Hour })
	idle, busy, open := r.connect(), r.connect(), r.connect()
	exec(t, open, "begin")
	confirming, proceed := make(chan struct{}), make(chan struct{})
	r.db.setConfirm(func(context.Context) error {
		close(confirming)
		<-proceed
		return nil
	})
	inFlight := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "insert a")
		inFlight <- err
	}()
	<-confirming
	stopped := make(chan error, 1)
	go func() { stopped <- r.srv.Shutdown(context.Background()) }()
	if err := <-r.rec.closed; !outcome.Is(err, outcome.NotRun) {
		t.Errorf("idle session ended with %v, want kind not run", err)
	}
	wantCode(t, idle, "insert a", outcome.CodeAdminShutdown)
	close(proceed)
	if err := <-inFlight; err != nil {
		t.Errorf("statement in flight ended with %v, want success", err)
	}
	<-r.rec.closed
	r.db.setConfirm(nil)
	exec(t, open, "insert b")
	exec(t, open, "commit")
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
	if _, err := r.tryConnect(); err == nil {
		t.Error("connection was accepted after the shutdown, want an error")
	}
}

// Guards against an open transaction that blocks a shutdown forever, and against a shutdown that interrupts
// its statement in flight.
func TestShutdownEndsTransactionsBetweenStatements(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.DrainTimeout = time.Millisecond })
	c := r.connect()
	exec(t, c, "begin")
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "hang")
		failed <- err
	}()
	<-r.primary.running
	stopped := make(chan error, 1)
	go func() { stopped <- r.srv.Shutdown(context.Background()) }()
	session := r.srv.allSessions()[0]
	waitFor(t, func() bool {
		session.mu.Lock()
		defer session.mu.Unlock()
		return session.stopReason == stopDrainNow
	})
	select {
	case err := <-failed:
		t.Fatalf("statement in flight was interrupted: %v, want it to continue", err)
	case <-time.After(20 * time.Millisecond):
	}
	session.cancelStatement()
	if err := <-failed; err == nil || !strings.Contains(err.Error(), outcome.CodeQueryCanceled) {
		t.Errorf("statement ended with %v, want query canceled", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
}

// Guards against an idle transaction that holds its connection forever.
func TestIdleInTransaction(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.IdleInTransactionTimeout = 20 * time.Millisecond })
	c := r.connect()
	exec(t, c, "begin")
	err := <-r.rec.closed
	if e := outcome.As(err); e == nil || e.Code != codeIdleInTransaction {
		t.Errorf("session ended with %v, want an idle-in-transaction error", err)
	}
	if _, _, inUse := r.pool.counts(); inUse != 0 {
		t.Error("connection is still in use, want it released")
	}
}

func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}
