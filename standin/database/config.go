package database

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// Defaults of Config.
const (
	DefaultListen      = "127.0.0.1:0"
	DefaultLockTimeout = 5 * time.Second
)

// Config describes one server. The zero value of a limit or a duration means none.
type Config struct {
	ID     authority.ServerID
	Listen string // IP:port, DefaultListen if empty
	// Peers gives the address at which this server reaches each other server of its group. An
	// address may be that of a relay, so that a test can cut the link.
	Peers map[authority.ServerID]string
	// Primary makes the server the primary of term 1 when it starts with an empty journal.
	Primary bool

	User     string // accepted user name; empty accepts all
	Password string // cleartext password; empty trusts every caller

	ReplicationLag    time.Duration // from the commit on the primary to visibility on this replica
	ReplicationJitter time.Duration // the lag grows by a random part of it
	Seed              uint64        // of the jitter

	ConnectCost    time.Duration // delay at the start-up of a connection
	MaxConnections int           // client connections; control connections don't count
	Slots          int           // statements in execution
	ServiceTime    time.Duration // of each statement, in its slot
	LockTimeout    time.Duration // wait for a row lock, DefaultLockTimeout if 0

	DataDir string // keeps the journal; empty keeps it in memory
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
