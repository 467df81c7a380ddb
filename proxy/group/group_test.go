package group

import (
	"context"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// deadline is generous, because the tests wait for events.
const deadline = 30 * time.Second

func testServers() []manifest.Server {
	return []manifest.Server{
		{ID: "a", Region: "r", FailureDomain: "r1"},
		{ID: "b", Region: "r", FailureDomain: "r2"},
		{ID: "c", Region: "r", FailureDomain: "r3"},
	}
}

func start(t testing.TB, f *fakeGroup, edit func(*Config)) (*Group, context.Context) {
	t.Helper()
	cfg := Config{
		Database: "db", Servers: testServers(), Instance: "i1",
		Region: "r", FailureDomain: "r3", Connect: f.connect, Seed: 1,
	}
	if edit != nil {
		edit(&cfg)
	}
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	ended := make(chan struct{})
	go f.follow(ctx)
	go func() {
		defer close(ended)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g, ctx
}

func writeConfirmed(t testing.TB, ctx context.Context, f *fakeGroup, g *Group, mode manifest.Acknowledge) position.Position {
	t.Helper()
	target, err := g.Primary(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := f.write(target.Server); !ok {
		t.Fatalf("server %s takes no writes", target.Server)
	}
	p, err := g.Confirm(ctx, target, mode)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a read of a session that is answered without its own confirmed write.
func TestReadFollowsConfirmedWrite(t *testing.T) {
	f := newFakeGroup(5*time.Millisecond, time.Millisecond)
	g, ctx := start(t, f, nil)
	floor := writeConfirmed(t, ctx, f, g, manifest.AcknowledgeMajority)
	for _, r := range []engine.ReadRequest{
		{Floor: floor, Wait: deadline},
		{Sample: true, Wait: deadline},
	} {
		target, err := g.Read(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		if target.Primary {
			t.Errorf("Read(%+v) went to the primary, want a replica", r)
		}
		f.change(target.Server, func(s *fakeServer) {
			if s.state.LSN < floor.LSN {
				t.Errorf("server %s is at %d, want at least %d", target.Server, s.state.LSN, floor.LSN)
			}
		})
	}
}

// Guards against writes that stay refused after the primary's process has ended, and against a
// write confirmed by a primary that was superseded.
func TestFailoverAfterCrash(t *testing.T) {
	f := newFakeGroup(time.Millisecond, time.Millisecond)
	g, ctx := start(t, f, nil)
	floor := writeConfirmed(t, ctx, f, g, manifest.AcknowledgeMajority)
	old, err := g.Primary(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.change(old.Server, func(s *fakeServer) { s.down = true })
	g.ReportFailure(old, errDown)
	begun := time.Now()
	for {
		target, err := g.Primary(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if target.Term > old.Term {
			break
		}
	}
	t.Logf("new primary after %v", time.Since(begun))
	after := writeConfirmed(t, ctx, f, g, manifest.AcknowledgeMajority)
	if after.Compare(floor) <= 0 {
		t.Errorf("position after the failover is %v, want past %v", after, floor)
	}
	_, err = g.Confirm(ctx, old, manifest.AcknowledgeMajority)
	if !outcome.Is(err, outcome.Unknown) {
		t.Errorf("confirmation by the superseded primary: %v, want outcome unknown", err)
	}
}
