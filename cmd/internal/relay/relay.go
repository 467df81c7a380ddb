// Package relay forwards loopback connections to one address with a latency, and cuts or silences them.
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
)

// Directions of a relay, seen from the end that connects.
const (
	Requests  = "upstream"
	Responses = "downstream"
)

// Relay forwards the connections to one address.
type Relay struct {
	Proxy *toxiproxy.Proxy
}

// Start starts a relay with a delay for each direction.
func Start(upstream string, request, answer time.Duration) (*Relay, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard))
	r := &Relay{toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	if err := r.Proxy.Start(); err != nil {
		return nil, errors.Wrap(err, "start a relay")
	}
	for direction, delay := range map[string]time.Duration{Requests: request, Responses: answer} {
		if delay == 0 {
			continue
		}
		if err := r.Delay(direction, delay); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string {
	return r.Proxy.Listen
}

// Delay delays the bytes of one direction, by whole milliseconds.
func (r *Relay) Delay(direction string, delay time.Duration) error {
	return r.addToxic("latency", direction, "latency", delay.Milliseconds())
}

// RemoveDelay ends a Delay.
func (r *Relay) RemoveDelay(direction string) error {
	return errors.Wrap(r.Proxy.Toxics.RemoveToxic(context.Background(), "latency-"+direction), "end a delay")
}

func (r *Relay) addToxic(kind, direction, attribute string, value int64) error {
	toxic := fmt.Sprintf(`{"name": "%s-%s", "type": %q, "stream": %q, "attributes": {%q: %d}}`,
		kind, direction, kind, direction, attribute, value)
	_, err := r.Proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "set up a relay")
}

// SetBlackhole drops the bytes of both directions while on and closes no connection. Connections that
// lost bytes are closed when it ends.
func (r *Relay) SetBlackhole(on bool) error {
	for _, direction := range []string{Requests, Responses} {
		if err := r.SetBlackholeFor(direction, on); err != nil {
			return err
		}
	}
	return nil
}

// SetBlackholeFor is Swallow for one direction.
func (r *Relay) SetBlackholeFor(direction string, on bool) error {
	if !on {
		return errors.Wrap(r.Proxy.Toxics.RemoveToxic(context.Background(), "timeout-"+direction), "end a silence")
	}
	return r.addToxic("timeout", direction, "timeout", 0)
}

// Disable closes all connections and refuses new ones.
func (r *Relay) Disable() {
	r.Proxy.Stop()
}

// Enable ends a cut. A relay that is not cut stays as it is, so that of two cuts that overlap the first end counts.
func (r *Relay) Enable() error {
	err := r.Proxy.Start()
	if errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		return nil
	}
	return errors.Wrap(err, "start a relay again")
}
