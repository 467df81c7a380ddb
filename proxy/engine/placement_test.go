package engine

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

var errNoMajority = outcome.New(outcome.Unknown, outcome.CodeStatementCompletionUnknown, "no majority", "check").WithRetryAfter(70 * time.Millisecond)

// Guards against a write that is acknowledged before it is confirmed, and against a late cancel request that
// makes its outcome unknown.
func TestWriteIsWithheldUntilConfirmed(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	confirming, proceed := make(chan struct{}), make(chan struct{})
	r.db.setConfirm(func(ctx context.Context) error {
		close(confirming)
		select {
		case <-proceed:
			return nil
		case <-ctx.Done():
			return errNoMajority
		}
	})
	answered := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "insert a")
		answered <- err
	}()
	<-confirming
	if _, _, inUse := r.pool.counts(); inUse != 0 {
		t.Error("connection is in use while the write waits for its confirmation, want it released")
	}
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-answered:
		t.Fatalf("write was answered before its confirmation: %v", err)
	default:
	}
	close(proceed)
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
	if got := c.PgConn().ParameterStatus(tokenParameter); got != "cyc1:bookings:1/1" {
		t.Errorf("session token is %q, want cyc1:bookings:1/1", got)
	}
}

// Guards against the acknowledgement of an unconfirmed write, in each protocol and at COMMIT.
func TestUnconfirmedWriteIsUnknown(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	r.db.setConfirm(func(context.Context) error { return errNoMajority })
	e := wantCode(t, c, "insert a", outcome.CodeStatementCompletionUnknown)
	if e.Detail != "outcome_unknown retry_after_ms=70" || e.Hint == "" {
		t.Errorf("detail %q, hint %q; want the kind with the retry-after, and a hint", e.Detail, e.Hint)
	}
	tag, err := c.Exec(context.Background(), "insert $1", "a")
	if err == nil || tag.String() != "" {
		t.Errorf("extended insert returned %q, %v; want an error and no tag", tag, err)
	}
	exec(t, c, "begin")
	exec(t, c, "insert a")
	wantCode(t, c, "commit", outcome.CodeStatementCompletionUnknown)
	if c.PgConn().TxStatus() != 'I' {
		t.Error("session is in a transaction after COMMIT, want idle")
	}
	if got := c.PgConn().ParameterStatus(tokenParameter); got != "" {
		t.Errorf("token %q after unconfirmed writes, want none", got)
	}
}

// Guards against withheld answers that grow without limit: a long answer after an early CommandComplete is
// confirmed before its end.
func TestLongWithheldAnswerIsConfirmedEarly(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxWithheldSize = 32 << 10 })
	c := r.connect()
	confirms := make(chan struct{}, 100)
	r.db.setConfirm(func(context.Context) error { confirms <- struct{}{}; return nil })
	results, err := c.PgConn().Exec(context.Background(), "insert a; select rows 300; insert b").ReadAll()
	if err != nil || len(results) != 3 || len(results[1].Rows) != 300 {
		t.Fatalf("%d results, error %v; want 3 results with 300 rows in the second", len(results), err)
	}
	if len(confirms) < 2 {
		t.Errorf("%d confirmations, want at least 2: one before the end of the answer", len(confirms))
	}
}

// Guards against a write classified as a read that fails because a replica refuses it, or that is
// acknowledged on the primary without a confirmation.
func TestReadRefusedByReplicaRunsOnPrimary(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	confirmed := 0
	r.db.setConfirm(func(context.Context) error { confirmed++; return nil })
	r.replica.selectErrorCode.Store("25006")
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	if got := r.rec.last(); confirmed != 1 || !got.Primary {
		t.Errorf("%d confirmations, reported %+v; want one confirmation on the primary", confirmed, got)
	}
}

// Guards against a wrong outcome after a lost connection, and against a write that runs twice.
func TestConnectionLostWhileRunning(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	wantCode(t, c, "die", outcome.CodeStatementCompletionUnknown)
	r.replica.alwaysClose.Store(true)
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read after a lost replica returned %q, want x", got)
	}
	if got := r.rec.last(); got.Attempts != 2 || got.Server != "p" {
		t.Errorf("read reported as %+v, want the second attempt on p", got)
	}
	r.primary.alwaysClose.Store(true)
	wantCode(t, c, "insert a", outcome.CodeStatementCompletionUnknown)
	if n := r.primary.writes.Load(); n > 1 {
		t.Errorf("write ran %d times, want at most once", n)
	}
}

// Guards against writes that are refused during a failover although there is a new primary in time.
func TestWriteWaitsForThePrimary(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	r.primary.readOnly.Store(true)
	answered := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "insert a")
		answered <- err
	}()
	waitFor(t, func() bool {
		r.db.mu.Lock()
		defer r.db.mu.Unlock()
		return r.db.failures > DefaultMaxAttempts
	})
	r.primary.readOnly.Store(false)
	if err := <-answered; err != nil {
		t.Errorf("write during a failover: %v", err)
	}
	if n := r.primary.writes.Load(); n != 1 {
		t.Errorf("%d writes, want 1", n)
	}
}

// Guards against retries beyond the route's retry budget.
func TestRetryBudget(t *testing.T) {
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.AllowRetry = func(string) bool { return false } })
	c := r.connect()
	r.replica.alwaysClose.Store(true)
	wantCode(t, c, "select 1", outcome.CodeStatementCompletionUnknown)
}

// Guards against duplicate rows when a read fails after a part of its answer was sent.
func TestReadFailsAfterPartOfItsAnswer(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	wantCode(t, c, "select rows 100 die", outcome.CodeStatementCompletionUnknown)
	if got := r.rec.last(); got.Attempts != 1 {
		t.Errorf("reported %+v, want one attempt", got)
	}
}

// Guards against a write on an idempotent route that is not retried, and against an unknown outcome for a
// write that a fenced primary refused.
func TestWriteRetries(t *testing.T) {
	r := newRig(t, func(_ *Config, route *manifest.Route) { route.Idempotent = true })
	c := r.connect()
	r.primary.closeOnce.Store(true)
	exec(t, c, "insert a")
	if got := r.rec.last(); got.Attempts != 2 {
		t.Errorf("reported %+v, want 2 attempts", got)
	}
	r.srv.cfg.PrimaryWait = 50 * time.Millisecond
	r.primary.readOnly.Store(true)
	e := wantCode(t, c, "insert a", outcome.CodeReadOnly)
	if !strings.HasPrefix(e.Detail, "not_run retry_after_ms=") {
		t.Errorf("detail %q, want not_run with a retry-after", e.Detail)
	}
}

// Guards against reads without the session's floor, which would break read-your-writes.
func TestReadFloor(t *testing.T) {
	r := newRig(t)
	first := r.connect()
	queryText(t, first, "select 1")
	if got := r.db.lastRead(); !got.Sample {
		t.Errorf("read without a token requested %+v, want a sample", got)
	}
	exec(t, first, "insert a")
	queryText(t, first, "select 1")
	if got := r.db.lastRead(); got.Floor != (position.Position{Term: 1, LSN: 1}) {
		t.Errorf("read after a write requested floor %v, want 1/1", got.Floor)
	}
	second := r.connect(tokenParameter + "=cyc1:bookings:1/7")
	queryText(t, second, "select 1")
	if got := r.db.lastRead(); got.Sample || got.Floor.LSN != 7 {
		t.Errorf("read with a token requested %+v, want floor LSN 7 and no sample", got)
	}
	exec(t, second, "set cyclamenstile.session_token = 'cyc1:bookings:1/9'")
	queryText(t, second, "select 1")
	if got := r.db.lastRead(); got.Floor.LSN != 9 {
		t.Errorf("read after SET requested %+v, want floor LSN 9", got)
	}
	wantCode(t, second, "set cyclamenstile.session_token = 'cyc1:other:1/9'", codeInvalidParameter)
}

// Guards against a lost write that is not reported, or reported more than once.
func TestLostWriteIsReportedOnce(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	exec(t, c, "insert a")
	r.db.mu.Lock()
	r.db.term = 2
	r.db.readErr = outcome.New(outcome.LostWrite, outcome.CodeLostWrite, "lost", "check")
	r.db.mu.Unlock()
	wantCode(t, c, "insert b", outcome.CodeLostWrite)
	exec(t, c, "insert b")
	if n := r.primary.writes.Load(); n != 2 {
		t.Errorf("%d writes, want 2 without the refused one", n)
	}
}

// Guards against writes on a read-only route by statements that are not certain to be reads.
func TestReadOnlyRoute(t *testing.T) {
	r := newRig(t, func(_ *Config, route *manifest.Route) { route.ReadOnly = true })
	r.db.replicas = nil
	c := r.connect()
	wantCode(t, c, "insert a", outcome.CodeReadOnly)
	wantCode(t, c, "begin read write", outcome.CodeReadOnly)
	if got := queryText(t, c, "select $1, book()", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	want := []string{"begin read only", "select $1, book()", "commit"}
	if got := r.primary.executed(); !slices.Equal(got, want) {
		t.Errorf("executed %q, want %q", got, want)
	}
	exec(t, c, "begin")
	wantCode(t, c, "insert a", outcome.CodeReadOnly)
	exec(t, c, "rollback")
	exec(t, c, "begin")
	wantCode(t, c, "set transaction read write", outcome.CodeReadOnly)
	exec(t, c, "rollback")
}

// Guards against quota refusals without a retry-after, and against refused statements that run.
func TestQuotaRefusal(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	r.quota.refuse = func() error {
		return outcome.New(outcome.NotRun, outcome.CodeTooManyRequests, "over the rate", "slow down").WithRetryAfter(30 * time.Millisecond)
	}
	e := wantCode(t, c, "insert a", outcome.CodeTooManyRequests)
	if e.Detail != "not_run retry_after_ms=30" {
		t.Errorf("detail %q, want not_run with a retry-after", e.Detail)
	}
	if n := r.primary.writes.Load(); n != 0 {
		t.Errorf("%d writes ran, want 0", n)
	}
}

// Guards against callers that wait forever for an unresponsive server.
func TestUnresponsiveServerIsUnknown(t *testing.T) {
	r := newRig(t, func(_ *Config, route *manifest.Route) {
		route.StatementTimeout = manifest.Duration(50 * time.Millisecond)
	})
	c := r.connect()
	wantCode(t, c, "hang", outcome.CodeStatementCompletionUnknown)
	exec(t, c, "insert a")
}

// Guards against pipelines that lose answers after an error, and against batches that are split.
func TestPipelinedBatches(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	for range 2 {
		b := &pgx.Batch{}
		b.Queue("insert $1", "a")
		b.Queue("select $1", "b")
		b.Queue("insert $1", "c")
		if err := c.SendBatch(context.Background(), b).Close(); err != nil {
			t.Fatal(err)
		}
	}
	b := &pgx.Batch{}
	b.Queue("select $1", "b")
	b.Queue("fail")
	b.Queue("insert $1", "c")
	results := c.SendBatch(context.Background(), b)
	var v string
	if err := results.QueryRow().Scan(&v); err != nil || v != "b" {
		t.Errorf("first statement of the batch returned %q, %v; want b", v, err)
	}
	_, err := results.Exec()
	if err == nil {
		t.Error("failing statement succeeded, want an error")
	}
	_ = results.Close()
	if got := queryText(t, c, "select $1", "z"); got != "z" {
		t.Errorf("read after the failed batch returned %q, want z", got)
	}
	if n := r.primary.writes.Load(); n != 4 {
		t.Errorf("%d writes, want 4", n)
	}
}

// Guards against a deadlock between a large pipeline and its large answer.
func TestLargePipeline(t *testing.T) {
	const statements, size = 600, 50_000 // exceeds the socket buffers of both sides
	r := newRig(t, func(c *Config, _ *manifest.Route) { c.MaxPipelineSize = 2 * statements * size })
	c := r.connect()
	b := &pgx.Batch{}
	for range statements {
		b.Queue("select $1", strings.Repeat("y", size))
	}
	results := c.SendBatch(context.Background(), b)
	for i := range statements {
		var v string
		if err := results.QueryRow().Scan(&v); err != nil || len(v) != size {
			t.Fatalf("answer %d has %d bytes, error %v; want the whole value", i, len(v), err)
		}
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against parsing a repeated statement again, and against errors for a cached statement that was closed
// on the shared connection.
func TestPreparedStatementsAreCached(t *testing.T) {
	r := newRig(t)
	r.db.replicas = nil
	c := r.connect()
	for range 5 {
		queryText(t, c, "select $1", "x")
	}
	if n := r.primary.parses.Load(); n != 1 {
		t.Errorf("%d Parse messages, want 1", n)
	}
	r.primary.mu.Lock()
	for _, s := range r.primary.conns {
		clear(s.stmts)
	}
	r.primary.mu.Unlock()
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
	wantCode(t, c, "fail", "22012") // the error clears the statement cache
	if got := queryText(t, c, "select $1", "x"); got != "x" {
		t.Errorf("read returned %q, want x", got)
	}
}

// Guards against refusals without a remedy, and against settings that reach a shared connection.
func TestRefusalsAndSettings(t *testing.T) {
	r := newRig(t)
	c := r.connect("application_name=depot")
	if e := wantCode(t, c, "listen orders", codeFeatureNotSupported); e.Hint == "" || e.Detail != "invalid" {
		t.Errorf("hint %q, detail %q; want a hint and detail invalid", e.Hint, e.Detail)
	}
	wantCode(t, c, "set search_path = x", codeCantChangeParameter)
	exec(t, c, "set application_name = 'x'")
	exec(t, c, "reset all")
	exec(t, c, "set DateStyle to ISO", pgx.QueryExecModeExec)
	exec(t, c, ";")
	results, err := c.PgConn().Exec(context.Background(), "show transaction_read_only").ReadAll()
	if err != nil || string(results[0].Rows[0][0]) != "off" {
		t.Errorf("transaction_read_only is %v, error %v; want off", results, err)
	}
	exec(t, c, "rollback")
	if dials, _, _ := r.pool.counts(); dials != 0 {
		t.Errorf("%d connections opened for local statements, want 0", dials)
	}
	if _, err := r.tryConnect("search_path=x"); err == nil || !strings.Contains(err.Error(), codeCantChangeParameter) {
		t.Errorf("start-up with search_path ended with %v, want SQLSTATE 55P02", err)
	}
}

// Guards against an unknown outcome when the caller cancels a statement that waits for admission.
func TestCancelWhileWaiting(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	waiting := make(chan struct{})
	r.quota.refuse = nil
	r.srv.cfg.Quota = blockingQuota{waiting}
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "insert a")
		failed <- err
	}()
	<-waiting
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil || !strings.Contains(err.Error(), outcome.CodeQueryCanceled) {
		t.Errorf("canceled wait ended with %v, want query canceled", err)
	}
}

type blockingQuota struct{ waiting chan struct{} }

func (q blockingQuota) Admit(ctx context.Context, _ string) error {
	close(q.waiting)
	<-ctx.Done()
	return errors.New("canceled")
}

// Guards against charging a statement twice: drivers prepare it in a separate request, again after each
// refusal, so an account above its rate would get far less than its rate.
func TestPreparingIsNotCharged(t *testing.T) {
	r := newRig(t)
	c := r.connect()
	charged := 0
	r.quota.refuse = func() error { charged++; return nil }
	if _, err := c.Prepare(context.Background(), "p", "select $1"); err != nil {
		t.Fatal(err)
	}
	if charged != 0 {
		t.Errorf("Prepare was charged %d times, want 0", charged)
	}
	if got := queryText(t, c, "p", "x"); got != "x" || charged != 1 {
		t.Errorf("read returned %q and was charged %d times, want x and once", got, charged)
	}
}

// Guards against a retry of a write with unknown outcome on a route that is not idempotent.
func TestUnknownWriteIsNotRunAgain(t *testing.T) {
	for name, idempotent := range map[string]bool{"not idempotent": false, "idempotent": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(_ *Config, route *manifest.Route) { route.Idempotent = idempotent })
			c := r.connect()
			r.primary.nextFault = func(sql string) fakeFault {
				if strings.HasPrefix(sql, "insert") && r.primary.writes.Load() == 0 {
					return closeAfterRun
				}
				return faultNone
			}
			_, err := c.Exec(context.Background(), "insert a")
			want := int64(1)
			if idempotent {
				want = 2
			}
			if (err == nil) != idempotent || int64(r.primary.writes.Load()) != want {
				t.Errorf("write ran %d times with error %v, want %d times", r.primary.writes.Load(), err, want)
			}
		})
	}
}

// Guards against cached statements on a lent connection, which may use another server connection each time,
// and against a wait at the home that counts as execution.
func TestLentConnections(t *testing.T) {
	r := newRig(t)
	r.db.replicas, r.pool.lendsConns = nil, true
	c := r.connect()
	queryText(t, c, "select $1", "x")
	before := r.primary.parses.Load()
	for range 3 {
		queryText(t, c, "select $1", "x")
	}
	if n := r.primary.parses.Load() - before; n != 3 {
		t.Errorf("%d Parse messages for 3 statements, want 3", n)
	}
	if got := r.rec.last(); got.Wait < time.Hour || got.Run > time.Minute {
		t.Errorf("reported %+v, want the wait at the home in Wait", got)
	}
}

// Guards against an unknown outcome for a refused statement, a retry of a statement with unknown outcome,
// and a change of the home that counts as an attempt.
func TestRefusedDeferredConnections(t *testing.T) {
	full := outcome.New(outcome.NotRun, outcome.CodeInsufficientResources, "full", "wait")
	down := outcome.New(outcome.NotRun, outcome.CodeConnectionFailure, "down", "wait")
	canceled := outcome.New(outcome.NotRun, outcome.CodeQueryCanceled, "canceled", "none")
	for name, test := range map[string]struct {
		err        error
		times      int
		sql        string
		idempotent bool
		kind       string // of the caller's error, empty for success
		acquired   int
	}{
		"queue full, write":                {&RefusedError{Outcome: full}, 1, "insert a", false, outcome.NotRun.String(), 1},
		"queue full, read":                 {&RefusedError{Outcome: full}, 1, "select 1", false, "", 2},
		"server down, write":               {&RefusedError{Outcome: down}, 2, "insert a", false, "", 3},
		"home moved, write":                {&RefusedError{Outcome: down, HomeMoved: true}, 3, "insert a", false, "", 4},
		"canceled in the queue, read":      {&RefusedError{Outcome: canceled}, 1, "select 1", false, outcome.NotRun.String(), 1},
		"home failed, write":               {io.ErrUnexpectedEOF, 1, "insert a", false, outcome.Unknown.String(), 1},
		"home failed, idempotent write":    {io.ErrUnexpectedEOF, 1, "insert a", true, "", 2},
		"home failed, read":                {io.ErrUnexpectedEOF, 1, "select 1", false, "", 2},
		"home failed, start of a write tx": {io.ErrUnexpectedEOF, 1, "begin", false, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(_ *Config, route *manifest.Route) { route.Idempotent = test.idempotent })
			c := r.connect()
			failures := 0
			r.pool.deferredErr = func() error {
				if failures == test.times {
					return nil
				}
				failures++
				return test.err
			}
			_, err := c.PgConn().Exec(context.Background(), test.sql).ReadAll()
			var pg *pgconn.PgError
			_ = errors.As(err, &pg)
			switch {
			case test.kind == "" && err != nil, test.kind != "" && (pg == nil || !strings.HasPrefix(pg.Detail, test.kind)):
				t.Errorf("error %v, want %q", err, test.kind)
			}
			if n := len(r.pool.requests); n != test.acquired {
				t.Errorf("%d connections requested, want %d", n, test.acquired)
			}
		})
	}
}
