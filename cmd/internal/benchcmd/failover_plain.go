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
	// plainTimeout is how long the primary may be unresponsive before the plain policy promotes another
	// server.
	plainTimeout = 3 * time.Second
	// plainInterval and plainCallTimeout are the interval and timeout of its probes.
	plainInterval    = 200 * time.Millisecond
	plainCallTimeout = 300 * time.Millisecond
	plainOwner       = "plain policy"
)

// plainFailover is the baseline: callers connect directly to the primary through an entry address in
// each region, a write is acknowledged once the primary has answered, and a script promotes another
// server when the primary has been unresponsive for plainTimeout. The script fences only the promoted
// server and then points the entry addresses to it, which closes the callers' connections.
type plainFailover struct {
	profile            deploymentProfile
	group              *database.Group
	callerNetwork      *network // from callers and script to servers
	replicationNetwork *network
	entryRelays        []*relay.Relay // by region
	primary            int
}

func startPlainFailover(profile deploymentProfile, options deploymentOptions) (*plainFailover, error) {
	d := &deployment{profile: profile, instanceNetwork: newNetwork(profile.interRegionDelay), replicationNetwork: newNetwork(profile.interRegionDelay)}
	p := &plainFailover{profile: profile, callerNetwork: d.instanceNetwork, replicationNetwork: d.replicationNetwork}
	server := profile.server(options.lag, options.seed)
	server.MaxConnections = 0 // callers are not pooled, so the limit doesn't apply
	var relayErr error
	var err error
	p.group, err = database.StartGroup(database.GroupConfig{Server: server, PeerAddress: d.relayedPeerAddress(&relayErr)})
	if err != nil {
		return nil, err
	}
	err = errors.CombineErrors(relayErr, p.startEntryRelays())
	if err != nil {
		p.close()
	}
	return p, err
}

func (p *plainFailover) startEntryRelays() error {
	for i := range p.group.Size() {
		p.callerNetwork.setRegion(p.group.Server(i).Address(), p.profile.region(i))
	}
	for _, region := range p.profile.regions {
		relayed, err := p.callerNetwork.relayAddress(region, p.group.Server(0).Address())
		if err != nil {
			return err
		}
		entry, err := relay.Start(relayed, callerDelay, callerDelay)
		if err != nil {
			return err
		}
		p.entryRelays = append(p.entryRelays, entry)
	}
	return nil
}

func (p *plainFailover) close() {
	for _, e := range p.entryRelays {
		e.Disable()
	}
	p.group.Close()
	p.callerNetwork.close()
	p.replicationNetwork.close()
}

func (p *plainFailover) servers() *servers {
	return &servers{group: p.group, networks: []*network{p.callerNetwork, p.replicationNetwork}}
}

func (p *plainFailover) load(route string, seed uint64, duration time.Duration) load.Config {
	noKey := func(string) string { return "" }
	return loadThrough(p.entryRelays, noKey, route, seed, duration)
}

// runScript probes the primary and promotes another server when it is unresponsive, until ctx ends.
func (p *plainFailover) runScript(ctx context.Context) {
	answered := time.Now()
	for sleep(ctx, plainInterval) == nil {
		if _, err := p.callServer(ctx, p.primary, (*dbgroup.Client).ProbeFresh); err == nil {
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

// callServer calls a server over a new connection from the script's region, which is the first one.
func (p *plainFailover) callServer(ctx context.Context, i int, f func(*dbgroup.Client, context.Context) (authority.ServerState, error)) (authority.ServerState, error) {
	address, err := p.callerNetwork.relayAddress(p.profile.regions[0], p.group.Server(i).Address())
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

// promote promotes the server with the most advanced log among the others.
func (p *plainFailover) promote(ctx context.Context) error {
	best, state := -1, authority.ServerState{}
	for i := range p.group.Size() {
		if i == p.primary {
			continue
		}
		s, err := p.callServer(ctx, i, (*dbgroup.Client).ProbeFresh)
		if err == nil && (best < 0 || state.Position().Less(s.Position())) {
			best, state = i, s
		}
	}
	if best < 0 {
		return errors.New("no other server answers")
	}
	term := max(state.Term, state.FenceTerm) + 1
	_, err := p.callServer(ctx, best, func(c *dbgroup.Client, ctx context.Context) (authority.ServerState, error) {
		if _, err := c.Fence(ctx, term, plainOwner); err != nil {
			return authority.ServerState{}, err
		}
		return c.Promote(ctx, term, plainOwner)
	})
	if err != nil {
		return err
	}
	p.primary = best
	return p.retargetEntryRelays()
}

func (p *plainFailover) retargetEntryRelays() error {
	for i, e := range p.entryRelays {
		relayed, err := p.callerNetwork.relayAddress(p.profile.regions[i], p.group.Server(p.primary).Address())
		if err != nil {
			return err
		}
		to := &toxiproxy.Proxy{Listen: e.Proxy.Listen, Upstream: relayed, Enabled: true}
		if err := e.Proxy.Update(to); err != nil {
			return errors.Wrap(err, "point an entry address to the new primary")
		}
	}
	return nil
}
