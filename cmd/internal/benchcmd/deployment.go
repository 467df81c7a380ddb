package benchcmd

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

const (
	deploymentInstances = 6
	clientAccountCount  = 8
	largeAccountCount   = 2
	// smallRate and largeRate are the offered load of a small and a large account, in statements/s.
	// The sum over all accounts is well below what the slots of the smaller deployment can execute.
	smallRate = 5.0
	largeRate = 15.0
	// rateLimitFactor is the rate limit of an account relative to its offered load, high enough that
	// the quota doesn't affect these benchmarks.
	rateLimitFactor = 10
	// sessionsPerAccount is the number of connections per account.
	sessionsPerAccount = 3
	// callerDelay is the one-way latency between callers and instances.
	callerDelay = time.Millisecond
	// serviceTime is how long a statement occupies its slot.
	serviceTime = time.Millisecond
	// benchReadShare is the share of reads among the statements.
	benchReadShare = 0.6
	// benchDrainTimeout limits how long an instance drains, so that a benchmark ends in time.
	benchDrainTimeout = time.Second
)

// deploymentProfile describes a deployment of the design page.
type deploymentProfile struct {
	name             string
	regions          []string
	interRegionDelay time.Duration // one way
	slots            int           // per server
	connections      int           // per server
	connectCost      time.Duration // time to open a connection
}

// deploymentProfiles lists the deployments of the design page.
var deploymentProfiles = []deploymentProfile{
	{"prairie", []string{"sask", "alta", "mani"}, 20 * time.Millisecond, 3, 20, 10 * time.Millisecond},
	{"malabar", []string{"malabar", "kochi", "travancore"}, 8 * time.Millisecond, 5, 50, 30 * time.Millisecond},
}

func profileByName(name string) (deploymentProfile, error) {
	for _, profile := range deploymentProfiles {
		if profile.name == name {
			return profile, nil
		}
	}
	return deploymentProfile{}, errors.Newf("--deployment: %q is not known; give prairie or malabar", name)
}

// region returns the region of server or instance i; both are assigned round-robin.
func (p deploymentProfile) region(i int) string { return p.regions[i%len(p.regions)] }

func (p deploymentProfile) localities() []local.Locality {
	var out []local.Locality
	for _, region := range p.regions {
		out = append(out, local.Locality{Region: region, FailureDomain: region + "-a"})
	}
	return out
}

func (p deploymentProfile) server(lag time.Duration, seed uint64) database.Config {
	return database.Config{
		ReplicationLag: lag,
		ConnectCost:    p.connectCost,
		MaxConnections: p.connections,
		Slots:          p.slots,
		ServiceTime:    serviceTime,
		Seed:           seed,
	}
}

// clientAccountName returns the name of client account i; the first largeAccountCount are large.
func clientAccountName(i int) string {
	if i < largeAccountCount {
		return fmt.Sprintf("large-%d", i+1)
	}
	return fmt.Sprintf("small-%d", i+1-largeAccountCount)
}

func offeredRate(i int) float64 {
	if i < largeAccountCount {
		return largeRate
	}
	return smallRate
}

func clientAccounts() []local.Account {
	var out []local.Account
	for i := range clientAccountCount {
		limit := rateLimitFactor * offeredRate(i)
		out = append(out, local.Account{Name: clientAccountName(i), Weight: 1, Rate: limit, Burst: limit})
	}
	return out
}

func clientAccountNames() []string {
	var out []string
	for i := range clientAccountCount {
		out = append(out, clientAccountName(i))
	}
	return out
}

// deployment is a running deployment with the latencies of its profile.
type deployment struct {
	*local.Deployment
	profile            deploymentProfile
	instanceNetwork    *network       // from instances to servers and to other instances
	replicationNetwork *network       // between servers
	callerRelays       []*relay.Relay // by instance
}

// deploymentOptions are the parameters that differ between benchmarks.
type deploymentOptions struct {
	lag    time.Duration
	seed   uint64
	routes []manifest.Route
	adjust func(*daemon.Config) // may be nil
}

// startDeployment starts six instances and three servers in three regions.
func startDeployment(ctx context.Context, profile deploymentProfile, options deploymentOptions) (*deployment, error) {
	d := &deployment{profile: profile, instanceNetwork: newNetwork(profile.interRegionDelay), replicationNetwork: newNetwork(profile.interRegionDelay)}
	for i := range options.routes {
		options.routes[i].Database = local.DatabaseName
		options.routes[i].Accounts = clientAccountNames()
	}
	var relayErr error
	cfg := local.Config{
		Instances:          deploymentInstances,
		Server:             profile.server(options.lag, options.seed),
		Accounts:           clientAccounts(),
		Routes:             options.routes,
		ServerLocalities:   profile.localities(),
		InstanceLocalities: profile.localities(),
		ServerAddress:      d.registerServer,
		PeerAddress:        d.relayedPeerAddress(&relayErr),
		Adjust: func(i int, c *daemon.Config) {
			c.DrainTimeout = benchDrainTimeout
			c.Dial = d.instanceNetwork.dialer(c.Region)
			relayErr = errors.CombineErrors(relayErr, d.listenPeer(c))
			if options.adjust != nil {
				options.adjust(c)
			}
		},
	}
	var err error
	d.Deployment, err = local.Start(ctx, cfg)
	if err == nil {
		err = errors.CombineErrors(relayErr, d.startCallerRelays())
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// serverIndex returns the index of a server by its ID, which the stand-in assigns as s1, s2, ...
func serverIndex(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "s%d", &n)
	return n - 1
}

// registerServer sets the region of a server's address.
func (d *deployment) registerServer(id, address string) string {
	d.instanceNetwork.setRegion(address, d.profile.region(serverIndex(id)))
	return address
}

// relayedPeerAddress returns the function that maps a server's address to the relay through which
// another server reaches it. Errors are added to relayErr.
func (d *deployment) relayedPeerAddress(relayErr *error) func(from, to authority.ServerID, address string) string {
	return func(from, to authority.ServerID, address string) string {
		d.replicationNetwork.setRegion(address, d.profile.region(serverIndex(string(to))))
		relayed, err := d.replicationNetwork.relayAddress(d.profile.region(serverIndex(string(from))), address)
		if err != nil {
			*relayErr = errors.CombineErrors(*relayErr, err)
			return address
		}
		return relayed
	}
}

// listenPeer opens an instance's listener for other instances and sets the region of its address.
func (d *deployment) listenPeer(c *daemon.Config) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	c.PeerListener = listener
	d.instanceNetwork.setRegion(listener.Addr().String(), c.Region)
	return nil
}

func (d *deployment) startCallerRelays() error {
	for _, i := range d.Instances {
		r, err := relay.Start(i.Address, callerDelay, callerDelay)
		if err != nil {
			return err
		}
		d.callerRelays = append(d.callerRelays, r)
	}
	return nil
}

func (d *deployment) close() {
	for _, r := range d.callerRelays {
		r.Disable()
	}
	if d.Deployment != nil {
		d.Deployment.Close()
	}
	d.instanceNetwork.close()
	d.replicationNetwork.close()
}

// servers returns the servers, store and networks that faults act on.
func (d *deployment) servers() *servers {
	return &servers{group: d.Group, store: d.Store, networks: []*network{d.instanceNetwork, d.replicationNetwork}}
}

// load returns the load of all accounts on a route, spread over all instances.
func (d *deployment) load(route string, seed uint64, duration time.Duration) load.Config {
	return loadThrough(d.callerRelays, d.Key, route, seed, duration)
}

// loadThrough returns the load of all accounts, spread over the entry relays.
func loadThrough(entries []*relay.Relay, key func(account string) string, route string, seed uint64, duration time.Duration) load.Config {
	c := load.Config{
		Database:    route,
		Connections: clientAccountCount * sessionsPerAccount,
		ReadShare:   benchReadShare,
		Duration:    duration,
		Seed:        seed,
		RunName:     route,
	}
	for _, r := range entries {
		c.Addresses = append(c.Addresses, r.Proxy.Listen)
	}
	for i := range clientAccountCount {
		name := clientAccountName(i)
		c.Accounts = append(c.Accounts, load.Account{Name: name, Key: key(name), Rate: offeredRate(i)})
	}
	return c
}

// readFinal reads the final content directly from the primary into the history of r.
func readFinal(ctx context.Context, g *database.Group, r *load.Result) error {
	primary := g.Primary()
	if primary < 0 {
		return errors.New("the group has no primary at the end of the run; check what prevents a promotion")
	}
	return r.ReadFinalContent(ctx, g.Server(primary).Address(), "", load.Account{Name: "bench"})
}

// servers is a database group with the store and the networks, for injecting faults.
type servers struct {
	group    *database.Group
	store    *store.Server // nil without a store
	networks []*network
}

func (s *servers) address(i int) string { return s.group.Server(i).Address() }

func (s *servers) kill(i int) error {
	s.group.Kill(i)
	return s.setRefusing(i, true)
}

func (s *servers) restart(i int) error {
	if err := s.setRefusing(i, false); err != nil {
		return err
	}
	return s.group.Restart(i)
}

func (s *servers) setRefusing(i int, on bool) error {
	for _, n := range s.networks {
		if err := n.setRefusing(s.address(i), on); err != nil {
			return err
		}
	}
	return nil
}
