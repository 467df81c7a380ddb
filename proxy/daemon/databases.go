package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/group"
	"github.com/cyclamenstile/cyclamenstile/proxy/pool"
	"github.com/cyclamenstile/cyclamenstile/proxy/telemetry"
)

// groups runs one group.Group for every database of the manifest.
type groups struct {
	cfg     Config
	log     logrus.FieldLogger
	metrics *telemetry.Metrics
	// outstanding returns the number of connections to a server that this instance uses or waits for; it
	// is set before start.
	outstanding func(authority.ServerID) int
	// survey asks other instances about a primary; it is set before start.
	survey func(ctx context.Context, database string, server authority.ServerID, term uint64) (authority.PeerViews, bool)

	mu         sync.Mutex
	runCtx     context.Context // nil before start
	tasks      *sync.WaitGroup
	byDatabase map[string]*runningGroup
	pending    *manifest.Manifest // adopted before start
	adopted    bool               // a manifest has been applied since start
}

type runningGroup struct {
	group *group.Group
	stop  context.CancelFunc
}

func newGroups(cfg Config, log logrus.FieldLogger, m *telemetry.Metrics) *groups {
	return &groups{cfg: cfg, log: log, metrics: m, byDatabase: make(map[string]*runningGroup)}
}

// start runs the groups until ctx ends. A manifest that was adopted before is applied now.
func (g *groups) start(ctx context.Context, tasks *sync.WaitGroup) {
	g.mu.Lock()
	g.runCtx, g.tasks = ctx, tasks
	pending := g.pending
	g.pending = nil
	g.mu.Unlock()
	if pending != nil {
		g.applyManifest(*pending)
	}
}

// applyManifest adds, updates and stops groups to match the databases of an adopted manifest.
func (g *groups) applyManifest(m manifest.Manifest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runCtx == nil {
		g.pending = &m
		return
	}
	g.stopRemoved(m.Databases)
	for _, d := range m.Databases {
		coverPrimary := hasPrimaryAcknowledgement(m.Routes, d.Name)
		running, ok := g.byDatabase[d.Name]
		if ok && !running.group.MatchesServers(d.Servers) {
			running.stop()
			delete(g.byDatabase, d.Name)
			ok = false
		}
		if !ok {
			g.add(d, coverPrimary)
			continue
		}
		running.group.SetServers(g.runCtx, d.Servers)
		running.group.SetCoverPrimary(g.runCtx, coverPrimary)
	}
	g.adopted = true
}

// stopRemoved stops the groups of databases that the manifest no longer names.
func (g *groups) stopRemoved(databases []manifest.Database) {
	for name, running := range g.byDatabase {
		if !slices.ContainsFunc(databases, func(d manifest.Database) bool { return d.Name == name }) {
			running.stop()
			delete(g.byDatabase, name)
		}
	}
}

func (g *groups) add(d manifest.Database, coverPrimary bool) {
	group, err := group.New(group.Config{
		Database:      d.Name,
		Servers:       d.Servers,
		Instance:      g.cfg.InstanceID,
		Region:        g.cfg.Region,
		FailureDomain: g.cfg.FailureDomain,
		Connect:       g.connect,
		Logger:        g.log,
		Observer:      newGroupMetrics(g.metrics.Scope, d.Name),
		CoverPrimary:  coverPrimary,
		ManifestIsNew: g.adopted,
		Outstanding:   g.outstanding,
		Survey: func(ctx context.Context, server authority.ServerID, term uint64) (authority.PeerViews, bool) {
			return g.survey(ctx, d.Name, server, term)
		},
	})
	if err != nil {
		event(g.log, EventDatabaseSkipped).WithError(err).WithField("database", d.Name).
			Error("database is not served; correct it in the manifest")
		return
	}
	ctx, stop := context.WithCancel(g.runCtx)
	g.byDatabase[d.Name] = &runningGroup{group: group, stop: stop}
	g.tasks.Go(func() { _ = group.Run(ctx) })
}

func hasPrimaryAcknowledgement(routes []manifest.Route, database string) bool {
	return slices.ContainsFunc(routes, func(r manifest.Route) bool {
		return r.Database == database && r.Acknowledge == manifest.AcknowledgePrimary
	})
}

// connect returns the control adapters of a server for one group. Groups share no connection, so that
// stopping one does not interrupt a probe of another.
func (g *groups) connect(s manifest.Server) group.Adapter {
	client, err := g.cfg.control(authority.ServerID(s.ID), s.Address)
	if err != nil {
		return group.Adapter{Persistent: invalidServer{err}, Fresh: invalidServer{err}}
	}
	return group.Adapter{Persistent: client, Fresh: freshProber{client}, Close: client.Close}
}

// freshProber opens a new connection for each probe.
type freshProber struct{ *dbgroup.Client }

func (f freshProber) Probe(ctx context.Context) (authority.ServerState, error) {
	return f.ProbeFresh(ctx)
}

// invalidServer replaces the adapter of a server for which no client can be created. Every call returns
// the error.
type invalidServer struct{ err error }

func (s invalidServer) Probe(context.Context) (authority.ServerState, error) {
	return authority.ServerState{}, s.err
}

func (s invalidServer) Fence(context.Context, uint64, string) (authority.ServerState, error) {
	return authority.ServerState{}, s.err
}

func (s invalidServer) Promote(context.Context, uint64, string) (authority.ServerState, error) {
	return authority.ServerState{}, s.err
}

// database looks up a database by name. It implements directory.Config.Database.
func (g *groups) database(name string) (engine.Database, error) {
	d := namedDatabase{groups: g, name: name}
	if _, err := d.group(); err != nil {
		return nil, err
	}
	if g.cfg.Baseline.readsFromPrimaryOnly() {
		return primaryOnlyDatabase{d}, nil
	}
	return d, nil
}

// namedDatabase implements engine.Database. It looks the group up for each call, since sessions outlive a
// group that is replaced when a manifest changes the servers.
type namedDatabase struct {
	groups *groups
	name   string
}

// Read implements engine.Database.
func (d namedDatabase) Read(ctx context.Context, r engine.ReadRequest) (engine.Target, error) {
	g, err := d.group()
	if err != nil {
		return engine.Target{}, err
	}
	return g.Read(ctx, r)
}

// Primary implements engine.Database.
func (d namedDatabase) Primary(ctx context.Context) (engine.Target, error) {
	g, err := d.group()
	if err != nil {
		return engine.Target{}, err
	}
	return g.Primary(ctx)
}

// Confirm implements engine.Database.
func (d namedDatabase) Confirm(ctx context.Context, t engine.Target, mode manifest.Acknowledge) (position.Position, error) {
	g, err := d.group()
	if err != nil {
		return position.Position{}, err
	}
	return g.Confirm(ctx, t, mode)
}

// ReportFailure implements engine.Database.
func (d namedDatabase) ReportFailure(t engine.Target, err error) {
	if g, lookupErr := d.group(); lookupErr == nil {
		g.ReportFailure(t, err)
	}
}

func (d namedDatabase) group() (*group.Group, error) {
	d.groups.mu.Lock()
	defer d.groups.mu.Unlock()
	if running, ok := d.groups.byDatabase[d.name]; ok {
		return running.group, nil
	}
	return nil, outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
		"database "+d.name+" is not served by this instance yet", "retry; see whether the manifest names it")
}

// assembleDatabases creates the directory, the groups and the pool, which follow the manifest.
func (d *Daemon) assembleDatabases() error {
	d.metrics = telemetry.New()
	d.groups = newGroups(d.cfg, d.log, d.metrics)
	d.pool = pool.New(pool.Config{
		User:            d.cfg.UpstreamUser,
		Password:        d.cfg.UpstreamPassword,
		ReadIncarnation: readIncarnation,
		Dial:            d.cfg.Dial,
		Executing:       d.executing,
		Terminate:       d.terminate,
		OnSilent:        d.logSilentConnection,
		CommonQueue:     d.cfg.Baseline.sharesOneQueue(),
	})
	var err error
	d.directory, err = directory.New(directory.Config{
		Instance: d.cfg.InstanceID,
		MemberID: d.peerAddress(),
		Store:    d.store,
		Database: d.groups.database,
		OnAdopt:  d.adopt,
		Health:   d.health,
		Log:      d.log,
	})
	return err
}

// adopt applies an adopted manifest to all components.
func (d *Daemon) adopt(s *manifest.Snapshot, _ manifest.Withdrawals) {
	m := s.Manifest()
	var servers []manifest.Server
	for _, db := range m.Databases {
		servers = append(servers, db.Servers...)
	}
	d.pool.SetServers(servers)
	d.locator.setServers(servers)
	d.groups.applyManifest(m)
	d.quota.SetAccounts(m.Accounts)
}

// control returns a client for control connections, which don't count against the server's limit for
// client connections. The server ID may be empty if only its address is known.
func (c Config) control(server authority.ServerID, address string) (*dbgroup.Client, error) {
	return dbgroup.NewClient(dbgroup.Config{
		Server:   server,
		Address:  address,
		User:     c.UpstreamUser,
		Password: c.UpstreamPassword,
		Dial:     c.Dial,
	})
}

func (d *Daemon) executing(ctx context.Context, address string, sessions []dbgroup.Session) (map[dbgroup.Session]bool, error) {
	client, err := d.cfg.control("", address)
	if err != nil {
		return nil, err
	}
	return client.Executing(ctx, sessions)
}

func (d *Daemon) terminate(ctx context.Context, address string, sessions []dbgroup.Session) error {
	client, err := d.cfg.control("", address)
	if err != nil {
		return err
	}
	return client.Terminate(ctx, sessions)
}

func (d *Daemon) logSilentConnection(address string, pid uint32) {
	event(d.log, EventSilentConnection).WithField("address", address).WithField("pid", pid).
		Warn("connection to a server went silent and is closed; check whether the network drops connections")
}

// readIncarnation returns the incarnation of the server that a connection leads to.
func readIncarnation(ctx context.Context, c *pgconn.PgConn) (uint64, error) {
	state, err := dbgroup.ProbeOn(ctx, c)
	return state.Incarnation, err
}
