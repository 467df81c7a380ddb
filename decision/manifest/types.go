// Package manifest defines the versioned configuration document that operators apply: databases
// with their servers, client accounts with their keys and limits, and the routes by which callers
// reach each database.
package manifest

import "time"

// StoreKey is the key of the manifest object in the platform's store.
const StoreKey = "config/manifest"

// APIVersion is the only document format that this release supports.
const APIVersion = "cyclamenstile/v1"

// Manifest is one version of the configuration. It is adopted as a whole or rejected.
type Manifest struct {
	APIVersion string     `json:"apiVersion"`
	Version    uint64     `json:"version"` // increases with every applied manifest
	Databases  []Database `json:"databases"`
	Accounts   []Account  `json:"accounts"`
	Routes     []Route    `json:"routes"`
}

// Database is one database group.
type Database struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
}

// Server is one member of a database group.
type Server struct {
	ID             string `json:"id"`
	Address        string `json:"address"` // IP:port
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	MaxConnections int    `json:"maxConnections"`    // total over all instances
	Slots          int    `json:"slots"`             // concurrent statements, total over all instances
	Leaving        bool   `json:"leaving,omitempty"` // receives no new statements
}

// Account is a client account. Its limits apply to the total over all instances.
type Account struct {
	Name   string  `json:"name"`
	Weight int     `json:"weight"` // share of a contended server, relative to other accounts
	Rate   float64 `json:"rate"`   // statements per second
	Burst  float64 `json:"burst"`  // statements
	Keys   []Key   `json:"keys"`
}

// Key is the hash of one key of an account. A key has 256 random bits, so a plain hash can't be
// reversed by brute force.
type Key struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"` // lower-case hex of the key's SHA-256
}

// Acknowledge specifies when a write is acknowledged to its caller.
type Acknowledge string

const (
	// AcknowledgeMajority waits until a majority of the group's servers has reached the write's log position.
	AcknowledgeMajority Acknowledge = "majority"
	// AcknowledgePrimary only waits until a majority confirms that the primary was not superseded.
	AcknowledgePrimary Acknowledge = "primary"
)

// SessionScope specifies which connections belong to a session without a token.
type SessionScope string

const (
	// ScopeAny covers any number of connections, through any instances.
	ScopeAny SessionScope = "any"
	// ScopeConnection covers one connection and the writes made before it was opened.
	ScopeConnection SessionScope = "connection"
)

// Default values of the optional route settings.
const (
	DefaultReadWait         = 50 * time.Millisecond
	DefaultStatementTimeout = 30 * time.Second
	DefaultConfirmTimeout   = 5 * time.Second
	DefaultQueueTimeout     = 2 * time.Second
)

// Route maps the database name that callers send at start-up to a database.
type Route struct {
	Name         string       `json:"name"`
	Database     string       `json:"database"`
	Accounts     []string     `json:"accounts,omitempty"`
	Open         bool         `json:"open,omitempty"`         // no key required
	ReadOnly     bool         `json:"readOnly,omitempty"`     // every statement is a read
	Idempotent   bool         `json:"idempotent,omitempty"`   // statements may be executed twice
	MaxStaleness Duration     `json:"maxStaleness,omitempty"` // 0: stale reads are not allowed
	Acknowledge  Acknowledge  `json:"acknowledge,omitempty"`
	SessionScope SessionScope `json:"sessionScope,omitempty"`

	ReadWait         Duration `json:"readWait,omitempty"`         // limit on waiting for a replica to reach the session's floor
	StatementTimeout Duration `json:"statementTimeout,omitempty"` // limit on a statement without progress
	ConfirmTimeout   Duration `json:"confirmTimeout,omitempty"`   // limit on the confirmation of a write
	QueueTimeout     Duration `json:"queueTimeout,omitempty"`     // limit on waiting in a server's queue
}
