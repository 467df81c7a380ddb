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
func (w *world) checkPromotion(s *server) {
	w.stats["promotions"]++
	term := s.term()
	if other, ok := w.promoted[term]; ok {
		w.t.Fatalf("term %d has two primaries, %s and %s", term, other, s.id)
	}
	w.promoted[term] = s.id
	w.logs[term] = s.log
	for _, wr := range w.writes {
		w.checkKept(wr)
	}
}

// checkKept guards against a later primary without a write confirmed in majority mode. A term
// that was superseded before the write's own term began never had a say.
func (w *world) checkKept(wr *write) {
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
func (w *world) checkConfirmed(wr *write, r authority.Resolution) {
	w.stats["confirmed"]++
	wr.confirmed, wr.since = true, w.now
	if r.Position.Term != wr.pos.Term || r.Position.LSN < wr.pos.LSN {
		w.t.Fatalf("write %d at %v was confirmed with position %v", wr.number, wr.pos, r.Position)
	}
	if at, ok := w.superseded[wr.pos.Term]; ok && wr.at >= at {
		w.t.Fatalf("write %d, executed at step %d, was confirmed although a majority was fenced above term %d at step %d",
			wr.number, wr.at, wr.pos.Term, at)
	}
	w.checkKept(wr)
}

// checkSample guards against a floor below a write confirmed before the sample began.
func (w *world) checkSample(rd *read, r authority.Resolution) {
	w.stats["samples"]++
	log := w.logs[r.Position.Term]
	for _, wr := range rd.covered {
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
func (w *world) answerRead(rd *read) {
	s := w.server(rd.chosen.Server)
	if at, ok := w.superseded[rd.chosen.Term]; ok && at < rd.began && rd.chosen.Kind != routing.KindReplica {
		w.t.Fatalf("read of kind %d that arrived at step %d rests on the primary of term %d, superseded at step %d",
			rd.chosen.Kind, rd.began, rd.chosen.Term, at)
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
	for _, wr := range rd.covered {
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
func pick[T any](w *world, list []T) (x T) {
	if len(list) == 0 {
		return x
	}
	return list[w.between(0, len(list)-1)]
}

// exchange runs the instance's calls there and back in order, as a quiet network does.
func (w *world) exchange(x *instance) {
	for _, c := range slices.Clone(x.calls) {
		if w.now-c.sent < w.server(c.to).delay {
			continue
		}
		w.execute(x, c)
		w.answer(x, c, false)
	}
}

// act draws one step. Steps that make progress have more weight than faults.
func (w *world) act() {
	w.step++
	x := pick(w, w.instances)
	switch op := w.between(0, 99); {
	case op < 10:
		w.tick(x)
	case op < 18:
		w.exchange(x)
	case op < 30:
		for _, y := range w.instances {
			w.passTime(y)
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
		if c := pick(w, w.strays); c.call != nil {
			w.execute(c.from, c.call)
		}
	case op < 57:
		w.beginWrite(x, pick(w, []authority.Mode{authority.ModeMajority, authority.ModePrimary}))
	case op < 64:
		w.beginConfirm(x)
	case op < 72:
		w.beginRead(x, w.between(0, 3))
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

// passTime lets an instance that is not paused tick and exchange its calls.
func (w *world) passTime(x *instance) {
	if x.paused {
		x.paused = w.chance.Intn(20) > 0
		return
	}
	w.tick(x)
	w.answerQuestion(x)
	w.exchange(x)
}

// pause leaves the answers to an instance's calls on the way until it goes on.
func (w *world) pause(x *instance) {
	for _, c := range x.calls {
		w.execute(x, c)
	}
	x.paused = true
}

func (w *world) tick(x *instance) {
	w.now += time.Duration(w.between(1, 15)) * time.Millisecond
	w.feed(x, authority.Tick{})
	w.resolve(x, x.confirm.Advance(w.now))
}

func (w *world) replicate(p, s *server) {
	linked := p != s && p.up && s.up && !p.alone && !s.alone
	if linked && !s.frozen && p.state.Role == authority.RolePrimary {
		s.contact = w.now
		s.copyFrom(p, w.between(0, 4))
		w.noteSuperseded()
	}
}

func (w *world) fault(x *instance) {
	s := pick(w, w.servers)
	switch w.between(0, 16) {
	case 0:
		s.up = false
	case 16:
		x.alone = !x.alone
	case 14, 15:
		s.alone = !s.alone
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
		x.cut[s.id] = true
	case 7, 8:
		clear(x.cut)
	default:
		i := slices.Index(w.instances, x)
		w.instances[i] = w.newInstance()
	}
}

// checkRecovers guards against a group that stays without a usable primary after all faults have
// ended: every instance has to get a write confirmed within recoverRounds.
func (w *world) checkRecovers() {
	for _, s := range w.servers {
		s.up, s.alone = true, false
	}
	for _, x := range w.instances {
		clear(x.cut)
		x.paused, x.pending = false, nil
	}
	for _, x := range w.instances {
		before := w.stats["confirmed"]
		for round := 0; w.stats["confirmed"] == before; round++ {
			if round == recoverRounds {
				w.t.Fatalf("instance %s gets no write confirmed after all faults have ended", x.name)
			}
			w.beginWrite(x, authority.ModeMajority)
			w.beginConfirm(x)
			w.quiet()
		}
	}
}

// recoverRounds take a few seconds of the model's time, many times the longest back-off.
const recoverRounds = 300

// quiet lets all instances and replicas make progress once.
func (w *world) quiet() {
	w.step++
	for _, y := range w.instances {
		w.passTime(y)
	}
	for _, p := range w.servers {
		for _, s := range w.servers {
			w.replicate(p, s)
		}
	}
}

// stepsPerWorld is enough for several failovers in each world.
const stepsPerWorld = 1500

func runWorld(t *testing.T, servers, instances int) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, drawSeed(rt), eager, servers, instances)
		for range stepsPerWorld {
			w.act()
		}
		w.checkRecovers()
		for k, n := range w.stats {
			total[k] += n
		}
	})
	t.Logf("seen over all runs: %v", total)
}

// Guards the invariants of doc.go with competing instances, lost and late answers, partitions
// and restarts.
func TestGroupOfThree(t *testing.T) { runWorld(t, 3, 3) }

// The same with majorities that overlap in one server of five.
func TestGroupOfFive(t *testing.T) { runWorld(t, 5, 2) }
