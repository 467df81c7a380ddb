package benchcmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// Directions of a relay, seen from the end that connects.
const (
	requests = "upstream"
	answers  = "downstream"
)

// nearDelay is the round trip inside a region. Relays delay by whole milliseconds, so both ways'
// 0.5 ms are put on the requests.
const nearDelay = time.Millisecond

// relay forwards the connections to one address with a latency and can be cut.
type relay struct {
	proxy *toxiproxy.Proxy
}

// startRelay starts a relay with a delay for each direction.
func startRelay(upstream string, request, answer time.Duration) (*relay, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard))
	r := &relay{toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	if err := r.proxy.Start(); err != nil {
		return nil, errors.Wrap(err, "start a relay")
	}
	for direction, delay := range map[string]time.Duration{requests: request, answers: answer} {
		if delay == 0 {
			continue
		}
		if err := r.addToxic("latency", direction, "latency", delay.Milliseconds()); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *relay) addToxic(kind, direction, attribute string, value int64) error {
	toxic := fmt.Sprintf(`{"name": "%s-%s", "type": %q, "stream": %q, "attributes": {%q: %d}}`,
		kind, direction, kind, direction, attribute, value)
	_, err := r.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "set up a relay")
}

// swallow drops the bytes of both directions while on and closes no connection. Connections that
// lost bytes are closed when it ends.
func (r *relay) swallow(on bool) error {
	for _, direction := range []string{requests, answers} {
		if !on {
			if err := r.proxy.Toxics.RemoveToxic(context.Background(), "timeout-"+direction); err != nil {
				return err
			}
			continue
		}
		if err := r.addToxic("timeout", direction, "timeout", 0); err != nil {
			return err
		}
	}
	return nil
}

// network puts the latency between regions on the way of every connection, by one relay for each
// region that connects and each address. An address without a known region is reached directly.
type network struct {
	between time.Duration // one way between regions

	mu      sync.Mutex
	regions map[string]string // of addresses
	relays  map[link]*relay
}

type link struct {
	from, to string // region, address
}

func newNetwork(between time.Duration) *network {
	return &network{between: between, regions: make(map[string]string), relays: make(map[link]*relay)}
}

// place tells the region of an address.
func (n *network) place(address, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// reach returns the address of the relay by which a region reaches an address.
func (n *network) reach(from, to string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	region, ok := n.regions[to]
	if !ok {
		return to, nil
	}
	if r := n.relays[link{from, to}]; r != nil {
		return r.proxy.Listen, nil
	}
	request, answer := n.between, n.between
	if from == region {
		request, answer = nearDelay, 0
	}
	r, err := startRelay(to, request, answer)
	if err != nil {
		return "", err
	}
	n.relays[link{from, to}] = r
	return r.proxy.Listen, nil
}

// dialer returns the dial function of an instance in a region.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	dialer := tcp.Dialer(tcp.DataTimeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		address, err := n.reach(from, address)
		if err != nil {
			return nil, err
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// to returns the relays to an address.
func (n *network) to(address string) []*relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*relay
	for l, r := range n.relays {
		if l.to == address {
			out = append(out, r)
		}
	}
	return out
}

// refuse makes connections to an address be refused, as those to an ended process are, while on.
// A relay by itself accepts them.
func (n *network) refuse(address string, on bool) error {
	for _, r := range n.to(address) {
		if on {
			r.proxy.Stop()
			continue
		}
		if err := r.proxy.Start(); err != nil {
			return errors.Wrap(err, "start a relay again")
		}
	}
	return nil
}

// swallow drops everything between the instances and an address while on.
func (n *network) swallow(address string, on bool) error {
	for _, r := range n.to(address) {
		if err := r.swallow(on); err != nil {
			return err
		}
	}
	return nil
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.proxy.Stop()
	}
}
