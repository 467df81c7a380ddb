// Package homefault stops and kills the home instance of the primary, which runs in its own process,
// while other instances run statements through it. It contains only tests.
package homefault

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/freeport"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/serve"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

const (
	// eventTimeout limits every wait for an event.
	eventTimeout = 30 * time.Second
	// takeoverTarget is the stated time within which statements succeed through the next home.
	takeoverTarget = 2 * time.Second
	// serveVariable makes the test binary run the daemon instead of the tests.
	serveVariable = "HOMEFAULT_SERVE"

	account = "marshals"
	upsert  = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
)

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		os.Exit(serve.Main())
	}
	os.Exit(m.Run())
}

// scenario is a deployment with two instances in this process and the home of the primary in another.
type scenario struct {
	*local.Deployment
	t      *testing.T
	home   *exec.Cmd
	ops    string // address of the home instance
	exited chan struct{}

	mu     sync.Mutex
	failed map[string]int // statements since the start of the load, by outcome and SQLSTATE
}

// recordFailure counts a failed statement for the output of the test.
func (s *scenario) recordFailure(st engine.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil && st.Outcome != engine.OutcomeOK {
		s.failed[fmt.Sprint(st.Outcome, " ", st.Code, " ", st.Server)]++
	}
}

func (s *scenario) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = make(map[string]int)
}

func start(t *testing.T, server database.Config, drain time.Duration) *scenario {
	t.Helper()
	s := &scenario{t: t, exited: make(chan struct{})}
	d, err := local.Start(t.Context(), local.Config{
		Adjust:    func(_ int, c *daemon.Config) { c.OnStatement = s.recordFailure },
		Instances: 2,
		Server:    server,
		Accounts:  []local.Account{{Name: account, Weight: 1, Rate: 1e6, Burst: 1e6}},
		Routes:    []manifest.Route{{Name: local.DatabaseName, Database: local.DatabaseName, Accounts: []string{account}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s.Deployment = d
	s.startHome(drain)
	return s
}

// startHome starts the process and waits until other instances reach the primary through it.
func (s *scenario) startHome(drain time.Duration) {
	s.t.Helper()
	peerAddress := s.homeAddress()
	s.ops = s.freeAddress()
	s.home = exec.Command(os.Args[0], "serve",
		"--instance-id", "home", "--region", "local", "--failure-domain", "local-a",
		"--listen", "127.0.0.1:0", "--peer-listen", peerAddress, "--ops-listen", s.ops,
		"--store", s.Store.URL(), "--allow-plain", "--list-poll", "1s", "--drain-timeout", drain.String())
	s.home.Env = append(os.Environ(), serveVariable+"=1")
	s.home.Stderr = s.t.Output()
	s.home.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.home.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		defer close(s.exited)
		_ = s.home.Wait()
	}()
	s.t.Cleanup(func() {
		_ = s.home.Process.Kill()
		<-s.exited
	})
	s.waitFor("home ready", s.ready)
	s.publishInstances(peerAddress)
	// The server's own connection count is not usable here, since it includes control connections.
	s.waitFor("connection lent by the new home", func() bool {
		return s.write(0, "ready") == nil && s.lendsPrimaryConnection()
	})
}

// lendsPrimaryConnection reports whether the home has opened a connection to the primary. The home
// itself serves no callers, so the connection was opened for another instance.
func (s *scenario) lendsPrimaryConnection() bool {
	response, err := http.Get("http://" + s.ops + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	series := fmt.Sprintf(`cyclamenstile_server_connections_opened_total{server="%s"} `, s.primary().ID())
	return err == nil && bytes.Contains(metrics, []byte(series)) && !bytes.Contains(metrics, []byte(series+"0\n"))
}

// ready reports whether the home is ready for callers.
func (s *scenario) ready() bool {
	response, err := http.Get("http://" + s.ops + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *scenario) primary() *database.Server { return s.Group.Server(0) }

// homeAddress returns a free peer address with which an instance becomes the home of the primary.
func (s *scenario) homeAddress() string {
	s.t.Helper()
	var address string
	s.waitFor("address of the home", func() bool {
		address = s.freeAddress()
		return peer.Rendezvous(string(s.primary().ID()), s.addresses(address)) == address
	})
	return address
}

func (s *scenario) freeAddress() string {
	s.t.Helper()
	address, err := freeport.Address()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

func (s *scenario) addresses(home string) []string {
	return []string{s.Instances[0].PeerAddress, s.Instances[1].PeerAddress, home}
}

func (s *scenario) publishInstances(home string) {
	s.t.Helper()
	var list []objectstore.Instance
	for i, address := range s.addresses(home) {
		list = append(list, objectstore.Instance{
			ID: fmt.Sprint("instance-", i), PeerAddress: address, Region: "local", FailureDomain: "local-a",
		})
	}
	if err := s.SetInstances(s.t.Context(), list); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scenario) waitFor(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(eventTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: did not happen within %s", what, eventTimeout)
		}
	}
}

func (s *scenario) signal(sig syscall.Signal) {
	s.t.Helper()
	if err := s.home.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// awaitExit waits until the home has ended and returns its exit code.
func (s *scenario) awaitExit() int {
	s.t.Helper()
	s.waitFor("end of the home", func() bool {
		select {
		case <-s.exited:
			return true
		default:
			return false
		}
	})
	return s.home.ProcessState.ExitCode()
}

func (s *scenario) connect(instance int) *pgx.Conn {
	s.t.Helper()
	c, err := pgx.Connect(s.t.Context(), s.URL(instance, local.DatabaseName, account))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (s *scenario) write(instance int, key string) error {
	ctx := s.t.Context()
	c, err := pgx.Connect(ctx, s.URL(instance, local.DatabaseName, account))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, upsert, key, "1")
	return err
}

// loadDuring runs a load through the two instances of this process until fault returns, and checks its
// history.
func (s *scenario) loadDuring(fault func()) *load.Result {
	s.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan *load.Result, 1)
	go func() {
		r, err := load.Run(ctx, load.Config{
			Addresses: []string{s.Instances[0].Address, s.Instances[1].Address},
			Database:  local.DatabaseName, Accounts: []load.Account{{Name: account, Key: s.Key(account)}},
			Connections: 12, ReadShare: 0.3, Duration: 2 * eventTimeout, Seed: 1,
		})
		if err != nil {
			s.t.Error(err)
		}
		done <- r
	}()
	s.resetFailures()
	s.awaitWrites(200)
	fault()
	stop()
	result := <-done
	if err := result.ReadFinalContent(s.t.Context(), s.primary().Address(), "", load.Account{Name: "test"}); err != nil {
		s.t.Fatal(err)
	}
	for _, v := range history.Check(result.History) {
		s.t.Errorf("violation: %s", v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%+v, longest write gap %s, failed %+v", result.Counts[account], result.WriteGap, s.failed)
	return result
}

// awaitWrites waits until the primary has executed n more writes.
func (s *scenario) awaitWrites(n uint64) {
	s.t.Helper()
	from := s.primary().State().LSN
	s.waitFor("writes at the primary", func() bool { return s.primary().State().LSN >= from+n })
}

// Guards against wrong outcomes or repeated execution of statements that ran through a killed home, against
// a slow takeover by the next home, and against server connections of the killed home that stay open.
func TestHomeKilled(t *testing.T) {
	s := start(t, database.Config{Slots: 3, MaxConnections: 20, ConnectCost: 10 * time.Millisecond, ServiceTime: 2 * time.Millisecond}, eventTimeout)
	result := s.loadDuring(func() {
		s.primary().ResetUsage()
		s.signal(syscall.SIGKILL)
		s.awaitWrites(500)
	})
	if result.WriteGap >= takeoverTarget {
		t.Errorf("no write for %s, want less than %s", result.WriteGap, takeoverTarget)
	}
	// Without transactions a home opens at most as many connections as there are slots.
	s.waitFor("end of the killed home's connections", func() bool { return s.primary().Clients() <= 3 })
	if open := s.primary().Usage().PeakOpen; open > 20 {
		t.Errorf("%d concurrent connections, want at most 20", open)
	}
}

// Guards against a planned stop of a home that interrupts statements of other instances or makes them
// fail.
func TestHomeStopped(t *testing.T) {
	s := start(t, database.Config{Slots: 3, MaxConnections: 20, ConnectCost: 10 * time.Millisecond, ServiceTime: 20 * time.Millisecond}, eventTimeout)
	result := s.loadDuring(func() {
		s.signal(syscall.SIGTERM)
		if code := s.awaitExit(); code != 0 {
			t.Errorf("exit code %d, want 0", code)
		}
		s.awaitWrites(100)
	})
	// The home may also own the token pool of the account; statements wait while the pool moves to another owner.
	if c := result.Counts[account]; c.Unknown+c.ConnectFailures+c.NotRun > 0 {
		t.Errorf("counts %+v, want no failures; failures by outcome: %v", c, s.failed)
	}
	if result.WriteGap >= takeoverTarget {
		t.Errorf("no write for %s, want less than %s", result.WriteGap, takeoverTarget)
	}
}

// begin opens a transaction through instance 0, and so through the home, and writes in it.
func (s *scenario) begin(key string) pgx.Tx {
	s.t.Helper()
	tx, err := s.connect(0).Begin(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := tx.Exec(s.t.Context(), upsert, key, "1"); err != nil {
		s.t.Fatal(err)
	}
	return tx
}

// Guards against a planned stop of a home that ends an open transaction of another instance before the
// drain timeout.
func TestHomeStoppedDuringTransaction(t *testing.T) {
	s := start(t, database.Config{}, eventTimeout)
	tx := s.begin("first")
	s.signal(syscall.SIGTERM)
	s.waitFor("drain of the home", func() bool { return !s.ready() })
	if err := s.write(1, "beside"); err != nil {
		t.Errorf("write through the next home: %v", err)
	}
	if _, err := tx.Exec(t.Context(), upsert, "second", "1"); err != nil {
		t.Fatalf("statement in an open transaction: %v", err)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Fatalf("commit of an open transaction: %v", err)
	}
	if code := s.awaitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	if rows := s.primary().Rows(); rows["first"] == "" || rows["second"] == "" {
		t.Errorf("rows %v lack writes of the committed transaction", rows)
	}
}

// Guards against a home that does not exit while a transaction of another instance stays open, and against
// a partial commit of that transaction.
func TestHomeStopsAfterDrainTimeout(t *testing.T) {
	s := start(t, database.Config{}, time.Second)
	tx := s.begin("open")
	s.signal(syscall.SIGTERM)
	if code := s.awaitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	if err := tx.Commit(t.Context()); err == nil {
		t.Error("transaction committed after the home had ended it, want an error")
	}
	if rows := s.primary().Rows(); rows["open"] != "" {
		t.Errorf("rows %v contain a write of the ended transaction", rows)
	}
	s.waitFor("write to a key of the ended transaction", func() bool { return s.write(0, "open") == nil })
}
