package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/selfsigned"
)

// waitLimit is long, since the machine may be under load.
const waitLimit = 20 * time.Second

type testHandler struct {
	QuotaHandler
	version uint64
}

func (h testHandler) Gossip(context.Context, *peerpb.Digest) (*peerpb.Digest, error) {
	return &peerpb.Digest{ManifestVersion: h.version}, nil
}

func (h testHandler) FetchManifest(context.Context, *peerpb.ManifestRequest) (*peerpb.Manifest, error) {
	return &peerpb.Manifest{Version: h.version}, nil
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startServer serves on address until the test ends or the returned function is called.
func startServer(t *testing.T, address string, config *tls.Config) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	h := testHandler{version: 7}
	server, err := NewServer(ServerConfig{Config: h, Quota: h, TLS: config, Log: quietLog()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func newTestClient(t *testing.T, cfg ClientConfig) *Client {
	client := NewClient(cfg)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func gossip(client *Client, address string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := client.Gossip(ctx, address, &peerpb.Digest{})
	if err == nil && out.ManifestVersion != 7 {
		return fmt.Errorf("version %d, want 7", out.ManifestVersion)
	}
	return err
}

// Guards against a restarted peer that stays unreachable because the pool keeps a broken idle connection
// to it.
func TestGossipReconnectsAfterRestart(t *testing.T) {
	address, stop := startServer(t, "127.0.0.1:0", nil)
	client := newTestClient(t, ClientConfig{})
	for range 2 {
		if err := gossip(client, address, waitLimit); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	if err := gossip(client, address, waitLimit); err == nil {
		t.Fatal("call to a stopped peer succeeded")
	}
	startServer(t, address, nil)
	if err := gossip(client, address, waitLimit); err != nil {
		t.Fatal(err)
	}
}

// silentProxy forwards connections; mute makes those that are open silent, without closing them.
type silentProxy struct {
	mu    sync.Mutex
	muted map[net.Conn]bool
}

func (p *silentProxy) serve(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.muted[conn] = false
		p.mu.Unlock()
		go p.copy(conn, conn, upstream)
		go p.copy(conn, upstream, conn)
	}
}

func (p *silentProxy) copy(key, from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		p.mu.Lock()
		muted := p.muted[key]
		p.mu.Unlock()
		if !muted {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *silentProxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.muted {
		p.muted[conn] = true
	}
}

// Guards against repeated use of a pooled connection that went silent: the second attempt of the same
// call has to open a new one.
func TestGossipReplacesSilentConnection(t *testing.T) {
	target, _ := startServer(t, "127.0.0.1:0", nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	proxy := &silentProxy{muted: map[net.Conn]bool{}}
	go proxy.serve(listener, target)
	client := newTestClient(t, ClientConfig{})
	if err := gossip(client, listener.Addr().String(), waitLimit); err != nil {
		t.Fatal(err)
	}
	proxy.mute()
	if err := gossip(client, listener.Addr().String(), 4*time.Second); err != nil {
		t.Fatal(err)
	}
}

func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	pair, err := selfsigned.New()
	if err != nil {
		t.Fatal(err)
	}
	server, client, err = pair.TLSConfigs()
	if err != nil {
		t.Fatal(err)
	}
	return server, client
}

// Guards against a server with TLS that accepts calls in clear text.
func TestCallsOverTLS(t *testing.T) {
	serverTLS, clientTLS := testTLS(t)
	address, _ := startServer(t, "127.0.0.1:0", serverTLS)
	if err := gossip(newTestClient(t, ClientConfig{TLS: clientTLS}), address, waitLimit); err != nil {
		t.Fatal(err)
	}
	if err := gossip(newTestClient(t, ClientConfig{}), address, time.Second); err == nil {
		t.Fatal("call without TLS succeeded")
	}
}

type fixedList []objectstore.Instance

func (l fixedList) Instances(context.Context) ([]objectstore.Instance, error) {
	return l, nil
}

func newTestSet(t *testing.T, list objectstore.InstanceList) *Set {
	t.Helper()
	set, err := NewSet(SetConfig{
		Self: "127.0.0.1:1", List: list, Client: newTestClient(t, ClientConfig{}), Config: testHandler{},
		Digest:    func() *peerpb.Digest { return &peerpb.Digest{} },
		Heartbeat: 200 * time.Millisecond, Rand: rand.New(rand.NewSource(1)), Log: quietLog(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Guards against a stopped peer that counts as live, and against one that stays unreachable after its
// restart.
func TestSetTracksReachability(t *testing.T) {
	first, stop := startServer(t, "127.0.0.1:0", nil)
	second, _ := startServer(t, "127.0.0.1:0", nil)
	set := newTestSet(t, fixedList{{PeerAddress: "127.0.0.1:1"}, {PeerAddress: first}, {PeerAddress: second}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); set.Run(ctx) }()
	defer func() { cancel(); <-done }()

	reachable := func(want int) func() bool {
		return func() bool {
			got := 0
			for _, p := range set.Peers() {
				if p.Reachable {
					got++
				}
			}
			return got == want
		}
	}
	waitFor(t, "both peers reachable", reachable(2))
	stop()
	waitFor(t, "first peer unreachable", reachable(1))
	if live := set.Live(); len(live) != 2 || !set.MajorityReachable() {
		t.Errorf("live = %v, majority = %v, want two live and a majority", live, set.MajorityReachable())
	}
	startServer(t, first, nil)
	waitFor(t, "first peer reachable again", reachable(2))
}

// Guards against a process that ends because the answer of one peer makes it panic, or that never contacts the peer again.
func TestFaultyAnswerEndsOneCall(t *testing.T) {
	address, _ := startServer(t, "127.0.0.1:0", nil)
	set := newTestSet(t, &lateList{instances: []objectstore.Instance{{PeerAddress: address}}})
	set.RefreshNow()
	faulty := true
	set.cfg.OnAnswer = func(context.Context, time.Duration, *peerpb.Digest) {
		if faulty {
			panic("an answer that nobody foresaw")
		}
	}
	for _, want := range []bool{false, true} {
		if set.contactOnce(t.Context(), address, true); set.Peers()[0].Reachable != want {
			t.Errorf("peer with faulty=%t: reachable %t, want %t", faulty, !want, want)
		}
		faulty = false
	}
}

// Guards against choosing a peer that has announced its drain as a home, and against requesting its
// pools of tokens from other instances before it has handed them back.
func TestAnnouncedDrain(t *testing.T) {
	set := newTestSet(t, fixedList{{PeerAddress: "127.0.0.1:1"}, {PeerAddress: "127.0.0.1:2"}})
	set.refresh(context.Background())
	for _, c := range []struct {
		leaving bool
		homes   int
	}{{false, 2}, {true, 1}, {false, 2}} {
		set.SetLeaving("127.0.0.1:2", c.leaving)
		if got := len(set.Usable()); got != c.homes {
			t.Errorf("leaving %v: %d homes, want %d", c.leaving, got, c.homes)
		}
		if got := len(set.Live()); got != 2 {
			t.Errorf("leaving %v: %d live, want 2", c.leaving, got)
		}
	}
}

// Guards against an announcement that does not reach a peer before it returns, or that a stopped peer
// delays.
func TestAnnounceReachesPeers(t *testing.T) {
	received := make(chan *peerpb.Digest, 1)
	address := serveGossip(t, received)
	stopped, stop := startServer(t, "127.0.0.1:0", nil)
	stop()
	set := newTestSet(t, fixedList{{PeerAddress: stopped}, {PeerAddress: address}})
	set.cfg.Digest = func() *peerpb.Digest { return &peerpb.Digest{Leaving: true} }
	set.refresh(context.Background())
	set.Announce(context.Background())
	select {
	case digest := <-received:
		if !digest.GetLeaving() {
			t.Errorf("digest %v, want one that announces the drain", digest)
		}
	default:
		t.Error("Announce returned before the peer received the digest")
	}
}

// gossipRecorder sends the digests that it receives to a channel.
type gossipRecorder struct {
	testHandler
	received chan<- *peerpb.Digest
}

func (r gossipRecorder) Gossip(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	r.received <- in
	return &peerpb.Digest{}, nil
}

func serveGossip(t *testing.T, received chan<- *peerpb.Digest) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(ServerConfig{Config: gossipRecorder{received: received}, Quota: testHandler{}, Log: quietLog()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String()
}

// Guards against gossip that grows with the number of instances.
func TestSetSamplesLargeSets(t *testing.T) {
	for size, want := range map[int]int{16: 16, 17: 4, 255: 4, 256: 2, 2100: 2} {
		list := make(fixedList, size)
		for i := range list {
			list[i].PeerAddress = fmt.Sprintf("127.0.0.1:%d", 10+i)
		}
		set := newTestSet(t, list)
		set.refresh(context.Background())
		if got := len(set.nextPeers()); got != want {
			t.Errorf("%d peers: %d contacted per period, want %d", size, got, want)
		}
		if size > 16 {
			checkMajorityEstimate(t, set)
		}
	}
}

// checkMajorityEstimate checks MajorityReachable of a large set while all calls succeed, fail and succeed
// again.
func checkMajorityEstimate(t *testing.T, set *Set) {
	t.Helper()
	for _, err := range []error{nil, io.EOF, nil} {
		for i := range 5 * 3 {
			set.recordResult(fmt.Sprintf("127.0.0.1:%d", 10+i), err)
		}
		if got, want := set.MajorityReachable(), err == nil; got != want {
			t.Errorf("majority reachable = %v after 15 calls with error %v, want %v", got, err, want)
		}
	}
}

// Guards against peers that count as lost for as many periods as it takes to contact all, after a partition has healed. Load: 72
// instances, 25 of which were parted from this one.
func TestHealedPeersAreContactedSoon(t *testing.T) {
	const size, parted = 71, 25
	for _, c := range []struct {
		name       string
		heard      bool // the peers have called this instance since
		maxPeriods int
	}{{"silent", false, parted / retriesPerPeriod}, {"calling", true, 2}} {
		list := make(fixedList, size)
		for i := range list {
			list[i].PeerAddress = fmt.Sprintf("127.0.0.1:%d", 10+i)
		}
		set := newTestSet(t, list)
		set.refresh(context.Background())
		for i, instance := range list {
			set.begin(set.peers[instance.PeerAddress])
			set.recordResult(instance.PeerAddress, map[bool]error{true: io.EOF}[i < parted])
		}
		before := set.ReachedFraction()
		const healed = "127.0.0.1:20"
		if c.heard {
			set.Heard(healed)
		}
		periods := 0
		for asked := false; !asked; periods++ {
			for _, address := range set.nextRetries() {
				asked = asked || address == healed
				set.recordReach(address, io.EOF)
			}
		}
		if periods > c.maxPeriods+1 {
			t.Errorf("%s peer is contacted after %d periods, want at most %d", c.name, periods, c.maxPeriods+1)
		}
		if after := set.ReachedFraction(); after != before {
			t.Errorf("calls to lost peers change the estimate of the reached instances from %v to %v", before, after)
		}
	}
}

// Guards against keys that move between the remaining instances when another one leaves.
func TestRendezvousMovesOnlyKeysOfRemovedName(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for i := range 5000 {
		key := fmt.Sprint(i)
		before := Rendezvous(key, names)
		counts[before]++
		if after := Rendezvous(key, names[1:]); before != "a" && after != before {
			t.Fatalf("key %s moved from %s to %s", key, before, after)
		}
	}
	for name, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 5000 keys, want about 1000", name, n)
		}
	}
}

// Guards against a Version that stays the same when a peer fails, drains or is listed, so that its users
// keep instances that are not live or usable, and against one that changes with each first answer, for which the choices
// among all instances would be made anew.
func TestVersionFollowsPeers(t *testing.T) {
	list := fixedList{{PeerAddress: "127.0.0.1:3"}, {PeerAddress: "127.0.0.1:2"}}
	set := newTestSet(t, list)
	last := set.Version()
	for _, step := range []struct {
		name    string
		do      func()
		changes bool
	}{
		{"the first list", func() { set.refresh(context.Background()) }, true},
		{"the same list", func() { set.refresh(context.Background()) }, false},
		{"a drain", func() { set.SetLeaving("127.0.0.1:2", true) }, true},
		{"the same drain", func() { set.SetLeaving("127.0.0.1:2", true) }, false},
		{"a first answer of a peer that counted as live", func() { set.recordResult("127.0.0.1:3", nil) }, false},
		{"a further answer", func() { set.recordResult("127.0.0.1:3", nil) }, false},
		{"a failure", func() { set.recordResult("127.0.0.1:3", context.DeadlineExceeded) }, true},
		{"a further failure", func() { set.recordResult("127.0.0.1:3", context.DeadlineExceeded) }, false},
		{"an answer after a failure", func() { set.recordResult("127.0.0.1:3", nil) }, true},
		{"a first failure", func() { set.recordResult("127.0.0.1:2", context.DeadlineExceeded) }, true},
		{"another list", func() {
			set.cfg.List = fixedList{list[0], {PeerAddress: "127.0.0.1:2", Leaving: true}}
			set.refresh(context.Background())
		}, true},
	} {
		step.do()
		if changed := set.Version() != last; changed != step.changes {
			t.Errorf("%s: version changed %t, want %t", step.name, changed, step.changes)
		}
		last = set.Version()
	}
}

// Guards against a choice that ignores the weights, that moves keys which did not belong to a removed name, or that
// depends on the order of the names; and against one of unknown weights that differs from the unweighted one.
func TestWeightedRendezvousFollowsTheWeights(t *testing.T) {
	weights := map[string]float64{"a": 0.2, "b": 0.2, "c": 0.4, "d": 0.8}
	weight := func(name string) float64 { return weights[name] }
	names := []string{"a", "b", "c", "d"}
	const keys = 20_000
	chosen := map[string]float64{}
	for i := range keys {
		key := fmt.Sprint("server-", i)
		name := WeightedRendezvous(key, names, weight)
		chosen[name] += 1.0 / keys
		if other := WeightedRendezvous(key, []string{"d", "b", "a", "c"}, weight); other != name {
			t.Fatalf("%s: %q or %q, depending on the order", key, name, other)
		}
		if after := WeightedRendezvous(key, names[1:], weight); name != "a" && after != name {
			t.Fatalf("%s moved from %q to %q after the removal of a", key, name, after)
		}
		unknown := func(name string) float64 { return weights[name] - weights["a"] }
		if got := WeightedRendezvous(key, names, unknown); got != Rendezvous(key, names) {
			t.Fatalf("%s: %q with an unknown weight, want the unweighted choice", key, got)
		}
	}
	for name, w := range weights {
		want := w / 1.6
		if math.Abs(chosen[name]-want) > 0.02 {
			t.Errorf("%q got %.3f of the keys, want %.3f", name, chosen[name], want)
		}
	}
}

// Guards against an instance of a partition that takes itself for the whole deployment, or that reaches somebody before it has read
// the list, and against a deployment that counts as cut off until every instance has called every other.
func TestColdServerReachOfTheList(t *testing.T) {
	for _, size := range []int{8, 70} {
		list := make(fixedList, size)
		for i := range list {
			list[i].PeerAddress = fmt.Sprintf("127.0.0.1:%d", 10+i)
		}
		set := newTestSet(t, list)
		if f := set.ReachedFraction(); f != 0 {
			t.Errorf("%d peers: fraction %v before the list was read, want 0", size, f)
		}
		set.refresh(context.Background())
		alone := 1 / float64(size+1)
		if f := set.ReachedFraction(); f != alone {
			t.Errorf("%d peers: fraction %v before any call, want %v", size, f, alone)
		}
		for i := range maxRecentResults {
			set.recordResult(list[i%size].PeerAddress, nil)
		}
		if f := set.ReachedFraction(); f != 1 {
			t.Errorf("%d peers: fraction %v after calls that were all answered, want 1", size, f)
		}
		for i := range maxRecentResults {
			set.recordResult(list[i%size].PeerAddress, io.EOF)
		}
		if f := set.ReachedFraction(); f > 1.0/8 {
			t.Errorf("%d peers: fraction %v after calls that all failed, want at most that of a few", size, f)
		}
	}
}

// Guards against instances that choose different relays because their lists are in another order, and against a caller that
// sorts its candidates by sorting the result.
func TestRendezvousTopIsOrdered(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for n := range len(names) + 2 {
		listed := slices.Clone(names)
		top := RendezvousTop("k", listed, n)
		left := slices.Clone(names)
		for _, name := range top {
			if best := Rendezvous("k", left); name != best {
				t.Errorf("top %d is %v, want %s next", n, top, best)
			}
			left = slices.DeleteFunc(left, func(other string) bool { return other == name })
		}
		if len(top) != min(n, len(names)) {
			t.Errorf("top %d has %d names", n, len(top))
		}
		slices.Sort(top)
		if !slices.Equal(listed, names) {
			t.Errorf("the candidates of the top %d were modified", n)
		}
	}
}
