package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	database = "db"
	testKey  = "key-of-a"
)

// testDirectory is a configuration that tests can change.
type testDirectory struct {
	mu       sync.Mutex
	snapshot *catalog.Snapshot
	known    chan struct{} // nil: closed
	stale    bool
}

func (d *testDirectory) Current() *catalog.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

func (d *testDirectory) Known() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = make(chan struct{})
		close(d.known)
	}
	return d.known
}

func (d *testDirectory) Fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stale
}

func (d *testDirectory) update(f func(d *testDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// testQuota counts admitted operations, and refuses all if err is set.
type testQuota struct {
	mu       sync.Mutex
	err      error
	admitted int
}

func (q *testQuota) AdmitWithin(context.Context, string, quota.Patience) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.admitted++
	}
	return q.err
}

func testCatalog() *catalog.Snapshot {
	sum := manifest.HashKey(testKey).String()
	route := func(name string, staleness time.Duration) catalog.Route {
		return catalog.Route{
			Name: name, Database: database, MaxStaleness: staleness,
			StatementTimeout: 2 * time.Second, TargetLatency: time.Second, IdleInTransactionTimeout: 10 * time.Second,
		}
	}
	open := route("open", 2*time.Second)
	open.Open = true
	urgent, patient, long := route("urgent", 0), route("patient", 0), route("long", 0)
	urgent.Priority, patient.Priority = 0, 3
	long.StatementTimeout = 5 * time.Second
	return catalog.NewSnapshot(catalog.Catalog{
		Version:   1,
		Routes:    []catalog.Route{route("strict", 0), route("stale", 3*time.Second), open, urgent, patient, long},
		Databases: []catalog.Database{{Name: database, MaxConnections: 16}},
		Accounts:  []manifest.Account{{Name: "a", Keys: []manifest.Key{{ID: sum[:8], SHA256: sum}}}},
	})
}

// fixture is a gateway in front of a group of stand-in servers.
type fixture struct {
	t         testing.TB
	group     *linedb.Group
	gateway   *Gateway
	directory *testDirectory
	quota     *testQuota
	address   string
	slots     int // of each server, as registered
}

// setWork sets the leader's slots and the time that a statement occupies one.
func (f *fixture) setWork(slots int, work time.Duration) {
	f.group.SetServiceTime("p", slots, work)
	f.slots = slots
	f.register("p")
}

func newFixture(t testing.TB, change ...func(*Config)) *fixture {
	t.Helper()
	group, err := linedb.New(database, "p", "r")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	return newFixtureWithGroup(t, group, change...)
}

func newFixtureWithGroup(t testing.TB, group *linedb.Group, change ...func(*Config)) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{t: t, group: group, directory: &testDirectory{snapshot: testCatalog()}, quota: &testQuota{}, slots: 4}
	cfg := Config{
		Local:       placement.Locality{Region: "here", FailureDomain: "here-a"},
		Directory:   f.directory,
		Quota:       f.quota,
		Dial:        (&net.Dialer{}).DialContext,
		CallerCodec: func(c net.Conn) CallerCodec { return platform.NewCaller(c) },
		ServerCodec: func(c net.Conn) ServerCodec { return platform.NewServer(c) },
		ParseStatus: platform.ParseStatus,
		Instances:   func(discovery.Server) int { return 1 },
		Now:         boottime.Now,
		Log:         NewEventLog(log, tally.NoopScope, boottime.Now),
	}
	for _, apply := range change {
		apply(&cfg)
	}
	f.gateway = New(cfg)
	f.register("p")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	go f.gateway.Serve(l)
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.gateway.Shutdown(ctx, 0)
	})
	return f
}

// register registers both servers, with one as the primary.
func (f *fixture) register(primary string) {
	var entries []discovery.Server
	for i, id := range []string{"p", "r"} {
		entries = append(entries, discovery.Server{
			ID: id, Database: database, Address: f.group.Address(id), Region: "here", Slots: f.slots,
			Primary: id == primary, Revision: uint64(i + 1),
		})
	}
	f.gateway.SetServers(entries)
}

// caller is a client that speaks the line protocol.
type caller struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

// dial opens a session and returns it with the first answer.
func (f *fixture) dial(route, key string) (*caller, string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	c := &caller{t: f.t, conn: conn, in: bufio.NewReader(conn)}
	c.send("STARTUP " + route + " " + key)
	return c, c.readLine()
}

// open opens a session and fails the test if it is refused.
func (f *fixture) open(route string) *caller {
	f.t.Helper()
	c, answer := f.dial(route, testKey)
	if answer != "READY I -" {
		f.t.Fatalf("session is answered with %q, want READY I -", answer)
	}
	return c
}

func (c *caller) send(line string) {
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) readLine() string {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := c.in.ReadString('\n')
		if err != nil {
			return "closed"
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n")
}

// ask sends a query and returns the lines of the answer joined by "|", with receipts and error texts shortened.
func (c *caller) ask(id, text string) string {
	c.t.Helper()
	c.send("QUERY " + id + " " + text)
	return c.answer(id)
}

// answer returns the answer to the query with an id, in the form of ask.
func (c *caller) answer(id string) string {
	c.t.Helper()
	var out []string
	for {
		line := c.readLine()
		fields := strings.Fields(line)
		switch fields[0] {
		case "COMPLETE":
			line = "done"
			if strings.HasPrefix(fields[1], "receipt-") && strings.HasSuffix(fields[1], "-"+id) {
				line = "receipt"
			}
		case "ERROR":
			line = fields[1]
		case "DATAROW":
			line = "row " + strings.TrimPrefix(line, "DATAROW ")
		}
		out = append(out, line)
		if fields[0] == "READY" || line == "closed" {
			return strings.Join(out, "|")
		}
	}
}

// want fails the test unless the answer is as given.
func (c *caller) want(id, text, answer string) {
	c.t.Helper()
	if got := c.ask(id, text); got != answer {
		c.t.Errorf("%s is answered with %q, want %q", text, got, answer)
	}
}
