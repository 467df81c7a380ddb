package benchcmd

import (
	"context"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

const (
	// plainTimeout is the silence after which the plain policy promotes another server.
	plainTimeout = 3 * time.Second
	// plainInterval and plainCallTimeout are those of its probes.
	plainInterval    = 200 * time.Millisecond
	plainCallTimeout = 300 * time.Millisecond
	plainOwner       = "plain policy"
)

// plainFailover is the baseline: callers connect to the primary itself by an entry address in each
// region, a write is acknowledged when the primary has answered, and a script promotes another
// server when the primary has been silent for plainTimeout. It fences the promoted server only and
// then moves the entry addresses, which closes the callers' connections.
type plainFailover struct {
	size    size
	group   *database.Group
	network *network // of callers and script to servers
	peers   *network
	entries []*relay.Relay // by region
	primary int
}

func startPlain(s size, o settings) (*plainFailover, error) {
	d := &deployment{size: s, network: newNetwork(s.between), peers: newNetwork(s.between)}
	p := &plainFailover{size: s, network: d.network, peers: d.peers}
	server := s.server(o.lag, o.seed)
	server.MaxConnections = 0 // callers are not pooled
	var failure error
	var err error
	p.group, err = database.StartGroup(database.GroupConfig{Server: server, PeerAddress: d.peerAddress(&failure)})
	if err != nil {
		return nil, err
	}
	err = errors.CombineErrors(failure, p.startEntries())
	if err != nil {
		p.close()
	}
	return p, err
}

func (p *plainFailover) startEntries() error {
	for i := range p.group.Size() {
		p.network.place(p.group.Server(i).Address(), p.size.region(i))
	}
	for _, region := range p.size.regions {
		through, err := p.network.reach(region, p.group.Server(0).Address())
		if err != nil {
			return err
		}
		entry, err := relay.Start(through, callerDelay, callerDelay)
		if err != nil {
			return err
		}
		p.entries = append(p.entries, entry)
	}
	return nil
}

func (p *plainFailover) close() {
	for _, e := range p.entries {
		e.Cut()
	}
	p.group.Close()
	p.network.close()
	p.peers.close()
}

func (p *plainFailover) servers() *servers {
	return &servers{group: p.group, paths: []*network{p.network, p.peers}}
}

func (p *plainFailover) load(route string, seed uint64, duration time.Duration) load.Config {
	noKey := func(string) string { return "" }
	return loadThrough(p.entries, noKey, route, seed, duration)
}

// watch is the script. It runs until ctx ends.
func (p *plainFailover) watch(ctx context.Context) {
	answered := time.Now()
	for pause(ctx, plainInterval) == nil {
		if _, err := p.call(ctx, p.primary, (*dbgroup.Client).ProbeFresh); err == nil {
			answered = time.Now()
		}
		if time.Since(answered) < plainTimeout {
			continue
		}
		if p.promote(ctx) == nil {
			answered = time.Now()
		}
	}
}

// call calls a server over a new connection from the script's region, the first one.
func (p *plainFailover) call(ctx context.Context, i int, f func(*dbgroup.Client, context.Context) (authority.ServerState, error)) (authority.ServerState, error) {
	address, err := p.network.reach(p.size.regions[0], p.group.Server(i).Address())
	if err != nil {
		return authority.ServerState{}, err
	}
	client, err := dbgroup.NewClient(dbgroup.Config{Server: p.group.Server(i).ID(), Address: address, User: "script"})
	if err != nil {
		return authority.ServerState{}, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, plainCallTimeout)
	defer cancel()
	return f(client, ctx)
}

// promote makes the most advanced of the other servers the primary.
func (p *plainFailover) promote(ctx context.Context) error {
	best, state := -1, authority.ServerState{}
	for i := range p.group.Size() {
		if i == p.primary {
			continue
		}
		s, err := p.call(ctx, i, (*dbgroup.Client).ProbeFresh)
		if err == nil && (best < 0 || state.Position().Less(s.Position())) {
			best, state = i, s
		}
	}
	if best < 0 {
		return errors.New("no other server answers")
	}
	term := max(state.Term, state.FenceTerm) + 1
	_, err := p.call(ctx, best, func(c *dbgroup.Client, ctx context.Context) (authority.ServerState, error) {
		if _, err := c.Fence(ctx, term, plainOwner); err != nil {
			return authority.ServerState{}, err
		}
		return c.Promote(ctx, term, plainOwner)
	})
	if err != nil {
		return err
	}
	p.primary = best
	return p.moveEntries()
}

func (p *plainFailover) moveEntries() error {
	for i, e := range p.entries {
		through, err := p.network.reach(p.size.regions[i], p.group.Server(p.primary).Address())
		if err != nil {
			return err
		}
		to := &toxiproxy.Proxy{Listen: e.Proxy.Listen, Upstream: through, Enabled: true}
		if err := e.Proxy.Update(to); err != nil {
			return errors.Wrap(err, "move an entry address")
		}
	}
	return nil
}
