package group

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// Group is one database group as this instance sees and uses it.
type Group struct {
	cfg           Config
	log           logrus.FieldLogger
	servers       map[authority.ServerID]manifest.Server
	adapters      map[authority.ServerID]Adapter
	origin        time.Time
	inbox         chan func()
	stopped       chan struct{}
	routingConfig routing.Config // not changed after New

	published atomic.Pointer[snapshot]
	samples   samples

	// The fields below belong to the goroutine of Run.

	machine          *authority.Machine
	confirm          *authority.Confirmations
	coverage         authority.Coverage
	primaryPositions routing.PrimaryPositions
	lastID           authority.WaiterID
	waiters          map[authority.WaiterID]pendingWaiter
	pendingReads     []*pendingRead
	primaryWaits     []*primaryWait
	positionPending  bool // a passive waiter for the next mark is present
	reported         reportedState
	// viewChanged tells that the machine's view has changed since it was published: by the result of
	// a probe or by a leaving mark, since nothing else changes it.
	viewChanged bool
	runCtx      context.Context
}

// pendingWaiter is a wait for a proof.
type pendingWaiter struct {
	mode    authority.Mode
	resolve func(resolution)
}

// resolution ends a wait. With unreachable set too few servers answer for any proof.
type resolution struct {
	authority.Resolution
	majorityLost bool
}

var _ engine.Database = (*Group)(nil)

// inboxSize lets answers of servers be posted while the owner is busy.
const inboxSize = 64

// New returns a group that does nothing until Run.
func New(cfg Config) (*Group, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	g := &Group{
		cfg:      cfg,
		log:      cfg.Logger.WithField("database", cfg.Database),
		servers:  map[authority.ServerID]manifest.Server{},
		adapters: map[authority.ServerID]Adapter{},
		origin:   time.Now(),
		inbox:    make(chan func(), inboxSize),
		stopped:  make(chan struct{}),
		waiters:  map[authority.WaiterID]pendingWaiter{},

		viewChanged: true,
	}
	g.initMachines()
	return g, nil
}

func (g *Group) initMachines() {
	ids := make([]authority.ServerID, 0, len(g.cfg.Servers))
	places := map[authority.ServerID]routing.Locality{}
	for _, s := range g.cfg.Servers {
		id := authority.ServerID(s.ID)
		ids = append(ids, id)
		g.servers[id] = s
		g.adapters[id] = g.cfg.Connect(s)
		places[id] = routing.Locality{Region: s.Region, FailureDomain: s.FailureDomain}
	}
	seed := g.cfg.Seed
	if seed == 0 {
		seed = randomSeed()
	}
	g.machine = authority.NewMachine(0, authority.Config{
		Servers: ids,
		Owner:   g.cfg.Instance + "/" + crand.Text(),
		Rand:    rand.New(rand.NewSource(seed)),
		Timings: g.cfg.Timings,
	})
	g.machine.SetLeaving(leaving(g.cfg.Servers))
	g.confirm = authority.NewConfirmations(ids)
	g.coverage = authority.NewCoverage(0, g.cfg.CoverPrimary, g.cfg.ManifestIsNew)
	g.routingConfig = routing.Config{
		Local:       routing.Locality{Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain},
		Localities:  places,
		Outstanding: g.cfg.Outstanding,
	}
}

func randomSeed() int64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails, see crypto/rand
	return int64(binary.LittleEndian.Uint64(b[:]))
}

func leaving(servers []manifest.Server) []authority.ServerID {
	var out []authority.ServerID
	for _, s := range servers {
		if s.Leaving {
			out = append(out, authority.ServerID(s.ID))
		}
	}
	return out
}

func (g *Group) now() time.Duration {
	return time.Since(g.origin)
}

// Run probes and promotes until ctx ends, and then closes the adapters. It is called once.
func (g *Group) Run(ctx context.Context) error {
	defer g.closeAdapters()
	defer close(g.stopped)
	g.runCtx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-g.inbox:
			f()
			g.drainInbox()
		case <-timer.C:
		}
		timer.Reset(g.advance())
	}
}

// closeAdapters closes all adapters at the same time, because a server that went silent takes until the
// timeout of its connection's end.
func (g *Group) closeAdapters() {
	var closing sync.WaitGroup
	for _, a := range g.adapters {
		if a.Close != nil {
			closing.Go(a.Close)
		}
	}
	closing.Wait()
}

// drainInbox takes what else is posted, so that one pass serves all of it.
func (g *Group) drainInbox() {
	for range inboxSize {
		select {
		case f := <-g.inbox:
			f()
		default:
			return
		}
	}
}

// advance brings everything up to the present time and returns when to be called again.
func (g *Group) advance() time.Duration {
	now := g.now()
	g.confirm.CoverPrimary = g.coverage.Required(now)
	g.beginSample()
	g.resolveWaiters(g.confirm.Advance(now))
	g.failReadWaiters(now)
	g.trackPrimaryPosition(now)
	g.resolveReads(now)
	g.resolvePrimaryWaits(now)
	g.machine.SetDemand(g.demand())
	g.perform(g.machine.Step(now, authority.Tick{}))
	g.updateSampleWake()
	if g.viewChanged {
		g.publish()
	}
	g.reportChanges()
	return g.nextWake(now) - now
}

func (g *Group) demand() authority.Demand {
	if len(g.pendingReads) > 0 || len(g.primaryWaits) > 0 {
		return authority.DemandAll
	}
	return g.confirm.Demand()
}

func (g *Group) nextWake(now time.Duration) time.Duration {
	next := g.machine.NextTick(now)
	if at, ok := g.confirm.NextDeadline(now); ok {
		next = min(next, at)
	}
	for _, p := range g.pendingReads {
		if p.replicaDeadline > now {
			next = min(next, p.replicaDeadline)
		}
	}
	return max(next, now)
}

// post hands f to the owner; it returns false when the group has stopped or ctx has ended.
func (g *Group) post(ctx context.Context, f func()) bool {
	select {
	case g.inbox <- f:
		return true
	case <-g.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// MatchesServers reports whether servers have the members, addresses and places of this group. If not, a
// new Group has to take its place.
func (g *Group) MatchesServers(servers []manifest.Server) bool {
	return slices.EqualFunc(g.cfg.Servers, servers, func(a, b manifest.Server) bool {
		return a.ID == b.ID && a.Address == b.Address && a.Region == b.Region && a.FailureDomain == b.FailureDomain
	})
}

// SetServers takes over the leaving marks of a new manifest, see Serves for other changes.
func (g *Group) SetServers(ctx context.Context, servers []manifest.Server) {
	g.post(ctx, func() {
		g.machine.SetLeaving(leaving(servers))
		g.viewChanged = true
	})
}

// SetCoverPrimary takes over whether a route acknowledges in primary mode, see Config.
func (g *Group) SetCoverPrimary(ctx context.Context, cover bool) {
	g.post(ctx, func() { g.coverage.Set(g.now(), cover) })
}

// View returns what the instance knows about the group; ok is false when ctx ended or the group
// stopped.
func (g *Group) View(ctx context.Context) (v authority.View, ok bool) {
	result := make(chan authority.View, 1)
	if !g.post(ctx, func() { result <- g.machine.View().Clone() }) {
		return v, false
	}
	select {
	case v = <-result:
		return v, true
	case <-g.stopped:
	case <-ctx.Done():
	}
	return v, false
}

// ReportFailure probes the server of t at once over a fresh connection.
func (g *Group) ReportFailure(t engine.Target, _ error) {
	g.post(context.Background(), func() {
		g.perform(g.machine.Step(g.now(), authority.Suspicion{Server: t.Server}))
	})
}

// trackPrimaryPosition keeps one passive waiter that turns regular probes into a mark of the primary's position.
func (g *Group) trackPrimaryPosition(now time.Duration) {
	primary := g.machine.View().PrimaryView()
	if g.positionPending || primary == nil {
		return
	}
	g.positionPending = true
	w := authority.Waiter{
		Mode:        authority.ModePrimary,
		Server:      primary.ID,
		Term:        primary.State.Term,
		Incarnation: primary.State.Incarnation,
		Passive:     true,
	}
	g.addWaiter(w, func(r resolution) {
		g.positionPending = false
		if r.Proven {
			g.primaryPositions.Add(now, r.Position)
		}
	})
}

// addWaiter begins a wait that done ends; it returns the waiter's name.
func (g *Group) addWaiter(w authority.Waiter, done func(resolution)) authority.WaiterID {
	g.lastID++
	w.ID, w.After = g.lastID, g.machine.Seq()
	if w.Mode == authority.ModePrimary && !w.Passive && !g.coverage.PrimaryAckAllowed(g.now()) {
		// Samples of instances that have not adopted the manifest don't cover the write yet.
		w.Mode = authority.ModeMajority
	}
	g.waiters[w.ID] = pendingWaiter{mode: w.Mode, resolve: done}
	g.resolveWaiters(g.confirm.Add(w))
	return w.ID
}

func (g *Group) resolveWaiters(resolved []authority.Resolution) {
	for _, r := range resolved {
		p := g.waiters[r.ID]
		delete(g.waiters, r.ID)
		p.resolve(resolution{Resolution: r})
	}
}

// failReadWaiters ends the waits of reads when too few servers answer. Waits for the confirmation of
// a write go on until their own deadline, because their servers may come back.
func (g *Group) failReadWaiters(now time.Duration) {
	if !g.machine.MajorityLost(now) {
		return
	}
	for id, p := range g.waiters {
		if p.mode == authority.ModeSample || p.mode == authority.ModeAuthority {
			g.cancelWaiter(id)
			p.resolve(resolution{majorityLost: true})
		}
	}
}

// awaitResolution waits for a proof on behalf of a caller; ok is false when ctx ended or the group stopped.
func (g *Group) awaitResolution(ctx context.Context, w authority.Waiter) (r resolution, ok bool) {
	p, ok := g.startWaiter(ctx, w)
	if !ok {
		return r, false
	}
	return p.await(ctx)
}

// waiterHandle is a proof under way.
type waiterHandle struct {
	group  *Group
	id     authority.WaiterID // written by the owner before the result
	result chan resolution
}

// startWaiter starts a proof; it returns false when ctx ended or the group stopped.
func (g *Group) startWaiter(ctx context.Context, w authority.Waiter) (*waiterHandle, bool) {
	p := &waiterHandle{group: g, result: make(chan resolution, 1)}
	begun := g.post(ctx, func() {
		p.id = g.addWaiter(w, func(r resolution) { p.result <- r })
		g.machine.RequestProbes()
	})
	return p, begun
}

// await waits for the proof; ok is false when ctx ended or the group stopped.
func (p *waiterHandle) await(ctx context.Context) (r resolution, ok bool) {
	select {
	case r = <-p.result:
		return r, true
	case <-p.group.stopped:
		return r, false
	case <-ctx.Done():
		p.group.post(context.Background(), func() { p.group.cancelWaiter(p.id) })
		return r, false
	}
}

func (g *Group) cancelWaiter(id authority.WaiterID) {
	delete(g.waiters, id)
	g.confirm.Cancel(id)
}

// target describes a server to the engine.
func (g *Group) target(id authority.ServerID, term, incarnation uint64, primary bool) engine.Target {
	return engine.Target{
		Server:      id,
		Address:     g.servers[id].Address,
		Term:        term,
		Incarnation: incarnation,
		Primary:     primary,
	}
}

// Confirm proves that the writes which t answered before the call are kept.
func (g *Group) Confirm(ctx context.Context, t engine.Target, mode manifest.Acknowledge) (position.Position, error) {
	begun := time.Now()
	w := authority.Waiter{Mode: confirmMode(mode), Server: t.Server, Term: t.Term, Incarnation: t.Incarnation}
	r, ok := g.awaitResolution(ctx, w)
	confirmed := ok && r.Proven
	g.cfg.Observer.ConfirmLatency(mode, time.Since(begun), confirmed)
	if confirmed {
		return r.Position, nil
	}
	g.log.WithFields(logrus.Fields{
		"event": EventConfirmUnknown, "server": t.Server, "term": t.Term, "superseded": ok,
	}).Warn("write was answered by its primary but not confirmed")
	return position.Position{}, errUnconfirmed(ok)
}

func confirmMode(mode manifest.Acknowledge) authority.Mode {
	if mode == manifest.AcknowledgePrimary {
		return authority.ModePrimary
	}
	return authority.ModeMajority
}
