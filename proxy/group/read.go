package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// placement is a read that waits for its server.
type placement struct {
	request routing.Request
	until   time.Duration // from then on the primary is taken
	result  chan routing.Choice
}

// primaryWait is a caller that waits for a primary.
type primaryWait struct {
	result chan primaryAnswer
}

type primaryAnswer struct {
	target engine.Target
	err    error
}

// Read chooses a server for a read, see engine.Database.
func (g *Group) Read(ctx context.Context, r engine.ReadRequest) (engine.Target, error) {
	until := g.now() + r.Wait
	for {
		t, again, err := g.readOnce(ctx, r, until)
		if err != nil || !again {
			return t, err
		}
	}
}

// readOnce goes through sampling, placing and proving once; again asks for another round because
// the group has changed in between.
func (g *Group) readOnce(ctx context.Context, r engine.ReadRequest, until time.Duration) (t engine.Target, again bool, err error) {
	request := routing.Request{Session: r.Floor, Exclude: r.Exclude}
	var sample authority.Resolution
	if r.Sample && r.MaxStaleness == 0 {
		var ok bool
		if sample, ok = g.prove(ctx, authority.Waiter{Mode: authority.ModeSample}); !ok {
			return t, false, g.errNoSample()
		}
		request.Sampled = sample.Position
	}
	choice, ok := g.place(ctx, request, r.MaxStaleness, until)
	if !ok {
		return t, false, errNoServer()
	}
	switch choice.Kind {
	case routing.KindReplica:
		return g.target(choice.Server, choice.Term, choice.Incarnation, false), false, nil
	case routing.KindResample:
		return t, true, nil
	}
	if !sample.Authority || sample.Term != choice.Term {
		proof, ok := g.prove(ctx, authority.Waiter{Mode: authority.ModeAuthority, Term: choice.Term})
		if !ok {
			return t, false, errNoAuthority()
		}
		if !proof.Proven {
			return t, true, nil
		}
	}
	if choice.Kind == routing.KindLost {
		g.log.WithFields(logrus.Fields{"event": EventLostWrite, "floor": r.Floor.String(), "term": choice.Term}).
			Warn("confirmed write is not part of the present primary's history")
		return t, false, errLostWrite(r.Floor, choice.Term)
	}
	return g.target(choice.Server, choice.Term, choice.Incarnation, true), false, nil
}

// place waits until a server fits the request.
func (g *Group) place(ctx context.Context, r routing.Request, maxStaleness, until time.Duration) (routing.Choice, bool) {
	p := &placement{request: r, until: until, result: make(chan routing.Choice, 1)}
	p.request.Bounded = maxStaleness > 0
	begun := g.post(ctx, func() {
		if p.request.Bounded {
			p.request.Stale, _ = g.marks.Since(g.now() - maxStaleness)
		}
		g.placements = append(g.placements, p)
	})
	if !begun {
		return routing.Choice{}, false
	}
	select {
	case c := <-p.result:
		return c, true
	case <-g.stopped:
	case <-ctx.Done():
		g.post(g.background(), func() { g.placements = without(g.placements, p) })
	}
	return routing.Choice{}, false
}

func without[T comparable](list []T, x T) []T {
	kept := list[:0]
	for _, y := range list {
		if y != x {
			kept = append(kept, y)
		}
	}
	return kept
}

// servePlacements answers the reads that can be placed now.
func (g *Group) servePlacements(now time.Duration) {
	kept := g.placements[:0]
	for _, p := range g.placements {
		c := g.places.Choose(now, g.machine.View(), p.request)
		if c.Kind == routing.KindWait || (c.Kind == routing.KindPrimary && c.Hopeful && now < p.until) {
			kept = append(kept, p)
			continue
		}
		p.result <- c
	}
	clear(g.placements[len(kept):])
	g.placements = kept
}

// Primary returns the present primary, see engine.Database.
func (g *Group) Primary(ctx context.Context) (engine.Target, error) {
	w := &primaryWait{result: make(chan primaryAnswer, 1)}
	if !g.post(ctx, func() { g.primaries = append(g.primaries, w) }) {
		return engine.Target{}, errNoPrimary()
	}
	select {
	case a := <-w.result:
		return a.target, a.err
	case <-g.stopped:
	case <-ctx.Done():
		g.post(g.background(), func() { g.primaries = without(g.primaries, w) })
	}
	return engine.Target{}, errNoPrimary()
}

// servePrimaries answers the callers of Primary that need not wait any longer.
func (g *Group) servePrimaries(now time.Duration) {
	if len(g.primaries) == 0 {
		return
	}
	a, ok := g.primaryNow(now)
	if !ok {
		return
	}
	for _, w := range g.primaries {
		w.result <- a
	}
	clear(g.primaries)
	g.primaries = g.primaries[:0]
}

func (g *Group) primaryNow(now time.Duration) (primaryAnswer, bool) {
	v := g.machine.View()
	if p := v.PrimaryView(); p != nil && p.Failures == 0 {
		return primaryAnswer{target: g.target(p.ID, p.State.Term, p.State.Incarnation, true)}, true
	}
	return primaryAnswer{}, false
}
