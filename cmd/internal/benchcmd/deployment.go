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
	entryInstances = 6
	clientAccounts = 8
	largeAccounts  = 2
	// smallRate and largeRate are what an account of each kind offers, in statements per second.
	// Together they are well below what the slots of the smaller deployment carry.
	smallRate = 5.0
	largeRate = 15.0
	// rateAllowance is the rate limit of an account relative to what it offers: the quota is not
	// what these benches measure.
	rateAllowance = 10
	// sessionsPerAccount is how many connections an account's load is spread over.
	sessionsPerAccount = 3
	// callerDelay is the latency one way between callers and instances.
	callerDelay = time.Millisecond
	// serviceTime is what a statement takes in its slot.
	serviceTime = time.Millisecond
	// benchReadShare is the part of the statements that reads.
	benchReadShare = 0.6
	// benchDrain bounds the end of an instance, so that a bench ends in time.
	benchDrain = time.Second
)

// size is a deployment of the design page.
type size struct {
	name        string
	regions     []string
	between     time.Duration // one way between regions
	slots       int           // per server
	connections int           // per server
	connectCost time.Duration // of a new connection
}

// sizes lists the deployments of the design page.
var sizes = []size{
	{"prairie", []string{"sask", "alta", "mani"}, 20 * time.Millisecond, 3, 20, 10 * time.Millisecond},
	{"malabar", []string{"malabar", "kochi", "travancore"}, 8 * time.Millisecond, 5, 50, 30 * time.Millisecond},
}

func sizeOf(name string) (size, error) {
	for _, s := range sizes {
		if s.name == name {
			return s, nil
		}
	}
	return size{}, errors.Newf("--deployment: %q is not known; give prairie or malabar", name)
}

// region returns the region of server or instance i; both are spread evenly.
func (s size) region(i int) string { return s.regions[i%len(s.regions)] }

func (s size) places() []local.Place {
	var out []local.Place
	for _, region := range s.regions {
		out = append(out, local.Place{Region: region, FailureDomain: region + "-a"})
	}
	return out
}

func (s size) server(lag time.Duration, seed uint64) database.Config {
	return database.Config{
		ReplicationLag: lag,
		ConnectCost:    s.connectCost,
		MaxConnections: s.connections,
		Slots:          s.slots,
		ServiceTime:    serviceTime,
		Seed:           seed,
	}
}

// clientName returns the name of client account i; the first ones are large.
func clientName(i int) string {
	if i < largeAccounts {
		return fmt.Sprintf("large-%d", i+1)
	}
	return fmt.Sprintf("small-%d", i+1-largeAccounts)
}

func offeredRate(i int) float64 {
	if i < largeAccounts {
		return largeRate
	}
	return smallRate
}

func accounts() []local.Account {
	var out []local.Account
	for i := range clientAccounts {
		limit := rateAllowance * offeredRate(i)
		out = append(out, local.Account{Name: clientName(i), Weight: 1, Rate: limit, Burst: limit})
	}
	return out
}

func accountNames() []string {
	var out []string
	for i := range clientAccounts {
		out = append(out, clientName(i))
	}
	return out
}

// deployment is a running deployment with the latencies of its size.
type deployment struct {
	*local.Deployment
	size    size
	network *network       // from instances to servers and to other instances
	peers   *network       // between servers
	callers []*relay.Relay // by instance
}

// settings are what a bench varies.
type settings struct {
	lag    time.Duration
	seed   uint64
	routes []manifest.Route
	adjust func(*daemon.Config) // may be nil
}

// startDeployment starts six instances and three servers in three regions.
func startDeployment(ctx context.Context, s size, o settings) (*deployment, error) {
	d := &deployment{size: s, network: newNetwork(s.between), peers: newNetwork(s.between)}
	for i := range o.routes {
		o.routes[i].Database = local.DatabaseName
		o.routes[i].Accounts = accountNames()
	}
	var failure error
	cfg := local.Config{
		Instances:      entryInstances,
		Server:         s.server(o.lag, o.seed),
		Accounts:       accounts(),
		Routes:         o.routes,
		ServerPlaces:   s.places(),
		InstancePlaces: s.places(),
		ServerAddress:  d.placeServer,
		PeerAddress:    d.peerAddress(&failure),
		Adjust: func(i int, c *daemon.Config) {
			c.DrainTimeout = benchDrain
			c.Dial = d.network.dialer(c.Region)
			failure = errors.CombineErrors(failure, d.listenPeer(c))
			if o.adjust != nil {
				o.adjust(c)
			}
		},
	}
	var err error
	d.Deployment, err = local.Start(ctx, cfg)
	if err == nil {
		err = errors.CombineErrors(failure, d.startCallers())
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

// placeServer tells the network where a server is.
func (d *deployment) placeServer(id, address string) string {
	d.network.place(address, d.size.region(serverIndex(id)))
	return address
}

// peerAddress returns the relays between servers.
func (d *deployment) peerAddress(failure *error) func(from, to authority.ServerID, address string) string {
	return func(from, to authority.ServerID, address string) string {
		d.peers.place(address, d.size.region(serverIndex(string(to))))
		through, err := d.peers.reach(d.size.region(serverIndex(string(from))), address)
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
	d.network.place(listener.Addr().String(), c.Region)
	return nil
}

func (d *deployment) startCallers() error {
	for _, i := range d.Instances {
		r, err := relay.Start(i.Address, callerDelay, callerDelay)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, r)
	}
	return nil
}

func (d *deployment) close() {
	for _, r := range d.callers {
		r.Cut()
	}
	if d.Deployment != nil {
		d.Deployment.Close()
	}
	d.network.close()
	d.peers.close()
}

// servers returns what a fault acts on.
func (d *deployment) servers() *servers {
	return &servers{group: d.Group, store: d.Store, paths: []*network{d.network, d.peers}}
}

// load returns the load of all accounts through all instances on a route.
func (d *deployment) load(route string, seed uint64, duration time.Duration) load.Config {
	return loadThrough(d.callers, d.Key, route, seed, duration)
}

// loadThrough returns the load of all accounts through entry relays.
func loadThrough(entries []*relay.Relay, key func(account string) string, route string, seed uint64, duration time.Duration) load.Config {
	c := load.Config{
		Database:    route,
		Connections: clientAccounts * sessionsPerAccount,
		ReadShare:   benchReadShare,
		Duration:    duration,
		Seed:        seed,
		Run:         route,
	}
	for _, r := range entries {
		c.Addresses = append(c.Addresses, r.Proxy.Listen)
	}
	for i := range clientAccounts {
		name := clientName(i)
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
	group *database.Group
	store *store.Server // nil without one
	paths []*network
}

func (s *servers) address(i int) string { return s.group.Server(i).Address() }

func (s *servers) kill(i int) error {
	s.group.Kill(i)
	return s.refuse(i, true)
}

func (s *servers) restart(i int) error {
	if err := s.refuse(i, false); err != nil {
		return err
	}
	return s.group.Restart(i)
}

func (s *servers) refuse(i int, on bool) error {
	for _, p := range s.paths {
		if err := p.refuse(s.address(i), on); err != nil {
			return err
		}
	}
	return nil
}
