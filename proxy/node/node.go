package node

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway/lendpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// listPeriod is how often the set of peers takes the list of instances that was read last.
	listPeriod = 200 * time.Millisecond
	// gatherTime is how long a new instance waits before it reads the list of instances, because others that start
	// with it enter themselves meanwhile. One that has started anew is in the list already.
	gatherTime = 700 * time.Millisecond
	// readyPeriod is how often the reason for not being ready is looked at.
	readyPeriod = 100 * time.Millisecond
	// lendConnsKept bounds the idle connections to one lender, each of which carries one statement at a time, and
	// lendConnExpiry closes them. An idle connection costs some 20 KB at both ends.
	lendConnsKept  = 8
	lendConnExpiry = 6 * time.Second
)

// Node is one instance. Use New, then Run.
type Node struct {
	settings Settings // as at the start
	live     atomic.Pointer[Settings]
	log      logrus.FieldLogger
	metrics  *telemetry.Metrics

	callers, ready, peerPort, metricsPort net.Listener

	store     *platform.Store
	directory *directory
	gateway   *gateway.Gateway
	quota     *quota.Driver
	peers     *peer.Set
	calls     *peer.Client
	lendCalls *peer.Client
	lenders   *lenders
	server    *peer.Server
	servers   *registry
	instances *instanceList
	relays    *relays
	outage    outage
	failover  *promotions

	stopping   atomic.Bool
	haveServer atomic.Bool
}

// New checks the settings, listens and assembles the instance.
func New(settings Settings, log logrus.FieldLogger) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	n := &Node{settings: settings, log: log.WithField("instance", settings.Instance), metrics: telemetry.New()}
	n.live.Store(&settings)
	for _, step := range []func() error{n.listen, n.openStore, n.assemblePeers, n.assembleGateway} {
		if err := step(); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		to      *net.Listener
		address string
		setting string
	}{
		{&n.callers, n.settings.Listen.Callers, "listen.callers"},
		{&n.ready, n.settings.Listen.Ready, "listen.ready"},
		{&n.peerPort, n.settings.Listen.Peers, "listen.peers"},
		{&n.metricsPort, n.settings.Listen.Metrics, "listen.metrics"},
	} {
		if l.address == "" {
			continue // no metrics
		}
		listener, err := tcp.ListenConfig(tcp.CallTimeout).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "%s: can't listen; choose an address of this machine that is free", l.setting)
		}
		*l.to = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.ready, n.peerPort, n.metricsPort} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Node) openStore() error {
	dial := tcp.Dialer(tcp.CallTimeout).DialContext
	n.store = platform.NewStore(n.settings.Store, dial)
	n.instances = newInstanceList(n.store)
	n.directory = &directory{
		log: n.log, now: boottime.Now,
		bounds:  func() Bounds { return n.live.Load().Bounds },
		adopted: func(s *catalog.Snapshot) { n.quota.SetAccounts(s.Accounts()) },
	}
	return nil
}

func (n *Node) assemblePeers() error {
	n.calls = peer.NewClient(peer.ClientConfig{})
	n.lendCalls = peer.NewClient(peer.ClientConfig{KeptPerPeer: lendConnsKept, IdleExpiry: lendConnExpiry})
	h := heartbeat{n}
	set, err := peer.NewSet(peer.SetConfig{
		Self:    n.settings.Listen.Peers,
		List:    n.instances,
		Client:  n.calls,
		Config:  h,
		Digest:  h.digest,
		Refresh: listPeriod,
		Rand:    rand.New(rand.NewSource(rand.Int63())),
		Log:     n.log,
	})
	if err != nil {
		return err
	}
	n.peers = set
	n.relays = newRelays(n, boottime.Now, platform.ConfigKind, platform.ServersKind, quotaKind, instancesKind)
	n.lenders = &lenders{peers: set, self: n.settings.Listen.Peers, place: n.settings.Place}
	n.quota, err = quota.New(quota.Config{
		Self:  n.settings.Listen.Peers,
		Store: n.store,
		Peers: set,
		Calls: n.calls,
		Rand:  rand.New(rand.NewSource(rand.Int63())),
		Log:   n.log,

		Tolerance:  n.settings.Quota.tolerance(),
		Assignment: &quota.AssignmentConfig{Live: set.Live},
	})
	if err != nil {
		return err
	}
	promoter := platform.NewPromoter(n.settings.Promotion, n.settings.Instance, tcp.Dialer(tcp.CallTimeout).DialContext)
	n.failover = newPromotions(n, promoter)
	n.server, err = peer.NewServer(peer.ServerConfig{Config: h, Quota: n.quota, Judge: n.failover, Log: n.log})
	return err
}

func (n *Node) assembleGateway() error {
	n.gateway = gateway.New(gateway.Config{
		Here:        placement.Locality{Region: n.settings.Place.Region, FailureDomain: n.settings.Place.FailureDomain},
		Directory:   n.directory,
		Quota:       n.quota,
		Dial:        tcp.Dialer(tcp.CallTimeout).DialContext,
		CallerCodec: func(c net.Conn) gateway.CallerCodec { return platform.NewCaller(c) },
		ServerCodec: func(c net.Conn) gateway.ServerCodec { return platform.NewServer(c) },
		ParseStatus: platform.ParseStatus,
		Lender:      n.lenders.choose,
		Conns:       n.lendCalls,
		Instances:   n.lenders.sharing,
		Now:         boottime.Now,
		Log:         gateway.NewJournal(n.log, n.metrics.Scope, boottime.Now),
	})
	n.gateway.OnSuspect(n.failover.suspect)
	if err := lendpb.DRPCRegisterLender(n.server.Mux(), n.gateway); err != nil {
		return errors.Wrap(err, "register the lender service")
	}
	if err := relaypb.DRPCRegisterRelay(n.server.Mux(), n.relays); err != nil {
		return errors.Wrap(err, "register the relay service")
	}
	n.servers = &registry{log: n.log, regions: n.settings.Regions, publish: n.gateway.SetServers}
	return nil
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	n.start(background, &tasks)
	event(n.log, EventStarted).WithFields(logrus.Fields{
		"callers": n.settings.Listen.Callers, "peers": n.settings.Listen.Peers, "store": n.settings.Store,
	}).Info("instance has started")
	<-ctx.Done()
	n.shutdown(background)
	return nil
}

func (n *Node) start(ctx context.Context, tasks *sync.WaitGroup) {
	joined := make(chan struct{})
	tasks.Go(func() {
		n.register(ctx)
		n.instanceFollower(joined).run(ctx)
	})
	for _, f := range []*follower{n.configFollower(), n.serverFollower(), n.quotaFollower()} {
		tasks.Go(func() {
			wait.Change(ctx, joined, joinTimeout) // so that a relay can be asked in place of the store
			f.run(ctx)
		})
	}
	tasks.Go(func() { n.peers.Run(ctx) })
	tasks.Go(func() { n.quota.Run(ctx) })
	tasks.Go(func() { n.gateway.Maintain(ctx) })
	tasks.Go(func() { n.failover.run(ctx) })
	tasks.Go(func() { (&rosterKeeper{node: n}).run(ctx) })
	tasks.Go(func() { n.reportEnd("peers", n.server.Serve(ctx, n.peerPort)) })
	tasks.Go(func() { n.reportEnd("readiness", telemetry.Serve(ctx, n.ready, n.readyHandler())) })
	tasks.Go(func() { n.watchReadiness(ctx) })
	if n.metricsPort != nil {
		tasks.Go(func() {
			n.reportEnd("metrics", telemetry.Serve(ctx, n.metricsPort, n.metrics.Handler(n.notReady, nil)))
		})
	}
	go n.gateway.Serve(n.callers) // ends with the listener
}

func (n *Node) reportEnd(what string, err error) {
	if err != nil && !n.stopping.Load() {
		event(n.log, EventListenerEnded).WithError(err).Error("listener for " + what + " ended; restart the instance")
	}
}

// register writes the entry of this instance until the store has taken it.
func (n *Node) register(ctx context.Context) {
	entry := objectstore.Instance{
		ID: n.settings.Instance, PeerAddress: n.settings.Listen.Peers,
		Region: n.settings.Place.Region, FailureDomain: n.settings.Place.FailureDomain,
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		created, err := n.instances.register(call, entry)
		cancel()
		if err == nil && created {
			wait.For(ctx, gatherTime)
		}
		if err == nil {
			return
		}
		event(n.log, EventRegisterFailed).WithError(err).Warn("entry of this instance was not written; it is tried again")
		wait.For(ctx, retryMin+time.Duration(rand.Int63n(int64(retryMax))))
	}
}

// notReady tells why no callers should be sent here, or nil.
func (n *Node) notReady() error {
	switch {
	case n.stopping.Load():
		return errors.New("the instance is stopping")
	case n.directory.Current() == nil:
		return errors.New("no configuration is in force; see whether the store answers")
	case !n.haveServer.Load():
		return errors.New("the registered servers are not known; see whether the store answers")
	case !n.directory.Fresh():
		return errors.New("the store does not answer, so keys can't be trusted")
	}
	return n.quota.Ready()
}

func (n *Node) readyHandler() http.Handler {
	return platform.ReadyHandler(n.notReady)
}

// watchReadiness logs changes of readiness, and sends callers away that this instance can't serve.
func (n *Node) watchReadiness(ctx context.Context) {
	was := errors.New("the instance is starting")
	wait.Every(ctx, readyPeriod, func() {
		now := n.notReady()
		if (now == nil) == (was == nil) {
			return
		}
		was = now
		if now == nil {
			event(n.log, EventReady).Info("ready for callers")
			return
		}
		event(n.log, EventNotReady).WithError(now).Warn("not ready for callers")
		if !n.stopping.Load() {
			n.gateway.EndIdle()
		}
	})
}
