package engine

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// fakeDatabase is a group of one primary and its replicas.
type fakeDatabase struct {
	verify   func(context.Context) error // Verify of reads with VerifyLater
	mu       sync.Mutex
	primary  *fakeServer
	replicas []*fakeServer
	confirm  func(ctx context.Context) error // called by Confirm in majority mode
	readErr  error                           // returned once by Read
	reads    []ReadRequest
	term     uint64
	failures int
}

func (d *fakeDatabase) Read(_ context.Context, r ReadRequest) (Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads = append(d.reads, r)
	if err := d.readErr; err != nil {
		d.readErr = nil
		return Target{}, err
	}
	for _, s := range append(slices.Clone(d.replicas), d.primary) {
		if slices.Contains(r.Exclude, s.id) {
			continue
		}
		t := d.target(s)
		if r.VerifyLater {
			t.Verify = d.verify
		}
		return t, nil
	}
	return Target{}, outcome.New(outcome.NotRun, outcome.CodeCannotConnectNow, "no server", "try again")
}

func (d *fakeDatabase) target(s *fakeServer) Target {
	return Target{Server: s.id, Address: s.addr, Term: d.term, Primary: s == d.primary}
}

func (d *fakeDatabase) Primary(context.Context) (Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target(d.primary), nil
}

func (d *fakeDatabase) Confirm(ctx context.Context, t Target, mode manifest.Acknowledge) (position.Position, error) {
	d.mu.Lock()
	confirm := d.confirm
	d.mu.Unlock()
	if confirm != nil && mode == manifest.AcknowledgeMajority {
		if err := confirm(ctx); err != nil {
			return position.Position{}, err
		}
	}
	return position.Position{Term: t.Term, LSN: d.primary.lsn()}, nil
}

func (d *fakeDatabase) ReportFailure(Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures++
}

func (d *fakeDatabase) setConfirm(f func(context.Context) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirm = f
}

func (d *fakeDatabase) lastRead() ReadRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads[len(d.reads)-1]
}

// fakePool is a pool that keeps idle connections by address.
type fakePool struct {
	mu              sync.Mutex
	idle            map[string][]*fakeConn
	dials           int
	dropped         int
	inUse           int
	endedStatements int // calls of EndStatement
	// deferredErr is called for each deferred connection; its error is returned by the connection's reads.
	deferredErr func() error
	requests    []AcquireRequest
	lendsConns  bool // return connections that implement LentConn
}

// lentConn is a connection lent by another instance.
type lentConn struct{ *fakeConn }

func (lentConn) Waited() time.Duration { return time.Hour }

type fakeConn struct {
	net.Conn
	pool     *fakePool
	addr     string
	pid      uint32
	frontend *pgproto3.Frontend
}

func (p *fakePool) Acquire(ctx context.Context, r AcquireRequest) (Conn, error) {
	c, err := p.acquire(ctx, r)
	if err == nil && p.lendsConns {
		return lentConn{c}, nil
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (p *fakePool) acquire(_ context.Context, r AcquireRequest) (*fakeConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
	p.requests = append(p.requests, r)
	if err := p.deferredError(r); err != nil {
		return &fakeConn{discardConn{}, p, r.Target.Address, 0, pgproto3.NewFrontend(failingReader{err}, io.Discard)}, nil
	}
	if free := p.idle[r.Target.Address]; len(free) > 0 {
		p.idle[r.Target.Address] = free[:len(free)-1]
		return free[len(free)-1], nil
	}
	c, err := net.Dial("tcp", r.Target.Address)
	if err != nil {
		p.inUse--
		return nil, outcome.New(outcome.NotRun, outcome.CodeConnectionFailure, err.Error(), "try again")
	}
	p.dials++
	f := pgproto3.NewFrontend(c, c)
	m, err := f.Receive() // the fake server sends its key first
	if err != nil {
		p.inUse--
		return nil, outcome.New(outcome.NotRun, outcome.CodeConnectionFailure, err.Error(), "try again")
	}
	return &fakeConn{c, p, r.Target.Address, m.(*pgproto3.BackendKeyData).ProcessID, f}, nil
}

func (p *fakePool) deferredError(r AcquireRequest) error {
	if p.deferredErr == nil || !r.Deferred {
		return nil
	}
	return p.deferredErr()
}

// failingReader is the reader of a connection that was not granted.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// discardConn is a connection without a peer.
type discardConn struct{ net.Conn }

func (discardConn) SetDeadline(time.Time) error { return nil }

func (discardConn) Close() error { return nil }

func (c *fakeConn) Frontend() *pgproto3.Frontend { return c.frontend }

func (c *fakeConn) Cancel(context.Context) error {
	cancelFake(c.addr, c.pid)
	return nil
}

func (c *fakeConn) EndStatement() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.endedStatements++
}

func (c *fakeConn) BeginStatement(context.Context, time.Duration) error { return nil }

func (c *fakeConn) Release(reuse bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.inUse--
	if reuse {
		c.pool.idle[c.addr] = append(c.pool.idle[c.addr], c)
		return
	}
	c.pool.dropped++
	_ = c.Close()
}

func (p *fakePool) lastRequest() AcquireRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.requests) == 0 {
		return AcquireRequest{}
	}
	return p.requests[len(p.requests)-1]
}

func (p *fakePool) counts() (dials, dropped, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.dropped, p.inUse
}

type fakeQuota struct{ refuse func() error }

func (q *fakeQuota) Admit(context.Context, string) error {
	if q.refuse == nil {
		return nil
	}
	return q.refuse()
}

// fakeDirectory knows the account "depot" with the key "secret".
type fakeDirectory struct {
	db        *fakeDatabase
	mu        sync.Mutex
	route     manifest.Route
	weight    int
	withdrawn chan struct{}
}

func (d *fakeDirectory) NeedsKey(route string) (bool, error) {
	if route != d.route.Name {
		return false, outcome.New(outcome.Denied, outcome.CodeUndefinedDatabase, "unknown route", "use a route of the manifest")
	}
	return !d.route.Open, nil
}

func (d *fakeDirectory) Authenticate(_, account, key string) (Login, error) {
	if !d.route.Open && (account != "depot" || key != "secret") {
		return Login{}, outcome.New(outcome.Denied, outcome.CodeInvalidPassword, "wrong key", "use a valid key")
	}
	return Login{Route: d.route, Account: manifest.Account{Name: account}, Withdrawn: d.withdrawn}, nil
}

func (d *fakeDirectory) Check(Login) error { return nil }

func (d *fakeDirectory) Refresh(l *Login) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.Route, l.Account.Weight = d.route, d.weight
}

// change changes the settings for later statements.
func (d *fakeDirectory) change(f func(route *manifest.Route, weight *int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.route, &d.weight)
}

func (d *fakeDirectory) Database(string) (Database, error) { return d.db, nil }

// recorder is an Observer that records its events.
type recorder struct {
	mu         sync.Mutex
	statements []Statement
	closed     chan error
	refused    chan error
}

func (r *recorder) StartupRefused(_ string, err error) { r.refused <- err }

func (*recorder) SessionOpened(Session) {}

func (r *recorder) SessionClosed(_ Session, err error) { r.closed <- err }

func (r *recorder) StatementDone(s Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, s)
}

func (r *recorder) last() Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statements[len(r.statements)-1]
}

// rig is a test setup of an engine between clients and fake servers.
type rig struct {
	t       testing.TB
	srv     *Server
	addr    string
	db      *fakeDatabase
	primary *fakeServer
	replica *fakeServer
	pool    *fakePool
	quota   *fakeQuota
	dir     *fakeDirectory
	rec     *recorder
}

func newRig(t testing.TB, change ...func(*Config, *manifest.Route)) *rig {
	t.Helper()
	r := &rig{t: t, primary: startFake(t, "p"), replica: startFake(t, "r")}
	r.replica.readOnly.Store(true)
	r.db = &fakeDatabase{primary: r.primary, replicas: []*fakeServer{r.replica}, term: 1}
	r.pool = &fakePool{idle: make(map[string][]*fakeConn)}
	r.quota = &fakeQuota{}
	r.rec = &recorder{closed: make(chan error, 10_000), refused: make(chan error, 100)}
	r.dir = &fakeDirectory{db: r.db, withdrawn: make(chan struct{})}
	r.dir.route = manifest.Route{Name: "orders", Database: "bookings",
		Acknowledge: manifest.AcknowledgeMajority, SessionScope: manifest.ScopeAny,
		ReadWait: manifest.Duration(time.Second), StatementTimeout: manifest.Duration(10 * time.Second),
		ConfirmTimeout: manifest.Duration(10 * time.Second), QueueTimeout: manifest.Duration(10 * time.Second)}
	cfg := Config{Directory: r.dir, Pool: r.pool, Quota: r.quota, Observer: r.rec, AllowPlain: true}
	for _, f := range change {
		f(&cfg, &r.dir.route)
	}
	srv, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.srv = srv
	r.listen()
	return r
}

func (r *rig) listen() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- r.srv.Serve(context.Background(), ln) }()
	r.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.srv.Shutdown(ctx)
		if err := <-served; err != nil {
			r.t.Errorf("Serve returned %v", err)
		}
	})
}
