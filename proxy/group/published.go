package group

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// published is what callers read without asking the owner. Most reads find their server here, which
// spares them two switches of goroutines.
type published struct {
	view       authority.View
	primary    engine.Target
	hasPrimary bool
}

// publish makes the present view known to callers.
func (g *Group) publish() {
	p := &published{view: g.machine.View().Clone()}
	p.primary, p.hasPrimary = g.primaryNow()
	g.published.Store(p)
	g.viewChanged = false
}

// placeNow returns a replica that fits the request by the published view. A staleness bound needs
// the marks of the owner.
func (g *Group) placeNow(r routing.Request) (engine.Target, bool) {
	p := g.published.Load()
	if p == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	return g.replica(p, r)
}

func (g *Group) replica(p *published, r routing.Request) (engine.Target, bool) {
	c := g.places.Choose(g.now(), &p.view, r)
	if c.Kind != routing.KindReplica {
		return engine.Target{}, false
	}
	return g.target(c.Server, c.Term, c.Incarnation, false), true
}

// errNotCovered tells that the sample, which the server should cover, could not be taken.
var errNotCovered = errors.New("no sample was taken for the chosen replica")

// placeUnverified chooses a replica by the session's floor and takes the sample beside the read.
// The server's answer covers the sample if the position known of it before the read does, since
// its position only grows within an incarnation.
func (g *Group) placeUnverified(ctx context.Context, r routing.Request) (engine.Target, bool) {
	p := g.published.Load()
	if p == nil || r.HasStalenessBound {
		return engine.Target{}, false
	}
	t, ok := g.replica(p, r)
	if !ok {
		return t, false
	}
	w, ok := g.takeSample(ctx)
	if !ok {
		return t, false
	}
	chosen := *p.view.Server(t.Server)
	t.Floor = r.SessionFloor
	t.Verify = func(ctx context.Context) error {
		sample, ok := w.await(ctx)
		if !ok || !sample.Proven {
			return errNotCovered
		}
		if !routing.Includes(chosen.State, sample.Position) {
			return &engine.UncoveredError{Sample: sample.Position}
		}
		return nil
	}
	return t, true
}
