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

// TestMain chooses and prints the seed of the property tests, so that every run can be repeated.
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
func (w *simulation) checkPromotion(s *server) {
	w.stats["promotions"]++
	term := s.term()
	if other, ok := w.promoted[term]; ok {
		w.t.Fatalf("term %d has two primaries, %s and %s", term, other, s.id)
	}
	w.promoted[term] = s.id
	w.logs[term] = s.log
	for _, wr := range w.writes {
		w.checkNotLost(wr)
	}
}

// checkNotLost guards against a later primary without a write confirmed in majority mode. A term
// that was superseded before the write's own term began never had a say.
func (w *simulation) checkNotLost(wr *write) {
	if !wr.confirmed || wr.mode != authority.ModeMajority {
		return
	}
	for term, log := range w.logs {
		if term > wr.pos.Term && !slices.Contains(log, wr.number) {
			w.t.Fatalf("write %d, confirmed at %v, is missing from the primary of term %d", wr.number, wr.pos, term)
		}
	}
}

// checkConfirmed guards against a confirmed write that its primary executed after a majority was
// fenced, and against a reported position that does not include the write.
func (w *simulation) checkConfirmed(wr *write, r authority.Resolution) {
	w.stats["confirmed"]++
	wr.confirmed, wr.confirmedAt = true, w.now
	if r.Position.Term != wr.pos.Term || r.Position.LSN < wr.pos.LSN {
		w.t.Fatalf("write %d at %v was confirmed with position %v", wr.number, wr.pos, r.Position)
	}
	if at, ok := w.superseded[wr.pos.Term]; ok && wr.executedAt >= at {
		w.t.Fatalf("write %d, executed at step %d, was confirmed although a majority was fenced above term %d at step %d",
			wr.number, wr.executedAt, wr.pos.Term, at)
	}
	w.checkNotLost(wr)
}

// checkSample guards against a floor below a write confirmed before the sample began.
func (w *simulation) checkSample(rd *read, r authority.Resolution) {
	w.stats["samples"]++
	log := w.logs[r.Position.Term]
	for _, wr := range rd.required {
		at := slices.Index(log, wr.number)
		if wr.mode == authority.ModePrimary && at < 0 && r.Position.Term > wr.pos.Term {
			continue // a later term may drop a write acknowledged in primary mode
		}
		if at < 0 || uint64(at) >= r.Position.LSN {
			w.t.Fatalf("sampled floor %v does not cover write %d confirmed at %v", r.Position, wr.number, wr.pos)
		}
	}
}

// answerRead runs the read at the chosen server, over a connection of the chosen incarnation, and
// guards against an answer without a write that the read has to show, and against an answer by a
// primary that had lost its authority before the read arrived.
func (w *simulation) answerRead(rd *read) {
	s := w.server(rd.chosen.Server)
	if at, ok := w.superseded[rd.chosen.Term]; ok && at < rd.arrivedAt && rd.chosen.Kind != routing.KindReplica {
		w.t.Fatalf("read of kind %d that arrived at step %d rests on the primary of term %d, superseded at step %d",
			rd.chosen.Kind, rd.arrivedAt, rd.chosen.Term, at)
	}
	if rd.chosen.Kind == routing.KindLost {
		w.stats["lost"]++
		if slices.Contains(w.logs[rd.chosen.Term], rd.session.number) {
			w.t.Fatalf("write %d is reported lost but is in the log of term %d", rd.session.number, rd.chosen.Term)
		}
		if rd.session.mode == authority.ModeMajority {
			w.t.Fatalf("write %d, confirmed by a majority, is reported lost", rd.session.number)
		}
		return
	}
	if !s.up || s.state.Incarnation != rd.chosen.Incarnation {
		return
	}
	w.stats[fmt.Sprintf("reads of kind %d", rd.chosen.Kind)]++
	for _, wr := range rd.required {
		if slices.Contains(s.log, wr.number) {
			continue
		}
		dropped := wr.mode == authority.ModePrimary && rd.session == nil && s.term() > wr.pos.Term
		if !dropped {
			w.t.Fatalf("read of kind %d at %s in term %d misses write %d confirmed at %v (bounded %v)",
				rd.chosen.Kind, s.id, s.term(), wr.number, wr.pos, rd.request.HasStalenessBound)
		}
	}
}

// pick draws an element, the zero value from an empty list.
func pick[T any](w *simulation, list []T) (x T) {
	if len(list) == 0 {
		return x
	}
	return list[w.randBetween(0, len(list)-1)]
}

// executeAndAnswer runs the instance's calls there and back in order, as a quiet network does.
func (w *simulation) executeAndAnswer(x *instance) {
	for _, c := range slices.Clone(x.calls) {
		if w.now-c.sent < w.server(c.to).delay {
			continue
		}
		w.execute(x, c)
		w.answer(x, c, false)
	}
}

// randomStep draws one step. Steps that make progress have more weight than faults.
func (w *simulation) randomStep() {
	w.step++
	x := pick(w, w.instances)
	switch op := w.randBetween(0, 99); {
	case op < 10:
		w.tick(x)
	case op < 18:
		w.executeAndAnswer(x)
	case op < 30:
		for _, y := range w.instances {
			w.advance(y)
		}
	case op < 38:
		if c := pick(w, x.calls); c != nil {
			w.execute(x, c)
		}
	case op < 46:
		if c := pick(w, x.calls); c != nil {
			w.answer(x, c, false)
		}
	case op < 48:
		if c := pick(w, x.calls); c != nil {
			w.answer(x, c, true)
		}
	case op < 49:
		if c := pick(w, w.abandonedCalls); c.call != nil {
			w.execute(c.from, c.call)
		}
	case op < 57:
		w.beginWrite(x, pick(w, []authority.Mode{authority.ModeMajority, authority.ModePrimary}))
	case op < 64:
		w.beginConfirm(x)
	case op < 72:
		w.beginRead(x, w.randBetween(0, 3))
	case op < 78:
		w.placeRead(x)
	case op < 80:
		w.beginMark(x)
	case op < 96:
		w.replicate(pick(w, w.servers), pick(w, w.servers))
	default:
		w.fault(x)
	}
}

// advance lets an instance that is not paused tick and exchange its calls.
func (w *simulation) advance(x *instance) {
	if x.paused {
		x.paused = w.rng.Intn(20) > 0
		return
	}
	w.tick(x)
	w.deliverPeerAnswer(x)
	w.executeAndAnswer(x)
}

// pause leaves the answers to an instance's calls on the way until it goes on.
func (w *simulation) pause(x *instance) {
	for _, c := range x.calls {
		w.execute(x, c)
	}
	x.paused = true
}

func (w *simulation) tick(x *instance) {
	w.now += time.Duration(w.randBetween(1, 15)) * time.Millisecond
	w.feed(x, authority.Tick{})
	w.resolve(x, x.confirm.Advance(w.now))
}

func (w *simulation) replicate(p, s *server) {
	linked := p != s && p.up && s.up && !p.isolated && !s.isolated
	if linked && !s.frozen && p.state.Role == authority.RolePrimary {
		s.contact = w.now
		s.copyFrom(p, w.randBetween(0, 4))
		w.recordSuperseded()
	}
}

func (w *simulation) fault(x *instance) {
	s := pick(w, w.servers)
	switch w.randBetween(0, 16) {
	case 0:
		s.up = false
	case 16:
		x.isolated = !x.isolated
	case 14, 15:
		s.isolated = !s.isolated
	case 9, 10:
		w.pause(x)
	case 11, 12:
		x.machine.SetLeaving(pick(w, [][]authority.ServerID{nil, {s.id}, {s.id, w.servers[0].id}}))
	case 1, 2, 3, 4:
		if !s.up {
			s.up = true
			s.state.Incarnation++
		}
	case 5, 6:
		x.unreachable[s.id] = true
	case 7, 8:
		clear(x.unreachable)
	default:
		i := slices.Index(w.instances, x)
		w.instances[i] = w.newInstance()
	}
}

// checkRecovery guards against a group that stays without a usable primary after all faults have
// ended: every instance has to get a write confirmed within maxRecoveryRounds.
func (w *simulation) checkRecovery() {
	for _, s := range w.servers {
		s.up, s.isolated = true, false
	}
	for _, x := range w.instances {
		clear(x.unreachable)
		x.paused, x.unconfirmed = false, nil
	}
	for _, x := range w.instances {
		before := w.stats["confirmed"]
		for round := 0; w.stats["confirmed"] == before; round++ {
			if round == maxRecoveryRounds {
				w.t.Fatalf("instance %s gets no write confirmed after all faults have ended", x.name)
			}
			w.beginWrite(x, authority.ModeMajority)
			w.beginConfirm(x)
			w.runRound()
		}
	}
}

// maxRecoveryRounds take a few seconds of the model's time, many times the longest back-off.
const maxRecoveryRounds = 300

// quiet lets all instances and replicas make progress once.
func (w *simulation) runRound() {
	w.step++
	for _, y := range w.instances {
		w.advance(y)
	}
	for _, p := range w.servers {
		for _, s := range w.servers {
			w.replicate(p, s)
		}
	}
}

// stepsPerRun is enough for several failovers in each world.
const stepsPerRun = 1500

func runSimulation(t *testing.T, servers, instances int) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rt, drawSeed(rt), shortTimings, servers, instances)
		for range stepsPerRun {
			w.randomStep()
		}
		w.checkRecovery()
		for k, n := range w.stats {
			total[k] += n
		}
	})
	t.Logf("seen over all runs: %v", total)
}

// Guards the invariants of doc.go with competing instances, lost and late answers, partitions
// and restarts.
func TestGroupOfThree(t *testing.T) { runSimulation(t, 3, 3) }

// The same with majorities that overlap in one server of five.
func TestGroupOfFive(t *testing.T) { runSimulation(t, 5, 2) }
