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

// server is a server of the simulated group. It follows the rules for servers in doc.go.
type server struct {
	id       authority.ServerID
	up       bool
	hung     bool          // while not up: calls time out instead of being refused
	frozen   bool          // accepts no replicated log
	delay    time.Duration // minimum time before executeAndAnswer answers a call
	isolated bool          // cut off from the other servers, not from the instances
	state    authority.ServerState
	log      []int         // write numbers; the LSN is the length
	contact  time.Duration // time of the last contact with a primary
}

// probeState returns the state that a probe returns.
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

// promote returns whether the promotion was accepted and whether it began the term.
func (s *server) promote(term uint64, owner string) (accepted, began bool) {
	if s.state.FenceTerm != term || s.state.FenceOwner != owner {
		return false, false
	}
	if s.term() >= term {
		return s.term() == term && s.state.Role == authority.RolePrimary, false
	}
	s.state.Role = authority.RolePrimary
	s.state.History = append(slices.Clone(s.state.History), position.TermStart{Term: term, Start: uint64(len(s.log))})
	return true, true
}

// copyFrom appends up to n records of a primary's log, after dropping records that are not in that log.
func (s *server) copyFrom(primary *server, n int) {
	if primary.term() < max(s.state.FenceTerm, s.term()) || primary.state.Role != authority.RolePrimary {
		return
	}
	common := commonLength(s, primary)
	if common < len(s.log) || s.state.Role == authority.RolePrimary {
		s.state.Incarnation++
	}
	if primary.term() > s.state.FenceTerm {
		s.state.FenceTerm, s.state.FenceOwner = primary.term(), ""
	}
	s.state.Role = authority.RoleReplica
	s.log = slices.Clone(primary.log[:min(common+n, len(primary.log))])
	s.state.History = nil
	for _, b := range primary.state.History {
		if b.Start <= uint64(len(s.log)) {
			s.state.History = append(s.state.History, b)
		}
	}
}

// commonLength returns the length of the common prefix of two logs, which ends at the first branch
// that only one of them has.
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

// call is a call of an instance to a server that has not been answered.
type call struct {
	action  authority.Action
	to      authority.ServerID
	sent    time.Duration
	done    bool // executed, but the answer is not delivered yet
	late    bool // a probe that was reported as failed
	refused bool
	state   authority.ServerState
}

// abandonedCall is a call whose answer its instance no longer awaits but that may still reach the server.
type abandonedCall struct {
	from *instance
	call *call
}

// write is a write and its state.
type write struct {
	number      int
	pos         position.Position
	executedAt  int // step at which the primary executed it
	mode        authority.Mode
	confirmed   bool
	confirmedAt time.Duration
}

// read is a read in progress through an instance.
type read struct {
	arrivedAt int // step at which the read arrived
	request   routing.Request
	session   *write
	required  []*write // writes that the answer must include
	sample    authority.Resolution
	chosen    routing.Choice
}

// instance is one run of one process. A restart replaces it with a new one.
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
	unconfirmed []*write // answered by the primary, not yet added to confirm
	waiterFor   map[int]authority.Waiter
	unplaced    []*read
	term        uint64
	paused      bool

	peerAnswers []authority.PeerViews // answers of the other instances, not yet delivered
	isolated    bool                  // can't reach the other instances
}

// fataler is the part of testing.T and rapid.T that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
}

// simulation is a database group with several competing instances.
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
	logs             map[uint64][]int // by term, the complete log of its primary
	superseded       map[uint64]int   // by term, the step at which a majority was fenced above it
	stats            map[string]int
}

func newSimulation(t fataler, seed int64, timings authority.Timings, n, instances int) *simulation {
	rng := rand.New(rand.NewSource(seed))
	sim := &simulation{
		t: t, rng: rng, timings: timings, now: time.Second, promoted: map[uint64]authority.ServerID{}, logs: map[uint64][]int{},
		superseded: map[uint64]int{}, stats: map[string]int{}, coverPrimary: rng.Intn(2) == 0,
	}
	for i := range n {
		s := &server{id: authority.ServerID(fmt.Sprintf("s%d", i)), up: true}
		s.state = authority.ServerState{Server: s.id, Incarnation: 1, Role: authority.RoleReplica, History: position.History{{Term: 1}}}
		sim.servers = append(sim.servers, s)
	}
	sim.servers[0].state.Role = authority.RolePrimary
	sim.promoted[1] = sim.servers[0].id
	for range instances {
		sim.instances = append(sim.instances, sim.newInstance())
	}
	return sim
}

// drawSeed draws the seed of a simulation. The steps are generated from it and not drawn from rapid one
// by one, because rapid prefers small numbers and would hardly ever choose the later cases of randomStep.
func drawSeed(t *rapid.T) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
	return int64(hash.Sum64())
}

// randBetween returns a random number from low to high, both included.
func (sim *simulation) randBetween(low, high int) int {
	return low + sim.rng.Intn(high-low+1)
}

// shortTimings make many failovers occur within a few hundred steps; safety must not depend on timings.
var shortTimings = authority.Timings{
	IdleInterval: 10 * time.Millisecond, DemandInterval: time.Millisecond, HedgeAfter: 5 * time.Millisecond,
	SuspectAfter: 20 * time.Millisecond, UnreachableAfter: 60 * time.Millisecond, AskInterval: 5 * time.Millisecond, IsolatedAfter: 40 * time.Millisecond, Damping: 30 * time.Millisecond,
	Jitter: 5 * time.Millisecond, Backoff: 10 * time.Millisecond, MaxBackoff: 40 * time.Millisecond,
	AttemptTimeout: 100 * time.Millisecond, FenceGrace: 5 * time.Millisecond, StrandedAfter: 100 * time.Millisecond,
}

func (sim *simulation) newInstance() *instance {
	sim.startedInstances++
	var ids []authority.ServerID
	for _, s := range sim.servers {
		ids = append(ids, s.id)
	}
	inst := &instance{
		name: fmt.Sprintf("run%d", sim.startedInstances), confirm: authority.NewConfirmations(ids),
		unreachable: map[authority.ServerID]bool{}, writes: map[authority.WaiterID]*write{}, reads: map[authority.WaiterID]*read{},
		markTimes: map[authority.WaiterID]time.Duration{}, waiterFor: map[int]authority.Waiter{},
	}
	inst.confirm.CoverPrimary = sim.coverPrimary
	inst.machine = authority.NewMachine(sim.now, authority.Config{
		Servers: ids, Owner: inst.name, Rand: rand.New(rand.NewSource(int64(sim.startedInstances))), Timings: sim.timings,
	})
	return inst
}

func (sim *simulation) server(id authority.ServerID) *server {
	return sim.servers[slices.IndexFunc(sim.servers, func(s *server) bool { return s.id == id })]
}

// feed passes an event to an instance and queues the calls that it orders.
func (sim *simulation) feed(inst *instance, e authority.Event) {
	inst.machine.SetDemand(inst.confirm.Demand())
	for _, a := range inst.machine.Step(sim.now, e) {
		if ask, ok := a.(authority.AskPeers); ok {
			inst.peerAnswers = append(inst.peerAnswers, sim.queryPeers(inst, ask))
			continue
		}
		c := &call{action: a, sent: sim.now}
		switch a := a.(type) {
		case authority.Probe:
			c.to = a.Server
		case authority.Fence:
			c.to = a.Server
		case authority.Promote:
			c.to = a.Server
		}
		inst.calls = append(inst.calls, c)
	}
	if term := inst.machine.View().Term; term < inst.term {
		sim.t.Fatalf("instance %s went from term %d down to %d", inst.name, inst.term, term)
	}
	inst.term = inst.machine.View().Term
}

// queryPeers queries the other instances immediately; the answer is delivered later.
func (sim *simulation) queryPeers(inst *instance, ask authority.AskPeers) authority.PeerViews {
	v := authority.PeerViews{Server: ask.Server, Term: ask.Term, Sent: sim.now, Asked: len(sim.instances) - 1}
	for _, other := range sim.instances {
		if other == inst || inst.isolated || other.isolated || other.paused {
			continue
		}
		switch other.machine.Judge(sim.now, ask.Server, ask.Term) {
		case authority.JudgementLost:
			v.Lost++
		case authority.JudgementReaches:
			v.Reaching++
		}
	}
	return v
}

// deliverPeerAnswer delivers the oldest answer of the other instances.
func (sim *simulation) deliverPeerAnswer(inst *instance) {
	if len(inst.peerAnswers) == 0 {
		return
	}
	v := inst.peerAnswers[0]
	inst.peerAnswers = inst.peerAnswers[1:]
	sim.feed(inst, v)
}

// execute runs a call at its server if the server is reachable.
func (sim *simulation) execute(inst *instance, c *call) {
	s := sim.server(c.to)
	if c.done || !s.up || inst.unreachable[s.id] {
		return
	}
	c.done = true
	accepted, began := true, false
	switch a := c.action.(type) {
	case authority.Fence:
		accepted = s.fence(a.Term, inst.name)
		sim.recordSuperseded()
	case authority.Promote:
		accepted, began = s.promote(a.Term, inst.name)
	}
	if began {
		sim.checkPromotion(s)
	}
	c.refused, c.state = !accepted, s.probeState(sim.now)
}

// recordSuperseded records the terms above which a majority is fenced.
func (sim *simulation) recordSuperseded() {
	for term := range sim.promoted {
		fenced := 0
		for _, s := range sim.servers {
			if max(s.state.FenceTerm, s.term()) > term {
				fenced++
			}
		}
		if _, recorded := sim.superseded[term]; !recorded && fenced >= authority.Majority(len(sim.servers)) {
			sim.superseded[term] = sim.step
		}
	}
}

// answer delivers a call's answer, or its failure, to the instance.
func (sim *simulation) answer(inst *instance, c *call, lost bool) {
	inst.calls = slices.DeleteFunc(inst.calls, func(d *call) bool { return d == c })
	failed := lost || !c.done || c.refused
	if !c.done {
		sim.abandonedCalls = append(sim.abandonedCalls, abandonedCall{from: inst, call: c})
	}
	switch a := c.action.(type) {
	case authority.Probe:
		if failed && c.late {
			return
		}
		if failed {
			class := authority.FailureTimeout
			if s := sim.server(c.to); !s.up && !s.hung {
				class = authority.FailureRefused
			}
			sim.feed(inst, authority.ProbeFailure{Server: c.to, Seq: a.Seq, Sent: c.sent, Class: class, Fresh: a.Fresh})
			sim.resolve(inst, inst.confirm.Failed(sim.now, c.to))
			if c.done {
				c.late = true
				inst.calls = append(inst.calls, c)
			}
			return
		}
		r := authority.ProbeResult{Seq: a.Seq, Sent: c.sent, State: c.state, Late: c.late}
		sim.feed(inst, r)
		sim.resolve(inst, inst.confirm.Observe(sim.now, r))
	case authority.Fence:
		if failed {
			sim.feed(inst, authority.FenceFailure(a))
			return
		}
		sim.feed(inst, authority.FenceAccepted{Server: c.to, Term: a.Term, State: c.state})
	case authority.Promote:
		if failed {
			sim.feed(inst, authority.PromoteFailure{Server: c.to, Term: a.Term})
			return
		}
		sim.feed(inst, authority.PromoteAccepted{Server: c.to, Term: a.Term, State: c.state})
	}
}

func (inst *instance) add(waiter authority.Waiter) (authority.WaiterID, []authority.Resolution) {
	inst.lastID++
	waiter.ID, waiter.After = inst.lastID, inst.machine.Seq()
	return waiter.ID, inst.confirm.Add(waiter)
}

// beginWrite executes a write at the server that the instance considers the primary.
func (sim *simulation) beginWrite(inst *instance, mode authority.Mode) {
	p := inst.machine.View().PrimaryView()
	if p == nil || inst.unreachable[p.ID] {
		return
	}
	s := sim.server(p.ID)
	if !s.up || s.state.Incarnation != p.State.Incarnation || s.state.Role != authority.RolePrimary {
		return
	}
	n := len(sim.writes)
	s.log = append(slices.Clone(s.log), n)
	sim.logs[s.term()] = s.log
	wr := &write{number: n, executedAt: sim.step, mode: mode, pos: position.Position{Term: s.term(), LSN: uint64(len(s.log))}}
	sim.writes = append(sim.writes, wr)
	inst.unconfirmed = append(inst.unconfirmed, wr)
	inst.waiterFor[n] = authority.Waiter{Mode: mode, Server: s.id, Term: p.State.Term, Incarnation: p.State.Incarnation}
}

// beginConfirm adds the oldest unconfirmed write to the confirmations.
func (sim *simulation) beginConfirm(inst *instance) {
	if len(inst.unconfirmed) == 0 {
		return
	}
	wr := inst.unconfirmed[0]
	inst.unconfirmed = inst.unconfirmed[1:]
	id, resolved := inst.add(inst.waiterFor[wr.number])
	inst.writes[id] = wr
	sim.resolve(inst, resolved)
}

// beginRead starts a read with a sample, with the floor of a confirmed write, with a staleness
// bound, or one that only the primary may answer.
func (sim *simulation) beginRead(inst *instance, kind int) {
	rd := &read{arrivedAt: sim.step}
	switch kind {
	case 0:
		rd.required = sim.confirmedBefore(sim.now, sim.coverPrimary)
		id, resolved := inst.add(authority.Waiter{Mode: authority.ModeSample})
		inst.reads[id] = rd
		sim.resolve(inst, resolved)
		return
	case 1:
		done := sim.confirmedBefore(sim.now, true)
		if len(done) == 0 {
			return
		}
		rd.session = done[sim.randBetween(0, len(done)-1)]
		rd.request.SessionFloor, rd.required = rd.session.pos, []*write{rd.session}
	case 2:
		bound := time.Duration(sim.randBetween(1, 500)) * time.Millisecond
		rd.request.HasStalenessBound = true
		rd.request.StalenessFloor, _ = inst.marks.FloorAt(sim.now - bound)
		rd.required = sim.confirmedBefore(sim.now-bound, true)
	case 3:
		for _, s := range inst.machine.View().Servers {
			if s.ID != inst.machine.View().Primary {
				rd.request.Exclude = append(rd.request.Exclude, s.ID)
			}
		}
	}
	inst.unplaced = append(inst.unplaced, rd)
}

// confirmedBefore returns the writes confirmed up to a time, including those in primary mode if all is set.
func (sim *simulation) confirmedBefore(at time.Duration, all bool) []*write {
	var out []*write
	for _, wr := range sim.writes {
		if wr.confirmed && wr.confirmedAt <= at && (all || wr.mode == authority.ModeMajority) {
			out = append(out, wr)
		}
	}
	return out
}

// beginMark requests a confirmed position of the primary for the staleness marks.
func (sim *simulation) beginMark(inst *instance) {
	p := inst.machine.View().PrimaryView()
	if p == nil {
		return
	}
	id, resolved := inst.add(authority.Waiter{Mode: authority.ModePrimary, Server: p.ID, Term: p.State.Term, Incarnation: p.State.Incarnation})
	inst.markTimes[id] = sim.now
	sim.resolve(inst, resolved)
}

func (sim *simulation) resolve(inst *instance, resolved []authority.Resolution) {
	for _, r := range resolved {
		if wr := inst.writes[r.ID]; wr != nil && r.Proven {
			sim.checkConfirmed(wr, r)
		}
		if rd := inst.reads[r.ID]; rd != nil {
			sim.continueRead(inst, rd, r)
		}
		if at, ok := inst.markTimes[r.ID]; ok && r.Proven {
			inst.marks.Add(at, r.Position)
		}
	}
}

// continueRead continues a read after its sample or proof of authority.
func (sim *simulation) continueRead(inst *instance, rd *read, r authority.Resolution) {
	if r.Mode == authority.ModeSample {
		sim.checkSample(rd, r)
		rd.request.SampledFloor, rd.sample = r.Position, r
		inst.unplaced = append(inst.unplaced, rd)
		return
	}
	if r.Proven {
		sim.answerRead(rd)
	}
}

// placeRead chooses a server for the oldest read without one.
func (sim *simulation) placeRead(inst *instance) {
	if len(inst.unplaced) == 0 {
		return
	}
	rd := inst.unplaced[0]
	inst.unplaced = inst.unplaced[1:]
	rd.chosen = inst.router.Choose(sim.now, inst.machine.View(), rd.request)
	switch rd.chosen.Kind {
	case routing.KindReplica:
		sim.answerRead(rd)
	case routing.KindPrimary, routing.KindLost:
		if rd.sample.AuthorityProven && rd.sample.Term == rd.chosen.Term {
			sim.answerRead(rd)
			return
		}
		id, resolved := inst.add(authority.Waiter{Mode: authority.ModeAuthority, Term: rd.chosen.Term})
		inst.reads[id] = rd
		sim.resolve(inst, resolved)
	}
}
