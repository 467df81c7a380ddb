package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// Guards against a session that does not read its own write, on strict and stale routes, from a lagging replica.
func TestSessionsReadTheirWrites(t *testing.T) {
	f := newFixture(t)
	for _, route := range []string{"strict", "stale"} {
		c := f.open(route)
		c.want("w1", "WRITE item-"+route+" v1", "receipt|READY I -")
		c.want("r1", "READ item-"+route, "row v1|receipt|READY I -")
		f.group.SetLag("r", 1)
		c.want("w2", "WRITE item-"+route+" v2", "receipt|READY I -")
		c.want("r2", "READ item-"+route, "row v2|receipt|READY I -")
		f.group.SetLag("r", 0)
	}
}

// Guards against requests that are smuggled to a server inside another request, and against a session that goes on after one.
func TestLineBreakInARequestRunsNothing(t *testing.T) {
	f := newFixture(t)
	for n, id := range []string{"a\nQUERY smuggled", "a\rQUERY smuggled", "\n", "a\r"} {
		c := f.open("strict")
		begin := "begin-" + strconv.Itoa(n)
		c.want(begin, "BEGIN", "done|READY T -")
		c.want("kept-"+begin, "WRITE z v", "receipt|READY T -")
		c.want(id, "WRITE y v", "MALFORMED|READY E -")
		if line := c.readLine(); line != "closed" {
			t.Errorf("id %q: the session goes on with %q, want it closed", id, line)
		}
	}
	if _, answer := f.dial("strict\n", testKey); !strings.HasPrefix(answer, "ERROR MALFORMED ") {
		t.Errorf("a route with a line break is answered with %q, want MALFORMED", answer)
	}
	if _, answer := f.dial("strict", testKey+"\nQUERY smuggled WRITE y v"); !strings.HasPrefix(answer, "ERROR NOAUTH ") {
		t.Errorf("a key with a line break is answered with %q, want NOAUTH", answer)
	}
	for _, run := range f.group.ExecutedStatements() {
		if !strings.HasPrefix(run.ID, "kept-") {
			t.Errorf("server %s has executed %q, id %s", run.Server, run.Text, run.ID)
		}
	}
	if value, ok := f.group.Content()["z"]; ok {
		t.Errorf("a transaction of a broken session was committed with %q", value)
	}
}

// Guards against data with a line break that is refused, altered or run as several requests, or that can't be read back.
func TestLineBreaksInDataArePassedOn(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	want := map[string]string{}
	for n, data := range []string{"v\nQUERY smuggled WRITE y v", "v\rQUERY smuggled WRITE y v", "v\n", "v\r", "\n\r", "v\nCOMPLETE forged\nREADY I -"} {
		write, read := "w"+strconv.Itoa(n), "r"+strconv.Itoa(n)
		want[write], want[read] = "WRITE x "+data, "READ x"
		c.want(write, "WRITE x "+data, "receipt|READY I -")
		c.want(read, "READ x", "row "+data+"|receipt|READY I -")
	}
	c.want("p", "PREPARE s WRITE q\nq", "done|READY I -")
	c.want("e", "EXECUTE s x v\nw", "receipt|READY I -")
	for _, run := range f.group.ExecutedStatements() {
		if text, ok := want[run.ID]; run.ID != "e" && (!ok || run.Text != text) {
			t.Errorf("server %s has executed %q, id %s, want %q", run.Server, run.Text, run.ID, text)
		}
	}
	if got := f.group.Content()["x"]; got != "v\nw" {
		t.Errorf("the last value is %q, want the one of the prepared write", got)
	}
}

// Guards against a strict read that is answered by a server which is no longer the leader.
func TestStrictReadsVerifyLeadership(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("w1", "WRITE x old", "receipt|READY I -")
	f.group.Promote("r") // the entries still name p as the primary
	other := f.open("strict")
	other.want("w2", "WRITE x new", "receipt|READY I -")
	c.want("r1", "READ x", "row new|receipt|READY I -")
	for _, run := range f.group.ExecutedStatements() {
		if run.ID == "r1" && run.Server != "r" {
			t.Errorf("read ran on %s, want r", run.Server)
		}
	}
}

// Guards against a write that takes effect twice, or that is reported to its caller as not run.
func TestUnansweredWriteIsInDoubt(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	f.group.DropResponses("p", 1)
	c.want("w1", "WRITE x v", "INDOUBT|READY I -")
	effects := 0
	for _, run := range f.group.ExecutedStatements() {
		if run.ID == "w1" && run.TookEffect {
			effects++
		}
	}
	if effects != 1 {
		t.Errorf("the write took effect %d times, want once", effects)
	}
	c.want("r1", "READ x", "row v|receipt|READY I -")
}

// Guards against reads that fail after one lost answer although another server can answer.
func TestUnansweredReadIsRepeated(t *testing.T) {
	f := newFixture(t)
	c := f.open("stale")
	c.want("w1", "WRITE x v", "receipt|READY I -")
	for _, id := range []string{"p", "r"} {
		f.group.DropResponses(id, 1)
		c.want("r-"+id, "READ x", "row v|receipt|READY I -")
		f.group.DropResponses(id, 0)
	}
}

// Guards against a transaction whose statements run on different connections, a commit without the server's
// receipt, and a rollback that keeps writes.
func TestTransactions(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w1", "WRITE x v1", "receipt|READY T -")
	c.want("r1", "READ x", "row v1|receipt|READY T -")
	other := f.open("strict")
	other.want("r2", "READ x", "row -|receipt|READY I -")
	c.want("c1", "COMMIT", "receipt|READY I -")
	other.want("r3", "READ x", "row v1|receipt|READY I -")

	c.want("b2", "BEGIN", "done|READY T -")
	c.want("w2", "WRITE x v2", "receipt|READY T -")
	c.want("e2", "ROLLBACK", "done|READY I -")
	c.want("r4", "READ x", "row v1|receipt|READY I -")

	c.want("b3", "BEGIN READ", "done|READY T -")
	c.want("w3", "WRITE x v3", "READONLY|READY E -")
	c.want("r5", "READ x", "MALFORMED|READY E -")
	c.want("e3", "COMMIT", "ABORTED|READY I -")
}

// Guards against a transaction that is reported as rolled back although it was committed, or the reverse.
func TestTransactionLosesItsServer(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w1", "WRITE x lost", "receipt|READY T -")
	f.group.DropResponses("p", 1)
	c.want("w2", "WRITE x lost", "ABORTED|READY E -")
	c.want("e1", "ROLLBACK", "done|READY I -")
	c.want("r1", "READ x", "row -|receipt|READY I -")

	c.want("b2", "BEGIN", "done|READY T -")
	c.want("w3", "WRITE x kept", "receipt|READY T -")
	f.group.DropResponses("p", 1)
	c.want("c2", "COMMIT", "INDOUBT|READY I -")
	c.want("r2", "READ x", "row kept|receipt|READY I -")
}

// Guards against values and prepared statements of one session that leak to another on a shared connection.
func TestSharedConnectionsIsolateSessions(t *testing.T) {
	f := newFixture(t)
	first, second := f.open("stale"), f.open("stale")
	first.want("s1", "SET zone one", "done|READY I -")
	first.want("p1", "PREPARE q WRITE shape-a", "done|READY I -")
	second.want("s2", "SET lang two", "done|READY I -")
	second.want("p2", "PREPARE q READ shape-b", "done|READY I -")
	first.want("e1", "EXECUTE q item v", "receipt|READY I -")
	second.want("e2", "EXECUTE q item", "row v|receipt|READY I -")
	first.want("e3", "EXECUTE q item w", "receipt|READY I -")
	f.open("stale").want("r1", "READ item", "row w|receipt|READY I -")
	want := map[string]string{"e1": "zone=one", "e2": "lang=two", "e3": "zone=one", "r1": ""}
	shapes := map[string]string{"e1": "WRITE shape-a", "e2": "READ shape-b", "e3": "WRITE shape-a"}
	for _, run := range f.group.ExecutedStatements() {
		if values, ok := want[run.ID]; ok && run.SessionValues != values {
			t.Errorf("%s ran with values %q, want %q", run.ID, run.SessionValues, values)
		}
		if shape, ok := shapes[run.ID]; ok && !strings.HasPrefix(run.Text, shape) {
			t.Errorf("%s ran as %q, want %s", run.ID, run.Text, shape)
		}
	}
	second.want("d2", "DEALLOC q", "done|READY I -")
	second.want("e4", "EXECUTE q item", "NOSTMT|READY I -")
}

// Guards against values set inside a rolled-back transaction that leak to the next session on the connection.
func TestRolledBackValuesDoNotLeak(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("r1", "READ x", "row -|receipt|READY T -")
	c.want("s1", "SET zone one", "done|READY T -")
	c.want("r2", "READ x", "row -|receipt|READY T -")
	c.want("e1", "ROLLBACK", "done|READY I -")
	f.open("strict").want("r3", "READ x", "row -|receipt|READY I -")
	c.want("r4", "READ x", "row -|receipt|READY I -")
	want := map[string]string{"r2": "zone=one", "r3": "", "r4": "zone=one"}
	for _, run := range f.group.ExecutedStatements() {
		if values, ok := want[run.ID]; ok && run.SessionValues != values {
			t.Errorf("%s ran with values %q, want %q", run.ID, run.SessionValues, values)
		}
	}
}

// Guards against serving callers without a valid key, also on sessions that were open when the key was
// withdrawn.
func TestKeysAreChecked(t *testing.T) {
	f := newFixture(t)
	if _, answer := f.dial("strict", "wrong"); !strings.HasPrefix(answer, "ERROR NOAUTH") {
		t.Errorf("a wrong key is answered with %q, want ERROR NOAUTH", answer)
	}
	if _, answer := f.dial("nowhere", testKey); !strings.HasPrefix(answer, "ERROR NODB") {
		t.Errorf("an unknown route is answered with %q, want ERROR NODB", answer)
	}
	if _, answer := f.dial("open", "wrong"); answer != "READY I -" {
		t.Errorf("an open route is answered with %q, want READY I -", answer)
	}
	c := f.open("strict")
	inTx := f.open("strict")
	inTx.want("b1", "BEGIN", "done|READY T -")
	inTx.want("w1", "WRITE x v", "receipt|READY T -")
	f.directory.update(func(d *testDirectory) {
		d.snapshot = catalog.NewSnapshot(catalog.Catalog{
			Version: 2,
			Routes:  []catalog.Route{{Name: "strict", Database: database}}, Databases: []catalog.Database{{Name: database, MaxConnections: 16}},
		})
	})
	c.want("r1", "READ x", "NOAUTH|READY I -")
	inTx.want("c1", "COMMIT", "NOAUTH|READY I -")
	for _, run := range f.group.ExecutedStatements() {
		if run.ID == "r1" || run.TookEffect {
			t.Errorf("%s ran or was committed for a withdrawn key", run.ID)
		}
	}
}

// Guards against callers that are sent away although the first configuration is about to arrive, and against callers that wait
// for it until they give up. Load: all instances restart and their callers connect at once.
func TestSessionsWaitForTheFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		arrives time.Duration
		want    string
	}{{200 * time.Millisecond, "READY I -"}, {time.Hour, "ERROR BUSY"}} {
		f := newFixture(t)
		snapshot, known := f.directory.snapshot, make(chan struct{})
		f.directory.update(func(d *testDirectory) { d.snapshot, d.known = nil, known })
		arrival := time.AfterFunc(c.arrives, func() {
			f.directory.update(func(d *testDirectory) { d.snapshot = snapshot })
			close(known)
		})
		began := time.Now()
		if _, answer := f.dial("strict", testKey); !strings.HasPrefix(answer, c.want) || time.Since(began) > 1500*time.Millisecond {
			t.Errorf("configuration after %s: answered %q after %s, want %s", c.arrives, answer, time.Since(began), c.want)
		}
		arrival.Stop()
	}
}

// Guards against keys that are trusted although the configuration may be outdated.
func TestStaleConfigurationFailsClosed(t *testing.T) {
	f := newFixture(t)
	c := f.open("stale")
	f.directory.update(func(d *testDirectory) { d.stale = true })
	c.want("r1", "READ x", "BUSY|READY I -")
	open, answer := f.dial("open", "")
	if answer != "READY I -" {
		t.Fatalf("open route is answered with %q, want READY I -", answer)
	}
	open.want("r2", "READ x", "row -|receipt|READY I -")
}

// Guards against quota refusals that leave a transaction open, and against operations that are charged twice.
func TestQuotaChargesOperations(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w1", "WRITE x 1", "receipt|READY T -")
	c.want("w2", "WRITE x 2", "receipt|READY T -")
	c.want("c1", "COMMIT", "receipt|READY I -")
	c.want("s1", "SET a b", "done|READY I -")
	c.want("r1", "READ x", "row 2|receipt|READY I -")
	if f.quota.admitted != 2 {
		t.Errorf("%d operations were charged, want 2", f.quota.admitted)
	}
	f.quota.mu.Lock()
	f.quota.err = outcome.New(outcome.NotRun, outcome.CodeTooManyRequests, "above its rate", "").WithRetryAfter(time.Second)
	f.quota.mu.Unlock()
	c.want("b2", "BEGIN", "BUSY|READY I -")
	c.want("r2", "READ x", "BUSY|READY I -")
}

// Guards against statements that fail for lack of a connection while others hold the server's connections only
// briefly.
func TestFullServerIsWaitedFor(t *testing.T) {
	f := newFixture(t)
	f.group.SetMaxConnections(1)
	holder, c := f.open("strict"), f.open("strict")
	holder.want("b1", "BEGIN", "done|READY T -")
	holder.want("w1", "WRITE x v", "receipt|READY T -")
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(200 * time.Millisecond)
		holder.want("c1", "COMMIT", "receipt|READY I -")
	}()
	c.want("r1", "READ x", "row v|receipt|READY I -")
	<-done
}

// Guards against callers that wait until their deadline although no server can answer, and against a refusal
// that does not report that nothing has run.
func TestNoServerIsReportedInTime(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	f.group.Server("p").Stop()
	f.group.Server("r").Stop()
	began := time.Now()
	c.want("w1", "WRITE x v", "BUSY|READY I -")
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("refused after %s, want at most 3 s", took)
	}
}

// Guards against reads that hang on a server which accepts connections and never answers.
func TestSilentReplicaIsSkipped(t *testing.T) {
	f := newFixture(t)
	c := f.open("stale")
	c.want("w1", "WRITE x v", "receipt|READY I -")
	f.group.SetSilent("r", true)
	began := time.Now()
	for _, id := range []string{"r1", "r2", "r3"} {
		c.want(id, "READ x", "row v|receipt|READY I -")
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("three reads took %s with an unresponsive replica, want at most 4 s", took)
	}
}

// Guards against malformed requests that end the session or reach a server.
func TestMalformedRequests(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	for _, text := range []string{"", "DROP x", "BEGIN WRITE", "COMMIT now", "PREPARE q", "PREPARE q DELETE x", "READ", "SET", "AFTER 1.1 READ x", "STATUS"} {
		c.want("m", text, "MALFORMED|READY I -")
	}
	c.want("-", "READ x", "MALFORMED|READY I -")
	c.want("r", "READ x", "row -|receipt|READY I -")
	if runs := f.group.ExecutedStatements(); len(runs) != 1 {
		t.Errorf("%d statements ran, want 1", len(runs))
	}
}

// Guards against a shutdown that aborts an open transaction, or that waits for idle sessions.
func TestStopEndsIdleSessionsAndFinishesTransactions(t *testing.T) {
	f := newFixture(t)
	idle, busy := f.open("strict"), f.open("strict")
	busy.want("b1", "BEGIN", "done|READY T -")
	busy.want("w1", "WRITE x v", "receipt|READY T -")
	stopped := make(chan struct{})
	go func() {
		f.gateway.Shutdown(t.Context(), 5*time.Second)
		close(stopped)
	}()
	if line := idle.readLine(); line != "closed" {
		t.Errorf("idle session gets %q, want it closed", line)
	}
	busy.want("c1", "COMMIT", "receipt|READY I -")
	if line := busy.readLine(); line != "closed" {
		t.Errorf("session gets %q after its transaction, want it closed", line)
	}
	select {
	case <-stopped:
	case <-time.After(4 * time.Second):
		t.Error("shutdown does not return although no session is left")
	}
}

// Guards against idle transactions that hold a connection indefinitely.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	f := newFixture(t)
	f.directory.update(func(d *testDirectory) { d.snapshot = catalogWithIdle(200 * time.Millisecond) })
	c := f.open("strict")
	c.want("b1", "BEGIN", "done|READY T -")
	c.want("w1", "WRITE x v", "receipt|READY T -")
	time.Sleep(600 * time.Millisecond)
	c.want("w2", "WRITE x w", "ABORTED|READY E -")
	c.want("e1", "ROLLBACK", "done|READY I -")
	c.want("r1", "READ x", "row -|receipt|READY I -")
}

func catalogWithIdle(idle time.Duration) *catalog.Snapshot {
	s := testCatalog()
	routes := []catalog.Route{{Name: "strict", Database: database, StatementTimeout: 2 * time.Second, TargetLatency: time.Second, IdleInTransactionTimeout: idle}}
	return catalog.NewSnapshot(catalog.Catalog{Version: 2, Routes: routes, Databases: s.Databases(), Accounts: s.Accounts()})
}

// Guards against opening a new connection for each statement.
func TestConnectionsAreReused(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	for range 20 {
		c.want("w", "WRITE x v", "receipt|READY I -")
		c.want("r", "READ x", "row v|receipt|READY I -")
	}
	if opened := f.group.SessionsOpened(); opened > 3 {
		t.Errorf("%d connections for 40 statements of one session, want at most 3", opened)
	}
}

// distantConn is a connection whose answers arrive after a delay.
type distantConn struct {
	net.Conn
	delay time.Duration
}

func (c distantConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.delay)
	return n, err
}

// Guards against opening a connection while one of the account is about to become idle: a strict read ends with a
// rollback, which takes a round trip that the read's caller does not wait for.
func TestConnectionIsReusedAfterItsRollback(t *testing.T) {
	f := newFixture(t, func(c *Config) {
		dial := c.Dial
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return distantConn{conn, 5 * time.Millisecond}, err
		}
	})
	c := f.open("strict")
	for range 10 {
		c.want("w", "WRITE x v", "receipt|READY I -")
		c.want("r", "READ x", "row v|receipt|READY I -")
	}
	if opened := f.group.SessionsOpened(); opened != 1 {
		t.Errorf("%d connections for the statements of one session on the leader, want 1", opened)
	}
}

// slowQuota refuses after a delay.
type slowQuota time.Duration

func (q slowQuota) AdmitWithin(context.Context, string, quota.Patience) error {
	time.Sleep(time.Duration(q))
	return errBusy
}

// Guards against losing the answer to a request that took longer than writeTimeout, which bounds only the
// writes.
func TestLateAnswerReachesTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		log := logrus.New()
		log.SetOutput(io.Discard)
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		g := New(Config{
			Directory:   &testDirectory{snapshot: testCatalog()},
			Quota:       slowQuota(writeTimeout + time.Second),
			CallerCodec: func(c net.Conn) CallerCodec { return platform.NewCaller(c) },
			Now:         clock,
			Log:         NewEventLog(log, tally.NoopScope, clock),
		})
		g.startSession(ours)
		c := &caller{t: t, conn: theirs, in: bufio.NewReader(theirs)}
		c.send("STARTUP strict " + testKey)
		if got := c.readLine(); got != "READY I -" {
			t.Fatalf("session is answered with %q, want READY I -", got)
		}
		c.want("1", "READ x", "BUSY|READY I -")
		_ = theirs.Close()
		g.awaitNoSession(t.Context())
	})
}

// Guards against statements sent to a primary by an instance that may have missed its replacement, against a wait where
// another instance could serve the caller, and against refusing reads that any replica may answer.
func TestCutOffInstanceSendsNothingToLeaders(t *testing.T) {
	var cutOff atomic.Bool
	f := newFixture(t, func(c *Config) { c.MayUseLeader = func() bool { return !cutOff.Load() } })
	strict, stale := f.open("strict"), f.open("stale")
	strict.want("1", "WRITE x v", "receipt|READY I -")
	stale.want("2", "READ x", "row v|receipt|READY I -")
	strict.want("3", "BEGIN", "done|READY T -")
	strict.want("4", "WRITE x w", "receipt|READY T -")
	cutOff.Store(true)
	began := time.Now()
	strict.want("5", "COMMIT", "BUSY|READY I -")
	strict.want("6", "WRITE x w", "BUSY|READY I -")
	strict.want("7", "READ x", "BUSY|READY I -")
	if took := time.Since(began); took > time.Second {
		t.Errorf("refusals took %s, want them at once", took)
	}
	stale.want("8", "READ x", "row v|receipt|READY I -")
	cutOff.Store(false)
	strict.want("9", "READ x", "row v|receipt|READY I -")
}

// Load: a caller that sends its next requests without waiting, at the moment of a planned stop. Guards against requests that
// have arrived and are cut off without an answer, so that the caller can't tell whether its write has run.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	f := newFixture(t)
	c, waiting := f.open("strict"), f.open("strict")
	f.group.SetServiceTime("p", 4, 50*time.Millisecond)
	c.send("QUERY w1 WRITE x a\r\nQUERY w2 WRITE x b\r\nQUERY w3 WRITE x c")
	time.Sleep(10 * time.Millisecond) // w1 is at the server
	stopped := make(chan struct{})
	go func() {
		f.gateway.Shutdown(t.Context(), 5*time.Second)
		close(stopped)
	}()
	answers := 0
	for line := c.readLine(); line != "closed"; line = c.readLine() {
		if strings.HasPrefix(line, "COMPLETE") || strings.HasPrefix(line, "ERROR") {
			answers++
		}
	}
	if answers != 3 {
		t.Errorf("%d of 3 requests that had arrived were answered", answers)
	}
	if line := waiting.readLine(); line != "closed" {
		t.Errorf("idle session gets %q, want it closed", line)
	}
	select {
	case <-stopped:
	case <-time.After(4 * time.Second):
		t.Error("shutdown does not return although no session is left")
	}
}

// Load: a caller that never pauses between its requests. Guards against a planned stop that such a caller delays, and against
// requests that are cut off when the time for open work is over.
func TestStopRefusesCallersThatNeverPause(t *testing.T) {
	f := newFixture(t)
	c := f.open("strict")
	go func() {
		time.Sleep(50 * time.Millisecond)
		f.gateway.Shutdown(t.Context(), 100*time.Millisecond)
	}()
	began := time.Now()
	for n := 0; time.Since(began) < 3*time.Second; n++ {
		c.send("QUERY r" + strconv.Itoa(n) + " READ x\r\nQUERY s" + strconv.Itoa(n) + " READ x")
		for answers := 0; answers < 2; {
			line := c.readLine()
			if line == "closed" {
				t.Fatalf("a request was cut off %s after the start", time.Since(began))
			}
			if strings.HasPrefix(line, "ERROR") {
				return // told to go elsewhere
			}
			if strings.HasPrefix(line, "COMPLETE") {
				answers++
			}
		}
	}
	t.Error("the session goes on though the instance stops")
}

// Load: callers that connect anew for each request while the instance stops. Guards against a stop that ends while a session
// which was opened during it is being served: the process then exits with a request that has been read and not answered.
func TestStopWaitsForSessionsOpenedMeanwhile(t *testing.T) {
	f := newFixture(t)
	f.group.SetServiceTime("p", 4, 3*time.Millisecond)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if conn, err := net.Dial("tcp", f.address); err == nil {
					_, _ = conn.Write([]byte("STARTUP strict " + testKey + "\r\nQUERY q READ x\r\n"))
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	f.gateway.Shutdown(t.Context(), 50*time.Millisecond)
	if open := f.gateway.Sessions(); open != 0 {
		t.Errorf("%d sessions are open after the stop, want none", open)
	}
	close(stop)
	callers.Wait()
}

// Load: a primary with one slot and more statements than it runs, while their instance loses the store. Guards against statements
// that wait for their turn and are sent to a primary long after the check that they may be.
func TestCutOffInstanceSendsNoWaitingStatementToLeaders(t *testing.T) {
	var cutOff atomic.Bool
	f := newFixture(t, func(c *Config) { c.MayUseLeader = func() bool { return !cutOff.Load() } })
	write, strictRead, commit := f.open("strict"), f.open("strict"), f.open("strict")
	commit.want("1", "BEGIN", "done|READY T -")
	commit.want("2", "WRITE y v", "receipt|READY T -")
	f.setWork(1, 400*time.Millisecond)
	for i := range 3 {
		f.open("strict").send("QUERY f" + strconv.Itoa(i) + " WRITE x v")
	}
	time.Sleep(50 * time.Millisecond)
	commit.send("QUERY 3 COMMIT")
	write.send("QUERY 4 WRITE x late")
	strictRead.send("QUERY 5 READ x")
	time.Sleep(50 * time.Millisecond)
	cutOff.Store(true)
	for name, c := range map[string]*caller{"write": write, "commit": commit, "strict read": strictRead} {
		if line := c.readLine(); !strings.HasPrefix(line, "ERROR BUSY") && !strings.HasPrefix(line, "ERROR ABORTED") {
			t.Errorf("%s that waited is answered with %q, want a refusal", name, line)
		}
	}
}
