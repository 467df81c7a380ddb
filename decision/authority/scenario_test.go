package authority_test

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// scenario is a fault of a quiet group under the design's timings, and when a promotion is due.
type scenario struct {
	name      string
	instances int
	fault     func(w *simulation)
	earliest  time.Duration
	latest    time.Duration // 0: no promotion is allowed within observe
	want      authority.ServerID
}

// observationTime is longer than every bound of the design.
const observationTime = 30 * time.Second

func crash(id int) func(*simulation) {
	return func(w *simulation) { w.servers[id].up = false }
}

func hang(id int) func(*simulation) {
	return func(w *simulation) { w.servers[id].up, w.servers[id].hung = false, true }
}

// cutOff separates a server from all instances, while replicas still hear it.
func cutOff(id int) func(*simulation) {
	return func(w *simulation) {
		for _, x := range w.instances {
			x.unreachable[w.servers[id].id] = true
		}
	}
}

// cutOffFromPeers separates a server from the others of its group, while the instances reach it and
// it has a write that no other server has.
func cutOffFromPeers(id int) func(*simulation) {
	return func(w *simulation) {
		s := w.servers[id]
		s.isolated = true
		if s.state.Role == authority.RolePrimary {
			w.beginWrite(w.instances[0], authority.ModeMajority)
		}
	}
}

// cutOffFrom separates the primary from the first n instances only.
func cutOffFrom(n int) func(*simulation) {
	return func(w *simulation) {
		for _, x := range w.instances[:n] {
			x.unreachable[w.servers[0].id] = true
		}
	}
}

// isolateInstances separates the instances from each other, too.
func isolateInstances(fault func(*simulation)) func(*simulation) {
	return func(w *simulation) {
		fault(w)
		for _, x := range w.instances {
			x.isolated = true
		}
	}
}

// Guards against a gap longer than the design's bounds, and against promotions that a slow or
// partly cut-off primary does not call for.
func TestPromotionTimes(t *testing.T) {
	cases := []scenario{
		{name: "no fault", instances: 3, fault: func(*simulation) {}},
		{name: "crash", instances: 3, fault: crash(0), earliest: time.Second, latest: 3 * time.Second},
		{name: "hung primary", instances: 3, fault: hang(0), earliest: time.Second, latest: 3 * time.Second},
		{name: "primary cut off from the instances", instances: 3, fault: cutOff(0), earliest: time.Second, latest: 3 * time.Second},
		{name: "primary cut off from the only instance", instances: 1, fault: cutOff(0), earliest: time.Second, latest: 3 * time.Second},
		{name: "primary and instances cut off from the instances", instances: 3, fault: isolateInstances(cutOff(0)), earliest: 8 * time.Second, latest: 18 * time.Second},
		{name: "primary cut off from one of the instances", instances: 3, fault: cutOffFrom(1), earliest: 8 * time.Second, latest: 18 * time.Second},
		{name: "primary cut off from most of the instances", instances: 3, fault: cutOffFrom(2), earliest: 8 * time.Second, latest: 18 * time.Second},
		{name: "primary cut off from its peers", instances: 3, fault: cutOffFromPeers(0), earliest: 3 * time.Second, latest: 18 * time.Second, want: "s1"},
		{name: "replica cut off from its peers", instances: 3, fault: cutOffFromPeers(1)},
		{name: "slow primary", instances: 3, fault: func(w *simulation) { w.servers[0].delay = 280 * time.Millisecond }},
		{name: "replica lost", instances: 3, fault: crash(1)},
		{name: "majority lost", instances: 3, fault: func(w *simulation) { crash(0)(w); crash(1)(w) }},
		{name: "crash soon after a promotion", instances: 3, fault: after(crash(0), crash(1)), earliest: time.Second, latest: 3 * time.Second},
		{name: "hang soon after a promotion", instances: 3, fault: after(crash(0), hang(1)), earliest: 9 * time.Second, latest: 18 * time.Second},
		{name: "leaving primary", instances: 3, fault: leave(0), latest: 3 * time.Second, want: "s1"},
		{name: "all servers leaving", instances: 3, fault: leave(0, 1, 2)},
		{name: "unfinished fence of a majority", instances: 3, fault: fenceBy("gone", 1, 2), latest: 3 * time.Second},
		{name: "stranded replica", instances: 3, fault: fenceBy("gone", 1), earliest: 10 * time.Second, latest: 18 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

func (c scenario) run(t *testing.T) {
	for seed := range int64(20) {
		w := newSimulation(t, seed, authority.DefaultTimings(), 3, c.instances)
		w.runFor(time.Second)
		c.fault(w)
		begun, term := w.now, w.highestTerm()
		for w.highestTerm() == term && w.now-begun < observationTime {
			w.runRound()
		}
		took, promoted := w.now-begun, w.highestTerm() > term
		switch {
		case promoted != (c.latest > 0):
			t.Errorf("seed %d: promoted %v within %v, want %v", seed, promoted, took, c.latest > 0)
		case promoted && (took < c.earliest || took > c.latest):
			t.Errorf("seed %d: promotion after %v, want %v to %v", seed, took, c.earliest, c.latest)
		case c.want != "" && w.promoted[w.highestTerm()] != c.want:
			t.Errorf("seed %d: promoted %s, want %s", seed, w.promoted[w.highestTerm()], c.want)
		}
	}
}

// after lets the group recover from a first fault and then applies the second one.
func after(first, second func(*simulation)) func(*simulation) {
	return func(w *simulation) {
		first(w)
		for w.highestTerm() == 1 {
			w.runRound()
		}
		w.runFor(500 * time.Millisecond)
		w.servers[0].up = true
		w.runFor(500 * time.Millisecond)
		second(w)
	}
}

func leave(ids ...int) func(*simulation) {
	return func(w *simulation) {
		var leaving []authority.ServerID
		for _, i := range ids {
			leaving = append(leaving, w.servers[i].id)
		}
		for _, x := range w.instances {
			x.machine.SetLeaving(leaving)
		}
	}
}

// fenceBy places the fence of an instance that then ends.
func fenceBy(owner string, ids ...int) func(*simulation) {
	return func(w *simulation) {
		for _, i := range ids {
			w.servers[i].fence(2, owner)
		}
	}
}

func (w *simulation) runFor(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.runRound()
	}
}

func (w *simulation) highestTerm() uint64 {
	var term uint64
	for t := range w.promoted {
		term = max(term, t)
	}
	return term
}

// Guards against a leaving primary replaced by a server that lacks a confirmed write. Writers that
// don't know of the move keep the primary ahead, s1 gets no log but the beginning of each term, and
// s2 accepts the fence too late for the promotion.
func TestLeavingPrimaryKeepsConfirmedWrites(t *testing.T) {
	w := newSimulation(t, 1, authority.DefaultTimings(), 3, 1)
	w.runFor(time.Second)
	w.servers[2].delay = 600 * time.Millisecond
	leave(0)(w)
	for w.now < observationTime {
		w.servers[1].frozen = w.servers[1].term() == w.highestTerm()
		w.beginWrite(w.instances[0], authority.ModeMajority)
		w.beginConfirm(w.instances[0])
		w.runRound()
	}
	if w.stats["promotions"] <= 3 || w.stats["confirmed"] == 0 {
		t.Errorf("seen %v, want confirmed writes and more than 3 promotions", w.stats)
	}
}

// Guards against a second server promoted in a term: after lost promotions the machine may not
// fence at the same term again, because it could then choose another server.
func TestTermIsNeverReused(t *testing.T) {
	w := newSimulation(t, 1, authority.DefaultTimings(), 3, 1)
	w.runFor(time.Second)
	w.servers[0].up = false
	x := w.instances[0]
	asked := map[authority.Fence]bool{}
	terms := map[uint64]bool{}
	for len(terms) < 4 && w.now < observationTime {
		w.tick(x)
		for _, c := range append([]*call(nil), x.calls...) {
			if fence, ok := c.action.(authority.Fence); ok {
				if asked[fence] {
					t.Fatalf("server %s is fenced again at term %d", fence.Server, fence.Term)
				}
				asked[fence], terms[fence.Term] = true, true
			}
			if _, ok := c.action.(authority.Probe); ok {
				w.answerUnfenced(x, c)
				continue
			}
			w.execute(x, c)
			_, promotion := c.action.(authority.Promote)
			w.answer(x, c, promotion)
		}
	}
	if len(terms) < 4 {
		t.Fatalf("only %d attempts within %v", len(terms), observationTime)
	}
}

// answerUnfenced answers a probe with a state from before any fence.
func (w *simulation) answerUnfenced(x *instance, c *call) {
	w.execute(x, c)
	if s := c.state; c.done {
		s.FenceTerm, s.FenceOwner, s.Role = 0, "", authority.RoleReplica
		s.Term, s.History = 1, s.History[:1]
		c.state = s
	}
	w.answer(x, c, false)
}
