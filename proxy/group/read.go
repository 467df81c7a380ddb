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

// pendingRead is a read that waits for a suitable server.
type pendingRead struct {
	request         routing.Request
	replicaDeadline time.Duration // from then on the read goes to the primary
	deadline        time.Duration
	result          chan readResult
}

type readResult struct {
	choice routing.Choice
	err    error
}

// primaryWait is a call of Primary that waits for a primary.
type primaryWait struct {
	deadline time.Duration
	result   chan primaryResult
}

type primaryResult struct {
	target engine.Target
	err    error
}

// Read chooses a server for a read; see engine.Database.
func (g *Group) Read(ctx context.Context, r engine.ReadRequest) (engine.Target, error) {
	replicaDeadline := g.now() + r.Wait
	for {
		t, retry, err := g.readOnce(ctx, r, replicaDeadline)
		if err != nil || !retry {
			return t, err
		}
		// A sample of an earlier term is of no use; the next round takes a new one.
		r.Sample = r.Sample || !r.KnownSample.IsZero()
		r.KnownSample = position.Position{}
	}
}

// readOnce takes a sample, chooses a server and confirms the primary's authority once, each if needed.
// retry is true if the group has changed meanwhile, so that the caller has to start over.
func (g *Group) readOnce(ctx context.Context, r engine.ReadRequest, replicaDeadline time.Duration) (t engine.Target, retry bool, err error) {
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
	request.SampledFloor = position.Max(r.KnownSample, sample.Position)
	floor := position.Max(r.Floor, request.SampledFloor)
	if t, ok := g.placeFromSnapshot(request); ok {
		t.Floor = floor
		return t, false, nil
	}
	choice, err := g.awaitPlacement(ctx, request, r.MaxStaleness, replicaDeadline)
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

// sample takes a sample for a read that asks for one. A read with a staleness bound needs none.
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

// confirmAuthority reports whether probes sent after the read arrived show a majority of servers that are
// not fenced for a higher term. The read's sample may have proven this already.
func (g *Group) confirmAuthority(ctx context.Context, term uint64, sample resolution) (bool, error) {
	if sample.AuthorityProven && sample.Term == term {
		return true, nil
	}
	resolved, ok := g.awaitResolution(ctx, authority.Waiter{Mode: authority.ModeAuthority, Term: term})
	if !ok || resolved.majorityLost {
		return false, errNoMajority()
	}
	return resolved.Proven, nil
}

func (g *Group) lostWrite(floor position.Position, term uint64) error {
	g.log.WithFields(logrus.Fields{"event": EventLostWrite, "floor": floor.String(), "term": term}).
		Warn("confirmed write is missing from the current primary's history")
	return errLostWrite(floor, term)
}

// awaitPlacement waits until a server satisfies the request.
func (g *Group) awaitPlacement(ctx context.Context, r routing.Request, maxStaleness, replicaDeadline time.Duration) (routing.Choice, error) {
	p := &pendingRead{request: r, replicaDeadline: replicaDeadline, deadline: g.deadline(ctx), result: make(chan readResult, 1)}
	posted := g.post(ctx, func() {
		if r.HasStalenessBound {
			p.request.StalenessFloor, _ = g.primaryPositions.FloorAt(g.now() - maxStaleness)
		}
		g.pendingReads = append(g.pendingReads, p)
	})
	if !posted {
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

// resolveReads resolves the pending reads that can be placed or have to be refused now.
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

// Primary returns the current primary; see engine.Database.
func (g *Group) Primary(ctx context.Context) (engine.Target, error) {
	if current := g.published.Load(); current != nil && current.hasPrimary {
		return current.primary, nil
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

// resolvePrimaryWaits resolves the calls of Primary that can be answered or have to be refused now.
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

// usablePrimary returns the primary unless its probes fail or a switchover is pending.
func (g *Group) usablePrimary() (engine.Target, bool) {
	p := g.machine.View().PrimaryView()
	if p == nil || p.Failures > 0 || g.machine.SwitchoverPending() {
		return engine.Target{}, false
	}
	return g.target(p.ID, p.State.Term, p.State.Incarnation, true), true
}

// refusal returns an error if a caller's wait can't succeed before its deadline, so that it fails
// immediately, and otherwise nil.
func (g *Group) refusal(now, deadline time.Duration) error {
	if g.machine.MajorityLost(now) {
		return errNoMajority()
	}
	if wait := g.machine.PromotionWait(now); now+wait >= deadline {
		return errNoPrimary(wait)
	}
	return nil
}

// noDeadline is the deadline of a context that has none.
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
