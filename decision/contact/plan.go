package contact

import (
	"cmp"
	"math/rand"
	"slices"
	"time"
)

const (
	// FullMeshPeers is the largest number of peers for which every peer is called in every period.
	FullMeshPeers = 16
	// callsPerPeriod is the number of peers called per period in a larger deployment. Evidence
	// spreads exponentially, like e^(calls).
	callsPerPeriod = 4
	// largeDeployment is the number of listed instances above which an instance makes half as many calls,
	// because its budget for all control traffic is 3 KB/s. Evidence then takes twice as long to spread; see
	// Timeout.
	largeDeployment = 256
	// windowSize is the number of peers of the own group, and of other groups, that an instance of a large
	// deployment calls in rotation. With one call to each kind per period, each peer is called every 16 s, so
	// that its connection is kept open. Up to largeDeployment all peers are in the rotation, which also
	// detects failed ones soon.
	windowSize = 16
	// periodsPerWindowStep is the number of periods after which the window moves on by one peer, so that
	// every peer is called eventually and new connections stay rare.
	periodsPerWindowStep = 20
)

// Plan chooses the peers that an instance calls in each period: a few of its own group and a few of other
// groups, each in a fixed order. It is not safe for concurrent use.
type Plan struct {
	self       string
	random     *rand.Rand
	groupPeers []string // of the own group, in call order
	otherPeers []string // of all other groups, in call order
	periods    int
}

// NewPlan returns a plan without peers.
func NewPlan(self string, random *rand.Rand) *Plan {
	// Starts at a random period, so that instances that read a new list at the same time don't align their windows.
	return &Plan{self: self, random: random, periods: random.Intn(1 << 20)}
}

// SetMembers replaces the membership list.
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

// inHashOrder sorts peers in an order that differs between instances and is stable when other peers come or
// go.
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

// Next returns the peers to call in the next period, in this order and evenly spread over the period.
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

// nextInTurn returns the next peers of the window in rotation, at most n.
func (p *Plan) nextInTurn(peers []string, n int) []string {
	first, size := 0, len(peers)
	if p.isLarge() {
		first, size = p.periods/periodsPerWindowStep, min(windowSize, len(peers))
	}
	n = min(n, size)
	next := make([]string, 0, callsPerPeriod)
	for i := range n {
		index := first + (p.periods*n+i)%size
		next = append(next, peers[index%len(peers)])
	}
	return next
}

func (p *Plan) isLarge() bool {
	return len(p.groupPeers)+len(p.otherPeers) >= largeDeployment
}

// Timeout returns how long a proof of contact is valid in a deployment of the given number of listed
// instances: base for up to 256, and twice that above, where instances make half as many calls.
func Timeout(base time.Duration, listed int) time.Duration {
	if listed > largeDeployment {
		return 2 * base
	}
	return base
}
