package authority_test

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
)

// server is one server of the modelled group. It keeps the rules of the design page.
type server struct {
	id       authority.ServerID
	up       bool
	hung     bool          // while not up: answers nobody instead of refusing
	frozen   bool          // takes no replicated log
	delay    time.Duration // before exchange answers a call
	isolated bool          // cut off from the other servers, not from the instances
	state    authority.ServerState
	log      []int // write numbers; the LSN is the length
	contact  time.Duration
}

func (s *server) probeState(now time.Duration) authority.ServerState {
	c := s.state
	c.LSN = uint64(len(s.log))
	c.History = slices.Clone(c.History)
	c.Term = c.History.Term()
	if c.Role != authority.RolePrimary {
		c.PrimaryContactAge = now - s.contact
	}
	return c
}

func (s *server) term() uint64 { return s.state.History.Term() }

func (s *server) fence(term uint64, owner string) bool {
	repeat := s.state.FenceTerm == term && s.state.FenceOwner == owner
	if !repeat && term <= max(s.state.FenceTerm, s.term()) {
		return false
	}
	s.state.FenceTerm, s.state.FenceOwner = term, owner
	if s.term() < term {
		s.state.Role = authority.RoleFenced
	}
	return true
}

// promote returns whether it was accepted and whether it began the term.
func (s *server) promote(term uint64, owner string) (accepted, began bool) {
	if s.state.FenceTerm != term || s.state.FenceOwner != owner {
		return false, false
	}
	if s.term() >= term {
		return s.term() == term && s.state.Role == authority.RolePrimary, false
	}
	s.state.Role = authority.RolePrimary
	s.state.History = append(slices.Clone(s.state.History), position.Branch{Term: term, Start: uint64(len(s.log))})
	return true, true
}

// copyFrom takes up to n records of a primary's log, after dropping what that log lacks.
func (s *server) copyFrom(p *server, n int) {
	if p.term() < max(s.state.FenceTerm, s.term()) || p.state.Role != authority.RolePrimary {
		return
	}
	common := commonLength(s, p)
	if common < len(s.log) || s.state.Role == authority.RolePrimary {
		s.state.Incarnation++
	}
	if p.term() > s.state.FenceTerm {
		s.state.FenceTerm, s.state.FenceOwner = p.term(), ""
	}
	s.state.Role = authority.RoleReplica
	s.log = slices.Clone(p.log[:min(common+n, len(p.log))])
	s.state.History = nil
	for _, b := range p.state.History {
		if b.Start <= uint64(len(s.log)) {
			s.state.History = append(s.state.History, b)
		}
	}
}

// commonLength returns the length of the part that two logs share: up to the first branch that
// only one of them has.
func commonLength(a, b *server) int {
	length := min(len(a.log), len(b.log))
	for _, pair := range [][2]*server{{a, b}, {b, a}} {
		for _, branch := range pair[0].state.History {
			if !slices.Contains(pair[1].state.History, branch) {
				length = min(length, int(branch.Start))
			}
		}
	}
	return length
}

// call is a call of an instance to a server on its way there or back.
type call struct {
	action  authority.Action
	to      authority.ServerID
	sent    time.Duration
	done    bool // executed; the answer is under way
	refused bool
	state   authority.ServerState
}

// abandonedCall is a call that its instance has given up but that may still reach the server.
type abandonedCall struct {
	from *instance
	call *call
}

// write is one write and what is known about it.
type write struct {
	number      int
	pos         position.Position
	executedAt  int // step at which the primary executed it
	mode        authority.Mode
	confirmed   bool
	confirmedAt time.Duration
}

// read is one read under way through an instance.
type read struct {
	arrivedAt int // step at which the read arrived
	request   routing.Request
	session   *write
	required  []*write // must be in the answer
	sample    authority.Resolution
	chosen    routing.Choice
}

// instance is one run of one process. A restart replaces it by a new one.
type instance struct {
	name        string
	machine     *authority.Machine
	confirm     *authority.Confirmations
	router      routing.Config
	marks       routing.PrimaryPositions
	calls       []*call
	unreachable map[authority.ServerID]bool
	lastID      authority.WaiterID
	writes      map[authority.WaiterID]*write
	reads       map[authority.WaiterID]*read
	markTimes   map[authority.WaiterID]time.Duration
	unconfirmed []*write // answered by the primary, not yet handed to confirm
	waiterFor   map[int]authority.Waiter
	unplaced    []*read
	term        uint64
	paused      bool

	peerAnswers []authority.PeerViews // answers of the other instances under way
	isolated    bool                  // can't reach the other instances
}

// fataler is the part of a test that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
}

// simulation is a group with several instances that compete.
type simulation struct {
	t                fataler
	timings          authority.Timings
	rng              *rand.Rand
	now              time.Duration
	step             int
	servers          []*server
	instances        []*instance
	startedInstances int
	coverPrimary     bool
	writes           []*write
	abandonedCalls   []abandonedCall
	promoted         map[uint64]authority.ServerID
	logs             map[uint64][]int // by term, all that its primary ever had
	superseded       map[uint64]int   // by term, the step at which a majority was fenced above it
	stats            map[string]int
}

func newSimulation(t fataler, seed int64, timings authority.Timings, n, instances int) *simulation {
	chance := rand.New(rand.NewSource(seed))
	w := &simulation{
		t: t, rng: chance, timings: timings, now: time.Second, promoted: map[uint64]authority.ServerID{}, logs: map[uint64][]int{},
		superseded: map[uint64]int{}, stats: map[string]int{}, coverPrimary: chance.Intn(2) == 0,
	}
	for i := range n {
		s := &server{id: authority.ServerID(fmt.Sprintf("s%d", i)), up: true}
		s.state = authority.ServerState{Server: s.id, Incarnation: 1, Role: authority.RoleReplica, History: position.History{{Term: 1}}}
		w.servers = append(w.servers, s)
	}
	w.servers[0].state.Role = authority.RolePrimary
	w.promoted[1] = w.servers[0].id
	for range instances {
		w.instances = append(w.instances, w.newInstance())
	}
	return w
}

// drawSeed draws the seed of one world. The steps are drawn from it and not from rapid one by one,
// because rapid prefers small numbers and would then hardly ever choose the later steps.
func drawSeed(t *rapid.T) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
	return int64(hash.Sum64())
}

// randBetween draws a number from low to high.
func (w *simulation) randBetween(low, high int) int {
	return low + w.rng.Intn(high-low+1)
}

// shortTimings lets a run of a few hundred steps see many failovers; safety must not rest on timings.
var shortTimings = authority.Timings{
	IdleInterval: 10 * time.Millisecond, DemandInterval: time.Millisecond, HedgeAfter: 5 * time.Millisecond,
	SuspectAfter: 20 * time.Millisecond, UnreachableAfter: 60 * time.Millisecond, AskInterval: 5 * time.Millisecond, IsolatedAfter: 40 * time.Millisecond, Damping: 30 * time.Millisecond,
	Jitter: 5 * time.Millisecond, Backoff: 10 * time.Millisecond, MaxBackoff: 40 * time.Millisecond,
	AttemptTimeout: 100 * time.Millisecond, FenceGrace: 5 * time.Millisecond, StrandedAfter: 100 * time.Millisecond,
}

func (w *simulation) newInstance() *instance {
	w.startedInstances++
	var ids []authority.ServerID
	for _, s := range w.servers {
		ids = append(ids, s.id)
	}
	x := &instance{
		name: fmt.Sprintf("run%d", w.startedInstances), confirm: authority.NewConfirmations(ids),
		unreachable: map[authority.ServerID]bool{}, writes: map[authority.WaiterID]*write{}, reads: map[authority.WaiterID]*read{},
		markTimes: map[authority.WaiterID]time.Duration{}, waiterFor: map[int]authority.Waiter{},
	}
	x.confirm.CoverPrimary = w.coverPrimary
	x.machine = authority.NewMachine(w.now, authority.Config{
		Servers: ids, Owner: x.name, Rand: rand.New(rand.NewSource(int64(w.startedInstances))), Timings: w.timings,
	})
	return x
}

func (w *simulation) server(id authority.ServerID) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.id == id })]
}

// feed gives an event to an instance and queues the calls that it orders.
func (w *simulation) feed(x *instance, e authority.Event) {
	x.machine.SetDemand(x.confirm.Demand())
	for _, a := range x.machine.Step(w.now, e) {
		if ask, ok := a.(authority.AskPeers); ok {
			x.peerAnswers = append(x.peerAnswers, w.queryPeers(x, ask))
			continue
		}
		c := &call{action: a, sent: w.now}
		switch a := a.(type) {
		case authority.Probe:
			c.to = a.Server
		case authority.Fence:
			c.to = a.Server
		case authority.Promote:
			c.to = a.Server
		}
		x.calls = append(x.calls, c)
	}
	if term := x.machine.View().Term; term < x.term {
		w.t.Fatalf("instance %s went from term %d down to %d", x.name, x.term, term)
	}
	x.term = x.machine.View().Term
}

// queryPeers asks the other instances at once; the answer is delivered later.
func (w *simulation) queryPeers(x *instance, ask authority.AskPeers) authority.PeerViews {
	v := authority.PeerViews{Server: ask.Server, Term: ask.Term, Sent: w.now, Asked: len(w.instances) - 1}
	for _, other := range w.instances {
		if other == x || x.isolated || other.isolated || other.paused {
			continue
		}
		switch other.machine.Judge(w.now, ask.Server, ask.Term) {
		case authority.JudgementLost:
			v.Lost++
		case authority.JudgementReaches:
			v.Reaching++
		}
	}
	return v
}

// deliverPeerAnswer delivers the oldest answer of the other instances.
func (w *simulation) deliverPeerAnswer(x *instance) {
	if len(x.peerAnswers) == 0 {
		return
	}
	v := x.peerAnswers[0]
	x.peerAnswers = x.peerAnswers[1:]
	w.feed(x, v)
}

// execute runs a call at its server.
func (w *simulation) execute(x *instance, c *call) {
	s := w.server(c.to)
	if c.done || !s.up || x.unreachable[s.id] {
		return
	}
	c.done = true
	accepted, began := true, false
	switch a := c.action.(type) {
	case authority.Fence:
		accepted = s.fence(a.Term, x.name)
		w.recordSuperseded()
	case authority.Promote:
		accepted, began = s.promote(a.Term, x.name)
	}
	if began {
		w.checkPromotion(s)
	}
	c.refused, c.state = !accepted, s.probeState(w.now)
}

func (w *simulation) recordSuperseded() {
	for term := range w.promoted {
		fenced := 0
		for _, s := range w.servers {
			if max(s.state.FenceTerm, s.term()) > term {
				fenced++
			}
		}
		if _, noted := w.superseded[term]; !noted && fenced >= authority.Majority(len(w.servers)) {
			w.superseded[term] = w.step
		}
	}
}

// answer brings a call's answer, or its failure, back to the instance.
func (w *simulation) answer(x *instance, c *call, lost bool) {
	x.calls = slices.DeleteFunc(x.calls, func(d *call) bool { return d == c })
	failed := lost || !c.done || c.refused
	if !c.done {
		w.abandonedCalls = append(w.abandonedCalls, abandonedCall{from: x, call: c})
	}
	switch a := c.action.(type) {
	case authority.Probe:
		if failed {
			class := authority.FailureTimeout
			if s := w.server(c.to); !s.up && !s.hung {
				class = authority.FailureRefused
			}
			w.feed(x, authority.ProbeFailure{Server: c.to, Seq: a.Seq, Sent: c.sent, Class: class, Fresh: a.Fresh})
			w.resolve(x, x.confirm.Failed(w.now, c.to))
			return
		}
		r := authority.ProbeResult{Seq: a.Seq, Sent: c.sent, State: c.state}
		w.feed(x, r)
		w.resolve(x, x.confirm.Observe(w.now, r))
	case authority.Fence:
		if failed {
			w.feed(x, authority.FenceFailure(a))
			return
		}
		w.feed(x, authority.FenceAccepted{Server: c.to, Term: a.Term, State: c.state})
	case authority.Promote:
		if failed {
			w.feed(x, authority.PromoteFailure{Server: c.to, Term: a.Term})
			return
		}
		w.feed(x, authority.PromoteAccepted{Server: c.to, Term: a.Term, State: c.state})
	}
}

func (x *instance) add(w authority.Waiter) (authority.WaiterID, []authority.Resolution) {
	x.lastID++
	w.ID, w.After = x.lastID, x.machine.Seq()
	return w.ID, x.confirm.Add(w)
}

// beginWrite executes a write at the server that the instance takes for the primary.
func (w *simulation) beginWrite(x *instance, mode authority.Mode) {
	p := x.machine.View().PrimaryView()
	if p == nil || x.unreachable[p.ID] {
		return
	}
	s := w.server(p.ID)
	if !s.up || s.state.Incarnation != p.State.Incarnation || s.state.Role != authority.RolePrimary {
		return
	}
	n := len(w.writes)
	s.log = append(slices.Clone(s.log), n)
	w.logs[s.term()] = s.log
	wr := &write{number: n, executedAt: w.step, mode: mode, pos: position.Position{Term: s.term(), LSN: uint64(len(s.log))}}
	w.writes = append(w.writes, wr)
	x.unconfirmed = append(x.unconfirmed, wr)
	x.waiterFor[n] = authority.Waiter{Mode: mode, Server: s.id, Term: p.State.Term, Incarnation: p.State.Incarnation}
}

// beginConfirm hands an answered write to the confirmations.
func (w *simulation) beginConfirm(x *instance) {
	if len(x.unconfirmed) == 0 {
		return
	}
	wr := x.unconfirmed[0]
	x.unconfirmed = x.unconfirmed[1:]
	id, resolved := x.add(x.waiterFor[wr.number])
	x.writes[id] = wr
	w.resolve(x, resolved)
}

// beginRead starts a read with a sample, with the floor of a confirmed write, with a staleness
// bound, or one that only the primary may answer.
func (w *simulation) beginRead(x *instance, kind int) {
	rd := &read{arrivedAt: w.step}
	switch kind {
	case 0:
		rd.required = w.confirmedBefore(w.now, w.coverPrimary)
		id, resolved := x.add(authority.Waiter{Mode: authority.ModeSample})
		x.reads[id] = rd
		w.resolve(x, resolved)
		return
	case 1:
		done := w.confirmedBefore(w.now, true)
		if len(done) == 0 {
			return
		}
		rd.session = done[w.randBetween(0, len(done)-1)]
		rd.request.SessionFloor, rd.required = rd.session.pos, []*write{rd.session}
	case 2:
		bound := time.Duration(w.randBetween(1, 500)) * time.Millisecond
		rd.request.HasStalenessBound = true
		rd.request.StalenessFloor, _ = x.marks.FloorAt(w.now - bound)
		rd.required = w.confirmedBefore(w.now-bound, true)
	case 3:
		for _, s := range x.machine.View().Servers {
			if s.ID != x.machine.View().Primary {
				rd.request.Exclude = append(rd.request.Exclude, s.ID)
			}
		}
	}
	x.unplaced = append(x.unplaced, rd)
}

// confirmedBefore returns the writes confirmed up to a time, those in primary mode if all is set.
func (w *simulation) confirmedBefore(at time.Duration, all bool) []*write {
	var out []*write
	for _, wr := range w.writes {
		if wr.confirmed && wr.confirmedAt <= at && (all || wr.mode == authority.ModeMajority) {
			out = append(out, wr)
		}
	}
	return out
}

func (w *simulation) beginMark(x *instance) {
	p := x.machine.View().PrimaryView()
	if p == nil {
		return
	}
	id, resolved := x.add(authority.Waiter{Mode: authority.ModePrimary, Server: p.ID, Term: p.State.Term, Incarnation: p.State.Incarnation})
	x.markTimes[id] = w.now
	w.resolve(x, resolved)
}

func (w *simulation) resolve(x *instance, resolved []authority.Resolution) {
	for _, r := range resolved {
		if wr := x.writes[r.ID]; wr != nil && r.Proven {
			w.checkConfirmed(wr, r)
		}
		if rd := x.reads[r.ID]; rd != nil {
			w.continueRead(x, rd, r)
		}
		if at, ok := x.markTimes[r.ID]; ok && r.Proven {
			x.marks.Add(at, r.Position)
		}
	}
}

// continueRead continues a read whose sample or proof of authority has come.
func (w *simulation) continueRead(x *instance, rd *read, r authority.Resolution) {
	if r.Mode == authority.ModeSample {
		w.checkSample(rd, r)
		rd.request.SampledFloor, rd.sample = r.Position, r
		x.unplaced = append(x.unplaced, rd)
		return
	}
	if r.Proven {
		w.answerRead(rd)
	}
}

// placeRead chooses a server for the oldest read that waits for one.
func (w *simulation) placeRead(x *instance) {
	if len(x.unplaced) == 0 {
		return
	}
	rd := x.unplaced[0]
	x.unplaced = x.unplaced[1:]
	rd.chosen = x.router.Choose(w.now, x.machine.View(), rd.request)
	switch rd.chosen.Kind {
	case routing.KindReplica:
		w.answerRead(rd)
	case routing.KindPrimary, routing.KindLost:
		if rd.sample.AuthorityProven && rd.sample.Term == rd.chosen.Term {
			w.answerRead(rd)
			return
		}
		id, resolved := x.add(authority.Waiter{Mode: authority.ModeAuthority, Term: rd.chosen.Term})
		x.reads[id] = rd
		w.resolve(x, resolved)
	}
}
