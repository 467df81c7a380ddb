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

// Group manages one database group from the viewpoint of this instance.
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

	// The fields below are only accessed by the owner, the goroutine of Run.

	machine          *authority.Machine
	confirm          *authority.Confirmations
	coverage         authority.Coverage
	primaryPositions routing.PrimaryPositions
	lastID           authority.WaiterID
	waiters          map[authority.WaiterID]pendingWaiter
	pendingReads     []*pendingRead
	primaryWaits     []*primaryWait
	positionPending  bool // a passive waiter for the next primary position is registered
	reported         reportedState
	// viewChanged is set if the machine's view has changed since it was published. Only probe results
	// and changed leaving marks change it.
	viewChanged bool
	runCtx      context.Context
}

// pendingWaiter is a waiter registered with Group.confirm and its callback.
type pendingWaiter struct {
	mode    authority.Mode
	resolve func(resolution)
}

// resolution is the outcome of a waiter. majorityLost is set if too few servers answer to prove anything.
type resolution struct {
	authority.Resolution
	majorityLost bool
}

var _ engine.Database = (*Group)(nil)

// inboxSize allows results of calls to be posted while the owner is busy.
const inboxSize = 64

// New returns a group that does nothing until Run is called.
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
	localities := map[authority.ServerID]routing.Locality{}
	for _, s := range g.cfg.Servers {
		id := authority.ServerID(s.ID)
		ids = append(ids, id)
		g.servers[id] = s
		g.adapters[id] = g.cfg.Connect(s)
		localities[id] = routing.Locality{Region: s.Region, FailureDomain: s.FailureDomain}
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
		Localities:  localities,
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

// Run probes, fences and promotes until ctx ends, and then closes the adapters. It must be called once only.
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

// closeAdapters closes all adapters concurrently, because closing the connection to an unresponsive
// server may take until its timeout.
func (g *Group) closeAdapters() {
	var closing sync.WaitGroup
	for _, a := range g.adapters {
		if a.Close != nil {
			closing.Go(a.Close)
		}
	}
	closing.Wait()
}

// drainInbox runs whatever else is in the inbox, so that one call of advance covers all of it.
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

// advance processes everything that is due and returns the time until the next call.
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
	g.updateCheckScheduled()
	if g.viewChanged {
		g.publish()
	}
	g.reportChanges()
	return g.nextAdvance(now) - now
}

func (g *Group) demand() authority.Demand {
	if len(g.pendingReads) > 0 || len(g.primaryWaits) > 0 {
		return authority.DemandAll
	}
	return g.confirm.Demand()
}

func (g *Group) nextAdvance(now time.Duration) time.Duration {
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

// post queues f for the owner. It returns false if the group has stopped or ctx has ended.
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

// MatchesServers reports whether servers have the same members, addresses and localities as this group.
// If not, the group has to be replaced by a new one.
func (g *Group) MatchesServers(servers []manifest.Server) bool {
	return slices.EqualFunc(g.cfg.Servers, servers, func(a, b manifest.Server) bool {
		return a.ID == b.ID && a.Address == b.Address && a.Region == b.Region && a.FailureDomain == b.FailureDomain
	})
}

// SetServers applies the leaving marks of a new manifest. For other changes see MatchesServers.
func (g *Group) SetServers(ctx context.Context, servers []manifest.Server) {
	g.post(ctx, func() {
		g.machine.SetLeaving(leaving(servers))
		g.viewChanged = true
	})
}

// SetCoverPrimary updates Config.CoverPrimary.
func (g *Group) SetCoverPrimary(ctx context.Context, cover bool) {
	g.post(ctx, func() { g.coverage.Set(g.now(), cover) })
}

// View returns the instance's current view of the group. ok is false if ctx ended or the group
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

// ReportFailure reports a failed call to t, and has its server probed immediately over a new connection.
func (g *Group) ReportFailure(t engine.Target, _ error) {
	g.post(context.Background(), func() {
		g.perform(g.machine.Step(g.now(), authority.Suspicion{Server: t.Server}))
	})
}

// trackPrimaryPosition keeps one passive waiter registered, which records the primary's position from
// regular probes.
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

// addWaiter registers a waiter and returns its ID. done is called with its resolution, unless it is
// cancelled.
func (g *Group) addWaiter(w authority.Waiter, done func(resolution)) authority.WaiterID {
	g.lastID++
	w.ID, w.After = g.lastID, g.machine.Seq()
	if w.Mode == authority.ModePrimary && !w.Passive && !g.coverage.PrimaryAckAllowed(g.now()) {
		// Instances that have not adopted the manifest yet take samples that don't cover the write.
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

// failReadWaiters resolves the waiters of reads while too few servers answer. Waiters for the
// confirmation of a write stay until their own deadline, because their servers may come back.
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

// awaitResolution registers a waiter and waits for its resolution. ok is false if ctx ended or the group
// stopped.
func (g *Group) awaitResolution(ctx context.Context, w authority.Waiter) (r resolution, ok bool) {
	h, ok := g.startWaiter(ctx, w)
	if !ok {
		return r, false
	}
	return h.await(ctx)
}

// waiterHandle refers to a started waiter.
type waiterHandle struct {
	group  *Group
	id     authority.WaiterID // set by the owner before it sends the result
	result chan resolution
}

// startWaiter registers a waiter and requests probes for it. It returns false if ctx ended or the group
// stopped.
func (g *Group) startWaiter(ctx context.Context, w authority.Waiter) (*waiterHandle, bool) {
	h := &waiterHandle{group: g, result: make(chan resolution, 1)}
	posted := g.post(ctx, func() {
		h.id = g.addWaiter(w, func(r resolution) { h.result <- r })
		g.machine.RequestProbes()
	})
	return h, posted
}

// await waits for the resolution. ok is false if ctx ended or the group stopped.
func (h *waiterHandle) await(ctx context.Context) (r resolution, ok bool) {
	select {
	case r = <-h.result:
		return r, true
	case <-h.group.stopped:
		return r, false
	case <-ctx.Done():
		h.group.post(context.Background(), func() { h.group.cancelWaiter(h.id) })
		return r, false
	}
}

func (g *Group) cancelWaiter(id authority.WaiterID) {
	delete(g.waiters, id)
	g.confirm.Cancel(id)
}

// target returns the engine's description of a server.
func (g *Group) target(id authority.ServerID, term, incarnation uint64, primary bool) engine.Target {
	return engine.Target{
		Server:      id,
		Address:     g.servers[id].Address,
		Term:        term,
		Incarnation: incarnation,
		Primary:     primary,
	}
}

// Confirm waits for proof that the writes which t acknowledged before the call are confirmed in the given
// mode. It returns a position that includes them.
func (g *Group) Confirm(ctx context.Context, t engine.Target, mode manifest.Acknowledge) (position.Position, error) {
	start := time.Now()
	w := authority.Waiter{Mode: confirmMode(mode), Server: t.Server, Term: t.Term, Incarnation: t.Incarnation}
	r, ok := g.awaitResolution(ctx, w)
	confirmed := ok && r.Proven
	g.cfg.Observer.ConfirmLatency(mode, time.Since(start), confirmed)
	if confirmed {
		return r.Position, nil
	}
	g.log.WithFields(logrus.Fields{
		"event": EventConfirmUnknown, "server": t.Server, "term": t.Term, "superseded": ok,
	}).Warn("primary acknowledged the write, but it was not confirmed")
	return position.Position{}, errUnconfirmed(ok)
}

func confirmMode(mode manifest.Acknowledge) authority.Mode {
	if mode == manifest.AcknowledgePrimary {
		return authority.ModePrimary
	}
	return authority.ModeMajority
}
