package contact

import (
	"cmp"
	"math/rand"
	"slices"
	"time"
)

const (
	// FullMeshPeers is the largest number of peers that are all called in every period.
	FullMeshPeers = 16
	// callsPerPeriod is the number of peers called per period in a larger deployment. Evidence spreads
	// like e^(calls).
	callsPerPeriod = 4
	// largeListed is the number of listed instances above which an instance makes half of the calls,
	// since it has 3 KB/s for all its control. Evidence then takes twice the time, see Timeout.
	largeListed = 256
	// window is the number of mates, and of others, that a large deployment calls in turns. With one call
	// to each kind a period, a peer's turn comes every 16 s, so that its connection is kept. Up to
	// largeListed all are called in turns, which also tells soon which of them are dead.
	window = 16
	// periodsPerStep is the number of periods after which one of the window is replaced by the next, so
	// that every peer is called at times and new connections stay rare.
	periodsPerStep = 20
)

// Plan chooses the peers that an instance calls: the next few mates and the next few others in fixed
// orders. It is not safe for concurrent use.
type Plan struct {
	self    string
	random  *rand.Rand
	mates   []string // in the order in which the window passes over them
	others  []string // the same
	periods int
}

// NewPlan returns a plan without peers.
func NewPlan(self string, random *rand.Rand) *Plan {
	// A random beginning, so that a list read by all at once doesn't align their windows.
	return &Plan{self: self, random: random, periods: random.Intn(1 << 20)}
}

// SetMembers replaces the list.
func (p *Plan) SetMembers(members []Member) {
	p.setGrouping(newGrouping(withSelf(members, p.self), wantedGroups))
}

func (p *Plan) setGrouping(g *grouping) {
	own := g.of[p.self]
	p.mates, p.others = nil, nil
	for i, each := range g.groups {
		if i == own {
			p.mates = slices.DeleteFunc(slices.Clone(each.members), func(id string) bool { return id == p.self })
			continue
		}
		p.others = append(p.others, each.members...)
	}
	p.mates, p.others = inHashOrder(p.self, p.mates), inHashOrder(p.self, p.others)
}

// inHashOrder returns an order that differs between instances and stays the same for peers that stay.
func inHashOrder(self string, peers []string) []string {
	type ranked struct {
		rank uint64
		peer string
	}
	order := make([]ranked, len(peers))
	for i, peer := range peers {
		order[i] = ranked{hash(self + "\x00" + peer), peer}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.peer, b.peer)) })
	out := make([]string, len(peers))
	for i, each := range order {
		out[i] = each.peer
	}
	return out
}

// Next returns the peers to call in the next period, evenly spread over it, in this order.
func (p *Plan) Next() []string {
	p.periods++
	if len(p.mates)+len(p.others) <= FullMeshPeers {
		return slices.Concat(p.mates, p.others)
	}
	calls := callsPerPeriod
	if p.large() {
		calls /= 2
	}
	called := p.inTurn(p.mates, calls/2)
	called = append(called, p.inTurn(p.others, calls-len(called))...)
	p.random.Shuffle(len(called), func(i, j int) { called[i], called[j] = called[j], called[i] })
	return called
}

// inTurn returns up to n peers, the next of those in the window.
func (p *Plan) inTurn(peers []string, n int) []string {
	first, size := 0, len(peers)
	if p.large() {
		first, size = p.periods/periodsPerStep, min(window, len(peers))
	}
	n = min(n, size)
	next := make([]string, 0, callsPerPeriod)
	for i := range n {
		place := first + (p.periods*n+i)%size
		next = append(next, peers[place%len(peers)])
	}
	return next
}

func (p *Plan) large() bool {
	return len(p.mates)+len(p.others) >= largeListed
}

// Timeout returns how long a proof of contact lasts in a deployment of that many listed instances:
// base up to 256 of them, and twice that above, where instances make half of the calls.
func Timeout(base time.Duration, listed int) time.Duration {
	if listed > largeListed {
		return 2 * base
	}
	return base
}
