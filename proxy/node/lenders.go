package node

import (
	"context"
	"slices"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// lenderSelector chooses the instance that holds the connections of an account to a server and lends them to the
// others. A server connection belongs to one account, so if every instance held its own, few would fit the next
// statement.
type lenderSelector struct {
	peers    *peer.Set
	self     string // peer address
	locality Locality
	// processorShare is that of this instance's machine, as its entry in the list shows it; 0 if unknown.
	processorShare float64

	usable peer.Derived[*instancesByLocality]
}

// instancesByLocality holds the peer addresses of the instances that may lend, by locality. It is immutable once built.
type instancesByLocality struct {
	all                       []string
	byRegion, byFailureDomain map[string][]string
	regions                   map[string]string // by address
	processorShare            map[string]float64
}

func newInstancesByLocality() *instancesByLocality {
	return &instancesByLocality{
		byRegion: map[string][]string{}, byFailureDomain: map[string][]string{}, regions: map[string]string{}, processorShare: map[string]float64{},
	}
}

func (i *instancesByLocality) add(address string, locality Locality, processorShare float64) {
	i.processorShare[address] = processorShare
	i.all = append(i.all, address)
	i.regions[address] = locality.Region
	i.byRegion[locality.Region] = append(i.byRegion[locality.Region], address)
	i.byFailureDomain[locality.FailureDomain] = append(i.byFailureDomain[locality.FailureDomain], address)
}

// choose returns the peer address of the lender, or an empty string for this instance, for which suspected also gets an empty
// string.
func (l *lenderSelector) choose(r gateway.LendRequest, suspected func(address string) bool) string {
	candidates := l.candidates(r.Server, l.orOutside(r.Homes, suspected))
	var chosen string
	if r.Exclusive || l.oneScheduler(r.Server) {
		chosen = peer.WeightedRendezvous("scheduler/"+r.Server.ID, candidates, l.weights(r.Server))
	} else {
		chosen = peer.Rendezvous("connections/"+r.Server.ID+"/"+r.Account, candidates)
	}
	if chosen == l.self {
		return ""
	}
	return chosen
}

// askInstance asks a lender that answers nothing for a sign of life. If it gives none, the next heartbeat to it is sent at once.
func (n *Node) askInstance(ctx context.Context, address string) (answered bool) {
	if n.peers.Ask(ctx, address) {
		return true
	}
	go n.peers.Contact(context.WithoutCancel(ctx), address)
	return false
}

// weights returns the weights of the candidates for the scheduler of a server. Whether all are known must not depend on which
// of them this instance suspects, or instances would choose different schedulers.
func (l *lenderSelector) weights(s discovery.Server) func(address string) float64 {
	shares := l.usableByLocality().processorShare
	all := l.candidates(s, func(string) bool { return false })
	if slices.ContainsFunc(all, func(address string) bool { return !(shares[address] > 0) }) {
		return func(string) float64 { return 0 }
	}
	return func(address string) float64 { return shares[address] }
}

// orOutside extends suspected to the instances outside the regions that may receive a statement. This instance has received
// it already, and is a candidate wherever it is.
func (l *lenderSelector) orOutside(homes []string, suspected func(address string) bool) func(address string) bool {
	if len(homes) == 0 {
		return suspected
	}
	regions := l.usableByLocality().regions
	return func(address string) bool {
		return address != "" && !slices.Contains(homes, regions[address]) || suspected(address)
	}
}

// holderCount returns how many instances hold connections to a server.
func (l *lenderSelector) holderCount(s discovery.Server) int {
	return max(len(l.candidates(s, func(string) bool { return false })), 1)
}

// oneScheduler reports whether one instance runs all statements of a server. With more instances than slots, the
// instances would send more statements than the server runs, and none of them could order the whole demand.
func (l *lenderSelector) oneScheduler(s discovery.Server) bool {
	return l.holderCount(s) > max(s.Slots, 1)
}

// candidates returns the instances that may hold connections to a server: those in its failure domain, or else in its
// region, or else all. Suspected instances are excluded. If none is left, this instance is chosen.
func (l *lenderSelector) candidates(s discovery.Server, suspected func(address string) bool) []string {
	usable := l.usableByLocality()
	excluded := func(address string) bool {
		if address == l.self {
			address = ""
		}
		return suspected(address)
	}
	for _, preferred := range [][]string{usable.byFailureDomain[s.FailureDomain], usable.byRegion[s.Region]} {
		if remaining := without(preferred, excluded); len(remaining) > 0 {
			return remaining
		}
	}
	return without(usable.all, excluded)
}

// without returns the names that are not excluded. It copies the slice only if some are.
func without(names []string, excluded func(string) bool) []string {
	if !slices.ContainsFunc(names, excluded) {
		return names
	}
	return slices.DeleteFunc(slices.Clone(names), excluded)
}

// usableByLocality groups the usable instances by locality. The result is kept until the peers change, because each
// statement needs it several times.
func (l *lenderSelector) usableByLocality() *instancesByLocality {
	return l.usable.Get(l.peers.Version(), l.groupUsable)
}

func (l *lenderSelector) groupUsable() *instancesByLocality {
	grouped := newInstancesByLocality()
	grouped.add(l.self, l.locality, l.processorShare)
	for _, p := range l.peers.Peers() {
		if p.Usable() {
			grouped.add(p.Instance.PeerAddress, localityOf(p.Instance), p.Instance.Capacity.ProcessorShare)
		}
	}
	return grouped
}

func localityOf(i objectstore.Instance) Locality {
	return Locality{Region: i.Region, FailureDomain: i.FailureDomain}
}
