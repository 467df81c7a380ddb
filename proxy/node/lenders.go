package node

import (
	"slices"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// lenderSelector chooses which instance holds the connections of an account to a server. Server connections belong to one
// account, so that connections held by every instance for itself would rarely fit the next statement.
type lenderSelector struct {
	peers    *peer.Set
	self     string // peer address
	locality Locality

	mu            sync.Mutex
	cached        *instancesByLocality
	cachedVersion uint64 // of the peers that known was made from
}

// instancesByLocality are the peer addresses of the instances that may lend, by their place. They never change.
type instancesByLocality struct {
	all                       []string
	byRegion, byFailureDomain map[string][]string
}

func (u *instancesByLocality) add(address string, place Locality) {
	u.all = append(u.all, address)
	u.byRegion[place.Region] = append(u.byRegion[place.Region], address)
	u.byFailureDomain[place.FailureDomain] = append(u.byFailureDomain[place.FailureDomain], address)
}

// choose returns the peer address of the lender, empty for this instance.
func (l *lenderSelector) choose(s discovery.Server, account string, suspected func(address string) bool) string {
	chosen := peer.Rendezvous("connections/"+s.ID+"/"+account, l.candidates(s, suspected))
	if chosen == l.self {
		return ""
	}
	return chosen
}

// holderCount returns how many instances hold connections to a server.
func (l *lenderSelector) holderCount(s discovery.Server) int {
	return max(len(l.candidates(s, func(string) bool { return false })), 1)
}

// candidates returns the instances that may hold connections to a server: those of its failure domain, else of its
// region, else all. This instance is never suspected.
func (l *lenderSelector) candidates(s discovery.Server, suspected func(address string) bool) []string {
	u := l.usableByLocality()
	excluded := func(address string) bool { return address != l.self && suspected(address) }
	for _, some := range [][]string{u.byFailureDomain[s.FailureDomain], u.byRegion[s.Region]} {
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

// usableByLocality sorts the instances by place, anew only when the peers have changed: each statement asks several times.
func (l *lenderSelector) usableByLocality() *instancesByLocality {
	version := l.peers.Version()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached != nil && l.cachedVersion == version {
		return l.cached
	}
	u := &instancesByLocality{byRegion: map[string][]string{}, byFailureDomain: map[string][]string{}}
	u.add(l.self, l.locality)
	for _, p := range l.peers.Peers() {
		if p.Usable() {
			u.add(p.Instance.PeerAddress, localityOf(p.Instance))
		}
	}
	l.cached, l.cachedVersion = u, version
	return u
}

func localityOf(i objectstore.Instance) Locality {
	return Locality{Region: i.Region, FailureDomain: i.FailureDomain}
}
