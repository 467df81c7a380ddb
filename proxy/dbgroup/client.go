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

// ControlParameter is the startup parameter that marks a connection as a control connection. A server
// doesn't count it against its client connections and runs only control functions on it.
const ControlParameter = "cyclamenstile.control"

// Errors of a Client, for use with errors.Is.
var (
	// ErrRefused: the server answered with an error and did not execute the call.
	ErrRefused = errors.New("the server refused the control call; probe it and compare its fence")
	// ErrNoListener: the connection was refused, which proves that the server's process has ended.
	ErrNoListener = errors.New("no process listens on the server's address; start the server")
)

const (
	probeStatement   = "SELECT * FROM cyclamenstile.probe()"
	fenceStatement   = "SELECT * FROM cyclamenstile.fence($1, $2)"
	promoteStatement = "SELECT * FROM cyclamenstile.promote($1, $2)"
	// activityStatement reads the state of a session as PostgreSQL sees it.
	activityStatement = "SELECT state, wait_event FROM pg_stat_activity WHERE pid = $1"
	// terminateStatement ends a session of the proxy's own role, which requires no extra privilege.
	terminateStatement = "SELECT pg_terminate_backend($1)"
)

const (
	defaultDatabase = "postgres"
	closeTimeout    = time.Second
)

// Config describes how a Client connects to its server.
type Config struct {
	Server   authority.ServerID
	Address  string // IP:port
	User     string
	Password string // empty if the server uses trust authentication
	Database string // defaults to "postgres"
	// Parameters are additional startup parameters.
	Parameters map[string]string
	// Dial opens the TCP connection; nil uses tcp.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client implements Server over the PostgreSQL protocol. It keeps one idle connection for reuse, and
// opens another if that one is missing, broken or in use. It is safe for concurrent use.
type Client struct {
	cfg        Config
	connConfig *pgconn.Config

	mu     sync.Mutex
	idle   *controlConn
	closed bool
}

var _ Server = (*Client)(nil)

// NewClient returns a client for the server at c.Address, without connecting to it.
func NewClient(c Config) (*Client, error) {
	conf, err := ConnConfig(c)
	if err != nil {
		return nil, err
	}
	conf.RuntimeParams[ControlParameter] = "on"
	return &Client{cfg: c, connConfig: conf}, nil
}

// ConnConfig returns the pgconn configuration for a regular connection, without ControlParameter, to the
// server of c.
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

// Probe returns the server's current state, over the idle connection if there is one.
func (c *Client) Probe(ctx context.Context) (authority.ServerState, error) {
	if idle := c.takeIdle(); idle != nil {
		state, err := c.probeConn(ctx, idle)
		c.release(idle)
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return state, err
		}
	}
	return c.ProbeFresh(ctx)
}

func (c *Client) probeConn(ctx context.Context, conn *controlConn) (authority.ServerState, error) {
	state, err := conn.probe(ctx)
	if err != nil {
		return authority.ServerState{}, c.wrapError(err, "probe")
	}
	return state, nil
}

// ProbeFresh probes over a new connection, which distinguishes a broken connection from a failed server.
func (c *Client) ProbeFresh(ctx context.Context) (authority.ServerState, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return authority.ServerState{}, err
	}
	defer c.release(&controlConn{pgConn: conn})
	return c.run(ctx, conn, probeStatement)
}

// Session identifies a client connection by its server process. The incarnation is needed because process
// IDs are reused after a server restart.
type Session struct {
	Incarnation uint64
	PID         uint32
}

// Executing returns the sessions for which the server executes a statement according to
// pg_stat_activity. It uses a new connection and closes it.
func (c *Client) Executing(ctx context.Context, sessions []Session) (map[Session]bool, error) {
	executing := make(map[Session]bool, len(sessions))
	err := c.forEachSession(ctx, activityStatement, sessions, func(s Session, row [][]byte) {
		executing[s] = len(row) == 2 && isExecuting(string(row[0]), string(row[1]))
	})
	return executing, err
}

// Terminate ends sessions, which releases their locks and connections on a server that has not noticed
// that its client has disconnected. It uses a new connection and closes it.
func (c *Client) Terminate(ctx context.Context, sessions []Session) error {
	return c.forEachSession(ctx, terminateStatement, sessions, func(Session, [][]byte) {})
}

// forEachSession executes a statement with the process ID of each session of the server's current
// incarnation, and passes the resulting row, if there is one, to row.
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

// isExecuting reports whether a row of pg_stat_activity shows a statement in execution. A session that
// waits in ClientWrite can't send its result; if its client is waiting for data, the connection is
// broken. An unknown state, such as "disabled", counts as executing.
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

// Close closes the idle connection. Later calls open a connection each.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	idle.close()
}

// call executes a control statement. As these are idempotent, it retries once over a new connection if
// the idle one turns out to be broken.
func (c *Client) call(ctx context.Context, statement string, args ...string) (authority.ServerState, error) {
	if idle := c.takeIdle(); idle != nil {
		state, err := c.run(ctx, idle.pgConn, statement, args...)
		c.release(idle)
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

// ProbeOn returns the state of the server over an open connection.
func ProbeOn(ctx context.Context, conn *pgconn.PgConn) (authority.ServerState, error) {
	return runControl(ctx, conn, probeStatement)
}

// runControl calls a control function and decodes the single row that it returns.
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
	idle := c.idle
	c.idle = nil
	return idle
}

func (c *Client) release(conn *controlConn) {
	c.mu.Lock()
	if !c.closed && c.idle == nil && !conn.pgConn.IsClosed() {
		c.idle, conn = conn, nil
	}
	c.mu.Unlock()
	conn.close()
}

func closeConn(conn *pgconn.PgConn) {
	if conn == nil || conn.IsClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// StateColumns are the columns of the row that every control function returns, in order. All values
// are in text format. history is a JSON array of {term, start}.
var StateColumns = []string{
	"server", "incarnation", "role", "term", "fence_term", "fence_owner", "lsn", "history", "primary_contact_age_us",
}

// maxAgeMicros is the largest age that fits in a time.Duration.
const maxAgeMicros = uint64(math.MaxInt64 / time.Microsecond)

// ParseState decodes a row of StateColumns.
func ParseState(row [][]byte) (authority.ServerState, error) {
	return (&stateParser{}).parse(row)
}

// stateParser decodes the rows of one server. It reuses the previous strings and history if they are
// unchanged.
type stateParser struct {
	row [][]byte
	err error // first error in the row

	last    authority.ServerState
	history []byte // encoded last.History
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

// reuseString returns raw as a string, without an allocation if it equals last.
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
