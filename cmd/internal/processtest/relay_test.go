package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// relay forwards connections and injects faults.
type relay struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

// startRelay starts a relay to upstream, an IP:port.
func startRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard))
	r := &relay{t: t, proxy: toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	r.heal()
	t.Cleanup(r.cut)
	return r
}

func (r *relay) address() string { return r.proxy.Listen }

// cut closes all connections and refuses new ones.
func (r *relay) cut() { r.proxy.Stop() }

// heal ends a cut.
func (r *relay) heal() {
	if err := r.proxy.Start(); err != nil {
		r.t.Fatal(err)
	}
}

// Directions of a relay, in the terms of toxiproxy, as seen from the connecting process.
const (
	requests = "upstream"
	answers  = "downstream"
)

// drop discards all bytes in one direction without closing connections.
func (r *relay) drop(direction string) {
	r.addToxic(`{"name": "swallow-%[1]s", "type": "timeout", "stream": %[1]q, "attributes": {"timeout": 0}}`, direction)
}

// endDrop ends drop. It closes connections that lost bytes.
func (r *relay) endDrop(direction string) {
	if err := r.proxy.Toxics.RemoveToxic(context.Background(), "swallow-"+direction); err != nil {
		r.t.Fatal(err)
	}
}

// blackhole discards all bytes on existing and new connections.
func (r *relay) blackhole() {
	r.drop(requests)
	r.drop(answers)
}

// endBlackhole ends blackhole.
func (r *relay) endBlackhole() {
	r.endDrop(requests)
	r.endDrop(answers)
}

// blackholeExisting discards all bytes on existing connections; new ones work.
func (r *relay) blackholeExisting() {
	r.blackhole()
	r.limitToExisting("swallow-" + requests)
	r.limitToExisting("swallow-" + answers)
}

// delay adds a latency in each direction.
func (r *relay) delay(d time.Duration) {
	for _, direction := range []string{requests, answers} {
		r.addToxic(`{"name": "delay-%[1]s", "type": "latency", "stream": %[1]q, "attributes": {"latency": `+fmt.Sprint(d.Milliseconds())+`}}`, direction)
	}
}

// limitAnswers closes a connection once it has carried this many bytes of answers.
func (r *relay) limitAnswers(bytes int) {
	r.addToxic(`{"name": "limit", "type": "limit_data", "stream": %q, "attributes": {"bytes": `+fmt.Sprint(bytes)+`}}`, answers)
}

func (r *relay) endLimit() {
	if err := r.proxy.Toxics.RemoveToxic(context.Background(), "limit"); err != nil {
		r.t.Fatal(err)
	}
}

func (r *relay) addToxic(format, direction string) {
	if _, err := r.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(format, direction))); err != nil {
		r.t.Fatal(err)
	}
}

// limitToExisting restricts a toxic to existing connections. The toxicity is the probability with which a
// connection gets the toxic, decided when the connection or the toxic is added.
func (r *relay) limitToExisting(name string) {
	toxic := r.proxy.Toxics.GetToxic(name)
	r.proxy.Toxics.Lock()
	defer r.proxy.Toxics.Unlock()
	toxic.Toxicity = 0
}

// hostPort returns the IP:port of an http URL.
func hostPort(url string) string {
	host := strings.TrimPrefix(url, "http://")
	if _, _, err := net.SplitHostPort(host); err != nil {
		panic(err) // the stand-in store prints its address in this form
	}
	return host
}
