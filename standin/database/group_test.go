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

// The contract of dbgroup.Server: a promise given to one owner excludes every other owner.
func TestFenceAndPromoteContract(t *testing.T) {
	steps := []struct {
		name    string
		promote bool
		term    uint64
		owner   string
		refused bool
	}{
		{name: "fence at the log's term", term: 1, owner: "a", refused: true},
		{name: "fence above it", term: 3, owner: "a"},
		{name: "same fence again", term: 3, owner: "a"},
		{name: "same term, other owner", term: 3, owner: "b", refused: true},
		{name: "lower term", term: 2, owner: "a", refused: true},
		{name: "promote below the fence", promote: true, term: 2, owner: "a", refused: true},
		{name: "promote above the fence", promote: true, term: 4, owner: "a", refused: true},
		{name: "promote for another owner", promote: true, term: 3, owner: "b", refused: true},
		{name: "promote", promote: true, term: 3, owner: "a"},
		{name: "promote again", promote: true, term: 3, owner: "a"},
		{name: "fence again after the promotion", term: 3, owner: "a"},
		{name: "fence of the next promoter", term: 4, owner: "b"},
		{name: "late promote of the former", promote: true, term: 3, owner: "a", refused: true},
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
			t.Fatalf("%s: error %v", step.name, err)
		}
		probed, err := c.Probe(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if probed.LSN < previous.LSN || probed.FenceTerm < previous.FenceTerm || probed.Incarnation != 1 {
			t.Fatalf("%s: state went from %+v to %+v", step.name, previous, probed)
		}
		if !step.refused && state.FenceTerm != step.term {
			t.Fatalf("%s: answered %+v", step.name, state)
		}
		previous = probed
	}
	if want := (position.History{{Term: 1}, {Term: 3}}); fmt.Sprint(previous.History) != fmt.Sprint(want) {
		t.Errorf("history %v, want %v", previous.History, want)
	}
	s.Kill()
	if _, err := c.Probe(ctx); !errors.Is(err, dbgroup.ErrNoListener) {
		t.Errorf("probe of a dead server: %v", err)
	}
}

// Guards against a write that a fenced primary commits, also inside an open transaction.
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
		t.Errorf("state %+v", s)
	}
	_, err = mustConnect(t, g.Server(1)).Exec(ctx, "INSERT INTO kv VALUES ('a', 'b')")
	wantCode(t, err, codeReadOnly)
}

// Guards against a replica that keeps a divergent tail, or keeps its connections across a rewind.
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
		t.Errorf("cut primary %+v", s)
	}
	g.CutPeers(0, false)
	waitPosition(t, g, 0, position.Position{Term: 2, LSN: 3})
	after := g.Server(0).State()
	if after.Incarnation <= before.Incarnation || after.Role != authority.RoleReplica {
		t.Errorf("state %+v after %+v", after, before)
	}
	if rows := g.Server(0).Rows(); len(rows) != 2 || rows["new"] != "v" {
		t.Errorf("rows %v", rows)
	}
	if err := old.Ping(ctx); err == nil {
		t.Error("a connection survived the rewind")
	}
}

// Guards against a term that begins twice: a promotion that is repeated late, after its server was
// rewound by the primary of a later term.
func TestLatePromotionAfterRewindIsRefused(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(t, GroupConfig{})
	for _, s := range []int{0, 1} {
		if _, err := newControlClient(t, g, s).Fence(ctx, 2, "a"); err != nil {
			t.Fatal(err)
		}
	}
	g.CutPeers(1, true)
	if _, err := newControlClient(t, g, 1).Promote(ctx, 2, "a"); err != nil {
		t.Fatal(err)
	}
	for _, s := range []int{0, 2} {
		if _, err := newControlClient(t, g, s).Fence(ctx, 3, "b"); err != nil {
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
		t.Errorf("late promotion: %v, want a refusal", err)
	}
	if s := g.Server(1).State(); s.FenceTerm != 3 || s.FenceOwner != "" {
		t.Errorf("fence %d by %q, want 3 by nobody", s.FenceTerm, s.FenceOwner)
	}
}

// Guards against a replica that accepts log of a primary below its fence.
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
		t.Errorf("state %+v", state)
	}
	waitFor(t, "contact age grows on a fenced server", func() bool {
		return g.Server(1).State().PrimaryContactAge > state.PrimaryContactAge+10*peerProbeInterval
	})
}

// Guards against a restart that forgets a record, a fence or a promotion.
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
				t.Errorf("primary %+v", s0)
			}
			if s1.FenceTerm != 7 || s1.FenceOwner != "x" || s1.Role != authority.RoleFenced {
				t.Errorf("fenced server %+v", s1)
			}
			if _, err := newControlClient(t, g, 1).Promote(ctx, 7, "x"); err != nil {
				t.Error(err)
			}
			waitPosition(t, g, 0, g.Server(1).State().Position())
		})
	}
}

// Guards against replication lag that is not applied, and against frozen replication that looks
// like a lost primary.
func TestLagFreezeAndPause(t *testing.T) {
	const lag = 100 * time.Millisecond
	g := startGroup(t, GroupConfig{Server: Config{ReplicationLag: lag, ReplicationJitter: lag / 2}})
	start := time.Now()
	write(t, g.Server(0), "a")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
	if d := time.Since(start); d < lag {
		t.Errorf("visible after %s, before the lag of %s", d, lag)
	}
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 1})
	g.FreezeReplication(2, true)
	write(t, g.Server(0), "b")
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 2})
	waitFor(t, "the frozen replica hears its primary", func() bool {
		return g.Server(2).State().PrimaryContactAge < 5*peerProbeInterval
	})
	if lsn := g.Server(2).State().LSN; lsn != 1 {
		t.Errorf("frozen replica at LSN %d", lsn)
	}
	g.FreezeReplication(2, false)
	waitPosition(t, g, 2, position.Position{Term: 1, LSN: 2})

	g.Pause(0)
	waitFor(t, "the replicas miss their primary", func() bool {
		return g.Server(1).State().PrimaryContactAge > time.Second
	})
	g.Resume(0)
	waitFor(t, "the replicas hear their primary again", func() bool {
		return g.Server(1).State().PrimaryContactAge < 5*peerProbeInterval
	})
}

// Guards against a wrong branch point, which would drop confirmed records or keep divergent ones.
func TestBranchPoint(t *testing.T) {
	cases := []struct {
		name    string
		mine    position.History
		lsn     uint64
		primary position.History
		want    uint64
	}{
		{"same history, stale probe", position.History{{Term: 1}}, 9, position.History{{Term: 1}}, 9},
		{"behind the branch", position.History{{Term: 1}}, 3, position.History{{Term: 1}, {Term: 2, Start: 5}}, 3},
		{"tail after the branch", position.History{{Term: 1}}, 9, position.History{{Term: 1}, {Term: 2, Start: 5}}, 5},
		{"own lost term", position.History{{Term: 1}, {Term: 2, Start: 4}}, 9, position.History{{Term: 1}, {Term: 3, Start: 6}}, 4},
		{"lost term began later", position.History{{Term: 1}, {Term: 2, Start: 8}}, 9, position.History{{Term: 1}, {Term: 3, Start: 6}}, 6},
	}
	for _, c := range cases {
		if got := branchPoint(c.mine, c.lsn, c.primary); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a cut that leaves one direction of the replication links up.
func TestCutPeersStopsBothDirections(t *testing.T) {
	g := startGroup(t, GroupConfig{})
	g.CutPeers(0, true)
	write(t, g.Server(0), "a")
	for i := 1; i < g.Size(); i++ {
		waitFor(t, "the replicas miss the cut primary", func() bool {
			return g.Server(i).State().PrimaryContactAge > 10*peerProbeInterval
		})
		if lsn := g.Server(i).State().LSN; lsn != 0 {
			t.Errorf("server %d got log over a cut link: LSN %d", i, lsn)
		}
	}
	g.CutPeers(0, false)
	waitPosition(t, g, 1, position.Position{Term: 1, LSN: 1})
}
