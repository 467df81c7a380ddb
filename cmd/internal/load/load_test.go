package load

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// eventTimeout bounds every wait for an event in these tests.
const eventTimeout = 20 * time.Second

func startGroup(t *testing.T) *database.Group {
	t.Helper()
	g, err := database.StartGroup(database.GroupConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func testConfig(g *database.Group) Config {
	return Config{
		Addresses:   []string{g.Server(0).Address()},
		Accounts:    []Account{{Name: "a"}, {Name: "b", Rate: 200}},
		Connections: 4,
		ReadShare:   0.5,
		Duration:    eventTimeout,
		Seed:        1,
	}
}

// loadDuring runs the load until disturb returns. disturb is called after the first writes.
func loadDuring(t *testing.T, g *database.Group, c Config, disturb func()) *Result {
	t.Helper()
	done := make(chan *Result, 1)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		r, err := Run(ctx, c)
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	waitFor(t, func() bool { return g.Server(0).State().LSN > 100 })
	disturb()
	stop()
	return <-done
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s", eventTimeout)
		}
	}
}

func checkHistory(t *testing.T, g *database.Group, server int, r *Result) []history.Violation {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if err := r.ReadFinalContent(ctx, g.Server(server).Address(), "", Account{Name: "a"}); err != nil {
		t.Fatal(err)
	}
	return history.Check(r.History)
}

// Guards against a load generator that records violations of a correct database.
func TestHealthyServer(t *testing.T) {
	g := startGroup(t)
	r := loadDuring(t, g, testConfig(g), func() {})
	if v := checkHistory(t, g, 0, r); len(v) > 0 {
		t.Errorf("violations %v, want none", v)
	}
	a, b := r.Counts["a"], r.Counts["b"]
	if a.Succeeded == 0 || a.NotRun+a.Unknown+b.NotRun+b.Unknown > 0 {
		t.Errorf("counts %+v and %+v, want successful statements only", a, b)
	}
	if limit := 200*r.Elapsed.Seconds() + 4; float64(b.Sent) > limit {
		t.Errorf("%d statements at an offered rate of 200/s, at most %.0f expected", b.Sent, limit)
	}
	if got := r.Reads.TotalCount() + r.Writes.TotalCount(); got != int64(a.Succeeded+b.Succeeded) {
		t.Errorf("%d latencies for %d statements", got, a.Succeeded+b.Succeeded)
	}
}

// Guards against sessions that don't reconnect after a restart of the server, and against writes that are
// misclassified when their connection breaks.
func TestRestartedServer(t *testing.T) {
	g := startGroup(t)
	var after uint64
	r := loadDuring(t, g, testConfig(g), func() {
		if err := g.Restart(0); err != nil {
			t.Error(err)
		}
		after = g.Server(0).State().LSN
		waitFor(t, func() bool { return g.Server(0).State().LSN > after })
	})
	if v := checkHistory(t, g, 0, r); len(v) > 0 {
		t.Errorf("violations %v, want none", v)
	}
}

// Guards against lost writes that neither the load generator nor the history check detects.
func TestLostWritesAreFound(t *testing.T) {
	g := startGroup(t)
	var next int
	r := loadDuring(t, g, testConfig(g), func() {
		g.CutPeers(0, true)
		cut := g.Server(0).State().LSN
		waitFor(t, func() bool { return g.Server(0).State().LSN > cut+10 })
		var err error
		if next, err = g.Failover("test", 0); err != nil {
			t.Error(err)
		}
	})
	for _, v := range checkHistory(t, g, next, r) {
		if _, ok := v.(history.LostWrite); ok {
			return
		}
	}
	t.Error("history check found no lost write, want one")
}

// Guards against a refusal that is counted as unknown, and against an unknown outcome that is counted as
// not run, which would make the history check report a violation of a correct system.
func TestClassify(t *testing.T) {
	cases := []struct {
		err  error
		want history.EventKind
	}{
		{nil, history.WriteAcknowledged},
		{&pgconn.PgError{Code: "25006"}, history.WriteNotRun},
		{fmt.Errorf("wrapped: %w", &pgconn.PgError{Code: "53400"}), history.WriteNotRun},
		{&pgconn.PgError{Code: "23505"}, history.WriteNotRun},
		{&pgconn.PgError{Code: "40003"}, history.WriteUnknown},
		{&pgconn.PgError{Code: "57014"}, history.WriteUnknown},
		{&pgconn.PgError{Code: "57P01"}, history.WriteUnknown},
		{&pgconn.PgError{Code: "57P01", Detail: "not_run"}, history.WriteNotRun},
		{&pgconn.PgError{Code: "57P01", Detail: "not_run retry_after_ms=5"}, history.WriteNotRun},
		{&pgconn.PgError{Code: "57P01", Detail: "outcome_unknown"}, history.WriteUnknown},
		{errors.New("connection reset"), history.WriteUnknown},
	}
	for _, c := range cases {
		if got := Classify(c.err); got != c.want {
			t.Errorf("%v: kind %d, want %d", c.err, got, c.want)
		}
	}
}
