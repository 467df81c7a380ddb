package group

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// snapshot is the state that callers read without involving the owner. Most reads find their server
// here, which saves them two goroutine switches.
type snapshot struct {
	view       authority.View
	primary    engine.Target
	hasPrimary bool
}

// publish stores a snapshot of the current view for callers.
func (g *Group) publish() {
	s := &snapshot{view: g.machine.View().Clone()}
	s.primary, s.hasPrimary = g.usablePrimary()
	g.published.Store(s)
	g.viewChanged = false
}

// placeFromSnapshot returns a replica that satisfies the request according to the published view. It
// serves no request with a staleness bound, which needs the owner's record of primary positions.
func (g *Group) placeFromSnapshot(r routing.Request) (engine.Target, bool) {
	s := g.published.Load()
	if s == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	return g.chooseReplica(s, r)
}

func (g *Group) chooseReplica(s *snapshot, r routing.Request) (engine.Target, bool) {
	choice := g.routingConfig.Choose(g.now(), &s.view, r)
	if choice.Kind != routing.KindReplica {
		return engine.Target{}, false
	}
	return g.target(choice.Server, choice.Term, choice.Incarnation, false), true
}

// errNoSample reports that the sample to verify a chosen replica against could not be taken.
var errNoSample = errors.New("no sample could be taken to verify the chosen replica")

// placeUnverified chooses a replica by the session's floor alone and takes the sample concurrently with
// the read. Target.Verify then checks that the replica's position known before the read covers the
// sample. If so, the replica's answer covers it too, since a position only grows within an incarnation.
func (g *Group) placeUnverified(ctx context.Context, r routing.Request) (engine.Target, bool) {
	s := g.published.Load()
	if s == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	t, ok := g.chooseReplica(s, r)
	if !ok {
		return t, false
	}
	pending, ok := g.joinSample(ctx)
	if !ok {
		return t, false
	}
	chosen := *s.view.Server(t.Server)
	t.Floor = r.SessionFloor
	t.Verify = func(ctx context.Context) error {
		sample, ok := pending.await(ctx)
		if !ok || !sample.Proven {
			return errNoSample
		}
		if !routing.Includes(chosen.State, sample.Position) {
			return &engine.UncoveredError{Sample: sample.Position}
		}
		return nil
	}
	return t, true
}
