package authority_test

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// scenario is a fault in a group without other faults under the default timings, and the time
// within which a promotion is expected.
type scenario struct {
	name      string
	instances int
	fault     func(sim *simulation)
	earliest  time.Duration
	latest    time.Duration // 0: no promotion is allowed within observationTime
	want      authority.ServerID
}

// observationTime exceeds every expected time to a promotion.
const observationTime = 30 * time.Second

func crash(id int) func(*simulation) {
	return func(sim *simulation) { sim.servers[id].up = false }
}

func hang(id int) func(*simulation) {
	return func(sim *simulation) { sim.servers[id].up, sim.servers[id].hung = false, true }
}

// cutOff separates a server from all instances, while replicas still have contact with it.
func cutOff(id int) func(*simulation) {
	return func(sim *simulation) {
		for _, inst := range sim.instances {
			inst.unreachable[sim.servers[id].id] = true
		}
	}
}

// cutOffFromPeers separates a server from the other servers of its group, while the instances reach
// it. A primary then has a write that no other server has.
func cutOffFromPeers(id int) func(*simulation) {
	return func(sim *simulation) {
		s := sim.servers[id]
		s.isolated = true
		if s.state.Role == authority.RolePrimary {
			sim.beginWrite(sim.instances[0], authority.ModeMajority)
		}
	}
}

// cutOffFrom separates the primary from the first n instances only.
func cutOffFrom(n int) func(*simulation) {
	return func(sim *simulation) {
		for _, inst := range sim.instances[:n] {
			inst.unreachable[sim.servers[0].id] = true
		}
	}
}

// isolateInstances also separates the instances from each other.
func isolateInstances(fault func(*simulation)) func(*simulation) {
	return func(sim *simulation) {
		fault(sim)
		for _, inst := range sim.instances {
			inst.isolated = true
		}
	}
}

// Guards against failovers that take longer than the design's bounds, and against unnecessary
// promotions because of a slow or partly unreachable primary.
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
		{name: "slow primary", instances: 3, fault: func(sim *simulation) { sim.servers[0].delay = 280 * time.Millisecond }},
		{name: "replica lost", instances: 3, fault: crash(1)},
		{name: "majority lost", instances: 3, fault: func(sim *simulation) { crash(0)(sim); crash(1)(sim) }},
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
		sim := newSimulation(t, seed, authority.DefaultTimings(), 3, c.instances)
		sim.runFor(time.Second)
		c.fault(sim)
		startedAt, term := sim.now, sim.highestTerm()
		for sim.highestTerm() == term && sim.now-startedAt < observationTime {
			sim.runRound()
		}
		took, promoted := sim.now-startedAt, sim.highestTerm() > term
		switch {
		case promoted != (c.latest > 0):
			t.Errorf("seed %d: promoted %v within %v, want %v", seed, promoted, took, c.latest > 0)
		case promoted && (took < c.earliest || took > c.latest):
			t.Errorf("seed %d: promotion after %v, want %v to %v", seed, took, c.earliest, c.latest)
		case c.want != "" && sim.promoted[sim.highestTerm()] != c.want:
			t.Errorf("seed %d: promoted %s, want %s", seed, sim.promoted[sim.highestTerm()], c.want)
		}
	}
}

// after lets the group recover from a first fault and then applies the second one.
func after(first, second func(*simulation)) func(*simulation) {
	return func(sim *simulation) {
		first(sim)
		for sim.highestTerm() == 1 {
			sim.runRound()
		}
		sim.runFor(500 * time.Millisecond)
		sim.servers[0].up = true
		sim.runFor(500 * time.Millisecond)
		second(sim)
	}
}

func leave(ids ...int) func(*simulation) {
	return func(sim *simulation) {
		var leaving []authority.ServerID
		for _, i := range ids {
			leaving = append(leaving, sim.servers[i].id)
		}
		for _, inst := range sim.instances {
			inst.machine.SetLeaving(leaving)
		}
	}
}

// fenceBy places the fence of an instance that then terminates.
func fenceBy(owner string, ids ...int) func(*simulation) {
	return func(sim *simulation) {
		for _, i := range ids {
			sim.servers[i].fence(2, owner)
		}
	}
}

func (sim *simulation) runFor(d time.Duration) {
	for until := sim.now + d; sim.now < until; {
		sim.runRound()
	}
}

func (sim *simulation) highestTerm() uint64 {
	var term uint64
	for t := range sim.promoted {
		term = max(term, t)
	}
	return term
}

// Guards against a leaving primary replaced by a server that lacks a confirmed write. Writers that
// don't know of the switchover keep the primary ahead, s1 receives only the beginning of each term,
// and s2 accepts the fence too late for the promotion.
func TestLeavingPrimaryKeepsConfirmedWrites(t *testing.T) {
	sim := newSimulation(t, 1, authority.DefaultTimings(), 3, 1)
	sim.runFor(time.Second)
	sim.servers[2].delay = 600 * time.Millisecond
	leave(0)(sim)
	for sim.now < observationTime {
		sim.servers[1].frozen = sim.servers[1].term() == sim.highestTerm()
		sim.beginWrite(sim.instances[0], authority.ModeMajority)
		sim.beginConfirm(sim.instances[0])
		sim.runRound()
	}
	if sim.stats["promotions"] <= 3 || sim.stats["confirmed"] == 0 {
		t.Errorf("got %v, want confirmed writes and more than 3 promotions", sim.stats)
	}
}

// Guards against a second server promoted in a term: after failed promotions the machine must not
// fence at the same term again, because it could then choose another server.
func TestTermIsNeverReused(t *testing.T) {
	sim := newSimulation(t, 1, authority.DefaultTimings(), 3, 1)
	sim.runFor(time.Second)
	sim.servers[0].up = false
	inst := sim.instances[0]
	asked := map[authority.Fence]bool{}
	terms := map[uint64]bool{}
	for len(terms) < 4 && sim.now < observationTime {
		sim.tick(inst)
		for _, c := range append([]*call(nil), inst.calls...) {
			if fence, ok := c.action.(authority.Fence); ok {
				if asked[fence] {
					t.Fatalf("server %s is fenced again at term %d", fence.Server, fence.Term)
				}
				asked[fence], terms[fence.Term] = true, true
			}
			if _, ok := c.action.(authority.Probe); ok {
				sim.answerUnfenced(inst, c)
				continue
			}
			sim.execute(inst, c)
			_, promotion := c.action.(authority.Promote)
			sim.answer(inst, c, promotion)
		}
	}
	if len(terms) < 4 {
		t.Fatalf("only %d attempts within %v", len(terms), observationTime)
	}
}

// answerUnfenced answers a probe with a state from before any fence.
func (sim *simulation) answerUnfenced(inst *instance, c *call) {
	sim.execute(inst, c)
	if s := c.state; c.done {
		s.FenceTerm, s.FenceOwner, s.Role = 0, "", authority.RoleReplica
		s.Term, s.History = 1, s.History[:1]
		c.state = s
	}
	sim.answer(inst, c, false)
}
