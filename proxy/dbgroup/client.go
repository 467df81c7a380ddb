package dbgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// ControlParameter is the start-up parameter that marks a connection as a control connection.
// A server gives it none of its client connections and runs only control functions on it.
const ControlParameter = "cyclamenstile.control"

// Errors of a Client, to be tested with errors.Is.
var (
	// ErrRefused: the server answered and did not do what was asked.
	ErrRefused = errors.New("the server refused the control call; probe it and compare its fence")
	// ErrNoListener: nothing listens on the server's address, which proves that its process ended.
	ErrNoListener = errors.New("no process listens on the server's address; start the server")
)

const (
	probeStatement   = "SELECT * FROM cyclamenstile.probe()"
	fenceStatement   = "SELECT * FROM cyclamenstile.fence($1, $2)"
	promoteStatement = "SELECT * FROM cyclamenstile.promote($1, $2)"
	// activityStatement reads PostgreSQL's own view of its sessions.
	activityStatement = "SELECT state, wait_event FROM pg_stat_activity WHERE pid = $1"
	// terminateStatement ends a session of the proxy's own role, which needs no further right.
	terminateStatement = "SELECT pg_terminate_backend($1)"
)

const (
	defaultDatabase = "postgres"
	closeTimeout    = time.Second
)

// Config tells how a Client reaches its server.
type Config struct {
	Server   authority.ServerID
	Address  string // IP:port
	User     string
	Password string // empty where the server trusts the caller
	Database string // defaults to "postgres"
	// Parameters are further start-up parameters.
	Parameters map[string]string
	// Dial opens the TCP connection; nil stands for tcp.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client implements Server over the PostgreSQL protocol. It keeps one idle connection and opens a
// further one when the kept connection is missing, broken or busy. It is safe for concurrent use.
type Client struct {
	cfg        Config
	connConfig *pgconn.Config

	mu     sync.Mutex
	idle   *controlConn
	closed bool
}

var _ Server = (*Client)(nil)

// NewClient returns a client of the server at c.Address. It does not connect yet.
func NewClient(c Config) (*Client, error) {
	conf, err := ConnConfig(c)
	if err != nil {
		return nil, err
	}
	conf.RuntimeParams[ControlParameter] = "on"
	return &Client{cfg: c, connConfig: conf}, nil
}

// ConnConfig returns the pgconn configuration of a plain connection to the server of c.
func ConnConfig(c Config) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "server address %q is not IP:port; correct it in the manifest", c.Address)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "port of server address %q is not a number; correct it in the manifest", c.Address)
	}
	conf, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "prepare connection settings; check the PG* environment variables")
	}
	conf.Host, conf.Port = host, uint16(port)
	conf.User, conf.Password = c.User, c.Password
	conf.Database = c.Database
	if conf.Database == "" {
		conf.Database = defaultDatabase
	}
	conf.DialFunc = c.Dial
	if c.Dial == nil {
		conf.DialFunc = tcp.Dialer(tcp.CallTimeout).DialContext
	}
	conf.Fallbacks = nil
	maps.Copy(conf.RuntimeParams, c.Parameters)
	return conf, nil
}

// Probe returns the server's present state over the kept connection.
func (c *Client) Probe(ctx context.Context) (authority.ServerState, error) {
	if l := c.takeIdle(); l != nil {
		state, err := c.probeConn(ctx, l)
		c.release(l)
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return state, err
		}
	}
	return c.ProbeFresh(ctx)
}

func (c *Client) probeConn(ctx context.Context, l *controlConn) (authority.ServerState, error) {
	state, err := l.probe(ctx)
	if err != nil {
		return authority.ServerState{}, c.wrapError(err, "probe")
	}
	return state, nil
}

// ProbeFresh probes over a new connection, which tells a silent connection from a silent server.
func (c *Client) ProbeFresh(ctx context.Context) (authority.ServerState, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return authority.ServerState{}, err
	}
	defer c.release(&controlConn{pgConn: conn})
	return c.run(ctx, conn, probeStatement)
}

// Session names a client connection as its server does. A process id is used again after a restart.
type Session struct {
	Incarnation uint64
	PID         uint32
}

// Executing tells for which sessions the server executes a statement, as pg_stat_activity shows it. It
// asks over a new connection, which it closes.
func (c *Client) Executing(ctx context.Context, sessions []Session) (map[Session]bool, error) {
	executing := make(map[Session]bool, len(sessions))
	err := c.forEachSession(ctx, activityStatement, sessions, func(s Session, row [][]byte) {
		executing[s] = len(row) == 2 && isExecuting(string(row[0]), string(row[1]))
	})
	return executing, err
}

// Terminate ends sessions, which releases their locks and connections on a server that does not
// notice that its client is gone. It uses a new connection, which it closes.
func (c *Client) Terminate(ctx context.Context, sessions []Session) error {
	return c.forEachSession(ctx, terminateStatement, sessions, func(Session, [][]byte) {})
}

// forEachSession runs a statement with the process id of each session that belongs to the server's present
// incarnation, and passes on the row if there is one.
func (c *Client) forEachSession(ctx context.Context, statement string, sessions []Session, row func(Session, [][]byte)) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	state, err := c.run(ctx, conn, probeStatement)
	if err != nil {
		return err
	}
	for _, s := range sessions {
		if s.Incarnation != state.Incarnation {
			continue
		}
		pid := []byte(strconv.FormatUint(uint64(s.PID), 10))
		result := conn.ExecParams(ctx, statement, [][]byte{pid}, nil, nil, nil).Read()
		if result.Err != nil {
			return c.wrapError(result.Err, "session call")
		}
		if len(result.Rows) == 1 {
			row(s, result.Rows[0])
		}
	}
	return nil
}

// isExecuting judges a row of pg_stat_activity. A session that waits in ClientWrite has an answer that
// its client doesn't take; for a client that waits for bytes this means that none get through. A state
// that is not known, as "disabled", counts as executing.
func isExecuting(state, waitEvent string) bool {
	return !strings.HasPrefix(state, "idle") && waitEvent != "ClientWrite"
}

// Fence places the fence (term, owner); see Server.
func (c *Client) Fence(ctx context.Context, term uint64, owner string) (authority.ServerState, error) {
	return c.call(ctx, fenceStatement, strconv.FormatUint(term, 10), owner)
}

// Promote makes the server the primary of term; see Server.
func (c *Client) Promote(ctx context.Context, term uint64, owner string) (authority.ServerState, error) {
	return c.call(ctx, promoteStatement, strconv.FormatUint(term, 10), owner)
}

// Close closes the kept connection. Later calls use a connection each.
func (c *Client) Close() {
	c.mu.Lock()
	l := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	l.close()
}

// call runs a control statement. All of them are idempotent, so a kept connection that turns out
// to be broken is replaced once.
func (c *Client) call(ctx context.Context, statement string, args ...string) (authority.ServerState, error) {
	if l := c.takeIdle(); l != nil {
		state, err := c.run(ctx, l.pgConn, statement, args...)
		c.release(l)
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return state, err
		}
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return authority.ServerState{}, err
	}
	defer c.release(&controlConn{pgConn: conn})
	return c.run(ctx, conn, statement, args...)
}

func (c *Client) run(ctx context.Context, conn *pgconn.PgConn, statement string, args ...string) (authority.ServerState, error) {
	state, err := runControl(ctx, conn, statement, args...)
	if err != nil {
		return authority.ServerState{}, c.wrapError(err, "control call")
	}
	return state, nil
}

// ProbeOn returns the state of the server behind an open connection.
func ProbeOn(ctx context.Context, conn *pgconn.PgConn) (authority.ServerState, error) {
	return runControl(ctx, conn, probeStatement)
}

// runControl runs a control function, which answers with one row.
func runControl(ctx context.Context, conn *pgconn.PgConn, statement string, args ...string) (authority.ServerState, error) {
	values := make([][]byte, len(args))
	for i, a := range args {
		values[i] = []byte(a)
	}
	result := conn.ExecParams(ctx, statement, values, nil, nil, nil).Read()
	if result.Err != nil {
		return authority.ServerState{}, result.Err
	}
	if len(result.Rows) != 1 {
		return authority.ServerState{}, errRows(len(result.Rows))
	}
	return ParseState(result.Rows[0])
}

func (c *Client) connect(ctx context.Context) (*pgconn.PgConn, error) {
	conn, err := pgconn.ConnectConfig(ctx, c.connConfig)
	if err != nil {
		return nil, c.wrapError(err, "connect")
	}
	return conn, nil
}

func (c *Client) wrapError(err error, step string) error {
	wrapped := errors.Wrapf(err, "%s to server %s at %s", step, c.cfg.Server, c.cfg.Address)
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return errors.Mark(wrapped, ErrRefused)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Mark(wrapped, ErrNoListener)
	}
	return wrapped
}

func (c *Client) takeIdle() *controlConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle
	c.idle = nil
	return l
}

func (c *Client) release(l *controlConn) {
	c.mu.Lock()
	if !c.closed && c.idle == nil && !l.pgConn.IsClosed() {
		c.idle, l = l, nil
	}
	c.mu.Unlock()
	l.close()
}

func closeConn(conn *pgconn.PgConn) {
	if conn == nil || conn.IsClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// StateColumns are the columns of the row that every control function returns, in order, with
// all values in text format. history is a JSON list of {term, start}; the age is in microseconds.
var StateColumns = []string{
	"server", "incarnation", "role", "term", "fence_term", "fence_owner", "lsn", "history", "primary_contact_age_us",
}

// maxAgeMicros is the largest age that fits a time.Duration.
const maxAgeMicros = uint64(math.MaxInt64 / time.Microsecond)

// ParseState decodes a row of StateColumns.
func ParseState(row [][]byte) (authority.ServerState, error) {
	return (&stateParser{}).parse(row)
}

// stateParser decodes rows of one server. What seldom changes is decoded again only when it has.
type stateParser struct {
	row [][]byte
	err error // the first one of the row

	last    authority.ServerState
	history []byte // encoded form of last.History
}

func (p *stateParser) parse(row [][]byte) (authority.ServerState, error) {
	if len(row) != len(StateColumns) {
		return authority.ServerState{}, errors.Newf("server state has %d columns instead of %d; check the server's version", len(row), len(StateColumns))
	}
	p.row, p.err = row, nil
	s := authority.ServerState{
		Server:            reuseString(p.last.Server, row[0]),
		Incarnation:       p.number(1),
		Role:              reuseString(p.last.Role, row[2]),
		Term:              p.number(3),
		FenceTerm:         p.number(4),
		FenceOwner:        reuseString(p.last.FenceOwner, row[5]),
		LSN:               p.number(6),
		History:           p.last.History,
		PrimaryContactAge: time.Duration(min(p.number(8), maxAgeMicros)) * time.Microsecond,
	}
	if p.last.History == nil || !bytes.Equal(p.history, row[7]) {
		s.History = nil
		p.decode(7, &s.History)
	}
	if p.err == nil {
		p.last, p.history = s, append(p.history[:0], row[7]...)
	}
	return s, p.err
}

// reuseString returns raw as a string, or last if it is the same.
func reuseString[T ~string](last T, raw []byte) T {
	if string(raw) == string(last) {
		return last
	}
	return T(raw)
}

func (p *stateParser) number(column int) uint64 {
	n, err := strconv.ParseUint(string(p.row[column]), 10, 64)
	p.recordError(column, err)
	return n
}

func (p *stateParser) decode(column int, v any) {
	p.recordError(column, json.Unmarshal(p.row[column], v))
}

func (p *stateParser) recordError(column int, err error) {
	if p.err == nil && err != nil {
		p.err = errors.Wrapf(err, "column %s of the server state; check the server's version", StateColumns[column])
	}
}
