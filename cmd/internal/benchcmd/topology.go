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

// intraRegionRTT is the round trip inside a region. Relays delay by whole milliseconds, so both ways'
// 0.5 ms are put on the requests.
const intraRegionRTT = time.Millisecond

// network puts the latency between regions on the way of every connection, by one relay for each
// region that connects and each address. An address without a known region is reached directly.
type network struct {
	interRegionDelay time.Duration // one way between regions

	mu      sync.Mutex
	regions map[string]string // of addresses
	relays  map[link]*relay.Relay
}

type link struct {
	from, to string // region, address
}

func newNetwork(between time.Duration) *network {
	return &network{interRegionDelay: between, regions: make(map[string]string), relays: make(map[link]*relay.Relay)}
}

// setRegion tells the region of an address.
func (n *network) setRegion(address, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// relayAddress returns the address of the relay by which a region reaches an address.
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
	request, answer := n.interRegionDelay, n.interRegionDelay
	if from == region {
		request, answer = intraRegionRTT, 0
	}
	r, err := relay.Start(to, request, answer)
	if err != nil {
		return "", err
	}
	n.relays[link{from, to}] = r
	return r.Proxy.Listen, nil
}

// dialer returns the dial function of an instance in a region.
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

// setRefusing makes connections to an address be refused, as those to an ended process are, while on.
// A relay by itself accepts them.
func (n *network) setRefusing(address string, on bool) error {
	for _, r := range n.relaysTo(address) {
		if on {
			r.Cut()
			continue
		}
		if err := r.Proxy.Start(); err != nil {
			return errors.Wrap(err, "start a relay again")
		}
	}
	return nil
}

// setBlackholed drops everything between the instances and an address while on.
func (n *network) setBlackholed(address string, on bool) error {
	for _, r := range n.relaysTo(address) {
		if err := r.Swallow(on); err != nil {
			return err
		}
	}
	return nil
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.Cut()
	}
}
