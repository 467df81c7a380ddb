package contact

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is a tracker and what it has in truth heard: for each instance the latest time of an event
// there of which any word came here.
type process struct {
	tracker   *Tracker
	id        string
	offset    time.Duration // its clock against true time
	list      []Member
	lastHeard map[string]time.Duration
}

// call is one under way: the answer is made at a time after the call was sent, and comes any time later.
type call struct {
	from, to  *process
	sent      time.Duration // true time
	list      uint64
	answered  bool
	evidence  Evidence
	lastHeard map[string]time.Duration
}

// cluster is a set of processes whose calls are lost, delayed and overtaken, whose lists lag, and which
// are cut in two once.
type cluster struct {
	now           time.Duration
	groups        int
	lists         [][]Member
	processes     []*process
	calls         []*call
	partitionedAt time.Duration
	side          map[string]bool // after the cut
}

func newCluster(t *rapid.T) *cluster {
	w := &cluster{}
	n := rapid.IntRange(2, 40).Draw(t, "instances")
	domains := rapid.IntRange(1, 4).Draw(t, "domains")
	all := make([]Member, n+n/4+1)
	for i := range all {
		all[i] = Member{fmt.Sprint("i", i), fmt.Sprint("d", i%domains)}
	}
	// The lists name the same number of instances, so that only the names tell them apart.
	for range 3 {
		from := rapid.IntRange(0, len(all)-n).Draw(t, "list")
		w.lists = append(w.lists, all[from:from+n])
	}
	w.groups = rapid.SampledFrom([]int{1, 4, wantedGroups}).Draw(t, "groups")
	for _, m := range all {
		w.processes = append(w.processes, w.startProcess(t, m.ID))
	}
	return w
}

func (w *cluster) startProcess(t *rapid.T, id string) *process {
	p := &process{tracker: NewTracker(id), id: id, lastHeard: map[string]time.Duration{}}
	p.tracker.groupCount = w.groups
	p.offset = time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "clock"))
	w.readList(t, p)
	return p
}

func (w *cluster) readList(t *rapid.T, p *process) {
	p.list = rapid.SampledFrom(w.lists).Draw(t, "list")
	p.tracker.SetMembers(p.list)
}

func (w *cluster) pick(t *rapid.T) int {
	return rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
}

func (w *cluster) partitioned(a, b *process) bool {
	return w.side != nil && w.side[a.id] != w.side[b.id]
}

// round lets time pass and has every process call a few others, most of which answer.
func (w *cluster) round(t *rapid.T) {
	w.now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
	for _, p := range w.processes {
		for range rapid.IntRange(0, 3).Draw(t, "calls") {
			c := &call{from: p, to: w.processes[w.pick(t)], sent: w.now, list: p.tracker.ListFingerprint()}
			w.calls = append(w.calls, c)
			w.advanceCall(t, c)
		}
	}
}

// advanceCall has a call answered or its answer taken, or neither.
func (w *cluster) advanceCall(t *rapid.T, c *call) {
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate < 9 && !c.answered && !w.partitioned(c.from, c.to) {
		c.answer(w.now)
	}
	if fate < 8 && c.answered && !w.partitioned(c.from, c.to) {
		c.receive()
	}
}

func (c *call) answer(now time.Duration) {
	c.answered = true
	c.evidence = c.to.tracker.Evidence(now+c.to.offset, c.from.id, c.list)
	c.lastHeard = map[string]time.Duration{c.to.id: now}
	for id, at := range c.to.lastHeard {
		if id != c.to.id {
			c.lastHeard[id] = at
		}
	}
}

func (c *call) receive() {
	c.from.tracker.RecordAnswer(c.sent+c.from.offset, c.to.id, c.evidence)
	for id, at := range c.lastHeard {
		if before, ok := c.from.lastHeard[id]; !ok || at > before {
			c.from.lastHeard[id] = at
		}
	}
}

// advanceOldCalls has calls of any age go on; an answer may come twice.
func (w *cluster) advanceOldCalls(t *rapid.T) {
	for range min(len(w.calls), 5) {
		w.advanceCall(t, w.calls[rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")])
	}
}

func (w *cluster) restartProcess(t *rapid.T) {
	i := w.pick(t)
	w.processes[i] = w.startProcess(t, w.processes[i].id)
}

func (w *cluster) changeList(t *rapid.T) {
	w.readList(t, w.processes[w.pick(t)])
}

func (w *cluster) partition(t *rapid.T) {
	if w.side != nil {
		t.Skip("already cut")
	}
	w.side, w.partitionedAt = map[string]bool{}, w.now
	for _, p := range w.processes {
		w.side[p.id] = rapid.Bool().Draw(t, "side")
	}
}

func (w *cluster) check(t *rapid.T) {
	for _, p := range w.processes {
		asOf, ok := p.tracker.MajorityAsOf(w.now + p.offset)
		if !ok {
			continue
		}
		asOf -= p.offset
		w.checkHeard(t, p, asOf)
		if w.side != nil && asOf > w.partitionedAt && !w.majorityInside(p) {
			t.Fatalf("%s has a majority as of %s after it was cut off with a minority", p.id, asOf-w.partitionedAt)
		}
	}
}

// checkHeard holds the claim against what the process has in truth heard.
func (w *cluster) checkHeard(t *rapid.T, p *process, asOf time.Duration) {
	heard := 0
	members := withSelf(p.list, p.id)
	for _, m := range members {
		at, ok := p.lastHeard[m.ID]
		if m.ID == p.id || ok && at >= asOf {
			heard++
		}
	}
	if 2*heard <= len(members) {
		t.Fatalf("%s claims a majority as of %s, but heard from %d of %d since", p.id, asOf, heard, len(members))
	}
}

func (w *cluster) majorityInside(p *process) bool {
	inside := 0
	members := withSelf(p.list, p.id)
	for _, m := range members {
		if w.side[m.ID] == w.side[p.id] {
			inside++
		}
	}
	return 2*inside > len(members)
}

// Guards against a proof of contact that is younger or wider than what was heard, and so against a
// minority that goes on after the bound, under partitions, losses, delays, repeated answers, restarts,
// lagging lists and clocks that differ.
func TestMajorityWasHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"round":   w.round,
			"round 2": w.round,
			"late":    w.advanceOldCalls,
			"restart": w.restartProcess,
			"list":    w.changeList,
			"split":   w.partition,
			"":        w.check,
		})
	})
}
