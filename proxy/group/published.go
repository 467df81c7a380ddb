package group

import (
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
}

// placeNow returns a replica that fits the request by the published view. A staleness bound needs
// the marks of the owner.
func (g *Group) placeNow(r routing.Request) (engine.Target, bool) {
	p := g.published.Load()
	if p == nil || r.Bounded {
		return engine.Target{}, false
	}
	c := g.places.Choose(g.now(), &p.view, r)
	if c.Kind != routing.KindReplica {
		return engine.Target{}, false
	}
	return g.target(c.Server, c.Term, c.Incarnation, false), true
}
