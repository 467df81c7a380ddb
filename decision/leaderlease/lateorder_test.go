package leaderlease

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// entry is a commit in a log.
type entry struct {
	id, term int
}

// replica is a server of a group whose commits are acknowledged once copies others have received them.
type replica struct {
	name string
	lead int // the term in which it leads; 0: none
	log  []entry
}

// hasAllOf reports whether a log ends at or after the end of another one.
func (r *replica) hasAllOf(other *replica) bool {
	end := func(log []entry) (e entry) {
		if len(log) > 0 {
			e = entry{len(log), log[len(log)-1].term}
		}
		return e
	}
	a, b := end(r.log), end(other.log)
	return a.term > b.term || a.term == b.term && a.id >= b.id
}

// promotion is an order that the platform has received, or may still receive.
type promotion struct {
	server *replica
	fence  uint64
}

// answer is the answer of a server to a write, on its way to an instance.
type answer struct {
	instance int
	server   *replica
	lead     Lead
	entry    entry
}

// platformPlay is a group on a platform that checks fences. An order without an answer is carried out at any later moment, or never. Instances
// have valid leases by the claim that they know until the claimant withdraws them.
type platformPlay struct {
	t         *rapid.T
	copies    int
	replicas  []*replica
	claim     Claim   // in the store
	primary   string  // which the claimant took for the primary
	views     []Claim // the claims that the instances know
	late      []promotion
	accepted  []promotion // take effect in this order
	fence     uint64      // the highest one seen
	ordered   uint64      // the version of the last claim whose promotion was ordered
	refused   uint64      // the version of the last claim whose only order was refused
	repeated  bool        // an earlier order for the server of the claim got no answer as far as is known
	term, ids int
	answers   []answer
	kept      []entry // acknowledged
}

func (p *platformPlay) replica(label string) *replica {
	return rapid.SampledFrom(p.replicas).Draw(p.t, label)
}

func (p *platformPlay) write(c Claim) {
	c.Version = p.claim.Version + 1
	p.claim = c
	p.t.Logf("claim %+v", c)
}

// claimNext claims the lead for a server, which steps down before unless it may lead by the present claim. The claimant knows the primary
// or knows none.
func (p *platformPlay) claimNext() {
	for p.claim.Answered && len(p.accepted) > 0 {
		p.takeEffect() // within failover.EffectTerm, in which nobody claims
	}
	successor := p.replica("successor")
	p.primary = ""
	for _, r := range p.replicas {
		if r.lead != 0 && r != successor && rapid.Bool().Draw(p.t, "primary is known") {
			p.primary = r.name
		}
	}
	if successor.name != p.claim.Ordered() || p.claim.Unconfirmed {
		successor.lead = 0
	}
	present := p.claim
	present.Answered = present.Answered || p.refused != 0 && p.refused == present.Version && rapid.Bool().Draw(p.t, "knows the refusal")
	p.repeated = present.Server == successor.name && !present.Answered && (p.repeated || present.Server != p.primary)
	p.write(present.NextFenced(p.primary, successor.name, rapid.Bool().Draw(p.t, "hand-over")))
}

// withdraw ends the use of former servers, as they have stepped down or no instance uses them any more, and confirms that the successor has what all replicas but fewer than copies have.
func (p *platformPlay) withdraw() {
	if p.claim.Version == 0 {
		return
	}
	leads := slices.ContainsFunc(p.claim.Former, func(former string) bool { return p.byName(former).lead != 0 })
	if leads && p.claim.HandOver != "" {
		return // the hand-over begins when the former primary has stepped down
	}
	for i := range p.views {
		if leads || !p.claim.FormerKnown {
			p.views[i] = p.claim
		}
	}
	successor := p.byName(p.claim.Server)
	unheard := p.copies - 1
	for _, r := range p.replicas {
		switch {
		case r == successor || r.name == p.primary:
		case unheard > 0 && rapid.Bool().Draw(p.t, "silent"):
			unheard--
		case !successor.hasAllOf(r):
			return
		}
	}
	p.write(p.claim.Withdrawn())
}

func (p *platformPlay) byName(name string) *replica {
	return p.replicas[slices.IndexFunc(p.replicas, func(r *replica) bool { return r.name == name })]
}

// order orders the promotion of a withdrawn claim, once.
func (p *platformPlay) order() {
	if !p.claim.IsWithdrawn() || p.claim.Answered || p.claim.Version == p.refused || p.claim.Version == p.ordered {
		return
	}
	p.ordered = p.claim.Version
	o := promotion{p.byName(p.claim.Server), p.claim.Version}
	switch rapid.SampledFrom([]string{"late", "answered", "not answered", "refused"}).Draw(p.t, "order") {
	case "late":
		p.late = append(p.late, o)
	case "answered":
		p.accept(o)
		if rapid.Bool().Draw(p.t, "confirm") {
			for p.claim.Unconfirmed && len(p.accepted) > 0 {
				p.takeEffect() // within failover.EffectTerm
			}
			p.write(p.claim.Confirmed())
		}
	case "not answered":
		p.accept(o)
	case "refused":
		if !p.repeated {
			p.refused = o.fence
		}
	}
}

// accept accepts an order unless a higher fence was seen. For the present primary it changes nothing.
func (p *platformPlay) accept(o promotion) {
	if o.fence < p.fence {
		return
	}
	p.fence = o.fence
	p.t.Logf("order %d of %s is accepted", o.fence, o.server.name)
	if o.server.lead == 0 {
		p.accepted = append(p.accepted, o)
	}
}

func (p *platformPlay) acceptLate() {
	if len(p.late) > 0 {
		k := rapid.IntRange(0, len(p.late)-1).Draw(p.t, "late order")
		o := p.late[k]
		p.late = slices.Delete(p.late, k, k+1)
		p.accept(o)
	}
}

// takeEffect makes the server of the oldest accepted order the primary, with what it has and nothing more.
func (p *platformPlay) takeEffect() {
	if len(p.accepted) == 0 {
		return
	}
	leader := p.accepted[0].server
	p.accepted = p.accepted[1:]
	for _, r := range p.replicas {
		r.lead = 0
		if !leader.hasAllOf(r) || len(leader.log) > 0 && len(r.log) > 0 && r.log[len(r.log)-1].term < leader.log[len(leader.log)-1].term {
			r.log = slices.Clone(leader.log[:min(len(r.log), len(leader.log))]) // what it had beyond the leader's log is rolled back
		}
	}
	p.term++
	leader.lead = p.term
	p.t.Logf("%s leads term %d", leader.name, p.term)
	p.check()
}

// check checks that the primary has what was acknowledged in earlier terms.
func (p *platformPlay) check() {
	for _, leader := range p.replicas {
		for _, e := range p.kept {
			if leader.lead > e.term && !slices.Contains(leader.log, e) {
				p.t.Fatalf("%s leads term %d without commit %d of term %d, which was acknowledged", leader.name, leader.lead, e.id, e.term)
			}
		}
	}
}

// commit sends a write of an instance to the primary, which answers once enough replicas have received it.
func (p *platformPlay) commit() {
	i := rapid.IntRange(0, len(p.views)-1).Draw(p.t, "instance")
	for _, r := range p.replicas {
		lead, allowed := p.views[i].LeadOf(r.name)
		if r.lead == 0 || !allowed {
			continue
		}
		p.ids++
		e := entry{p.ids, r.lead}
		r.log = append(slices.Clone(r.log), e)
		received := 0
		for _, other := range p.replicas {
			if other != r && rapid.Bool().Draw(p.t, "receives") {
				other.log = slices.Clone(r.log)
				received++
			}
		}
		if received >= p.copies {
			p.answers = append(p.answers, answer{i, r, lead, e})
		}
	}
}

// acknowledge passes an answer on if the instance still uses its server for the same lead.
func (p *platformPlay) acknowledge() {
	if len(p.answers) == 0 {
		return
	}
	a := p.answers[0]
	p.answers = p.answers[1:]
	if lead, allowed := p.views[a.instance].LeadOf(a.server.name); allowed && lead == a.lead {
		p.kept = append(p.kept, a.entry)
		p.check()
	}
}

func (p *platformPlay) stepDown() {
	p.replica("steps down").lead = 0
}

// learnClaim makes an instance learn of the claim in the store.
func (p *platformPlay) learnClaim() {
	p.views[rapid.IntRange(0, len(p.views)-1).Draw(p.t, "learns")] = p.claim
}

// join adds a server that takes up the primary's log.
func (p *platformPlay) join() {
	if len(p.replicas) == 5 {
		return
	}
	r := &replica{name: fmt.Sprintf("s%d", len(p.replicas))}
	for _, leader := range p.replicas {
		if leader.lead != 0 {
			r.log = slices.Clone(leader.log)
		}
	}
	p.replicas = append(p.replicas, r)
}

// Guards against an acknowledged commit that a promoted server lacks, since its order got no answer and was carried out late: whatever
// was claimed, ordered, answered, acknowledged or started meanwhile, in groups of 2 to 5 servers with 1 or 2 copies.
func TestLateOrdersLoseNoAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "servers")
		p := &platformPlay{t: t, copies: rapid.IntRange(1, min(n-1, 2)).Draw(t, "copies"), views: make([]Claim, 2), term: 1}
		for k := range n {
			p.replicas = append(p.replicas, &replica{name: fmt.Sprintf("s%d", k)})
		}
		p.replicas[0].lead = p.term
		acts := []func(){
			p.claimNext, p.withdraw, p.order, p.acceptLate, p.takeEffect, p.commit, p.acknowledge, p.stepDown, p.learnClaim, p.join,
			p.withdraw, p.order, p.commit, p.acknowledge, p.takeEffect,
		}
		for range 80 {
			rapid.SampledFrom(acts).Draw(t, "act")()
		}
	})
}
