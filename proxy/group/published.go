package group

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// snapshot is what callers read without asking the owner. Most reads find their server here, which
// spares them two switches of goroutines.
type snapshot struct {
	view       authority.View
	primary    engine.Target
	hasPrimary bool
}

// publish makes the present view known to callers.
func (g *Group) publish() {
	p := &snapshot{view: g.machine.View().Clone()}
	p.primary, p.hasPrimary = g.usablePrimary()
	g.published.Store(p)
	g.viewChanged = false
}

// placeFromSnapshot returns a replica that fits the request by the published view. A staleness bound needs
// the marks of the owner.
func (g *Group) placeFromSnapshot(r routing.Request) (engine.Target, bool) {
	p := g.published.Load()
	if p == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	return g.chooseReplica(p, r)
}

func (g *Group) chooseReplica(p *snapshot, r routing.Request) (engine.Target, bool) {
	c := g.routingConfig.Choose(g.now(), &p.view, r)
	if c.Kind != routing.KindReplica {
		return engine.Target{}, false
	}
	return g.target(c.Server, c.Term, c.Incarnation, false), true
}

// errNoSample tells that the sample, which the server should cover, could not be taken.
var errNoSample = errors.New("no sample was taken for the chosen replica")

// placeUnverified chooses a replica by the session's floor and takes the sample beside the read.
// The server's answer covers the sample if the position known of it before the read does, since
// its position only grows within an incarnation.
func (g *Group) placeUnverified(ctx context.Context, r routing.Request) (engine.Target, bool) {
	p := g.published.Load()
	if p == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	t, ok := g.chooseReplica(p, r)
	if !ok {
		return t, false
	}
	w, ok := g.joinSample(ctx)
	if !ok {
		return t, false
	}
	chosen := *p.view.Server(t.Server)
	t.Floor = r.SessionFloor
	t.Verify = func(ctx context.Context) error {
		sample, ok := w.await(ctx)
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
