package daemon

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

	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/burn"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/home"
	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/pool"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// forcedCloseDelay is the time after the drain timeout until a stop closes the remaining connections.
const forcedCloseDelay = 10 * time.Second

// deleteStatusTimeout bounds the deletion of the status object during a stop, so that a store outage does
// not delay the stop.
const deleteStatusTimeout = time.Second

// maxIdleConnsPerHome bounds the idle connections to a home instance. Each carries one checked-out server
// connection at a time, and servers have up to 50 connections.
const maxIdleConnsPerHome = 64

// Daemon is one running instance. It is created by New and started by Run.
type Daemon struct {
	cfg       Config
	log       logrus.FieldLogger
	listeners listeners

	metrics    *telemetry.Metrics
	store      *httpstore.Client
	directory  *directory.Directory
	groups     *groups
	pool       *pool.Pool
	homeClient *peer.Client
	homeServer *home.Server
	router     *home.Router
	locator    *locator
	peers      *peer.Set
	peerClient *peer.Client
	peerServer *peer.Server
	engine     *engine.Server
	quota      quotaService
	burn       *burn.Meter

	stopping atomic.Bool
	// stopDirectory stops the directory and waits until it has ended; set by startDirectory.
	stopDirectory func()
}

// New validates the settings, opens the listeners and creates the instance.
func New(cfg Config) (*Daemon, error) {
	cfg.setDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, log: cfg.Log.WithField("instance", cfg.InstanceID)}
	for _, step := range []func() error{
		d.listen, d.openStore, d.assembleDatabases, d.assemblePeers, d.assembleQuota, d.assembleEngine,
	} {
		if err := step(); err != nil {
			d.listeners.close()
			return nil, err
		}
	}
	return d, nil
}

// Addresses returns the addresses of the listeners for callers, peers and operators.
func (d *Daemon) Addresses() (callers, peers, ops string) {
	return d.listeners.callers.Addr().String(), d.peerAddress(), d.listeners.ops.Addr().String()
}

// peerAddress returns the peer address (IP:port), which identifies this instance to its peers.
func (d *Daemon) peerAddress() string {
	return d.listeners.peers.Addr().String()
}

// Run serves until ctx ends and then stops gracefully: requests in flight may finish.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	d.start(background, &tasks)
	event(d.log, EventStarted).WithFields(d.addressFields()).Info("instance serves callers")

	failed := make(chan error, 1)
	go func() { failed <- d.engine.Serve(background, d.listeners.callers) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "listener for callers ended")
	case <-ctx.Done():
	}
	return d.shutdown(background)
}

// start starts everything except the listener for callers.
func (d *Daemon) start(ctx context.Context, tasks *sync.WaitGroup) {
	d.startDirectory(ctx, tasks)
	tasks.Go(func() { d.reportHealth(ctx) })
	tasks.Go(func() { d.peers.Run(ctx) })
	tasks.Go(func() { d.locator.run(ctx) })
	tasks.Go(func() { d.pool.Run(ctx) })
	tasks.Go(func() { d.releaseIdle(ctx) })
	tasks.Go(func() { newPoolMetrics(d.metrics.Scope, d.pool.Usage).run(ctx) })
	tasks.Go(func() { d.quota.Run(ctx) })
	tasks.Go(func() { d.burn.Run(ctx) })
	tasks.Go(func() { newStallMonitor(d.metrics.Scope, d.log, d.engine.Stalled).run(ctx) })
	tasks.Go(func() { d.logListenerEnd("peer listener", d.peerServer.Serve(ctx, d.listeners.peers)) })
	tasks.Go(func() {
		handler := d.metrics.Handler(d.ready, map[string]http.Handler{"GET " + burn.Path: d.burn})
		d.logListenerEnd("operations listener", telemetry.Serve(ctx, d.listeners.ops, handler))
	})
	d.groups.start(ctx, tasks)
}

// startDirectory runs the directory until ctx ends or stopDirectory is called.
func (d *Daemon) startDirectory(ctx context.Context, tasks *sync.WaitGroup) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	tasks.Go(func() {
		defer close(ended)
		d.directory.Run(ctx)
	})
	d.stopDirectory = func() {
		stop()
		<-ended
	}
}

// deleteStatus deletes this instance's status object, so that it is not shown to operators as failed.
func (d *Daemon) deleteStatus(ctx context.Context) {
	d.stopDirectory()
	ctx, cancel := context.WithTimeout(ctx, deleteStatusTimeout)
	defer cancel()
	if err := d.directory.DeleteStatus(ctx); err != nil {
		event(d.log, EventStatusNotDeleted).WithError(err).Warn("failed to delete the status object; the status command shows the instance as not reporting until the object is deleted")
	}
}

func (d *Daemon) logListenerEnd(what string, err error) {
	if err != nil && !d.stopping.Load() {
		event(d.log, EventListenerEnded).WithError(err).Error(what + " ended; restart the instance")
	}
}

// shutdown drains callers, hands back this instance's quota, and then closes the rest.
func (d *Daemon) shutdown(ctx context.Context) error {
	d.stopping.Store(true)
	d.directory.ReportSoon()
	event(d.log, EventStopping).WithField("drain_timeout", d.cfg.DrainTimeout).Info("instance stops accepting callers and drains")
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout+forcedCloseDelay)
	defer cancel()
	err := d.drain(ctx)
	if err := d.quota.Drain(ctx); err != nil {
		event(d.log, EventHandBackFailed).WithError(err).Warn("failed to hand back quota; it becomes free again when its term ends")
	}
	d.deleteStatus(ctx)
	d.pool.Close()
	_ = d.homeClient.Close()
	_ = d.peerClient.Close()
	d.store.Close()
	_ = d.metrics.Close()
	event(d.log, EventStopped).Info("instance stopped")
	return err
}

// drain transfers the servers to their next homes and waits for the sessions of this instance and for
// the connections that it has lent to other instances. The peer listener stays open meanwhile.
func (d *Daemon) drain(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	homeDrained := make(chan error, 1)
	d.homeServer.Leave()
	d.locator.drain()
	tasks.Go(func() { d.peers.Announce(ctx) })
	tasks.Go(func() { homeDrained <- d.homeServer.Drain(ctx, d.cfg.DrainTimeout) })
	err := errors.Wrap(d.engine.Shutdown(ctx), "drain callers")
	return errors.CombineErrors(err, errors.Wrap(<-homeDrained, "drain connections lent to other instances"))
}

// ready returns the reason why a load balancer should not send callers here, or nil if it may.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return errors.New("instance is stopping")
	}
	if d.directory.Snapshot() == nil {
		return errors.New("no manifest is in force yet; see whether the store answers")
	}
	return d.quota.Ready()
}

func (d *Daemon) openStore() error {
	store, err := httpstore.New(httpstore.Config{BaseURL: d.cfg.StoreURL})
	d.store = store
	return errors.Wrap(err, "open the platform's store")
}

// assemblePeers creates the clients of other instances, the peer set and the router to home instances.
func (d *Daemon) assemblePeers() error {
	d.peerClient = peer.NewClient(peer.ClientConfig{TLS: d.cfg.PeerClient, Dial: d.cfg.Dial})
	d.homeClient = peer.NewClient(peer.ClientConfig{TLS: d.cfg.PeerClient, Dial: d.cfg.Dial, MaxIdleConnsPerPeer: maxIdleConnsPerHome, UserTimeout: tcp.DataTimeout})
	seed := rand.Int63()
	handler := &gossipHandler{daemon: d}
	set, err := peer.NewSet(peer.SetConfig{
		Self:     d.peerAddress(),
		List:     &observedList{InstanceList: httpstore.InstanceList{Store: d.store}, daemon: d},
		Client:   d.peerClient,
		Config:   handler,
		OnAnswer: handler.onAnswer,
		Now:      d.directory.Now,
		Digest:   handler.digest,
		Refresh:  d.cfg.ListPoll,
		Rand:     rand.New(rand.NewSource(seed)),
		Log:      d.log,
	})
	if err != nil {
		return err
	}
	d.peers = set
	d.locator = newLocator(set, d.peerAddress(), d.cfg.Region)
	d.router = &home.Router{Locator: d.locator, Local: d.pool, Remote: home.NewClient(d.homeClient)}
	d.groups.outstanding = d.router.Outstanding
	d.groups.survey = peerSurvey(&peer.Surveyor{Peers: set, Client: d.peerClient})
	return nil
}

func (d *Daemon) assembleEngine() error {
	server, err := peer.NewServer(peer.ServerConfig{
		Config: &gossipHandler{daemon: d},
		Quota:  d.quota,
		Judge:  judgeHandler{d.groups},
		TLS:    d.cfg.PeerServer,
		Log:    d.log,
	})
	if err != nil {
		return err
	}
	d.homeServer = home.NewServer(d.pool)
	d.homeServer.Ready = func() bool { return d.directory.Snapshot() != nil }
	if err := homepb.DRPCRegisterHomes(server.Mux(), d.homeServer); err != nil {
		return errors.Wrap(err, "register the homes service")
	}
	d.peerServer = server
	retries := newRetryBudgets()
	d.burn = burn.New(burn.Config{Instance: d.cfg.InstanceID, Objective: d.cfg.objective(), Scope: d.metrics.Scope})
	d.engine, err = engine.New(engine.Config{
		Directory:      d.directory,
		Pool:           d.router,
		Quota:          d.quota,
		Observer:       observers{newStatementMetrics(d.metrics.Scope, retries, d.cfg.OnStatement), d.burn, panicLog{d.log}},
		TLS:            d.cfg.TLS,
		AllowPlain:     d.cfg.AllowPlain,
		MaxMessageSize: d.cfg.MaxMessageBytes,
		MaxStartups:    d.cfg.MaxStartups,
		MaxHandshakes:  d.cfg.MaxHandshakes,
		DrainTimeout:   d.cfg.DrainTimeout,
		AllowRetry:     retries.allow,
	})
	return err
}

func (d *Daemon) addressFields() logrus.Fields {
	callers, peers, ops := d.Addresses()
	return logrus.Fields{"callers": callers, "peers": peers, "ops": ops}
}

// listeners are the listeners of an instance.
type listeners struct {
	callers, peers, ops net.Listener
}

func (l *listeners) close() {
	for _, each := range []net.Listener{l.callers, l.peers, l.ops} {
		if each != nil {
			_ = each.Close()
		}
	}
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		dst     *net.Listener
		preset  net.Listener
		address string
		setting string
	}{
		{&d.listeners.callers, d.cfg.Listener, d.cfg.Listen, "listen"},
		{&d.listeners.peers, d.cfg.PeerListener, d.cfg.PeerListen, "peer-listen"},
		{&d.listeners.ops, d.cfg.OpsListener, d.cfg.OpsListen, "ops-listen"},
	} {
		*l.dst = l.preset
		if l.preset != nil {
			continue
		}
		listener, err := tcp.ListenConfig(tcp.DataTimeout).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "--%s: can't listen; choose an address of this instance that is free", l.setting)
		}
		*l.dst = listener
	}
	return nil
}
