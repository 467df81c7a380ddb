package contact

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is a tracker together with what it has really heard: for each instance, the true time of its
// latest event from which a chain of answers has reached this process.
type process struct {
	tracker   *Tracker
	id        string
	offset    time.Duration // of its clock from true time
	list      []Member
	lastHeard map[string]time.Duration
}

// call is a call in progress. It is answered some time after it was sent, and the answer arrives any time
// later.
type call struct {
	from, to  *process
	sent      time.Duration // true time
	list      uint64
	answered  bool
	evidence  Evidence
	lastHeard map[string]time.Duration
}

// cluster is a set of processes whose calls are lost, delayed and reordered, whose membership lists lag, and
// which is partitioned in two at most once.
type cluster struct {
	now           time.Duration
	groups        int
	lists         [][]Member
	processes     []*process
	calls         []*call
	partitionedAt time.Duration
	side          map[string]bool // side of the partition, nil before it
}

func newCluster(t *rapid.T) *cluster {
	cl := &cluster{}
	n := rapid.IntRange(2, 40).Draw(t, "instances")
	domains := rapid.IntRange(1, 4).Draw(t, "domains")
	all := make([]Member, n+n/4+1)
	for i := range all {
		all[i] = Member{fmt.Sprint("i", i), fmt.Sprint("d", i%domains)}
	}
	// All lists have the same length, so that they differ only in the names.
	for range 3 {
		from := rapid.IntRange(0, len(all)-n).Draw(t, "list")
		cl.lists = append(cl.lists, all[from:from+n])
	}
	cl.groups = rapid.SampledFrom([]int{1, 4, wantedGroups}).Draw(t, "groups")
	for _, m := range all {
		cl.processes = append(cl.processes, cl.startProcess(t, m.ID))
	}
	return cl
}

func (cl *cluster) startProcess(t *rapid.T, id string) *process {
	p := &process{tracker: NewTracker(id), id: id, lastHeard: map[string]time.Duration{}}
	p.tracker.groupCount = cl.groups
	p.offset = time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "clock"))
	cl.readList(t, p)
	return p
}

func (cl *cluster) readList(t *rapid.T, p *process) {
	p.list = rapid.SampledFrom(cl.lists).Draw(t, "list")
	p.tracker.SetMembers(p.list)
}

func (cl *cluster) pick(t *rapid.T) int {
	return rapid.IntRange(0, len(cl.processes)-1).Draw(t, "process")
}

func (cl *cluster) partitioned(a, b *process) bool {
	return cl.side != nil && cl.side[a.id] != cl.side[b.id]
}

// round advances the time and has every process call a few others, most of which answer.
func (cl *cluster) round(t *rapid.T) {
	cl.now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
	for _, p := range cl.processes {
		for range rapid.IntRange(0, 3).Draw(t, "calls") {
			c := &call{from: p, to: cl.processes[cl.pick(t)], sent: cl.now, list: p.tracker.ListFingerprint()}
			cl.calls = append(cl.calls, c)
			cl.advanceCall(t, c)
		}
	}
}

// advanceCall answers a call, delivers its answer, does both or neither.
func (cl *cluster) advanceCall(t *rapid.T, c *call) {
	outcome := rapid.IntRange(0, 9).Draw(t, "fate")
	if outcome < 9 && !c.answered && !cl.partitioned(c.from, c.to) {
		c.answer(cl.now)
	}
	if outcome < 8 && c.answered && !cl.partitioned(c.from, c.to) {
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

// advanceOldCalls advances a few calls of any age; an answer may be delivered more than once.
func (cl *cluster) advanceOldCalls(t *rapid.T) {
	for range min(len(cl.calls), 5) {
		cl.advanceCall(t, cl.calls[rapid.IntRange(0, len(cl.calls)-1).Draw(t, "call")])
	}
}

func (cl *cluster) restartProcess(t *rapid.T) {
	i := cl.pick(t)
	cl.processes[i] = cl.startProcess(t, cl.processes[i].id)
}

func (cl *cluster) changeList(t *rapid.T) {
	cl.readList(t, cl.processes[cl.pick(t)])
}

func (cl *cluster) partition(t *rapid.T) {
	if cl.side != nil {
		t.Skip("already partitioned")
	}
	cl.side, cl.partitionedAt = map[string]bool{}, cl.now
	for _, p := range cl.processes {
		cl.side[p.id] = rapid.Bool().Draw(t, "side")
	}
}

func (cl *cluster) check(t *rapid.T) {
	for _, p := range cl.processes {
		asOf, ok := p.tracker.MajorityAsOf(cl.now + p.offset)
		if !ok {
			continue
		}
		asOf -= p.offset
		cl.checkHeard(t, p, asOf)
		if cl.side != nil && asOf > cl.partitionedAt && !cl.majorityInside(p) {
			t.Fatalf("%s claims a majority as of %s after it was partitioned with a minority", p.id, asOf-cl.partitionedAt)
		}
	}
}

// checkHeard compares the claim with what the process has really heard.
func (cl *cluster) checkHeard(t *rapid.T, p *process, asOf time.Duration) {
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

func (cl *cluster) majorityInside(p *process) bool {
	inside := 0
	members := withSelf(p.list, p.id)
	for _, m := range members {
		if cl.side[m.ID] == cl.side[p.id] {
			inside++
		}
	}
	return 2*inside > len(members)
}

// Guards against a proof of contact that is newer or covers more instances than were really heard from, which
// would let a minority continue to work after the bound. Covers partitions, lost and delayed calls, repeated answers,
// restarts, lagging membership lists and differing clocks.
func TestMajorityClaimMatchesContacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"round":   cl.round,
			"round 2": cl.round,
			"late":    cl.advanceOldCalls,
			"restart": cl.restartProcess,
			"list":    cl.changeList,
			"split":   cl.partition,
			"":        cl.check,
		})
	})
}
