package node

import (
	"slices"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// lenders chooses which instance holds the connections of an account to a server. Server connections belong to one
// account, so that connections held by every instance for itself would rarely fit the next statement.
type lenders struct {
	peers *peer.Set
	self  string // peer address
	place Place

	mu      sync.Mutex
	known   *usableInstances
	version uint64 // of the peers that known was made from
}

// usableInstances are the peer addresses of the instances that may lend, by their place. They never change.
type usableInstances struct {
	all              []string
	byRegion, byZone map[string][]string
}

func (u *usableInstances) add(address string, place Place) {
	u.all = append(u.all, address)
	u.byRegion[place.Region] = append(u.byRegion[place.Region], address)
	u.byZone[place.FailureDomain] = append(u.byZone[place.FailureDomain], address)
}

// choose returns the peer address of the lender, empty for this instance.
func (l *lenders) choose(s discovery.Server, account string, suspected func(address string) bool) string {
	chosen := peer.Rendezvous("connections/"+s.ID+"/"+account, l.candidates(s, suspected))
	if chosen == l.self {
		return ""
	}
	return chosen
}

// sharing returns how many instances hold connections to a server.
func (l *lenders) sharing(s discovery.Server) int {
	return max(len(l.candidates(s, func(string) bool { return false })), 1)
}

// candidates returns the instances that may hold connections to a server: those of its failure domain, else of its
// region, else all. This instance is never suspected.
func (l *lenders) candidates(s discovery.Server, suspected func(address string) bool) []string {
	u := l.usable()
	excluded := func(address string) bool { return address != l.self && suspected(address) }
	for _, some := range [][]string{u.byZone[s.FailureDomain], u.byRegion[s.Region]} {
		if left := without(some, excluded); len(left) > 0 {
			return left
		}
	}
	return without(u.all, excluded)
}

// without returns the names that are not excluded. It copies them only if some are.
func without(names []string, excluded func(string) bool) []string {
	if !slices.ContainsFunc(names, excluded) {
		return names
	}
	return slices.DeleteFunc(slices.Clone(names), excluded)
}

// usable sorts the instances by place, anew only when the peers have changed: each statement asks several times.
func (l *lenders) usable() *usableInstances {
	version := l.peers.Version()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known != nil && l.version == version {
		return l.known
	}
	u := &usableInstances{byRegion: map[string][]string{}, byZone: map[string][]string{}}
	u.add(l.self, l.place)
	for _, p := range l.peers.Peers() {
		if p.Usable() {
			u.add(p.Instance.PeerAddress, placeOf(p.Instance))
		}
	}
	l.known, l.version = u, version
	return u
}

func placeOf(i objectstore.Instance) Place {
	return Place{Region: i.Region, FailureDomain: i.FailureDomain}
}
