// Package catalog holds what operators have configured where servers register themselves: routes,
// databases and client accounts, indexed for the lookups of a session. A Snapshot never changes.
package catalog

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Route leads callers that name it at start-up to a database.
type Route struct {
	Name     string
	Database string
	Open     bool // no key needed
	// MaxStaleness is the age of data that reads accept; 0: every acknowledged write must be seen.
	MaxStaleness             time.Duration
	StatementTimeout         time.Duration
	TargetLatency            time.Duration // within which an operation should be answered
	IdleInTransactionTimeout time.Duration // after which an idle transaction may be ended
	Priority                 int           // 0 is the highest
}

// Database is a group of servers.
type Database struct {
	Name           string
	MaxConnections int // to each server, over all instances
	// Synchronous tells that a commit is acknowledged only once a replica has received it.
	Synchronous bool
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version   uint64
	Routes    []Route
	Databases []Database
	Accounts  []manifest.Account
}

// Grant is a caller's proven right to a route. On an open route Account is empty.
type Grant struct {
	Route   Route
	Account string
}

// Refusal tells why there is no grant.
type Refusal int

const (
	Granted Refusal = iota
	UnknownRoute
	WrongKey
)

// Snapshot is an indexed catalog.
type Snapshot struct {
	catalog   Catalog
	routes    map[string]Route
	databases map[string]Database
	accounts  map[manifest.KeyHash]string
}

// NewSnapshot indexes c. Of two entries with one name the first one counts.
func NewSnapshot(c Catalog) *Snapshot {
	s := &Snapshot{
		catalog:   c,
		routes:    make(map[string]Route, len(c.Routes)),
		databases: make(map[string]Database, len(c.Databases)),
		accounts:  map[manifest.KeyHash]string{},
	}
	for _, r := range c.Routes {
		if _, known := s.routes[r.Name]; !known {
			s.routes[r.Name] = r
		}
	}
	for _, d := range c.Databases {
		s.databases[d.Name] = d
	}
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			s.accounts[k.Hash()] = a.Name
		}
	}
	return s
}

// Version is the version of the configuration.
func (s *Snapshot) Version() uint64 {
	return s.catalog.Version
}

// Accounts returns the client accounts. The caller must not change them.
func (s *Snapshot) Accounts() []manifest.Account {
	return s.catalog.Accounts
}

// Databases returns the databases. The caller must not change them.
func (s *Snapshot) Databases() []Database {
	return s.catalog.Databases
}

// Database finds a database by name.
func (s *Snapshot) Database(name string) (Database, bool) {
	d, ok := s.databases[name]
	return d, ok
}

// Authorize checks the right to a route of the holder of a key with this sum, which open routes ignore.
func (s *Snapshot) Authorize(route string, sum manifest.KeyHash) (Grant, Refusal) {
	r, ok := s.routes[route]
	if !ok {
		return Grant{}, UnknownRoute
	}
	if r.Open {
		return Grant{Route: r}, Granted
	}
	account, ok := s.accounts[sum]
	if !ok {
		return Grant{}, WrongKey
	}
	return Grant{Route: r, Account: account}, Granted
}
