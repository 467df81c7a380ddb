package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// lateList is a list of instances that is read some time after the start.
type lateList struct {
	mu        sync.Mutex
	instances []objectstore.Instance
}

func (l *lateList) Instances(context.Context) ([]objectstore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instances == nil {
		return nil, net.ErrClosed
	}
	return l.instances, nil
}

// Guards against peers that are contacted only a heartbeat period after the list was read, and against a peer that counts as
// lost because it listens a moment later. Load: all instances start within 0.2 s.
func TestCommonStartFirstContacts(t *testing.T) {
	list := &lateList{}
	set := newTestSet(t, list)
	set.cfg.Heartbeat = time.Minute
	address, stop := startServer(t, "127.0.0.1:0", nil)
	stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go set.Run(ctx)
	list.mu.Lock()
	list.instances = []objectstore.Instance{{PeerAddress: address}}
	list.mu.Unlock()
	set.RefreshNow()
	time.Sleep(firstContactSpread + firstContactDelay/2)
	if set.Peers()[0].Tried || !set.Peers()[0].Usable() {
		t.Error("a peer that starts at the same time counts as lost")
	}
	startServer(t, address, nil)
	waitFor(t, "the peer to be contacted again", func() bool { return set.Peers()[0].Reachable })
}

// Guards against a peer that counts as asked before its answer has been applied: the configuration could be confirmed although
// the peer has just told that it has a newer one.
func TestCommonStartAnswersAreAppliedFirst(t *testing.T) {
	list := &lateList{}
	set := newTestSet(t, list)
	address, _ := startServer(t, "127.0.0.1:0", nil)
	list.instances = []objectstore.Instance{{PeerAddress: address}}
	set.RefreshNow()
	applied := false
	set.cfg.OnAnswer = func(context.Context, time.Duration, *peerpb.Digest) {
		applied = true
		if set.Peers()[0].Tried {
			t.Error("the peer counts as asked before its answer is applied")
		}
	}
	if set.contactOnce(t.Context(), address, true); !applied || !set.Peers()[0].Tried {
		t.Errorf("answer applied: %t, peer %+v", applied, set.Peers()[0])
	}
}

// Guards against an instance of a large set that trusts a restored store because the few peers that it asked, which may have
// started just before it, know nothing newer.
func TestCommonStartLargeSetNeedsManyAnswers(t *testing.T) {
	for _, c := range []struct {
		peers, running int
		want           bool
	}{{17, minFirstAnswers - 1, false}, {17, 17, true}, {300, 300, true}} {
		list := &lateList{}
		set := newTestSet(t, list)
		server, _ := startServer(t, "127.0.0.1:0", nil)
		running := map[string]bool{}
		for i := range c.peers {
			address := fmt.Sprintf("peer-%d:1", i)
			running[address] = i < c.running
			list.instances = append(list.instances, objectstore.Instance{PeerAddress: address})
		}
		set.cfg.Client = newTestClient(t, ClientConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !running[address] {
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, network, server)
		}})
		set.RefreshNow()
		set.introduce(t.Context())
		if set.Introduced() != c.want {
			t.Errorf("%d of %d peers run: introduced is %t", c.running, c.peers, set.Introduced())
		}
	}
}

// Guards against bytes between instances that nobody can attribute to a kind of message.
func TestCommonStartCallsAreMetered(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	server, err := NewServer(ServerConfig{Config: testHandler{version: 7}, Quota: testHandler{}, Meter: NewMeter(scope), Log: quietLog()})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }() // ends with the test
	clientScope := tally.NewTestScope("", nil)
	client := newTestClient(t, ClientConfig{Meter: NewMeter(clientScope)})
	for range 3 {
		if err := gossip(client, listener.Addr().String(), waitLimit); err != nil {
			t.Fatal(err)
		}
	}
	count := func(s tally.TestScope, name, direction string) int64 {
		for _, c := range s.Snapshot().Counters() {
			if c.Name() == name && c.Tags()["direction"] == direction && c.Tags()["message"] == "peer.Peer/Gossip" {
				return c.Value()
			}
		}
		return 0
	}
	if made, answered := count(clientScope, "peer_calls_total", "out"), count(scope, "peer_calls_total", "in"); made != 3 || answered != 3 {
		t.Errorf("%d calls made and %d answered, want 3 each", made, answered)
	}
	sent, received := count(scope, "peer_bytes_total", "out"), count(clientScope, "peer_bytes_total", "in")
	if sent == 0 || sent != received {
		t.Errorf("%d bytes sent by the server, %d received by the client", sent, received)
	}
}
