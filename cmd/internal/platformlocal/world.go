package platformlocal

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	serversPerDatabase = 3
	// serverEntryTimeout is the silence after which the platform drops the entry of a server.
	serverEntryTimeout = 3600 * time.Millisecond
)

// Ends of the names of a database's routes, after the name of the database.
const (
	StrictRouteSuffix  = "-strict"  // reads see every commit
	SessionRouteSuffix = "-stale"   // reads see those of their session, and data of 3 s
	BoundedRouteSuffix = "-bounded" // reads see data of 1.5 s
)

// QuotaWarmupTime is how long the accounts of a new deployment take to get their whole rate and burst. The users' platform
// sends no callers for ten seconds after a start.
const QuotaWarmupTime = 5 * time.Second

// Zones are the failure domains, each a region of its own.
var Zones = []string{"north", "south", "west"}

// Account is a client account. Its key is valid unless Configure leaves it out.
type Account struct {
	Name, Key   string
	Rate, Burst float64 // operations per second, and operations
}

// Databases describes the databases of a world.
type Databases struct {
	Count          int
	Slots          int           // statements that a server runs at a time
	ServiceTime    time.Duration // of each read, write and commit
	MaxConnections int           // to each server
}

// Server is a database server behind a relay.
type Server struct {
	ID    string
	Zone  string
	Relay *relay.Relay

	crashed bool
}

// Environment is the platform and the databases around the instances.
type Environment struct {
	Platform *platformtest.Platform

	databases Databases
	accounts  []Account

	mu      sync.Mutex
	version uint64
	names   []string // of the databases
	groups  map[string]*linedb.Group
	servers map[string][]*Server // by database
}

// NewEnvironment starts the platform and the databases, and puts a configuration with all accounts in force.
func NewEnvironment(d Databases, accounts []Account) (*Environment, error) {
	w := &Environment{databases: d, accounts: accounts, groups: map[string]*linedb.Group{}, servers: map[string][]*Server{}}
	p, err := platformtest.Start(w.promote)
	if err != nil {
		return nil, err
	}
	w.Platform = p
	for i := range d.Count {
		if err := w.addDatabase(fmt.Sprintf("db%d", i)); err != nil {
			w.Close()
			return nil, err
		}
	}
	if err := w.Configure(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Environment) addDatabase(name string) error {
	var ids []string
	for i := range serversPerDatabase {
		ids = append(ids, fmt.Sprintf("%s-s%d", name, i))
	}
	group, err := linedb.New(name, ids...)
	if err != nil {
		return errors.Wrap(err, "start a stand-in database")
	}
	group.SetMaxConnections(w.databases.MaxConnections)
	w.names = append(w.names, name)
	w.groups[name] = group
	for i, id := range ids {
		group.SetServiceTime(id, w.databases.Slots, w.databases.ServiceTime)
		r, err := relay.Start(group.Address(id), 0, 0)
		if err != nil {
			return err
		}
		w.servers[name] = append(w.servers[name], &Server{ID: id, Zone: Zones[i%len(Zones)], Relay: r})
	}
	return w.registerServers(name)
}

// registerServers writes the entries of a database's servers that run. The caller holds the lock, or starts the world.
func (w *Environment) registerServers(database string) error {
	leader := w.groups[database].Primary()
	for _, s := range w.servers[database] {
		if s.crashed {
			continue
		}
		spec, err := platform.EncodeServer(discovery.Server{
			Database: database, Address: s.Relay.Address(), FailureDomain: s.Zone, Slots: w.databases.Slots,
			Primary: s.ID == leader,
		})
		if err != nil {
			return err
		}
		if err := w.Platform.Put(platform.ServersKind, s.ID, spec); err != nil {
			return err
		}
	}
	return nil
}

// promote carries out an order of the instances. A server that doesn't run can't be promoted.
func (w *Environment) promote(database, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers[database] {
		if s.ID == id && !s.crashed {
			w.groups[database].Promote(id)
			return w.registerServers(database) == nil
		}
	}
	return false
}

// DatabaseNames returns the databases.
func (w *Environment) DatabaseNames() []string {
	return w.names
}

// Group returns the servers of a database as they are without relays.
func (w *Environment) Group(database string) *linedb.Group {
	return w.groups[database]
}

// Servers returns the servers of a database as instances reach them.
func (w *Environment) Servers(database string) []*Server {
	return w.servers[database]
}

// Runs returns what the servers of all databases have run.
func (w *Environment) Runs() []linedb.ExecutedStatement {
	var all []linedb.ExecutedStatement
	for _, name := range w.names {
		all = append(all, w.groups[name].ExecutedStatements()...)
	}
	return all
}

// CrashPrimary makes the primary of a database unreachable and returns its id. Its entry lapses later, as it does on the
// platform.
func (w *Environment) CrashPrimary(database string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	leader := w.groups[database].Primary()
	for _, s := range w.servers[database] {
		if s.ID != leader || s.crashed {
			continue
		}
		s.crashed = true
		s.Relay.Cut()
		time.AfterFunc(serverEntryTimeout, func() { w.removeEntry(s) })
	}
	return leader
}

func (w *Environment) removeEntry(s *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.crashed {
		w.Platform.Delete(platform.ServersKind, s.ID)
	}
}

// Recover brings the crashed servers of a database back, as replicas if another leads.
func (w *Environment) Recover(database string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers[database] {
		if !s.crashed {
			continue
		}
		if err := s.Relay.Heal(); err != nil {
			return err
		}
		s.crashed = false
	}
	return w.registerServers(database)
}

// Configure writes the next configuration. The keys of the accounts named are not in it.
func (w *Environment) Configure(withdrawn ...string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	c := platformtest.Config{Version: w.version, Databases: w.names, MaxConnections: w.databases.MaxConnections}
	for _, a := range w.accounts {
		t := platformtest.Tenant{Name: a.Name, Rate: a.Rate, Burst: a.Burst}
		if !slices.Contains(withdrawn, a.Name) {
			t.Keys = []string{a.Key}
		}
		c.Tenants = append(c.Tenants, t)
	}
	return w.Platform.PutConfig(c)
}

// Close stops the platform and all servers.
func (w *Environment) Close() {
	for _, group := range w.groups {
		group.Close()
	}
	for _, servers := range w.servers {
		for _, s := range servers {
			s.Relay.Cut()
		}
	}
	w.Platform.Close()
}
