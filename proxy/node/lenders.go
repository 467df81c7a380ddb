package node

import (
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
// region, else all.
func (l *lenders) candidates(s discovery.Server, suspected func(address string) bool) []string {
	var near, region, all []string
	add := func(address string, place Place) {
		all = append(all, address)
		if place.Region == s.Region {
			region = append(region, address)
		}
		if place.FailureDomain == s.FailureDomain {
			near = append(near, address)
		}
	}
	add(l.self, l.place)
	for _, p := range l.peers.Peers() {
		if p.Usable() && !suspected(p.Instance.PeerAddress) {
			add(p.Instance.PeerAddress, placeOf(p.Instance))
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(region) > 0:
		return region
	}
	return all
}

func placeOf(i objectstore.Instance) Place {
	return Place{Region: i.Region, FailureDomain: i.FailureDomain}
}
