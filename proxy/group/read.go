package group

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// pendingRead is a read that waits for its server.
type pendingRead struct {
	request         routing.Request
	replicaDeadline time.Duration // from then on the primary is taken
	deadline        time.Duration
	result          chan readResult
}

type readResult struct {
	choice routing.Choice
	err    error
}

// primaryWait is a caller that waits for a primary.
type primaryWait struct {
	deadline time.Duration
	result   chan primaryResult
}

type primaryResult struct {
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
		// A sample of an earlier term does not help any more.
		r.Sample = r.Sample || !r.Sampled.IsZero()
		r.Sampled = position.Position{}
	}
}

// readOnce goes through sampling, placing and proving once; again asks for another round because
// the group has changed in between.
func (g *Group) readOnce(ctx context.Context, r engine.ReadRequest, until time.Duration) (t engine.Target, again bool, err error) {
	request := routing.Request{SessionFloor: r.Floor, HasStalenessBound: r.MaxStaleness > 0, Exclude: r.Exclude}
	if r.Sample && r.VerifyLater {
		if t, ok := g.placeUnverified(ctx, request); ok {
			return t, false, nil
		}
	}
	sample, err := g.sample(ctx, r)
	if err != nil {
		return t, false, err
	}
	request.SampledFloor = position.Max(r.Sampled, sample.Position)
	floor := position.Max(r.Floor, request.SampledFloor)
	if t, ok := g.placeFromSnapshot(request); ok {
		t.Floor = floor
		return t, false, nil
	}
	choice, err := g.awaitPlacement(ctx, request, r.MaxStaleness, until)
	if err != nil {
		return t, false, err
	}
	switch choice.Kind {
	case routing.KindReplica:
		t = g.target(choice.Server, choice.Term, choice.Incarnation, false)
		t.Floor = floor
		return t, false, nil
	case routing.KindResample:
		return t, true, nil
	}
	proven, err := g.confirmAuthority(ctx, choice.Term, sample)
	switch {
	case err != nil:
		return t, false, err
	case !proven:
		return t, true, nil
	case choice.Kind == routing.KindLost:
		return t, false, g.lostWrite(r.Floor, choice.Term)
	}
	t = g.target(choice.Server, choice.Term, choice.Incarnation, true)
	t.Floor = floor
	return t, false, nil
}

// sample takes the floor of a read that asks for one. A read with a staleness bound needs none.
func (g *Group) sample(ctx context.Context, r engine.ReadRequest) (resolution, error) {
	if !r.Sample || r.MaxStaleness > 0 {
		return resolution{}, nil
	}
	s, ok := g.joinSample(ctx)
	if !ok {
		return resolution{}, errNoMajority()
	}
	sample, ok := s.await(ctx)
	if !ok || !sample.Proven {
		return sample, errNoMajority()
	}
	return sample, nil
}

// confirmAuthority reports whether a majority shows the term unfenced since the read arrived, which a
// sample may have shown already.
func (g *Group) confirmAuthority(ctx context.Context, term uint64, sample resolution) (bool, error) {
	if sample.AuthorityProven && sample.Term == term {
		return true, nil
	}
	shown, ok := g.awaitResolution(ctx, authority.Waiter{Mode: authority.ModeAuthority, Term: term})
	if !ok || shown.majorityLost {
		return false, errNoMajority()
	}
	return shown.Proven, nil
}

func (g *Group) lostWrite(floor position.Position, term uint64) error {
	g.log.WithFields(logrus.Fields{"event": EventLostWrite, "floor": floor.String(), "term": term}).
		Warn("confirmed write is not part of the present primary's history")
	return errLostWrite(floor, term)
}

// awaitPlacement waits until a server fits the request.
func (g *Group) awaitPlacement(ctx context.Context, r routing.Request, maxStaleness, until time.Duration) (routing.Choice, error) {
	p := &pendingRead{request: r, replicaDeadline: until, deadline: g.deadline(ctx), result: make(chan readResult, 1)}
	begun := g.post(ctx, func() {
		if r.HasStalenessBound {
			p.request.StalenessFloor, _ = g.primaryPositions.FloorAt(g.now() - maxStaleness)
		}
		g.pendingReads = append(g.pendingReads, p)
	})
	if !begun {
		return routing.Choice{}, errNoServer()
	}
	select {
	case c := <-p.result:
		return c.choice, c.err
	case <-g.stopped:
	case <-ctx.Done():
		g.post(context.Background(), func() { g.pendingReads = remove(g.pendingReads, p) })
	}
	return routing.Choice{}, errNoServer()
}

// resolveReads answers the reads that can be placed or refused now.
func (g *Group) resolveReads(now time.Duration) {
	g.pendingReads = slices.DeleteFunc(g.pendingReads, func(p *pendingRead) bool {
		c := g.routingConfig.Choose(now, g.machine.View(), p.request)
		switch {
		case c.Kind == routing.KindWait:
			err := g.refusal(now, p.deadline)
			if err != nil {
				p.result <- readResult{err: err}
			}
			return err != nil
		case c.Kind == routing.KindPrimary && c.ReplicaMayCatchUp && now < p.replicaDeadline:
			return false
		}
		p.result <- readResult{choice: c}
		return true
	})
}

// Primary returns the present primary, see engine.Database.
func (g *Group) Primary(ctx context.Context) (engine.Target, error) {
	if now := g.published.Load(); now != nil && now.hasPrimary {
		return now.primary, nil
	}
	w := &primaryWait{deadline: g.deadline(ctx), result: make(chan primaryResult, 1)}
	if !g.post(ctx, func() { g.primaryWaits = append(g.primaryWaits, w) }) {
		return engine.Target{}, errNoPrimary(0)
	}
	select {
	case a := <-w.result:
		return a.target, a.err
	case <-g.stopped:
	case <-ctx.Done():
		g.post(context.Background(), func() { g.primaryWaits = remove(g.primaryWaits, w) })
	}
	return engine.Target{}, errNoPrimary(0)
}

// resolvePrimaryWaits answers the callers of Primary that need not wait any longer.
func (g *Group) resolvePrimaryWaits(now time.Duration) {
	if len(g.primaryWaits) == 0 {
		return
	}
	target, ready := g.usablePrimary()
	g.primaryWaits = slices.DeleteFunc(g.primaryWaits, func(w *primaryWait) bool {
		if ready {
			w.result <- primaryResult{target: target}
			return true
		}
		err := g.refusal(now, w.deadline)
		if err != nil {
			w.result <- primaryResult{err: err}
		}
		return err != nil
	})
}

// usablePrimary returns the primary unless it is failing or about to be moved.
func (g *Group) usablePrimary() (engine.Target, bool) {
	p := g.machine.View().PrimaryView()
	if p == nil || p.Failures > 0 || g.machine.SwitchoverPending() {
		return engine.Target{}, false
	}
	return g.target(p.ID, p.State.Term, p.State.Incarnation, true), true
}

// refusal returns the error for a caller whose wait can't end in time, so that it is told at once,
// or nil if it may.
func (g *Group) refusal(now, deadline time.Duration) error {
	if g.machine.MajorityLost(now) {
		return errNoMajority()
	}
	if wait := g.machine.PromotionWait(now); now+wait >= deadline {
		return errNoPrimary(wait)
	}
	return nil
}

// noDeadline stands for the deadline of a context without one.
const noDeadline = time.Duration(math.MaxInt64)

// deadline returns the deadline of ctx on the group's clock.
func (g *Group) deadline(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return at.Sub(g.origin)
	}
	return noDeadline
}

func remove[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}
