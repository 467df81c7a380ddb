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
	// peerRefreshInterval is how often the peer set is updated from the list of instances read last.
	peerRefreshInterval = 200 * time.Millisecond
	// joinDelay is how long a new instance that knows no relay waits before it reads the list of instances, so that others
	// which start at the same time can register. A restarted instance is in the list already and does not wait.
	joinDelay = 700 * time.Millisecond
	// entriesCurrentAge is the age from which the entries of servers may lack that one has started again. Their watch confirms
	// them every 2 s.
	entriesCurrentAge = 3 * time.Second
	// readinessInterval is how often readiness is checked.
	readinessInterval = 100 * time.Millisecond
	// maxIdleLendConns bounds the idle connections to one lender, each of which carries one statement at a time.
	// lendConnIdleTimeout closes them, because an idle connection costs some 20 KB at both ends.
	maxIdleLendConns    = 8
	lendConnIdleTimeout = 6 * time.Second
	// lendDialTimeout is how long a lender's machine has to accept a connection before another lender is asked. A machine that
	// is off or cut off doesn't answer, and a statement would spend all its time on it.
	lendDialTimeout = 300 * time.Millisecond
)

// Node is an instance. Call New, then Run.
type Node struct {
	settings     Settings // as read at the start
	liveSettings atomic.Pointer[Settings]
	log          logrus.FieldLogger
	metrics      *telemetry.Metrics
	storeMetrics storeMetrics

	callerListener, readyListener, peerListener, metricsListener net.Listener

	eras       *objectstore.Eras
	store      *platform.Store
	directory  *directory
	gateway    *gateway.Gateway
	quota      *quota.Driver
	peers      *peer.Set
	peerClient *peer.Client
	lendClient *peer.Client
	// relayClient calls the relays that this instance follows.
	relayClient *peer.Client
	lenders     *lenderSelector
	peerServer  *peer.Server
	servers     *serverRegistry
	instances   *instanceList
	relays      *relayService
	outage      outage
	failover    *promotionController
	// evacuations is nil in deployments without evacuations.
	evacuations *evacuations

	leases leaderLeases

	stopping      atomic.Bool
	serversLoaded atomic.Bool
	leasesHeld    atomic.Bool
	serversKnown  serverFreshness
}

// New validates the settings, opens the listeners and assembles the instance.
func New(settings Settings, log logrus.FieldLogger) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	n := newUnassembled(settings, log)
	for _, step := range []func() error{n.listen, n.openStore, n.assemblePeers, n.assembleGateway} {
		if err := step(); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	return n, nil
}

// newUnassembled returns an instance without listeners and parts.
func newUnassembled(settings Settings, log logrus.FieldLogger) *Node {
	n := &Node{settings: settings, log: log.WithField("instance", settings.Instance), metrics: telemetry.New()}
	n.leases.adopted = map[string]adoption{}
	n.leases.inUse.set = make(chan struct{})
	n.storeMetrics = newStoreMetrics(n.metrics.Scope)
	n.liveSettings.Store(&settings)
	return n
}

func (n *Node) listen() error {
	for _, l := range []struct {
		to      *net.Listener
		address string
		setting string
	}{
		{&n.callerListener, n.settings.Listen.Callers, "listen.callers"},
		{&n.readyListener, n.settings.Listen.Ready, "listen.ready"},
		{&n.peerListener, n.settings.Listen.Peers, "listen.peers"},
		{&n.metricsListener, n.settings.Listen.Metrics, "listen.metrics"},
	} {
		if l.address == "" {
			continue // metrics are disabled
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
	for _, l := range []net.Listener{n.callerListener, n.readyListener, n.peerListener, n.metricsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Node) openStore() error {
	dial := tcp.Dialer(tcp.CallTimeout).DialContext
	n.eras = objectstore.NewEras(boottime.Now, n.eraChanged)
	n.store = platform.NewStore(n.settings.Store, dial, n.eras)
	n.instances = newInstanceList(n.store, boottime.Now)
	n.directory = &directory{
		known: make(chan struct{}), log: n.log, now: boottime.Now,
		bounds: func() Bounds { return n.liveSettings.Load().Bounds },
		onAdopt: func(s *catalog.Snapshot) {
			n.beginLeases(s)
			n.quota.SetAccounts(s.Accounts())
			n.reportUnknownHomes(s)
			n.gateway.ConfigurationChanged()
		},
	}
	return nil
}

func (n *Node) assemblePeers() error {
	meter := peer.NewMeter(n.metrics.Scope)
	n.peerClient = peer.NewClient(peer.ClientConfig{Meter: meter})
	n.lendClient = peer.NewClient(peer.ClientConfig{Meter: meter, MaxIdleConnsPerPeer: maxIdleLendConns, IdleTimeout: lendConnIdleTimeout, DialTimeout: lendDialTimeout})
	h := heartbeatHandler{n}
	set, err := peer.NewSet(peer.SetConfig{
		Self:    n.settings.Listen.Peers,
		List:    n.instances,
		Client:  n.peerClient,
		Config:  h,
		Digest:  h.digest,
		Refresh: peerRefreshInterval,
		Rand:    rand.New(rand.NewSource(rand.Int63())),
		Log:     n.log,
	})
	if err != nil {
		return err
	}
	relayDial := startDialer(boottime.Now, tcp.Dialer(tcp.CallTimeout).DialContext)
	n.relayClient = peer.NewClient(peer.ClientConfig{Meter: meter, IdleTimeout: lendConnIdleTimeout, Dial: relayDial})
	n.peers = set
	n.relays = newRelayService(n, boottime.Now, n.relayedKinds()...)
	n.lenders = &lenderSelector{peers: set, self: n.settings.Listen.Peers, locality: n.settings.Locality, processorShare: n.settings.Capacity.ProcessorShare}
	n.quota, err = quota.New(quota.Config{
		Self:        n.settings.Listen.Peers,
		Store:       n.store,
		Peers:       set,
		PeerClients: n.peerClient,
		Rand:        rand.New(rand.NewSource(rand.Int63())),
		Log:         n.log,

		Tolerance:  n.settings.Quota.tolerance(),
		Assignment: &quota.AssignmentConfig{Live: set.Live, Version: set.Version, Contact: set.Contact, StoreIsNew: n.settings.FirstStart},
	})
	if err != nil {
		return err
	}
	promoter := platform.NewPromoter(n.settings.Promotion, n.settings.Instance, tcp.Dialer(tcp.CallTimeout).DialContext)
	n.failover = newPromotionController(n, promoter)
	n.peerServer, err = peer.NewServer(peer.ServerConfig{Config: h, Quota: n.quota, Judge: n.failover, Meter: meter, Log: n.log})
	return err
}

func (n *Node) assembleGateway() error {
	n.gateway = gateway.New(gateway.Config{
		ReachedFraction: n.peers.ReachedFraction,
		EntriesCurrent:  func() bool { return n.serversKnown.age(boottime.Now()) < entriesCurrentAge },

		Local:        placement.Locality{Region: n.settings.Locality.Region, FailureDomain: n.settings.Locality.FailureDomain},
		Directory:    n.directory,
		Quota:        n.quota,
		Dial:         tcp.Dialer(tcp.CallTimeout).DialContext,
		CallerCodec:  func(c net.Conn) gateway.CallerCodec { return platform.NewCaller(c) },
		ServerCodec:  func(c net.Conn) gateway.ServerCodec { return platform.NewServer(c) },
		ParseStatus:  platform.ParseStatus,
		Lender:       n.lenders.choose,
		Conns:        n.lendClient,
		AskInstance:  n.askInstance,
		Instances:    n.lenders.holderCount,
		OneScheduler: n.lenders.oneScheduler,
		MayUseLeader: n.mayUsePrimary,
		Cold:         n.settings.Cold.tolerance(),
		Now:          boottime.Now,
		Log:          gateway.NewEventLog(n.log, n.metrics.Scope, boottime.Now),
	})
	n.gateway.OnSuspect(n.failover.suspect)
	if err := lendpb.DRPCRegisterLender(n.peerServer.Mux(), n.gateway); err != nil {
		return errors.Wrap(err, "register the lender service")
	}
	if err := relaypb.DRPCRegisterRelay(n.peerServer.Mux(), n.relays); err != nil {
		return errors.Wrap(err, "register the relay service")
	}
	n.servers = newServerRegistry(n.log, boottime.Now, n.settings.Regions, n.gateway.SetServers)
	n.assembleEvacuations()
	return nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	n.start(background, &tasks)
	event(n.log, EventStarted).WithFields(logrus.Fields{
		"callers": n.settings.Listen.Callers, "peers": n.settings.Listen.Peers, "store": n.settings.Store,
	}).Info("instance started")
	<-ctx.Done()
	n.shutdown(background)
	return nil
}

func (n *Node) start(ctx context.Context, tasks *sync.WaitGroup) {
	if n.settings.UnfencedPromotions {
		n.leases.inUse.trip()
	}
	joined := make(chan struct{})
	tasks.Go(func() {
		f := n.instanceFollower(joined)
		n.join(ctx, f)
		f.run(ctx)
	})
	tasks.Go(func() { n.confirmFirst(ctx) })
	for _, f := range []*follower{n.configFollower(), n.serverFollower(), n.quotaFollower()} {
		tasks.Go(func() {
			wait.UntilClosed(ctx, joined, joinTimeout) // so that it can use a relay instead of the store
			f.run(ctx)
		})
	}
	tasks.Go(func() {
		select {
		case <-n.leases.inUse.set:
		case <-ctx.Done():
			return
		}
		wait.UntilClosed(ctx, joined, joinTimeout)
		n.claimFollower().run(ctx)
	})
	n.startEvacuations(ctx, tasks, joined)
	tasks.Go(func() { n.peers.Run(ctx) })
	tasks.Go(func() { n.quota.Run(ctx) })
	tasks.Go(func() { n.gateway.Maintain(ctx) })
	tasks.Go(func() { n.failover.run(ctx) })
	tasks.Go(func() { (&rosterManager{node: n}).run(ctx) })
	tasks.Go(func() { n.logListenerEnd("peers", n.peerServer.Serve(ctx, n.peerListener)) })
	tasks.Go(func() { n.logListenerEnd("readiness", telemetry.Serve(ctx, n.readyListener, n.readyHandler())) })
	tasks.Go(func() { n.watchReadiness(ctx) })
	if n.metricsListener != nil {
		tasks.Go(func() {
			n.logListenerEnd("metrics", telemetry.Serve(ctx, n.metricsListener, n.metrics.Handler(n.notReady, nil)))
		})
	}
	go n.gateway.Serve(n.callerListener) // returns when the listener is closed
}

func (n *Node) logListenerEnd(what string, err error) {
	if err != nil && !n.stopping.Load() {
		event(n.log, EventListenerEnded).WithError(err).Error("listener for " + what + " ended; restart the instance")
	}
}

// entry returns the entry of this instance.
func (n *Node) entry() objectstore.Instance {
	return objectstore.Instance{
		ID: n.settings.Instance, PeerAddress: n.settings.Listen.Peers,
		Region: n.settings.Locality.Region, FailureDomain: n.settings.Locality.FailureDomain, Capacity: n.settings.Capacity,
	}
}

// register writes the entry of this instance, retries until the store accepts it, and reports whether it was created.
func (n *Node) register(ctx context.Context) (created bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		sentAt := boottime.Now()
		created, entered, err := n.instances.register(callCtx, n.entry())
		cancel()
		if err == nil {
			n.recordRegistration(sentAt, entered)
			return created
		}
		event(n.log, EventRegisterFailed).WithError(err).Warn("failed to write the entry of this instance; retrying")
		wait.For(ctx, retryMin+time.Duration(rand.Int63n(int64(retryMax))))
	}
	return false
}

// notReady returns the reason why the instance is not ready for callers, or nil if it is.
func (n *Node) notReady() error {
	switch {
	case n.stopping.Load():
		return errors.New("the instance is stopping")
	case n.directory.Current() == nil:
		return errors.New("no configuration is in force; see whether the store answers")
	case !n.serversLoaded.Load():
		return errors.New("the registered servers are not known; see whether the store answers")
	case !n.evacuationsKnown():
		return errors.New("the evacuated failure domains are not known; see whether the store answers")
	case !n.directory.Fresh():
		return errors.New("the store does not answer, so keys can't be trusted")
	case !n.hasHeldLeases():
		return errors.New("the claims of promotions are not known; see whether the store answers")
	}
	return n.quota.Ready()
}

func (n *Node) readyHandler() http.Handler {
	return platform.ReadyHandler(n.notReady)
}

// watchReadiness logs changes of readiness, and closes idle sessions when the instance can no longer serve them.
func (n *Node) watchReadiness(ctx context.Context) {
	previous := errors.New("the instance is starting")
	wait.Every(ctx, readinessInterval, func() {
		current := n.notReady()
		if (current == nil) == (previous == nil) {
			return
		}
		previous = current
		if current == nil {
			event(n.log, EventReady).Info("ready for callers")
			return
		}
		event(n.log, EventNotReady).WithError(current).Warn("not ready for callers")
		if !n.stopping.Load() {
			n.gateway.EndIdle()
		}
	})
}
