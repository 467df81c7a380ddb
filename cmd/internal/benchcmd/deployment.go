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
	// smallRate and largeRate are what an account of each kind offers, in statements per second.
	// Together they are well below what the slots of the smaller deployment carry.
	smallRate = 5.0
	largeRate = 15.0
	// rateLimitFactor is the rate limit of an account relative to what it offers: the quota is not
	// what these benches measure.
	rateLimitFactor = 10
	// sessionsPerAccount is how many connections an account's load is spread over.
	sessionsPerAccount = 3
	// callerDelay is the latency one way between callers and instances.
	callerDelay = time.Millisecond
	// serviceTime is what a statement takes in its slot.
	serviceTime = time.Millisecond
	// benchReadShare is the part of the statements that reads.
	benchReadShare = 0.6
	// benchDrainTimeout bounds the end of an instance, so that a bench ends in time.
	benchDrainTimeout = time.Second
)

// deploymentProfile is a deployment of the design page.
type deploymentProfile struct {
	name             string
	regions          []string
	interRegionDelay time.Duration // one way between regions
	slots            int           // per server
	connections      int           // per server
	connectCost      time.Duration // of a new connection
}

// deploymentProfiles lists the deployments of the design page.
var deploymentProfiles = []deploymentProfile{
	{"prairie", []string{"sask", "alta", "mani"}, 20 * time.Millisecond, 3, 20, 10 * time.Millisecond},
	{"malabar", []string{"malabar", "kochi", "travancore"}, 8 * time.Millisecond, 5, 50, 30 * time.Millisecond},
}

func profileByName(name string) (deploymentProfile, error) {
	for _, s := range deploymentProfiles {
		if s.name == name {
			return s, nil
		}
	}
	return deploymentProfile{}, errors.Newf("--deployment: %q is not known; give prairie or malabar", name)
}

// region returns the region of server or instance i; both are spread evenly.
func (s deploymentProfile) region(i int) string { return s.regions[i%len(s.regions)] }

func (s deploymentProfile) localities() []local.Place {
	var out []local.Place
	for _, region := range s.regions {
		out = append(out, local.Place{Region: region, FailureDomain: region + "-a"})
	}
	return out
}

func (s deploymentProfile) server(lag time.Duration, seed uint64) database.Config {
	return database.Config{
		ReplicationLag: lag,
		ConnectCost:    s.connectCost,
		MaxConnections: s.connections,
		Slots:          s.slots,
		ServiceTime:    serviceTime,
		Seed:           seed,
	}
}

// clientAccountName returns the name of client account i; the first ones are large.
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

// deployment is a running deployment with the latencies of its size.
type deployment struct {
	*local.Deployment
	profile            deploymentProfile
	instanceNetwork    *network       // from instances to servers and to other instances
	replicationNetwork *network       // between servers
	callerRelays       []*relay.Relay // by instance
}

// deploymentOptions are what a bench varies.
type deploymentOptions struct {
	lag    time.Duration
	seed   uint64
	routes []manifest.Route
	adjust func(*daemon.Config) // may be nil
}

// startDeployment starts six instances and three servers in three regions.
func startDeployment(ctx context.Context, s deploymentProfile, o deploymentOptions) (*deployment, error) {
	d := &deployment{profile: s, instanceNetwork: newNetwork(s.interRegionDelay), replicationNetwork: newNetwork(s.interRegionDelay)}
	for i := range o.routes {
		o.routes[i].Database = local.DatabaseName
		o.routes[i].Accounts = clientAccountNames()
	}
	var failure error
	cfg := local.Config{
		Instances:      deploymentInstances,
		Server:         s.server(o.lag, o.seed),
		Accounts:       clientAccounts(),
		Routes:         o.routes,
		ServerPlaces:   s.localities(),
		InstancePlaces: s.localities(),
		ServerAddress:  d.registerServer,
		PeerAddress:    d.relayedPeerAddress(&failure),
		Adjust: func(i int, c *daemon.Config) {
			c.DrainTimeout = benchDrainTimeout
			c.Dial = d.instanceNetwork.dialer(c.Region)
			failure = errors.CombineErrors(failure, d.listenPeer(c))
			if o.adjust != nil {
				o.adjust(c)
			}
		},
	}
	var err error
	d.Deployment, err = local.Start(ctx, cfg)
	if err == nil {
		err = errors.CombineErrors(failure, d.startCallerRelays())
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// serverIndex returns the index of a server that the stand-in named s1, s2, ...
func serverIndex(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "s%d", &n)
	return n - 1
}

// registerServer tells the network where a server is.
func (d *deployment) registerServer(id, address string) string {
	d.instanceNetwork.setRegion(address, d.profile.region(serverIndex(id)))
	return address
}

// relayedPeerAddress returns the relays between servers.
func (d *deployment) relayedPeerAddress(failure *error) func(from, to authority.ServerID, address string) string {
	return func(from, to authority.ServerID, address string) string {
		d.replicationNetwork.setRegion(address, d.profile.region(serverIndex(string(to))))
		through, err := d.replicationNetwork.relayAddress(d.profile.region(serverIndex(string(from))), address)
		if err != nil {
			*failure = errors.CombineErrors(*failure, err)
			return address
		}
		return through
	}
}

// listenPeer opens an instance's port for other instances, whose address the network has to know.
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
		r.Cut()
	}
	if d.Deployment != nil {
		d.Deployment.Close()
	}
	d.instanceNetwork.close()
	d.replicationNetwork.close()
}

// servers returns what a fault acts on.
func (d *deployment) servers() *servers {
	return &servers{group: d.Group, store: d.Store, networks: []*network{d.instanceNetwork, d.replicationNetwork}}
}

// load returns the load of all accounts through all instances on a route.
func (d *deployment) load(route string, seed uint64, duration time.Duration) load.Config {
	return loadThrough(d.callerRelays, d.Key, route, seed, duration)
}

// loadThrough returns the load of all accounts through entry relays.
func loadThrough(entries []*relay.Relay, key func(account string) string, route string, seed uint64, duration time.Duration) load.Config {
	c := load.Config{
		Database:    route,
		Connections: clientAccountCount * sessionsPerAccount,
		ReadShare:   benchReadShare,
		Duration:    duration,
		Seed:        seed,
		Run:         route,
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

// readFinal reads the final content from the primary itself into the history of r.
func readFinal(ctx context.Context, g *database.Group, r *load.Result) error {
	primary := g.Primary()
	if primary < 0 {
		return errors.New("the group has no primary at the end of the run; look for what stops a promotion")
	}
	return r.ReadFinal(ctx, g.Server(primary).Address(), "", load.Account{Name: "bench"})
}

// servers is a database group with the paths to it, for faults.
type servers struct {
	group    *database.Group
	store    *store.Server // nil without one
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
	for _, p := range s.networks {
		if err := p.setRefusing(s.address(i), on); err != nil {
			return err
		}
	}
	return nil
}
