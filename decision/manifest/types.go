// Package manifest defines the versioned document that operators apply: databases with their
// servers, client accounts with their keys and limits, and the routes by which callers reach
// each database.
package manifest

import "time"

// StoreKey is the object in the platform's store that holds the manifest.
const StoreKey = "config/manifest"

// APIVersion is the only document format that this release reads.
const APIVersion = "cyclamenstile/v1"

// Manifest is one reviewed, versioned configuration. It is adopted whole or not at all.
type Manifest struct {
	APIVersion string     `json:"apiVersion"`
	Version    uint64     `json:"version"` // grows with every applied manifest
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
	MaxConnections int    `json:"maxConnections"`    // over all instances
	Slots          int    `json:"slots"`             // statements in execution, over all instances
	Leaving        bool   `json:"leaving,omitempty"` // receives no new statements
}

// Account is a client account with the limits that count over all instances.
type Account struct {
	Name   string  `json:"name"`
	Weight int     `json:"weight"` // share of a contended server, relative to other accounts
	Rate   float64 `json:"rate"`   // statements per second
	Burst  float64 `json:"burst"`  // statements
	Keys   []Key   `json:"keys"`
}

// Key is the hash of one key of an account. The key itself carries 256 random bits, so a plain
// hash can't be inverted by guessing.
type Key struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"` // lower-case hex of the key's SHA-256
}

// Acknowledge tells when a write is acknowledged to its caller.
type Acknowledge string

const (
	// AcknowledgeMajority waits until a majority of the group's servers has the write's position.
	AcknowledgeMajority Acknowledge = "majority"
	// AcknowledgePrimary waits only until a majority shows that the primary was not superseded.
	AcknowledgePrimary Acknowledge = "primary"
)

// SessionScope tells how far a session without a token reaches.
type SessionScope string

const (
	// ScopeAny covers any number of connections through any instances.
	ScopeAny SessionScope = "any"
	// ScopeConnection covers one connection and what was written before it was opened.
	ScopeConnection SessionScope = "connection"
)

// Defaults of the optional route settings.
const (
	DefaultReadWait         = 50 * time.Millisecond
	DefaultStatementTimeout = 30 * time.Second
	DefaultConfirmTimeout   = 5 * time.Second
	DefaultQueueTimeout     = 2 * time.Second
)

// Route leads callers that name it as their database at start-up to a database.
type Route struct {
	Name         string       `json:"name"`
	Database     string       `json:"database"`
	Accounts     []string     `json:"accounts,omitempty"`
	Open         bool         `json:"open,omitempty"`         // open to all, no key needed
	ReadOnly     bool         `json:"readOnly,omitempty"`     // every statement is a read
	Idempotent   bool         `json:"idempotent,omitempty"`   // statements may run twice
	MaxStaleness Duration     `json:"maxStaleness,omitempty"` // 0: reads are never stale
	Acknowledge  Acknowledge  `json:"acknowledge,omitempty"`
	SessionScope SessionScope `json:"sessionScope,omitempty"`

	ReadWait         Duration `json:"readWait,omitempty"`         // for a replica to reach the floor
	StatementTimeout Duration `json:"statementTimeout,omitempty"` // of one statement without progress
	ConfirmTimeout   Duration `json:"confirmTimeout,omitempty"`   // of a write's confirmation
	QueueTimeout     Duration `json:"queueTimeout,omitempty"`     // in the queue of a server
}
