// Package relay is a TCP proxy on loopback that injects faults: latency, lost bytes and closed connections.
package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/freeport"
)

// Directions of the bytes, as seen from the connecting side.
const (
	Requests  = "upstream"
	Responses = "downstream"
)

// Relay forwards connections to one address.
type Relay struct {
	Proxy *toxiproxy.Proxy
}

// maxListenTries bounds the tries to listen on a port that another process may have taken in between.
const maxListenTries = 10

// Start starts a relay to upstream that delays each direction by the given time, 0 for none.
func Start(upstream string, requestDelay, responseDelay time.Duration) (*Relay, error) {
	r, err := listen(upstream)
	for try := 1; err != nil && try < maxListenTries; try++ {
		r, err = listen(upstream)
	}
	if err != nil {
		return nil, errors.Wrap(err, "start a relay")
	}
	for direction, delay := range map[string]time.Duration{Requests: requestDelay, Responses: responseDelay} {
		if delay == 0 {
			continue
		}
		if err := r.Delay(direction, delay); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// listen starts a relay on a port that the operating system gives to no outgoing connection while the relay is
// disabled.
func listen(upstream string) (*Relay, error) {
	address, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard))
	r := &Relay{toxiproxy.NewProxy(server, upstream, address, upstream)}
	return r, r.Proxy.Start()
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.Proxy.Listen
}

// Delay delays the bytes of one direction. The delay is rounded down to whole milliseconds.
func (r *Relay) Delay(direction string, delay time.Duration) error {
	return r.addToxic("latency", direction, "latency", delay.Milliseconds())
}

// RemoveDelay removes the delay set by Delay.
func (r *Relay) RemoveDelay(direction string) error {
	return errors.Wrap(r.Proxy.Toxics.RemoveToxic(context.Background(), "latency-"+direction), "remove the delay of a relay")
}

func (r *Relay) addToxic(kind, direction, attribute string, value int64) error {
	toxic := fmt.Sprintf(`{"name": "%s-%s", "type": %q, "stream": %q, "attributes": {%q: %d}}`,
		kind, direction, kind, direction, attribute, value)
	_, err := r.Proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "add a toxic to a relay")
}

// SetBlackhole turns the dropping of all bytes in both directions on or off. No connection is closed while
// it is on; connections that lost bytes are closed when it is turned off.
func (r *Relay) SetBlackhole(on bool) error {
	for _, direction := range []string{Requests, Responses} {
		if err := r.SetBlackholeFor(direction, on); err != nil {
			return err
		}
	}
	return nil
}

// SetBlackholeFor is like SetBlackhole, but for one direction.
func (r *Relay) SetBlackholeFor(direction string, on bool) error {
	if !on {
		return errors.Wrap(r.Proxy.Toxics.RemoveToxic(context.Background(), "timeout-"+direction), "remove the blackhole of a relay")
	}
	return r.addToxic("timeout", direction, "timeout", 0)
}

// Disable closes all connections and refuses new ones.
func (r *Relay) Disable() {
	r.Proxy.Stop()
}

// Enable ends the effect of Disable. It does nothing if the relay is enabled, so that when two outages overlap
// the first to end restores the connection.
func (r *Relay) Enable() error {
	err := r.Proxy.Start()
	if errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		return nil
	}
	return errors.Wrap(err, "restart a relay")
}
