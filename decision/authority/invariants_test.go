package authority_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/routing"
)

// TestMain chooses and prints the seed of the property tests, so that every run is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", strconv.FormatInt(time.Now().UnixNano(), 10))
	}
	fmt.Printf("rapid.seed=%s\n", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// checkPromotion guards against two primaries in a term and against a primary without a
// confirmed write of an older term.
func (sim *simulation) checkPromotion(s *server) {
	sim.stats["promotions"]++
	term := s.term()
	if other, ok := sim.promoted[term]; ok {
		sim.t.Fatalf("term %d has two primaries, %s and %s", term, other, s.id)
	}
	sim.promoted[term] = s.id
	sim.logs[term] = s.log
	for _, wr := range sim.writes {
		sim.checkNotLost(wr)
	}
}

// checkNotLost guards against a later primary without a write confirmed in majority mode. Older terms
// are not checked, because they were superseded before the write's own term began.
func (sim *simulation) checkNotLost(wr *write) {
	if !wr.confirmed || wr.mode != authority.ModeMajority {
		return
	}
	for term, log := range sim.logs {
		if term > wr.pos.Term && !slices.Contains(log, wr.number) {
			sim.t.Fatalf("write %d, confirmed at %v, is missing from the primary of term %d", wr.number, wr.pos, term)
		}
	}
}

// checkConfirmed guards against a confirmed write that its primary executed after a majority was
// fenced, and against a reported position that does not include the write.
func (sim *simulation) checkConfirmed(wr *write, r authority.Resolution) {
	sim.stats["confirmed"]++
	wr.confirmed, wr.confirmedAt = true, sim.now
	if r.Position.Term != wr.pos.Term || r.Position.LSN < wr.pos.LSN {
		sim.t.Fatalf("write %d at %v was confirmed with position %v", wr.number, wr.pos, r.Position)
	}
	if at, ok := sim.superseded[wr.pos.Term]; ok && wr.executedAt >= at {
		sim.t.Fatalf("write %d, executed at step %d, was confirmed although a majority was fenced above term %d at step %d",
			wr.number, wr.executedAt, wr.pos.Term, at)
	}
	sim.checkNotLost(wr)
}

// checkSample guards against a floor below a write confirmed before the sample began.
func (sim *simulation) checkSample(rd *read, r authority.Resolution) {
	sim.stats["samples"]++
	log := sim.logs[r.Position.Term]
	for _, wr := range rd.required {
		at := slices.Index(log, wr.number)
		if wr.mode == authority.ModePrimary && at < 0 && r.Position.Term > wr.pos.Term {
			continue // a later term may drop a write acknowledged in primary mode
		}
		if at < 0 || uint64(at) >= r.Position.LSN {
			sim.t.Fatalf("sampled floor %v does not cover write %d confirmed at %v", r.Position, wr.number, wr.pos)
		}
	}
}

// answerRead runs the read at the chosen server, over a connection of the chosen incarnation. It
// guards against an answer without a write that the read has to include, and against an answer by a
// primary that had lost its authority before the read arrived.
func (sim *simulation) answerRead(rd *read) {
	s := sim.server(rd.chosen.Server)
	if at, ok := sim.superseded[rd.chosen.Term]; ok && at < rd.arrivedAt && rd.chosen.Kind != routing.KindReplica {
		sim.t.Fatalf("read of kind %d that arrived at step %d relies on the primary of term %d, superseded at step %d",
			rd.chosen.Kind, rd.arrivedAt, rd.chosen.Term, at)
	}
	if rd.chosen.Kind == routing.KindLost {
		sim.stats["lost"]++
		if slices.Contains(sim.logs[rd.chosen.Term], rd.session.number) {
			sim.t.Fatalf("write %d is reported lost but is in the log of term %d", rd.session.number, rd.chosen.Term)
		}
		if rd.session.mode == authority.ModeMajority {
			sim.t.Fatalf("write %d, confirmed by a majority, is reported lost", rd.session.number)
		}
		return
	}
	if !s.up || s.state.Incarnation != rd.chosen.Incarnation {
		return
	}
	sim.stats[fmt.Sprintf("reads of kind %d", rd.chosen.Kind)]++
	for _, wr := range rd.required {
		if slices.Contains(s.log, wr.number) {
			continue
		}
		dropped := wr.mode == authority.ModePrimary && rd.session == nil && s.term() > wr.pos.Term
		if !dropped {
			sim.t.Fatalf("read of kind %d at %s in term %d misses write %d confirmed at %v (bounded %v)",
				rd.chosen.Kind, s.id, s.term(), wr.number, wr.pos, rd.request.HasStalenessBound)
		}
	}
}

// pick returns a random element of list, or the zero value if it is empty.
func pick[T any](sim *simulation, list []T) (x T) {
	if len(list) == 0 {
		return x
	}
	return list[sim.randBetween(0, len(list)-1)]
}

// executeAndAnswer executes and answers the instance's calls in order, as a network without faults does.
func (sim *simulation) executeAndAnswer(inst *instance) {
	for _, c := range slices.Clone(inst.calls) {
		if sim.now-c.sent < sim.server(c.to).delay {
			continue
		}
		sim.execute(inst, c)
		sim.answer(inst, c, false)
	}
}

// randomStep runs a random step. Steps that make progress have more weight than faults.
func (sim *simulation) randomStep() {
	sim.step++
	inst := pick(sim, sim.instances)
	switch op := sim.randBetween(0, 99); {
	case op < 10:
		sim.tick(inst)
	case op < 18:
		sim.executeAndAnswer(inst)
	case op < 30:
		for _, other := range sim.instances {
			sim.advance(other)
		}
	case op < 38:
		if c := pick(sim, inst.calls); c != nil {
			sim.execute(inst, c)
		}
	case op < 46:
		if c := pick(sim, inst.calls); c != nil {
			sim.answer(inst, c, false)
		}
	case op < 48:
		if c := pick(sim, inst.calls); c != nil {
			sim.answer(inst, c, true)
		}
	case op < 49:
		if c := pick(sim, sim.abandonedCalls); c.call != nil {
			sim.execute(c.from, c.call)
		}
	case op < 57:
		sim.beginWrite(inst, pick(sim, []authority.Mode{authority.ModeMajority, authority.ModePrimary}))
	case op < 64:
		sim.beginConfirm(inst)
	case op < 72:
		sim.beginRead(inst, sim.randBetween(0, 3))
	case op < 78:
		sim.placeRead(inst)
	case op < 80:
		sim.beginMark(inst)
	case op < 96:
		sim.replicate(pick(sim, sim.servers), pick(sim, sim.servers))
	default:
		sim.fault(inst)
	}
}

// advance ticks an instance that is not paused and executes its calls.
func (sim *simulation) advance(inst *instance) {
	if inst.paused {
		inst.paused = sim.rng.Intn(20) > 0
		return
	}
	sim.tick(inst)
	sim.deliverPeerAnswer(inst)
	sim.executeAndAnswer(inst)
}

// pause stops an instance; the answers to its calls are delivered after it resumes.
func (sim *simulation) pause(inst *instance) {
	for _, c := range inst.calls {
		sim.execute(inst, c)
	}
	inst.paused = true
}

func (sim *simulation) tick(inst *instance) {
	sim.now += time.Duration(sim.randBetween(1, 15)) * time.Millisecond
	sim.feed(inst, authority.Tick{})
	sim.resolve(inst, inst.confirm.Advance(sim.now))
}

func (sim *simulation) replicate(primary, replica *server) {
	linked := primary != replica && primary.up && replica.up && !primary.isolated && !replica.isolated
	if linked && !replica.frozen && primary.state.Role == authority.RolePrimary {
		replica.contact = sim.now
		replica.copyFrom(primary, sim.randBetween(0, 4))
		sim.recordSuperseded()
	}
}

func (sim *simulation) fault(inst *instance) {
	s := pick(sim, sim.servers)
	switch sim.randBetween(0, 16) {
	case 0:
		s.up = false
	case 16:
		inst.isolated = !inst.isolated
	case 14, 15:
		s.isolated = !s.isolated
	case 9, 10:
		sim.pause(inst)
	case 11, 12:
		inst.machine.SetLeaving(pick(sim, [][]authority.ServerID{nil, {s.id}, {s.id, sim.servers[0].id}}))
	case 1, 2, 3, 4:
		if !s.up {
			s.up = true
			s.state.Incarnation++
		}
	case 5, 6:
		inst.unreachable[s.id] = true
	case 7, 8:
		clear(inst.unreachable)
	default:
		i := slices.Index(sim.instances, inst)
		sim.instances[i] = sim.newInstance()
	}
}

// checkRecovery guards against a group that stays without a usable primary after all faults have
// ended: every instance has to get a write confirmed within maxRecoveryRounds.
func (sim *simulation) checkRecovery() {
	for _, s := range sim.servers {
		s.up, s.isolated = true, false
	}
	for _, inst := range sim.instances {
		clear(inst.unreachable)
		inst.paused, inst.unconfirmed = false, nil
	}
	for _, inst := range sim.instances {
		before := sim.stats["confirmed"]
		for round := 0; sim.stats["confirmed"] == before; round++ {
			if round == maxRecoveryRounds {
				sim.t.Fatalf("instance %s gets no write confirmed after all faults have ended", inst.name)
			}
			sim.beginWrite(inst, authority.ModeMajority)
			sim.beginConfirm(inst)
			sim.runRound()
		}
	}
}

// maxRecoveryRounds take a few seconds of simulated time, many times the longest backoff.
const maxRecoveryRounds = 300

// runRound lets all instances and replicas make progress once.
func (sim *simulation) runRound() {
	sim.step++
	for _, inst := range sim.instances {
		sim.advance(inst)
	}
	for _, p := range sim.servers {
		for _, s := range sim.servers {
			sim.replicate(p, s)
		}
	}
}

// stepsPerRun is enough for several failovers in each simulation.
const stepsPerRun = 1500

func runSimulation(t *testing.T, servers, instances int) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, drawSeed(rt), shortTimings, servers, instances)
		for range stepsPerRun {
			sim.randomStep()
		}
		sim.checkRecovery()
		for k, n := range sim.stats {
			total[k] += n
		}
	})
	t.Logf("totals over all runs: %v", total)
}

// Guards against violations of the invariants in doc.go with competing instances, lost and late
// answers, partitions and restarts.
func TestGroupOfThree(t *testing.T) { runSimulation(t, 3, 3) }

// Guards against the same violations with majorities that overlap in one server of five.
func TestGroupOfFive(t *testing.T) { runSimulation(t, 5, 2) }
