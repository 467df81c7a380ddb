package contact

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// Bytes of a call in both directions in addition to the evidence: config.contact.bytes in docs/CAPACITY.md
// less the evidence, and the allowance for headers given there.
const (
	callBytes   = 124
	headerBytes = 208
)

// scheduledEvent is an action that the simulation runs at a time.
type scheduledEvent struct {
	at time.Duration
	do func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs trackers in simulated time. Calls take up to 50 ms, as they do between regions.
type simulation struct {
	now     time.Duration
	events  eventQueue
	random  *rand.Rand
	members []Member
	list    *grouping
	nodes   map[string]*node
	bytes   int
}

type node struct {
	tracker *Tracker
	plan    *Plan
	running bool
}

const simPeriod = time.Second

func newSimulation(n, domains int, seed int64) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), nodes: map[string]*node{}}
	for i := range n {
		s.members = append(s.members, Member{fmt.Sprintf("10.%d.%d:6433", i>>8, i&255), fmt.Sprintf("domain-%02d", i%domains)})
	}
	s.list = newGrouping(s.members, wantedGroups)
	for _, m := range s.members {
		n := &node{tracker: NewTracker(m.ID), plan: NewPlan(m.ID, s.random), running: true}
		n.tracker.setGrouping(s.list)
		n.plan.setGrouping(s.list)
		s.nodes[m.ID] = n
		s.schedule(s.randomBelow(simPeriod), func() { s.runPeriod(m.ID) })
	}
	return s
}

func (s *simulation) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int63n(int64(limit)))
}

func (s *simulation) schedule(delay time.Duration, do func()) {
	heap.Push(&s.events, scheduledEvent{s.now + delay, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		next.do()
	}
	s.now = until
}

func (s *simulation) runPeriod(id string) {
	n := s.nodes[id]
	s.schedule(simPeriod*9/10+s.randomBelow(simPeriod/5), func() { s.runPeriod(id) })
	if !n.running {
		return
	}
	called := n.plan.Next()
	for i, peer := range called {
		share := simPeriod / time.Duration(len(called))
		s.schedule(time.Duration(i)*share+s.randomBelow(share), func() { s.call(id, peer) })
	}
}

func (s *simulation) call(from, to string) {
	caller, sent := s.nodes[from], s.now
	s.schedule(s.randomBelow(25*time.Millisecond), func() {
		callee := s.nodes[to]
		if !callee.running {
			return
		}
		e := callee.tracker.Evidence(s.now, from, caller.tracker.ListFingerprint())
		s.bytes += callBytes + headerBytes + len(e.GroupAges) + len(e.MemberAges) + 4*len(e.GroupFingerprints)
		s.schedule(s.randomBelow(25*time.Millisecond), func() {
			if caller.running {
				caller.tracker.RecordAnswer(sent, to, e)
			}
		})
	})
}

// measurement is the result of observing a simulation.
type measurement struct {
	checks, refused int
	oldestProof     time.Duration // age
	bytesPerSecond  float64       // per instance, as caller and as callee
}

// measure runs the simulation until the given time and checks all running instances every 400 ms.
func (s *simulation) measure(until time.Duration) measurement {
	var out measurement
	s.bytes = 0
	length := until - s.now
	for s.now < until {
		s.run(s.now + 400*time.Millisecond)
		for _, n := range s.nodes {
			if n.running {
				out.check(s, n)
			}
		}
	}
	out.bytesPerSecond = 2 * float64(s.bytes) / length.Seconds() / float64(len(s.nodes))
	return out
}

func (m *measurement) check(s *simulation, n *node) {
	m.checks++
	at, ok := n.tracker.MajorityAsOf(s.now)
	m.oldestProof = max(m.oldestProof, s.now-at)
	if !ok || s.now-at > Timeout(contactTimeout, len(s.members)) {
		m.refused++
	}
}

const (
	// contactTimeout is manifest.DefaultContactTimeout.
	contactTimeout = 5 * time.Second
	// controlBytes is the budget of an instance for all control traffic at the design size, in bytes per second.
	controlBytes = 3000
)

// Guards against a store outage that stops keyed work although a majority of the instances run, and against
// contact calls that exceed the control traffic budget at the design size.
func TestMajorityProofWithoutStore(t *testing.T) {
	cases := []struct {
		instances, domains, failed int
		length                     time.Duration
	}{
		{8, 3, 1, 10 * time.Minute},
		{16, 3, 2, 10 * time.Minute},
		{17, 3, 2, 10 * time.Minute},
		{24, 3, 2, 10 * time.Minute},
		{24, 1, 10, time.Minute},
		{100, 13, 5, time.Minute},
		{256, 13, 5, 30 * time.Second},
		{257, 13, 5, 30 * time.Second},
		{600, 13, 47, 30 * time.Second}, // all of one failure domain
		{2100, 13, 9, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d without %d", c.instances, c.failed), func(t *testing.T) {
			s := newSimulation(c.instances, c.domains, 1)
			for i := range c.failed {
				// Stop instances by failure domain: all of one before any of the next.
				size := (c.instances + c.domains - 1) / c.domains
				s.nodes[s.members[i/size+i%size*c.domains].ID].running = false
			}
			s.run(15 * time.Second)
			got := s.measure(s.now + c.length)
			t.Logf("refused at %d of %d checks, oldest proof %s, %.0f B/s per instance", got.refused, got.checks, got.oldestProof, got.bytesPerSecond)
			if got.refused > 0 {
				t.Errorf("no valid majority proof at %d of %d checks", got.refused, got.checks)
			}
			if c.instances == 2100 && got.bytesPerSecond > controlBytes {
				t.Errorf("contact calls take %.0f B/s per instance, want at most the %d B/s for all control traffic", got.bytesPerSecond, controlBytes)
			}
		})
	}
}

// Guards against a peer that is never called, so that its failure goes undetected.
func TestEveryPeerIsCalled(t *testing.T) {
	for _, size := range []int{2, 17, 18, 24, 100, 256} {
		for id, n := range newSimulation(size, 3, 1).nodes {
			called := map[string]bool{}
			for range size {
				for _, peer := range n.plan.Next() {
					called[peer] = true
				}
			}
			if len(called) != size-1 || called[id] {
				t.Fatalf("%d instances: %s called %d peers in %d periods, want all others and not itself", size, id, len(called), size)
			}
		}
	}
}
