package database

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Defaults for Config.
const (
	DefaultListen      = "127.0.0.1:0"
	DefaultLockTimeout = 5 * time.Second
)

// Config describes one server. The zero value of a limit or a duration means none.
type Config struct {
	ID     authority.ServerID
	Listen string // IP:port, DefaultListen if empty
	// Peers maps the other servers of the group to the addresses at which this server connects to
	// them. An address may belong to a relay, so that a test can cut the link.
	Peers map[authority.ServerID]string
	// Primary makes the server the primary of term 1 when it starts with an empty journal.
	Primary bool

	User     string // accepted user name; empty accepts all
	Password string // cleartext password; empty accepts connections without a password

	ReplicationLag    time.Duration // from the commit on the primary to visibility on this replica
	ReplicationJitter time.Duration // upper bound of a random addition to the lag of each record
	Seed              uint64        // of the random numbers for the jitter

	ConnectCost    time.Duration // delay before a new connection is ready
	MaxConnections int           // client connections; control connections don't count
	Slots          int           // statements executed concurrently
	ServiceTime    time.Duration // time for which each statement occupies its slot
	LockTimeout    time.Duration // longest wait for a row lock, DefaultLockTimeout if 0

	DataDir string // directory of the journal; empty keeps it in memory
}

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = DefaultListen
	}
	if c.LockTimeout == 0 {
		c.LockTimeout = DefaultLockTimeout
	}
	return c
}
