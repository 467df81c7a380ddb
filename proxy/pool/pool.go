// Package pool manages the connections to the servers of all databases. Each server has one fair queue
// that shares its execution slots and connections among client accounts.
package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/fairqueue"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// Defaults of Config.
const (
	DefaultConnectTimeout = 2 * time.Second
	DefaultCheckAfter     = time.Second
	DefaultCheckTimeout   = time.Second
	DefaultStallTimeout   = 2 * time.Second
	// DefaultResponseGrace covers two retransmissions of a lost packet.
	DefaultResponseGrace         = time.Second
	DefaultMaxConcurrentConnects = 2
	DefaultQueuePerAccount       = 256
)

// Config configures a Pool. Zero values are replaced by the defaults.
type Config struct {
	User     string // the proxy's credentials for the upstream
	Password string

	ConnectTimeout        time.Duration // for opening one connection
	CheckAfter            time.Duration // idle time after which a connection is checked before use
	CheckTimeout          time.Duration // for that check, which fails on a silent path
	StallTimeout          time.Duration // time without progress after which the server is asked whether it executes the statement
	ResponseGrace         time.Duration // time for bytes to arrive after the server has reported that it executes nothing
	MaxConcurrentConnects int           // connections being opened to one server at the same time
	QueuePerAccount       int           // maximum of one account's statements that wait for one server
	// CommonQueue makes all accounts share one FIFO queue per server, as a baseline for comparison.
	// QueuePerAccount then bounds that queue.
	CommonQueue bool

	// ReadIncarnation reads the incarnation of the server over a new connection.
	ReadIncarnation func(ctx context.Context, c *pgconn.PgConn) (uint64, error)
	// Executing asks a server over a new connection which of the sessions execute a statement. If nil,
	// a silent connection is closed only by the statement timeout.
	Executing func(ctx context.Context, address string, sessions []dbgroup.Session) (map[dbgroup.Session]bool, error)
	// Terminate ends the sessions of silent connections on the server, over a new connection.
	Terminate func(ctx context.Context, address string, sessions []dbgroup.Session) error
	// OnSilent is called for each connection that is closed as silent. It must not block.
	OnSilent func(address string, pid uint32)
	// Dial opens a TCP connection. If nil, tcp.Dialer is used.
	Dial dialFunc
}

func (c Config) withDefaults() Config {
	setDefault(&c.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&c.CheckAfter, DefaultCheckAfter)
	setDefault(&c.CheckTimeout, DefaultCheckTimeout)
	setDefault(&c.StallTimeout, DefaultStallTimeout)
	setDefault(&c.ResponseGrace, DefaultResponseGrace)
	setDefault(&c.MaxConcurrentConnects, DefaultMaxConcurrentConnects)
	setDefault(&c.QueuePerAccount, DefaultQueuePerAccount)
	if c.Dial == nil {
		c.Dial = tcp.Dialer(tcp.DataTimeout).DialContext
	}
	return c
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// Pool implements engine.Pool for the servers that this instance connects to itself.
type Pool struct {
	cfg    Config
	origin time.Time
	// lastSilentAt is the time since origin at which the last silent connection was detected.
	lastSilentAt atomic.Int64

	mu      sync.Mutex
	servers map[authority.ServerID]*server
	closed  bool
}

// New returns a pool without servers.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg.withDefaults(),
		origin:  time.Now(),
		servers: make(map[authority.ServerID]*server),
	}
}

// SetServers replaces the servers and their limits. Idle connections to servers that were removed or
// have a new address are closed. Connections in use are closed after their statement or transaction.
func (p *Pool) SetServers(servers []manifest.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[authority.ServerID]*server, len(servers))
	for _, s := range servers {
		id := authority.ServerID(s.ID)
		if existing, ok := old[id]; ok && existing.address == s.Address {
			existing.resize(p.limits(s))
			p.servers[id] = existing
			delete(old, id)
			continue
		}
		p.servers[id] = newServer(p, s.Address, p.limits(s))
	}
	for _, removed := range old {
		removed.close()
	}
}

func (p *Pool) limits(s manifest.Server) fairqueue.Config {
	return fairqueue.Config{
		Slots:           s.Slots,
		Connections:     s.MaxConnections,
		QueuePerAccount: p.cfg.QueuePerAccount,
	}
}

// Acquire implements engine.Pool.
func (p *Pool) Acquire(ctx context.Context, r engine.AcquireRequest) (engine.Conn, error) {
	p.mu.Lock()
	s, ok := p.servers[r.Target.Server]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow,
			"this instance is stopping", "connect again to reach another instance")
	}
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.CodeConnectionFailure,
			"server "+string(r.Target.Server)+" is not part of the configuration in force",
			"retry; the statement is routed by the new configuration")
	}
	if p.cfg.CommonQueue {
		r.Account, r.Weight = "", 1
	}
	return s.acquire(ctx, r)
}

// ReleaseIdle closes the idle connections to servers for which keep returns false.
func (p *Pool) ReleaseIdle(keep func(authority.ServerID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		// keep may be expensive, so it is called only for servers with idle connections.
		if s.hasIdle() && !keep(id) {
			s.closeIdle()
		}
	}
}

// Close closes idle connections and refuses further requests.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		s.close()
	}
}

// now returns the monotonic time since the pool was created.
func (p *Pool) now() time.Duration {
	return time.Since(p.origin)
}
