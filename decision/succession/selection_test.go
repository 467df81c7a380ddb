package succession

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// play is a group whose servers commit, crash, come back, lag and are promoted. Logs hold the number of each commit, which is unique.
type play struct {
	t            *rapid.T
	copies       int
	logs         [][]int
	down         []bool
	deaf         []bool // receives nothing
	paused       []bool
	primary      int // -1: none
	known        *Logs
	now          time.Duration
	late         leaderAnswer // arrives later
	term         uint64
	commits      int
	acknowledged []int
}

func (p *play) server(label string) int {
	return rapid.IntRange(0, len(p.logs)-1).Draw(p.t, label)
}

// commit appends a commit to the primary's log, from where some replicas receive it.
func (p *play) commit() {
	if p.primary < 0 || p.down[p.primary] {
		return
	}
	p.commits++
	log := append(slices.Clone(p.logs[p.primary]), p.commits)
	p.logs[p.primary] = log
	copies := 0
	for i := range p.logs {
		if i == p.primary || p.down[i] || p.deaf[i] || p.paused[i] {
			continue
		}
		if rapid.Bool().Draw(p.t, "receives") {
			p.logs[i] = slices.Clone(log)
			copies++
		}
	}
	if copies >= p.copies {
		p.acknowledged = append(p.acknowledged, p.commits)
	}
	p.now++
	if rapid.Bool().Draw(p.t, "leader is seen") {
		p.known.RecordLeader(p.late.sent, p.late.server, p.late.end)
		p.late = leaderAnswer{p.now, name(p.primary), p.end(p.primary)}
	}
}

// leaderAnswer is what a leader has told of its log.
type leaderAnswer struct {
	sent   time.Duration
	server string
	end    position.Position
}

// restart empties the log of a replica, of which it then receives a part again.
func (p *play) restart(i int) {
	if i == p.primary {
		return
	}
	p.now++
	p.logs[i] = nil
	p.known.Register(p.now, name(i), name(i), int64(p.now))
	if p.primary >= 0 && !p.down[p.primary] && !p.deaf[i] {
		log := p.logs[p.primary]
		p.logs[i] = slices.Clone(log[:rapid.IntRange(0, len(log)).Draw(p.t, "received again")])
	}
}

// answer records what a server tells of its log.
func (p *play) answer(s *Selection, i int) {
	if p.known.HasAll(name(i), p.known.Highest(name(i)), p.end(i)) {
		s.Record(name(i), p.end(i))
	} else {
		s.RecordPartial(name(i), p.end(i))
	}
}

// replace ends the lead of the primary, asks the servers, some of which don't answer, and promotes the one chosen.
func (p *play) replace() {
	former := p.primary
	if former < 0 {
		former = p.server("former")
	}
	s := New(p.copies)
	var replicas []Replica
	for i := range p.logs {
		if i != former {
			replicas = append(replicas, Replica{ID: name(i), Eligible: rapid.IntRange(0, 3).Draw(p.t, "eligible") > 0})
		}
	}
	s.SetReplicas(replicas, true)
	if p.primary >= 0 && !p.down[former] && rapid.Bool().Draw(p.t, "steps down") {
		s.RecordFormer(p.end(former))
	}
	for i := range p.logs {
		if i != former && !p.down[i] && rapid.IntRange(0, 3).Draw(p.t, "answers") > 0 {
			p.answer(s, i)
		}
	}
	p.primary = -1
	chosen, basis := s.Choose(rapid.Bool().Draw(p.t, "any server"), cmp.Compare)
	if (chosen == "") != (basis == BasisNone) {
		p.t.Fatalf("chosen %q with basis %q", chosen, basis)
	}
	if chosen == "" {
		return
	}
	for i := range p.logs {
		if name(i) == chosen {
			p.promote(i)
		}
	}
}

// replaceFar replaces a primary that leads until the promotion: it commits while the other replicas are paused one by one.
func (p *play) replaceFar() {
	if p.primary < 0 || p.down[p.primary] {
		return
	}
	former, successor := p.primary, p.server("successor")
	if successor == former {
		return
	}
	s := New(p.copies)
	var replicas []Replica
	for i := range p.logs {
		if i != former && i != successor {
			replicas = append(replicas, Replica{ID: name(i)})
		}
	}
	s.SetReplicas(replicas, true)
	for i := range p.logs {
		p.commit()
		if i != former && i != successor && !p.down[i] && rapid.IntRange(0, 3).Draw(p.t, "is paused") > 0 {
			p.paused[i] = true
			p.answer(s, i)
		}
	}
	p.commit()
	complete := p.known.HasAll(name(successor), p.known.Highest(name(successor)), p.end(successor))
	if s.KnowsAllCommits() && complete && !p.down[successor] && !p.end(successor).Less(s.Longest()) {
		p.commit()
		p.promote(successor)
	}
	clear(p.paused)
}

func (p *play) promote(next int) {
	if p.copies > 0 {
		for _, c := range p.acknowledged {
			if !slices.Contains(p.logs[next], c) {
				p.t.Fatalf("server %d is promoted without the acknowledged commit %d; logs %v", next, c, p.logs)
			}
		}
	}
	p.term++
	p.primary, p.down[next] = next, false
	p.logs[next] = append(p.logs[next], -int(p.term)) // the start of the term
	clear(p.paused)
	for i := range p.logs {
		if i != next && !p.down[i] && !p.deaf[i] {
			p.logs[i] = slices.Clone(p.logs[next])
		}
	}
}

// end returns the position of the end of a server's log.
func (p *play) end(i int) position.Position {
	out := position.Position{LSN: uint64(len(p.logs[i]))}
	for _, entry := range p.logs[i] {
		if entry < 0 {
			out.Term = uint64(-entry)
		}
	}
	return out
}

func name(i int) string { return fmt.Sprintf("s%d", i) }

// Guards against a promotion that loses acknowledged commits, whatever servers are busy, silent, deaf, down, back or started again.
func TestPromotedServerHasAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "servers")
		p := &play{
			t: t, copies: min(rapid.IntRange(0, 2).Draw(t, "copies"), n-1), logs: make([][]int, n), down: make([]bool, n), deaf: make([]bool, n),
			paused: make([]bool, n), known: NewLogs(),
		}
		for i := range n {
			p.known.Register(0, name(i), name(i), 0)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := p.server("server")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				p.commit()
			case 4:
				p.down[i] = !p.down[i]
			case 5:
				p.deaf[i] = !p.deaf[i]
			case 6:
				p.replaceFar()
			case 7:
				p.restart(i)
			default:
				p.replace()
			}
		}
	})
}

// Guards against a failover that waits for more answers than it needs, or that is content with fewer.
func TestAnswersNeeded(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 1, LSN: n} }
	for _, c := range []struct {
		name   string
		copies int
		heard  map[string]uint64
		former uint64
		want   string
		basis  Basis
	}{
		{"no copies: the best that answers", 0, map[string]uint64{"b": 3}, 0, "b", BasisNoCopies},
		{"one copy: a busy replica may have more", 1, map[string]uint64{"b": 3}, 0, "", BasisNone},
		{"one copy: all have answered", 1, map[string]uint64{"a": 5, "b": 3, "c": 4}, 0, "a", BasisReplicas},
		{"two copies: one may be silent", 2, map[string]uint64{"a": 5, "b": 3}, 0, "a", BasisReplicas},
		{"two copies: two are silent", 2, map[string]uint64{"a": 5}, 0, "", BasisNone},
		{"the former primary has told its end", 1, map[string]uint64{"b": 7}, 7, "b", BasisFormer},
		{"behind the former primary", 1, map[string]uint64{"b": 6}, 7, "", BasisNone},
		{"the longest log may not lead", 1, map[string]uint64{"a": 5, "b": 3, "c": 4, "x": 9}, 0, "", BasisNone},
		{"equal logs: the preferred one", 1, map[string]uint64{"a": 5, "b": 5, "c": 5}, 0, "c", BasisReplicas},
	} {
		s := New(c.copies)
		replicas := []Replica{{"a", true}, {"b", true}, {"c", true}}
		for id, n := range c.heard {
			if id == "x" {
				replicas = append(replicas, Replica{ID: id})
			}
			s.Record(id, at(n))
		}
		s.SetReplicas(replicas, true)
		if c.former > 0 {
			s.RecordFormer(at(c.former))
		}
		if got, basis := s.Choose(false, cmp.Compare); got != c.want || basis != c.basis {
			t.Errorf("%s: chosen %q with %q, want %q with %q", c.name, got, basis, c.want, c.basis)
		}
	}
}

// Guards against a failover while the list lacks the only replica with a commit, as its entry expired while the store was down.
func TestIncompleteListShowsNoSuccessor(t *testing.T) {
	s := New(1)
	s.Record("a", position.Position{Term: 1, LSN: 5})
	for _, complete := range []bool{false, true} {
		s.SetReplicas([]Replica{{"a", true}}, complete)
		if got, _ := s.Choose(false, cmp.Compare); (got == "a") != complete {
			t.Errorf("list complete %t: chosen %q", complete, got)
		}
	}
	s.SetReplicas([]Replica{{"a", true}}, false)
	s.RecordFormer(position.Position{Term: 1, LSN: 5})
	if got, basis := s.Choose(false, cmp.Compare); got != "a" || basis != BasisFormer {
		t.Errorf("with all that the former primary had: chosen %q with %q", got, basis)
	}
}

// Guards against the log of a new server that takes over the address of another, which is counted before it has been transferred.
func TestServerAtAnotherOnesAddressIsNotCounted(t *testing.T) {
	l := NewLogs()
	at := func(n uint64) position.Position { return position.Position{Term: 1, LSN: n} }
	l.Register(1, "old", "address", 1)
	l.Register(2, "new", "address", 2)
	l.Register(2, "other", "elsewhere", 2)
	if !l.HasAll("other", at(0), at(1)) || l.HasAll("new", at(0), at(1)) {
		t.Error("want only the log of the other new server to count")
	}
	l.RecordLeader(3, "leader", at(9))
	if l.HasAll("new", at(1), at(8)) || !l.HasAll("new", at(8), at(9)) {
		t.Error("the log must count once it has reached the leader's")
	}
	if l.HasAll("other", at(5), at(4)) {
		t.Error("a log that has become shorter counts")
	}
}

// Guards against a hand-over that is given up before all replicas have answered, as the successor lacks what only the former primary has.
func TestOnlyReplicasShowThatAServerIsBehind(t *testing.T) {
	s := New(1)
	s.SetReplicas([]Replica{{"a", true}, {"b", true}}, true)
	s.RecordFormer(position.Position{Term: 1, LSN: 7})
	s.Record("a", position.Position{Term: 1, LSN: 5})
	if s.IsBehind("a") || s.Proof("a") != BasisNone {
		t.Errorf("before b has answered: behind %t, basis %q", s.IsBehind("a"), s.Proof("a"))
	}
	s.Record("b", position.Position{Term: 1, LSN: 4})
	if s.Proof("a") != BasisReplicas || !s.IsBehind("b") {
		t.Errorf("basis %q of a, want %q; b behind %t", s.Proof("a"), BasisReplicas, s.IsBehind("b"))
	}
}

// Guards against a failover that waits for a server which is gone for good.
func TestGoneReplicaIsNotWaitedFor(t *testing.T) {
	s := New(1)
	s.SetReplicas([]Replica{{"a", true}, {"b", true}}, true)
	s.Record("a", position.Position{Term: 1, LSN: 5})
	if got, _ := s.Choose(false, cmp.Compare); got != "" || !slices.Equal(s.Unheard(), []string{"b"}) {
		t.Errorf("chosen %q, unheard %v", got, s.Unheard())
	}
	s.SetReplicas([]Replica{{"a", true}}, true)
	if got, basis := s.Choose(false, cmp.Compare); got != "a" || basis != BasisReplicas {
		t.Errorf("chosen %q with %q, want a with %q", got, basis, BasisReplicas)
	}
}
