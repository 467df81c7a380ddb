package group

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// deadline is long, because the tests wait for events.
const deadline = 30 * time.Second

func (w *writer) mustConfirm(t *testing.T, ctx context.Context, mode manifest.Acknowledge) position.Position {
	t.Helper()
	if err := w.write(ctx, 1); err != nil {
		t.Fatal(err)
	}
	p, err := w.g.Confirm(ctx, w.to, mode)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func stateOf(d *database.Group, id authority.ServerID) authority.ServerState {
	for i := range d.Size() {
		if s := d.Server(i).State(); s.Server == id {
			return s
		}
	}
	return authority.ServerState{}
}

// waitForTerm waits until g knows a primary with a term above term.
func waitForTerm(t *testing.T, ctx context.Context, g *Group, term uint64) engine.Target {
	t.Helper()
	for {
		target, err := g.Primary(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if target.Term > term {
			return target
		}
	}
}

// waitForAnswer waits until g has published a probe answer of a server. Before it, g does not choose the server for
// reads; a majority of the others is enough for everything else.
func waitForAnswer(t *testing.T, ctx context.Context, g *Group, id authority.ServerID) {
	t.Helper()
	for {
		if s := g.published.Load(); s != nil && s.view.Server(id).Known {
			return
		}
		if !wait.For(ctx, time.Millisecond) {
			t.Fatalf("no probe answer of %s", id)
		}
	}
}

// Guards against a session's read that misses the session's own confirmed write.
func TestReadFollowsConfirmedWrite(t *testing.T) {
	d, views, ctx := startStandIn(t, 5*time.Millisecond, 2)
	w := &writer{g: views[0]}
	defer w.close()
	floor := w.mustConfirm(t, ctx, manifest.AcknowledgeMajority)
	for name, r := range map[string]engine.ReadRequest{
		"token":  {Floor: floor, Wait: deadline},
		"sample": {Sample: true, Wait: deadline},
	} {
		target, err := views[1].Read(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		if target.Primary {
			t.Errorf("read by %s went to the primary, want a replica", name)
		}
		if s := stateOf(d, target.Server); s.LSN < floor.LSN {
			t.Errorf("read by %s went to %s at %d, want at least %d", name, target.Server, s.LSN, floor.LSN)
		}
	}
}

// Guards against reads from replicas beyond the staleness bound, and against reads from the primary
// although a replica is within the bound.
func TestStalenessBound(t *testing.T) {
	d, views, ctx := startStandIn(t, 0, 1)
	w := &writer{g: views[0]}
	defer w.close()
	bounded := engine.ReadRequest{MaxStaleness: 2 * time.Second}
	readUntil := func(primary bool) {
		t.Helper()
		for {
			target, err := views[0].Read(ctx, bounded)
			if err != nil {
				t.Fatal(err)
			}
			if target.Primary == primary {
				return
			}
			if err := w.write(ctx, 1); err != nil {
				t.Fatal(err)
			}
		}
	}
	readUntil(false)
	d.FreezeReplication(1, true)
	d.FreezeReplication(2, true)
	readUntil(true)
}

// Guards against confirming a write of a superseded primary, and against a lost write that is not
// reported to its session.
func TestLostWrite(t *testing.T) {
	d, views, ctx := startStandIn(t, 0, 1, coverPrimary)
	w := &writer{g: views[0]}
	defer w.close()
	w.mustConfirm(t, ctx, manifest.AcknowledgeMajority)
	d.FreezeReplication(1, true)
	d.FreezeReplication(2, true)
	floor := w.mustConfirm(t, ctx, manifest.AcknowledgePrimary)
	old := w.to
	d.Kill(0)
	views[0].ReportFailure(old, nil)
	waitForTerm(t, ctx, views[0], old.Term)
	d.FreezeReplication(1, false) // only after the promotion, or the write might still be replicated
	d.FreezeReplication(2, false)
	if _, err := views[0].Read(ctx, engine.ReadRequest{Floor: floor}); !outcome.Is(err, outcome.LostWrite) {
		t.Errorf("read at the floor of a lost write: %v, want a lost write", err)
	}
	if _, err := views[0].Confirm(ctx, old, manifest.AcknowledgePrimary); !outcome.Is(err, outcome.Unknown) {
		t.Errorf("confirmation by the superseded primary: %v, want outcome unknown", err)
	}
}

// Guards against callers that wait until their deadline although too few servers answer to prove anything.
func TestMajorityLost(t *testing.T) {
	d, views, ctx := startStandIn(t, 0, 1)
	w := &writer{g: views[0]}
	defer w.close()
	floor := w.mustConfirm(t, ctx, manifest.AcknowledgeMajority)
	for stateOf(d, "s3").LSN < floor.LSN {
		time.Sleep(time.Millisecond)
	}
	d.Kill(0)
	d.Kill(1)
	var err error
	for err == nil { // until the instance has noticed the loss
		_, err = views[0].Primary(ctx)
	}
	if e := outcome.As(err); e == nil || e.Kind != outcome.NotRun || e.RetryAfter == 0 {
		t.Errorf("write without a majority: %v, want not run with a retry-after", err)
	}
	if _, err = views[0].Read(ctx, engine.ReadRequest{Sample: true}); !outcome.Is(err, outcome.NotRun) {
		t.Errorf("sampled read without a majority: %v, want not run", err)
	}
	target, err := views[0].Read(ctx, engine.ReadRequest{Floor: floor, Wait: deadline})
	if err != nil || target.Server != "s3" {
		t.Errorf("read at a floor: %v, %v, want replica s3", target, err)
	}
	if ctx.Err() != nil {
		t.Error("a caller waited until its deadline, want an immediate refusal")
	}
}

// Guards against a leaving primary that keeps its role under constant writes, and against a
// switchover that loses a confirmed write.
func TestLeavingPrimary(t *testing.T) {
	d, views, ctx := startStandIn(t, 5*time.Millisecond, 2, coverPrimary)
	w := &writer{g: views[0]}
	defer w.close()
	floor := w.mustConfirm(t, ctx, manifest.AcknowledgePrimary)
	servers := standInServers(d)
	servers[0].Leaving = true
	if !views[0].MatchesServers(servers) {
		t.Error("MatchesServers is false after only a leaving mark changed, want true")
	}
	start := time.Now()
	for _, g := range views {
		g.SetServers(ctx, servers)
	}
	for w.to.Server == "s1" {
		floor = position.Max(floor, w.mustConfirm(t, ctx, manifest.AcknowledgePrimary))
	}
	t.Logf("moved to %s with a write gap of at most %v", w.to.Server, time.Since(start))
	if s := stateOf(d, w.to.Server); !s.History.Contains(floor) || s.LSN < floor.LSN {
		t.Errorf("primary %s lacks the confirmed position %v", w.to.Server, floor)
	}
}

// slowServer answers probes over new connections only after a delay, and others not at all.
type slowServer struct {
	dbgroup.Server
	slow  *atomic.Bool
	delay time.Duration
}

func (s slowServer) Probe(ctx context.Context) (authority.ServerState, error) {
	if s.slow.Load() {
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
			return authority.ServerState{}, ctx.Err()
		}
	}
	return s.Server.Probe(ctx)
}

// Guards against replacing a primary that answers late and is in contact with its replicas, as on a machine that is
// overloaded: statements that run at it would get an unknown outcome. A new term begins without one that does not answer.
func TestSlowPrimaryIsKept(t *testing.T) {
	for delay, newTerm := range map[time.Duration]bool{600 * time.Millisecond: false, time.Minute: true} {
		var slow atomic.Bool
		d, views, ctx := startStandIn(t, 0, 1, func(c *Config) {
			connect := c.Connect
			c.Connect = func(s manifest.Server) Adapter {
				a := connect(s)
				if s.ID == "s1" {
					a.Persistent, a.Fresh = slowServer{a.Persistent, &slow, time.Minute}, slowServer{a.Fresh, &slow, delay}
				}
				return a
			}
			c.Survey = func(context.Context, authority.ServerID, uint64) (authority.PeerViews, bool) {
				return authority.PeerViews{Asked: 1, Lost: 1}, true
			}
		})
		w := &writer{g: views[0]}
		w.mustConfirm(t, ctx, manifest.AcknowledgePrimary)
		w.close()
		slow.Store(true)
		time.Sleep(3 * time.Second)
		if term := stateOf(d, "s2").Term; (term > 1) != newTerm {
			t.Errorf("primary that answers after %s: term %d, want a new one: %t", delay, term, newTerm)
		}
	}
}

// Guards against a read whose verification accepts a replica behind the sample, and against a failed
// verification that doesn't return the sample for the retry.
func TestVerifyDetectsReplicaBehindSample(t *testing.T) {
	d, views, ctx := startStandIn(t, 0, 1)
	g := views[0]
	w := &writer{g: g}
	defer w.close()
	d.FreezeReplication(1, true)
	p := w.mustConfirm(t, ctx, manifest.AcknowledgeMajority)
	waitForAnswer(t, ctx, g, "s2")
	onlyFrozen := engine.ReadRequest{Sample: true, VerifyLater: true, Exclude: []authority.ServerID{"s3"}}
	target, err := g.Read(ctx, onlyFrozen)
	if err != nil || target.Verify == nil {
		t.Fatalf("target %+v, error %v; want a replica to be verified", target, err)
	}
	var uncovered *engine.UncoveredError
	if err := target.Verify(ctx); !errors.As(err, &uncovered) || uncovered.Sample.Less(p) {
		t.Fatalf("verification: %v, want a sample at or past %v", err, p)
	}
	again, err := g.Read(ctx, engine.ReadRequest{KnownSample: uncovered.Sample, Exclude: onlyFrozen.Exclude})
	if err != nil || !again.Primary || again.Floor != uncovered.Sample {
		t.Errorf("target %+v, error %v; want the primary with floor %v", again, err, uncovered.Sample)
	}
}

// Guards against a read that joins a sample which began before the read arrived, and against a
// read that cancels the sample of others when it stops waiting.
func TestSharedSamplesCoverConfirmedWrites(t *testing.T) {
	const readers, reads = 8, 300
	_, views, ctx := startStandIn(t, 0, 2)
	w := &writer{g: views[0]}
	defer w.close()
	var confirmed atomic.Pointer[position.Position]
	confirm := func() {
		p := w.mustConfirm(t, ctx, manifest.AcknowledgeMajority)
		confirmed.Store(&p)
	}
	confirm()
	var running sync.WaitGroup
	var left atomic.Int32
	left.Store(readers)
	for i := range readers {
		running.Go(func() {
			defer left.Add(-1)
			for n := range reads {
				covered := *confirmed.Load()
				s, ok := views[1].joinSample(ctx)
				if ok && n%readers == i {
					s.leave()
					continue
				}
				r, ok := s.await(ctx)
				if !ok || !r.Proven || r.Position.Less(covered) {
					t.Errorf("sample %v, %v; want at or past %v", r, ok, covered)
				}
			}
		})
	}
	for left.Load() > 0 {
		confirm()
	}
	running.Wait()
}
