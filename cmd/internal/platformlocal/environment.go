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
	// serverEntryTimeout is the time after which the platform removes the entry of an unresponsive server.
	serverEntryTimeout = 3600 * time.Millisecond
)

// Suffixes of route names, after the name of the database.
const (
	StrictRouteSuffix  = "-strict"  // reads see every committed write
	SessionRouteSuffix = "-stale"   // reads see the writes of their session; other data may be 3 s old
	BoundedRouteSuffix = "-bounded" // reads may return data that is 1.5 s old
)

// QuotaWarmupTime is the time until accounts of a new deployment have their full rate and burst. The users' platform
// sends no callers in the first ten seconds after a start.
const QuotaWarmupTime = 5 * time.Second

// Zones are the failure domains; each is also a region.
var Zones = []string{"north", "south", "west"}

// Account is a client account. Its key is valid unless Configure withdraws it.
type Account struct {
	Name, Key   string
	Rate, Burst float64 // operations per second; operations
	// Regions are those whose servers may run the account's requests; empty for all.
	Regions []string
}

// roleReportDelay is the time from a promotion until the entries of the servers show it, if a former primary goes on
// meanwhile.
const roleReportDelay = 200 * time.Millisecond

// Databases describes the databases of an environment.
type Databases struct {
	// Unfenced: a former primary goes on until it is told to step down.
	Unfenced bool
	// WithoutEras: the store doesn't tell its era, as one that never comes back from a copy.
	WithoutEras bool
	// Gated: single instances can be cut off from servers.
	Gated          bool
	Count          int
	Slots          int           // concurrent statements of a server
	ServiceTime    time.Duration // of each read, write and commit
	MaxConnections int           // to each server
	Copies         int           // replicas that must have received a commit before it is acknowledged
	ColdRate       float64       // statements per second that a server gets while it is cold; 0: no limit
	// ColdServers are the indices of the servers of each database that are cold for ColdTime from the start on.
	ColdServers []int
	ColdTime    time.Duration
}

// Server is a database server behind a relay.
type Server struct {
	ID    string
	Zone  string
	Relay *relay.Relay

	gate     *gate // in front of Relay; nil: none
	unlisted bool  // its entry is not written
	returned bool  // its entry shows the role that it takes itself for
	crashed  bool
	leaving  bool

	coldFrom, coldUntil time.Time
	started             int64 // of the latest run
}

// Environment is the platform and the databases that the instances use.
type Environment struct {
	Platform *platformtest.Platform

	databases Databases
	accounts  []Account
	// evacuationLimit is the bound for evacuations in the settings of the instances.
	evacuationLimit time.Duration

	mu       sync.Mutex
	onOrder  func(server string) (accept bool) // nil: all are accepted
	version  uint64
	config   platformtest.Config // the latest
	regions  map[string][]string // of the routes, by database
	sequence uint64              // of the entries that the servers write
	names    []string            // of the databases
	groups   map[string]*linedb.Group
	servers  map[string][]*Server // by database
}

// NewEnvironment starts the platform and the databases and writes a configuration with all accounts.
func NewEnvironment(d Databases, accounts []Account) (*Environment, error) {
	e := &Environment{databases: d, accounts: accounts, groups: map[string]*linedb.Group{}, servers: map[string][]*Server{}}
	p, err := platformtest.Start(e.promote)
	if err != nil {
		return nil, err
	}
	e.Platform = p
	if d.WithoutEras {
		p.HideEra()
	}
	for i := range d.Count {
		if err := e.addDatabase(fmt.Sprintf("db%d", i)); err != nil {
			e.Close()
			return nil, err
		}
	}
	if err := e.Configure(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Environment) addDatabase(name string) error {
	var ids []string
	for i := range serversPerDatabase {
		ids = append(ids, fmt.Sprintf("%s-s%d", name, i))
	}
	group, err := linedb.New(name, ids...)
	if err != nil {
		return errors.Wrap(err, "start a stand-in database")
	}
	group.SetMaxConnections(e.databases.MaxConnections)
	group.SetCopies(e.databases.Copies)
	if e.databases.Unfenced {
		group.SetUnfenced()
	}
	e.names = append(e.names, name)
	e.groups[name] = group
	for i, id := range ids {
		group.SetServiceTime(id, e.databases.Slots, e.databases.ServiceTime)
		r, err := relay.Start(group.Address(id), 0, 0)
		if err != nil {
			return err
		}
		s := &Server{ID: id, Zone: Zones[i%len(Zones)], Relay: r}
		if e.databases.Gated {
			if s.gate, err = startGate(r.Address()); err != nil {
				return err
			}
		}
		if slices.Contains(e.databases.ColdServers, i) {
			s.makeCold(e.databases.ColdTime)
		}
		e.servers[name] = append(e.servers[name], s)
	}
	return e.registerServers(name)
}

// registerServers writes the platform entries of the running servers of a database. The caller holds e.mu, or is still
// setting up the environment.
func (e *Environment) registerServers(database string) error {
	primary := e.groups[database].Primary()
	for _, s := range e.servers[database] {
		if s.crashed || s.unlisted {
			continue
		}
		if err := e.writeEntry(database, s, s.ID == primary || s.returned && e.groups[database].Leads(s.ID)); err != nil {
			return err
		}
	}
	return nil
}

// writeEntry writes the platform entry of a server. The caller holds e.mu, or is still setting up the environment.
func (e *Environment) writeEntry(database string, s *Server, primary bool) error {
	e.sequence++
	spec, err := platform.EncodeServer(discovery.Server{
		Database: database, Address: s.address(), FailureDomain: s.Zone, Slots: e.databases.Slots,
		Primary: primary, Leaving: s.leaving, Sequence: e.sequence,
		Started: s.started, WarmupRemaining: max(time.Until(s.coldUntil), 0),
	})
	if err != nil {
		return err
	}
	return e.Platform.Put(platform.ServersKind, s.ID, spec)
}

// address returns the address at which instances reach the server.
func (s *Server) address() string {
	if s.gate != nil {
		return s.gate.address()
	}
	return s.Relay.Address()
}

// CutOff cuts instances off from the server, for good. They have to run as separate processes, and the servers to be gated.
func (s *Server) CutOff(instances ...*Instance) {
	for _, i := range instances {
		s.gate.closeFor(i)
	}
}

// RemoveEntry removes the entry of a server, as if the server were cut off from the store, until RegisterAgain.
func (e *Environment) RemoveEntry(s *Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.unlisted = true
	e.Platform.Delete(platform.ServersKind, s.ID)
}

// RegisterAgain writes the entry of a server after RemoveEntry. From now on the entry shows the role that the server takes
// itself for.
func (e *Environment) RegisterAgain(database string, s *Server) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.unlisted, s.returned = false, true
	group := e.groups[database]
	group.OnStepDown(s.ID, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.writeEntry(database, s, group.Leads(s.ID)) // it fails only if an entry can't be encoded
	})
	return e.writeEntry(database, s, group.Leads(s.ID))
}

// OnOrder sets a function that is called when an instance orders the promotion of a server, before it takes effect. It tells whether the
// platform accepts the order.
func (e *Environment) OnOrder(f func(server string) (accept bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOrder = f
}

// promote executes a promotion ordered by an instance and reports success. It fails if the server is not running.
func (e *Environment) promote(database, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.onOrder != nil && !e.onOrder(id) {
		return false
	}
	for _, s := range e.servers[database] {
		if s.ID == id && !s.crashed {
			e.groups[database].Promote(id)
			if e.databases.Unfenced {
				time.AfterFunc(roleReportDelay, func() { e.reportRoles(database) })
				return true
			}
			return e.registerServers(database) == nil
		}
	}
	return false
}

// reportRoles writes the entries of the servers of a database.
func (e *Environment) reportRoles(database string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.registerServers(database) // it fails only if an entry can't be encoded
}

// DatabaseNames returns the names of the databases.
func (e *Environment) DatabaseNames() []string {
	return e.names
}

// Group returns the stand-in database group behind the relays.
func (e *Environment) Group(database string) *linedb.Group {
	return e.groups[database]
}

// Servers returns the servers of a database with the relays through which instances reach them.
func (e *Environment) Servers(database string) []*Server {
	return e.servers[database]
}

// ExecutedStatements returns the statements that the servers of all databases have run.
func (e *Environment) ExecutedStatements() []linedb.ExecutedStatement {
	var all []linedb.ExecutedStatement
	for _, name := range e.names {
		all = append(all, e.groups[name].ExecutedStatements()...)
	}
	return all
}

// CrashPrimary makes the primary of a database unreachable and returns its id. Its entry is
// removed after serverEntryTimeout, as on the platform.
func (e *Environment) CrashPrimary(database string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	primary := e.groups[database].Primary()
	for _, s := range e.servers[database] {
		if s.ID != primary || s.crashed {
			continue
		}
		s.crashed = true
		s.Relay.Disable()
		time.AfterFunc(serverEntryTimeout, func() { e.removeEntry(s) })
	}
	return primary
}

func (e *Environment) removeEntry(s *Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crashed {
		e.Platform.Delete(platform.ServersKind, s.ID)
	}
}

// Recover makes the crashed servers of a database reachable again, as replicas if another server has become the primary.
func (e *Environment) Recover(database string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.servers[database] {
		if !s.crashed {
			continue
		}
		if err := s.Relay.Enable(); err != nil {
			return err
		}
		s.crashed = false
	}
	return e.registerServers(database)
}

// coldStartDelay is the time from a server's entry until it accepts connections, in which instances learn the entry.
const coldStartDelay = 300 * time.Millisecond

// makeCold makes a server cold from now on.
func (s *Server) makeCold(d time.Duration) {
	s.coldFrom = time.Now()
	s.coldUntil = s.coldFrom.Add(d)
	s.started = s.coldFrom.UnixMilli()
}

// RestartCold restarts servers of a database, which are cold afterwards. They keep their data and roles.
func (e *Environment) RestartCold(database string, d time.Duration, servers ...*Server) error {
	for _, s := range servers {
		s.Relay.Disable()
	}
	e.mu.Lock()
	for _, s := range servers {
		s.makeCold(d)
	}
	err := e.registerServers(database)
	e.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(coldStartDelay)
	for _, s := range servers {
		if err := s.Relay.Enable(); err != nil {
			return err
		}
	}
	return nil
}

// RestartEmpty restarts a replica of a database, which then holds nothing and receives nothing until linedb.Group.SetDeaf ends that.
func (e *Environment) RestartEmpty(database string, s *Server) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groups[database].RestartEmpty(s.ID)
	s.started = time.Now().UnixMilli()
	return e.registerServers(database)
}

// ColdLimit returns how many statements a cold server may get in any second.
func (e *Environment) ColdLimit() float64 {
	return e.databases.ColdRate*ColdOverage + ColdSlack
}

// ColdPeriod returns when a server was cold last. Both times are zero if it never was.
func (e *Environment) ColdPeriod(s *Server) (from, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.coldFrom, s.coldUntil
}

// Drain marks the primary of a database as leaving and returns its id.
func (e *Environment) Drain(database string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	primary := e.groups[database].Primary()
	for _, s := range e.servers[database] {
		s.leaving = s.leaving || s.ID == primary
	}
	return primary, e.registerServers(database)
}

// Evacuate evacuates a zone.
func (e *Environment) Evacuate(zone string) error {
	return e.Platform.Put(platform.EvacuationsKind, zone, struct{}{})
}

// EndEvacuation ends the evacuation of a zone.
func (e *Environment) EndEvacuation(zone string) {
	e.Platform.Delete(platform.EvacuationsKind, zone)
}

// Acknowledgement returns the status that instances have written for the evacuation of a zone, "" if none.
func (e *Environment) Acknowledgement(zone string) string {
	o, _ := e.Platform.Get(platform.EvacuationsKind, zone)
	return string(o.Status)
}

// Configure writes the next version of the configuration, without the keys of the accounts in withdrawn.
func (e *Environment) Configure(withdrawn ...string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	c := platformtest.Config{
		Version: e.version, Databases: e.names, MaxConnections: e.databases.MaxConnections, Regions: e.regions, ColdRate: e.databases.ColdRate,
		Copies: e.databases.Copies,
	}
	for _, a := range e.accounts {
		t := platformtest.Tenant{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Regions: a.Regions}
		if !slices.Contains(withdrawn, a.Name) {
			t.Keys = []string{a.Key}
		}
		c.Tenants = append(c.Tenants, t)
	}
	e.config = c
	return e.Platform.PutConfig(c)
}

// SetRegions writes the next version of the configuration, in which only the given regions may run requests on the routes of
// some databases. Databases without an entry may use all.
func (e *Environment) SetRegions(byDatabase map[string][]string) error {
	e.mu.Lock()
	e.regions = byDatabase
	e.mu.Unlock()
	return e.Configure()
}

// RestoreStore takes the store away for a time and brings it back from the copy kept last. After a delay, the operator and the
// servers write again what was lost.
func (e *Environment) RestoreStore(away, rewriteDelay time.Duration) error {
	lost := e.Platform.Restore(away)
	time.Sleep(rewriteDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range lost {
		switch {
		case (o.Kind == platform.ServersKind || o.Kind == platform.EvacuationsKind) && o.Deleted:
			e.Platform.Delete(o.Kind, o.Name)
		case o.Kind == platform.EvacuationsKind:
			if err := e.Evacuate(o.Name); err != nil {
				return err
			}
		case o.Kind == platform.ConfigKind:
			if err := e.Platform.PutConfig(e.config); err != nil {
				return err
			}
		}
	}
	for _, name := range e.names {
		if err := e.registerServers(name); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the platform and all servers.
func (e *Environment) Close() {
	for _, group := range e.groups {
		group.Close()
	}
	for _, servers := range e.servers {
		for _, s := range servers {
			s.Relay.Disable()
			if s.gate != nil {
				s.gate.close()
			}
		}
	}
	e.Platform.Close()
}
