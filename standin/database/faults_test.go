package database

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// faultRun writes to a group and confirms the writes as the design document describes, while another
// goroutine injects faults.
type faultRun struct {
	group *Group
	// restartLock is held for writing by Restart, which replaces a server, and for reading by the users
	// of a server.
	restartLock    sync.RWMutex
	confirmed      []string     // may be read once writeUntil has returned
	confirmedCount atomic.Int64 // length of confirmed
}

func (r *faultRun) states() []authority.ServerState {
	r.restartLock.RLock()
	defer r.restartLock.RUnlock()
	var list []authority.ServerState
	for _, m := range r.group.members {
		if m.server.isRunning() {
			list = append(list, m.server.State())
		}
	}
	return list
}

// commit writes key on the primary and returns the term that the primary had before.
func (r *faultRun) commit(key string) (uint64, error) {
	r.restartLock.RLock()
	defer r.restartLock.RUnlock()
	i := r.group.Primary()
	if i < 0 {
		return 0, errStopped
	}
	server := r.group.Server(i)
	term := server.State().Term
	return term, server.state.commit([]op{{Kind: opSet, Key: key}})
}

// confirm waits a short time for a round of probes in which a majority has reached the position that the
// primary of term had after the commit.
func (r *faultRun) confirm(term uint64) bool {
	const rounds = 20
	wanted := primaryPosition(r.states())
	for range rounds {
		if wanted.Term != term {
			return false
		}
		agreeing := 0
		for _, s := range r.states() {
			if s.Term == wanted.Term && s.FenceTerm <= wanted.Term && s.LSN >= wanted.LSN {
				agreeing++
			}
		}
		if agreeing > r.group.Size()/2 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// primaryPosition returns the position of the primary of the highest term among states.
func primaryPosition(states []authority.ServerState) position.Position {
	var p position.Position
	for _, s := range states {
		if s.Role == authority.RolePrimary {
			p = position.Max(p, s.Position())
		}
	}
	return p
}

func (r *faultRun) writeUntil(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprint(n)
		term, err := r.commit(key)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if r.confirm(term) {
			r.confirmed = append(r.confirmed, key)
			r.confirmedCount.Add(1)
		}
	}
}

func (r *faultRun) injectFault(t *testing.T, random *rand.Rand) {
	i, on := random.IntN(r.group.Size()), random.IntN(2) == 0
	switch random.IntN(5) {
	case 0:
		r.group.CutPeers(i, on)
	case 1:
		r.group.FreezeReplication(i, on)
	case 2:
		r.restartLock.Lock()
		defer r.restartLock.Unlock()
		if err := r.group.Restart(i); err != nil {
			t.Error(err)
		}
	default:
		r.restartLock.RLock()
		defer r.restartLock.RUnlock()
		if _, err := r.group.Failover("owner", i); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
}

// Guards against losing a confirmed write by a failover, a rewind or a restart, and against servers that
// don't converge.
func TestConfirmedWritesSurviveFaults(t *testing.T) {
	const minFaults = 40
	// A loaded machine may fail to confirm any write during the first faults, each of which is followed by a pause of
	// 20 ms on average. Faults then continue up to limit, since a run without a confirmed write tests nothing.
	const limit = 30 * time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			lag := time.Duration(seed) * time.Millisecond
			r := &faultRun{group: startGroup(t, GroupConfig{Server: Config{ReplicationLag: lag, ReplicationJitter: lag, Seed: seed}})}
			random := rand.New(rand.NewPCG(seed, 0))
			stop := make(chan struct{})
			var writing sync.WaitGroup
			writing.Add(1)
			go func() {
				defer writing.Done()
				r.writeUntil(stop)
			}()
			end := time.Now().Add(limit)
			for n := 0; n < minFaults || r.confirmedCount.Load() == 0 && time.Now().Before(end); n++ {
				r.injectFault(t, random)
			}
			close(stop)
			writing.Wait()
			r.removeFaults(t)
			r.checkConverged(t)
		})
	}
}

func (r *faultRun) removeFaults(t *testing.T) {
	for i := range r.group.Size() {
		r.group.CutPeers(i, false)
		r.group.FreezeReplication(i, false)
	}
	if _, err := r.group.Failover("owner", -1); err != nil {
		t.Fatal(err)
	}
}

func (r *faultRun) checkConverged(t *testing.T) {
	t.Helper()
	primary := r.group.Server(r.group.Primary())
	want := primary.State()
	for i := range r.group.Size() {
		waitPosition(t, r.group, i, want.Position())
		if got := r.group.Server(i).State(); fmt.Sprint(got.History) != fmt.Sprint(want.History) {
			t.Errorf("server %d has history %v, want %v as on the primary", i, got.History, want.History)
		}
	}
	rows := primary.Rows()
	for _, key := range r.confirmed {
		if _, ok := rows[key]; !ok {
			t.Errorf("confirmed write %s is lost", key)
		}
	}
	if len(r.confirmed) == 0 {
		t.Error("no write was confirmed, so nothing was tested")
	}
	t.Logf("%d confirmed writes, term %d, LSN %d", len(r.confirmed), want.Term, want.LSN)
}

// serverDirectoryEnv names the environment variable that makes the test binary run a server with this
// data directory instead of the tests.
const serverDirectoryEnv = "CYCLAMENSTILE_TEST_SERVER_DIRECTORY"

func TestMain(m *testing.M) {
	if dir := os.Getenv(serverDirectoryEnv); dir != "" {
		runServerProcess(dir)
	}
	os.Exit(m.Run())
}

// runServerProcess prints the server's address and serves until standard input ends.
func runServerProcess(dir string) {
	s, err := Start(Config{ID: "s1", Primary: true, DataDir: dir})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(s.Address())
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
	os.Exit(0)
}

func startProcess(t *testing.T, dir string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serverDirectoryEnv+"="+dir)
	if _, err := cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return cmd, strings.TrimSpace(address)
}

// Guards against losing an acknowledged write when the process is killed.
func TestKilledProcessKeepsAnsweredWrites(t *testing.T) {
	const writers, minAnswered = 4, 200
	dir := t.TempDir()
	cmd, address := startProcess(t, dir)
	answered := make(chan string, writers)
	var writing sync.WaitGroup
	for w := range writers {
		conn, err := connect(t, address, "")
		if err != nil {
			t.Fatal(err)
		}
		writing.Add(1)
		go func() {
			defer writing.Done()
			insertUntilError(conn, w, answered)
		}()
	}
	var keys []string
	for len(keys) < minAnswered {
		keys = append(keys, <-answered)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	go func() {
		writing.Wait()
		close(answered)
	}()
	for key := range answered {
		keys = append(keys, key)
	}
	_, address = startProcess(t, dir)
	conn, err := connect(t, address, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		if query(t, conn, "SELECT value FROM kv WHERE key = $1", []any{key}) != "v" {
			t.Errorf("acknowledged write %s is lost", key)
		}
	}
}

func insertUntilError(conn *pgx.Conn, writer int, answered chan<- string) {
	for n := 0; ; n++ {
		key := fmt.Sprintf("%d.%d", writer, n)
		if _, err := conn.Exec(context.Background(), "INSERT INTO kv VALUES ($1, 'v')", key); err != nil {
			return
		}
		answered <- key
	}
}
