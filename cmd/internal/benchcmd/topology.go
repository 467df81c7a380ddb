package benchcmd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// intraRegionRTT is the round-trip time within a region. Relays delay by whole milliseconds, so the
// 0.5 ms of each direction are both added to the requests.
const intraRegionRTT = time.Millisecond

// network adds the latency between regions to every connection, with one relay per connecting region
// and address. Addresses without a known region are connected to directly.
type network struct {
	interRegionDelay time.Duration // one way

	mu      sync.Mutex
	regions map[string]string // by address
	relays  map[link]*relay.Relay
}

type link struct {
	from, to string // region, address
}

func newNetwork(interRegionDelay time.Duration) *network {
	return &network{interRegionDelay: interRegionDelay, regions: make(map[string]string), relays: make(map[link]*relay.Relay)}
}

// setRegion sets the region of an address.
func (n *network) setRegion(address, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// relayAddress returns the address of the relay through which the region from connects to the address
// to.
func (n *network) relayAddress(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	region, ok := n.regions[to]
	if !ok {
		return to, nil
	}
	if r := n.relays[link{from, to}]; r != nil {
		return r.Proxy.Listen, nil
	}
	requestDelay, responseDelay := n.interRegionDelay, n.interRegionDelay
	if from == region {
		requestDelay, responseDelay = intraRegionRTT, 0
	}
	r, err := relay.Start(to, requestDelay, responseDelay)
	if err != nil {
		return "", err
	}
	n.relays[link{from, to}] = r
	return r.Proxy.Listen, nil
}

// dialer returns the dial function of an instance in the region from.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	dialer := tcp.Dialer(tcp.DataTimeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		address, err := n.relayAddress(from, address)
		if err != nil {
			return nil, err
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// relaysTo returns the relays to an address.
func (n *network) relaysTo(address string) []*relay.Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*relay.Relay
	for l, r := range n.relays {
		if l.to == address {
			out = append(out, r)
		}
	}
	return out
}

// setRefusing sets whether connections to an address are refused, as those to a terminated process
// are. Without it the relay would still accept them.
func (n *network) setRefusing(address string, on bool) error {
	for _, r := range n.relaysTo(address) {
		if on {
			r.Disable()
			continue
		}
		if err := r.Proxy.Start(); err != nil {
			return errors.Wrap(err, "restart a relay")
		}
	}
	return nil
}

// setBlackholed sets whether all traffic to and from an address is dropped without closing connections.
func (n *network) setBlackholed(address string, on bool) error {
	for _, r := range n.relaysTo(address) {
		if err := r.SetBlackhole(on); err != nil {
			return err
		}
	}
	return nil
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.Disable()
	}
}
