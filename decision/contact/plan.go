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
	// largeDeployment is the number of listed instances above which an instance makes half of the calls,
	// since it has 3 KB/s for all its control. Evidence then takes twice the time, see Timeout.
	largeDeployment = 256
	// windowSize is the number of mates, and of others, that a large deployment calls in turns. With one call
	// to each kind a period, a peer's turn comes every 16 s, so that its connection is kept. Up to
	// largeDeployment all are called in turns, which also tells soon which of them are dead.
	windowSize = 16
	// periodsPerWindowStep is the number of periods after which one of the window is replaced by the next, so
	// that every peer is called at times and new connections stay rare.
	periodsPerWindowStep = 20
)

// Plan chooses the peers that an instance calls: the next few mates and the next few others in fixed
// orders. It is not safe for concurrent use.
type Plan struct {
	self       string
	random     *rand.Rand
	groupPeers []string // in the order in which the window passes over them
	otherPeers []string // the same
	periods    int
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
	own := g.groupOf[p.self]
	p.groupPeers, p.otherPeers = nil, nil
	for i, each := range g.groups {
		if i == own {
			p.groupPeers = slices.DeleteFunc(slices.Clone(each.members), func(id string) bool { return id == p.self })
			continue
		}
		p.otherPeers = append(p.otherPeers, each.members...)
	}
	p.groupPeers, p.otherPeers = inHashOrder(p.self, p.groupPeers), inHashOrder(p.self, p.otherPeers)
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
	if len(p.groupPeers)+len(p.otherPeers) <= FullMeshPeers {
		return slices.Concat(p.groupPeers, p.otherPeers)
	}
	calls := callsPerPeriod
	if p.isLarge() {
		calls /= 2
	}
	called := p.nextInTurn(p.groupPeers, calls/2)
	called = append(called, p.nextInTurn(p.otherPeers, calls-len(called))...)
	p.random.Shuffle(len(called), func(i, j int) { called[i], called[j] = called[j], called[i] })
	return called
}

// nextInTurn returns up to n peers, the next of those in the window.
func (p *Plan) nextInTurn(peers []string, n int) []string {
	first, size := 0, len(peers)
	if p.isLarge() {
		first, size = p.periods/periodsPerWindowStep, min(windowSize, len(peers))
	}
	n = min(n, size)
	next := make([]string, 0, callsPerPeriod)
	for i := range n {
		place := first + (p.periods*n+i)%size
		next = append(next, peers[place%len(peers)])
	}
	return next
}

func (p *Plan) isLarge() bool {
	return len(p.groupPeers)+len(p.otherPeers) >= largeDeployment
}

// Timeout returns how long a proof of contact lasts in a deployment of that many listed instances:
// base up to 256 of them, and twice that above, where instances make half of the calls.
func Timeout(base time.Duration, listed int) time.Duration {
	if listed > largeDeployment {
		return 2 * base
	}
	return base
}
