package database

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

func startGroup(t testing.TB, c GroupConfig) *Group {
	t.Helper()
	g, err := StartGroup(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func newControlClient(t *testing.T, g *Group, i int) *dbgroup.Client {
	t.Helper()
	c, err := g.Client(i)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func write(t testing.TB, s *Server, key string) {
	t.Helper()
	if _, err := mustConnect(t, s).Exec(testContext(t), "INSERT INTO kv VALUES ($1, 'v')", key); err != nil {
		t.Fatal(err)
	}
}

func waitPosition(t testing.TB, g *Group, i int, want position.Position) {
	t.Helper()
	waitFor(t, fmt.Sprintf("server %d at %s", i, want), func() bool {
		return g.Server(i).State().Position() == want
	})
}

// Checks the contract of dbgroup.Server: a term whose fence was granted to one owner is refused to every
// other owner.
func TestFenceAndPromoteContract(t *testing.T) {
	steps := []struct {
		name    string
		promote bool
		term    uint64
		owner   string
		refused bool
	}{
		{name: "fence at the log's term", term: 1, owner: "a", refused: true},
		{name: "fence above the log's term", term: 3, owner: "a"},
		{name: "same fence again", term: 3, owner: "a"},
		{name: "same term, other owner", term: 3, owner: "b", refused: true},
		{name: "lower term", term: 2, owner: "a", refused: true},
		{name: "promote below the fence", promote: true, term: 2, owner: "a", refused: true},
		{name: "promote above the fence", promote: true, term: 4, owner: "a", refused: true},
		{name: "promote for another owner", promote: true, term: 3, owner: "b", refused: true},
		{name: "promote", promote: true, term: 3, owner: "a"},
		{name: "promote again", promote: true, term: 3, owner: "a"},
		{name: "fence again after the promotion", term: 3, owner: "a"},
		{name: "fence of the next owner", term: 4, owner: "b"},
		{name: "late promote of the former owner", promote: true, term: 3, owner: "a", refused: true},
	}
	ctx := testContext(t)
	s := startServer(t, Config{})
	c, err := dbgroup.NewClient(dbgroup.Config{Server: "s1", Address: s.Address(), User: "x"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var previous authority.ServerState
	for _, step := range steps {
		call := c.Fence
		if step.promote {
			call = c.Promote
		}
		state, err := call(ctx, step.term, step.owner)
		if errors.Is(err, dbgroup.ErrRefused) != step.refused || (err != nil) != step.refused {
			t.Fatalf("%s: unexpected result, error %v", step.name, err)
		}
		probed, err := c.Probe(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if probed.LSN < previous.LSN || probed.FenceTerm < previous.FenceTerm || probed.Incarnation != 1 {
			t.Fatalf("%s: state changed from %+v to %+v, want the same incarnation and no lower LSN or fence term", step.name, previous, probed)
		}
		if !step.refused && state.FenceTerm != step.term {
			t.Fatalf("%s: returned state %+v, want the fence term of the step", step.name, state)
		}
		previous = probed
	}
	if want := (position.History{{Term: 1}, {Term: 3}}); fmt.Sprint(previous.History) != fmt.Sprint(want) {
		t.Errorf("history %v, want %v", previous.History, want)
	}
	s.Kill()
	if _, err := c.Probe(ctx); !errors.Is(err, dbgroup.ErrNoListener) {
		t.Errorf("probe of a killed server: %v, want ErrNoListener", err)
	}
}

// Guards against a fenced primary that commits a write, in particular one of an already open transaction.
func TestFencedPrimaryRefusesWrites(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	conn := mustConnect(t, g.Server(0))
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO kv VALUES ('a', 'b')"); err != nil {
		t.Fatal(err)
	}
	if _, err := newControlClient(t, g, 0).Fence(ctx, 2, "x"); err != nil {
		t.Fatal(err)
	}
	wantCode(t, tx.Commit(ctx), codeReadOnly)
	_, err = conn.Exec(ctx, "INSERT INTO kv VALUES ('a', 'b')")
	wantCode(t, err, codeReadOnly)
	if s := g.Server(0).State(); s.LSN != 0 || s.Role != authority.RoleFenced {
		t.Errorf("state %+v, want a fenced server with LSN 0", s)
	}
	_, err = mustConnect(t, g.Server(1)).Exec(ctx, "INSERT INTO kv VALUES ('a', 'b')")
	wantCode(t, err, codeReadOnly)
}

// Guards against a server that keeps divergent log records, or its client connections, after a rewind.
func TestRewindAfterFailover(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	write(t, g.Server(0), "kept")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 1})
	g.CutPeers(0, true)
	write(t, g.Server(0), "divergent")
	write(t, g.Server(0), "divergent too")
	old := mustConnect(t, g.Server(0))
	before := g.Server(0).State()

	next, err := g.Failover("x", 0)
	if err != nil {
		t.Fatal(err)
	}
	write(t, g.Server(next), "new")
	waitPosition(t, g, 3-next, position.Position{Term: 2, LSN: 3})
	if s := g.Server(0).State(); s.Role != authority.RolePrimary || s.LSN != 3 {
		t.Errorf("state of the cut-off primary %+v, want the primary role and LSN 3", s)
	}
	g.CutPeers(0, false)
	waitPosition(t, g, 0, position.Position{Term: 2, LSN: 3})
	after := g.Server(0).State()
	if after.Incarnation <= before.Incarnation || after.Role != authority.RoleReplica {
		t.Errorf("state %+v after %+v, want a replica in a later incarnation", after, before)
	}
	if rows := g.Server(0).Rows(); len(rows) != 2 || rows["new"] != "v" {
		t.Errorf("rows %v, want those of the new primary only", rows)
	}
	if err := old.Ping(ctx); err == nil {
		t.Error("ping over a connection from before the rewind succeeded, want an error")
	}
}

// Guards against a term that begins twice, when a promotion is repeated after its server was rewound by
// the primary of a later term.
func TestLatePromotionAfterRewindIsRefused(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	for _, i := range []int{0, 1} {
		if _, err := newControlClient(t, g, i).Fence(ctx, 2, "a"); err != nil {
			t.Fatal(err)
		}
	}
	g.CutPeers(1, true)
	if _, err := newControlClient(t, g, 1).Promote(ctx, 2, "a"); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{0, 2} {
		if _, err := newControlClient(t, g, i).Fence(ctx, 3, "b"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := newControlClient(t, g, 0).Promote(ctx, 3, "b"); err != nil {
		t.Fatal(err)
	}
	g.CutPeers(1, false)
	waitPosition(t, g, 1, position.Position{Term: 3, LSN: 1})
	g.FreezeReplication(1, true)
	if _, err := newControlClient(t, g, 1).Promote(ctx, 2, "a"); !errors.Is(err, dbgroup.ErrRefused) {
		t.Errorf("late promotion: %v, want ErrRefused", err)
	}
	if s := g.Server(1).State(); s.FenceTerm != 3 || s.FenceOwner != "" {
		t.Errorf("fence term %d with owner %q, want term 3 without an owner", s.FenceTerm, s.FenceOwner)
	}
}

// Guards against a replica that accepts log records of a primary whose term is below its fence.
func TestFencedReplicaStopsFollowing(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	if _, err := newControlClient(t, g, 1).Fence(ctx, 2, "x"); err != nil {
		t.Fatal(err)
	}
	write(t, g.Server(0), "a")
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 1})
	state := g.Server(1).State()
	if state.LSN != 0 || state.Role != authority.RoleFenced {
		t.Errorf("state %+v, want a fenced server with LSN 0", state)
	}
	waitFor(t, "contact age grows on the fenced server", func() bool {
		return g.Server(1).State().PrimaryContactAge > state.PrimaryContactAge+10*peerProbeInterval
	})
}

// Guards against a restart that loses a log record, a fence or a promotion.
func TestRestartKeepsLogAndFence(t *testing.T) {
	for name, dir := range map[string]string{"memory": "", "directory": t.TempDir()} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			g := startGroup(t, GroupConfig{Server: Config{DataDir: dir}})
			write(t, g.Server(0), "a")
			if _, err := newControlClient(t, g, 1).Fence(ctx, 7, "x"); err != nil {
				t.Fatal(err)
			}
			for i := range g.Size() {
				g.Kill(i)
			}
			for i := range g.Size() {
				if err := g.Restart(i); err != nil {
					t.Fatal(err)
				}
			}
			s0, s1 := g.Server(0).State(), g.Server(1).State()
			if s0.Role != authority.RolePrimary || s0.LSN != 1 || s0.Incarnation != 2 || g.Server(0).Rows()["a"] != "v" {
				t.Errorf("state of the primary %+v, want the primary role, incarnation 2 and the written row", s0)
			}
			if s1.FenceTerm != 7 || s1.FenceOwner != "x" || s1.Role != authority.RoleFenced {
				t.Errorf("state of the fenced server %+v, want the fence of x at term 7", s1)
			}
			if _, err := newControlClient(t, g, 1).Promote(ctx, 7, "x"); err != nil {
				t.Error(err)
			}
			waitPosition(t, g, 0, g.Server(1).State().Position())
		})
	}
}

// Guards against replication lag that is not applied, and against frozen replication that is reported as
// lost contact with the primary.
func TestLagFreezeAndPause(t *testing.T) {
	const lag = 100 * time.Millisecond
	g := startGroup(t, GroupConfig{Server: Config{ReplicationLag: lag, ReplicationJitter: lag / 2}})
	start := time.Now()
	write(t, g.Server(0), "a")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
	if d := time.Since(start); d < lag {
		t.Errorf("replicated after %s, want at least the lag of %s", d, lag)
	}
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 1})
	g.FreezeReplication(2, true)
	write(t, g.Server(0), "b")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 2})
	waitFor(t, "the frozen replica is in contact with its primary", func() bool {
		return g.Server(2).State().PrimaryContactAge < 5*peerProbeInterval
	})
	if lsn := g.Server(2).State().LSN; lsn != 1 {
		t.Errorf("frozen replica at LSN %d, want 1", lsn)
	}
	g.FreezeReplication(2, false)
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 2})

	g.Pause(0)
	waitFor(t, "the replicas have lost contact with their primary", func() bool {
		return g.Server(1).State().PrimaryContactAge > time.Second
	})
	g.Resume(0)
	waitFor(t, "the replicas are in contact with their primary again", func() bool {
		return g.Server(1).State().PrimaryContactAge < 5*peerProbeInterval
	})
}

// Guards against a wrong branch point, which would drop confirmed records or keep divergent ones.
func TestBranchPoint(t *testing.T) {
	cases := []struct {
		name    string
		own     position.History
		lsn     uint64
		primary position.History
		want    uint64
	}{
		{"same history, stale probe", position.History{{Term: 1}}, 9, position.History{{Term: 1}}, 9},
		{"behind the branch", position.History{{Term: 1}}, 3, position.History{{Term: 1}, {Term: 2, Start: 5}}, 3},
		{"tail after the branch", position.History{{Term: 1}}, 9, position.History{{Term: 1}, {Term: 2, Start: 5}}, 5},
		{"abandoned term in the own history", position.History{{Term: 1}, {Term: 2, Start: 4}}, 9, position.History{{Term: 1}, {Term: 3, Start: 6}}, 4},
		{"abandoned term that began after the branch", position.History{{Term: 1}, {Term: 2, Start: 8}}, 9, position.History{{Term: 1}, {Term: 3, Start: 6}}, 6},
	}
	for _, c := range cases {
		if got := branchPoint(c.own, c.lsn, c.primary); got != c.want {
			t.Errorf("%s: branch point %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against CutPeers leaving probes or replication working in one direction.
func TestCutPeersStopsBothDirections(t *testing.T) {
	g := startGroup(t, GroupConfig{})
	g.CutPeers(0, true)
	write(t, g.Server(0), "a")
	for i := 1; i < g.Size(); i++ {
		waitFor(t, "the replicas have lost contact with the cut-off primary", func() bool {
			return g.Server(i).State().PrimaryContactAge > 10*peerProbeInterval
		})
		if lsn := g.Server(i).State().LSN; lsn != 0 {
			t.Errorf("server %d replicated over a cut link: LSN %d, want 0", i, lsn)
		}
	}
	g.CutPeers(0, false)
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
}
