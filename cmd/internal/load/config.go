package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	DefaultConnections      = 16
	DefaultStatementTimeout = 10 * time.Second
	DefaultDuration         = 10 * time.Second
)

// TokenParameter is the parameter by which a session's token is given back at reconnection.
const TokenParameter = "cyclamenstile.session_token"

// Account is one client account. Its sessions are its share of Config.Connections.
type Account struct {
	Name string
	Key  string // password
	// Rate is the offered load of all its sessions in statements per second; 0 sends the next
	// statement as soon as the last is answered.
	Rate float64
}

// Config describes one run.
type Config struct {
	Addresses   []string // IP:port; sessions are spread over them
	Database    string   // route
	Open        OpenFunc // nil: OpenPostgres(Database)
	Accounts    []Account
	Connections int     // sessions, one connection each
	ReadShare   float64 // of the statements, 0 to 1
	Duration    time.Duration
	Seed        uint64
	// RunName prefixes all keys and values, so that runs on the same table don't meet.
	RunName          string
	StatementTimeout time.Duration
	// MoveAfter makes a session reconnect at the next address after so many statements; 0: never.
	MoveAfter int
	UseToken  bool // hand the session token back when reconnecting
	// TermOf returns the term that a session token names, 0 if unknown; may be nil.
	TermOf func(token string) uint64
	// SessionPerConnection takes each connection for a session of its own, where a route promises nothing beyond it.
	SessionPerConnection bool
	// NewKeyAfterUnknown goes on with a new key after a write of unknown outcome, where a write that takes effect late
	// would undo later ones.
	NewKeyAfterUnknown bool
	// NoHistory leaves out the history, for runs longer than memory allows.
	NoHistory bool
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Addresses) == 0 || len(c.Accounts) == 0 {
		return c, errors.New("a load needs an address and an account; name at least one of each")
	}
	if c.ReadShare < 0 || c.ReadShare > 1 {
		return c, errors.Newf("read share %g is not between 0 and 1", c.ReadShare)
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.Connections < len(c.Accounts) {
		return c, errors.Newf("%d connections are too few for %d accounts; use one for each at least", c.Connections, len(c.Accounts))
	}
	if c.StatementTimeout == 0 {
		c.StatementTimeout = DefaultStatementTimeout
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Open == nil {
		c.Open = OpenPostgres(c.Database)
	}
	if c.RunName == "" {
		c.RunName = "load"
	}
	return c, nil
}

// sessionsOf returns how many sessions account i has; earlier accounts get the remainder.
func (c Config) sessionsOf(i int) int {
	n := c.Connections / len(c.Accounts)
	if i < c.Connections%len(c.Accounts) {
		n++
	}
	return n
}
