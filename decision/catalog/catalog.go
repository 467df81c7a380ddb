// Package catalog holds the configuration of deployments in which servers register themselves:
// routes, databases and client accounts, indexed for the lookups of a session. A Snapshot is
// immutable.
package catalog

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Route maps the route name that callers send at start-up to a database.
type Route struct {
	Name     string
	Database string
	Open     bool // no key required
	// MaxStaleness is the maximum age of data returned by reads; at 0, reads see every acknowledged write.
	MaxStaleness             time.Duration
	StatementTimeout         time.Duration
	TargetLatency            time.Duration // intended upper limit for an operation
	IdleInTransactionTimeout time.Duration // idle time after which a transaction may be ended
	Priority                 int           // 0 is the highest
	// Homes are the regions whose servers may run requests on the route; empty for all.
	Homes []string
}

// Database is a group of servers.
type Database struct {
	Name           string
	MaxConnections int // per server, total over all instances
	// ColdRate is the number of statements per second that a server may get while it warms up after its start, from
	// all instances together; 0 for no limit.
	ColdRate float64
	// Copies is the number of replicas that must have received a commit before it is acknowledged.
	Copies int
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version   uint64
	Routes    []Route
	Databases []Database
	Accounts  []manifest.Account
	// AccountHomes holds, by account, the regions whose servers may run its requests. Accounts without an entry may use all.
	AccountHomes map[string][]string
}

// Grant is a caller's proven right to use a route. On an open route, Account is empty.
type Grant struct {
	Route   Route
	Account string
	// Homes are the regions that bind requests: those that both the route and the account allow.
	Homes home.Regions
}

// Refusal is the reason why Authorize refused a grant.
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
	homes     homes
}

// NewSnapshot indexes c. If several routes have the same name, the first one is used.
func NewSnapshot(c Catalog) *Snapshot {
	s := &Snapshot{
		catalog:   c,
		routes:    make(map[string]Route, len(c.Routes)),
		databases: make(map[string]Database, len(c.Databases)),
		accounts:  map[manifest.KeyHash]string{},
		homes:     newHomes(c),
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

// Version returns the version of the configuration.
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

// Authorize checks the right of the holder of a key with this hash to use a route. Open routes ignore the key.
func (s *Snapshot) Authorize(route string, hash manifest.KeyHash) (Grant, Refusal) {
	r, ok := s.routes[route]
	if !ok {
		return Grant{}, UnknownRoute
	}
	if r.Open {
		return Grant{Route: r, Homes: s.homes.byRoute[r.Name]}, Granted
	}
	account, ok := s.accounts[hash]
	if !ok {
		return Grant{}, WrongKey
	}
	return Grant{Route: r, Account: account, Homes: s.homes.byRoute[r.Name].Intersect(s.homes.byAccount[account])}, Granted
}
