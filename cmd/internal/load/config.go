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

// TokenParameter is the startup parameter that carries the session token on reconnection.
const TokenParameter = "cyclamenstile.session_token"

// Account is one client account. Config.Connections are divided evenly among the accounts.
type Account struct {
	Name string
	Key  string // password
	// Rate is the offered load of all its sessions in statements per second; 0 sends the next
	// statement as soon as the previous one is answered.
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
	// RunName prefixes all keys and values, so that runs on the same table don't collide.
	RunName          string
	StatementTimeout time.Duration
	// MoveAfter is the number of statements after which a session reconnects at the next address; 0: never.
	MoveAfter int
	UseToken  bool // send the session token when reconnecting
	// TermOf returns the term in a session token, 0 if unknown; may be nil.
	TermOf func(token string) uint64
	// SessionPerConnection records each connection as a session of its own, for routes whose guarantees end with it.
	SessionPerConnection bool
	// NewKeyAfterUnknown switches to a new key after a write of unknown outcome, for protocols in which a write that
	// takes effect late would undo later ones.
	NewKeyAfterUnknown bool
	// NoHistory records no history, for runs whose history would exceed the memory.
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
