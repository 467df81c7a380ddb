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
	profile            deploymentProfile
	group              *database.Group
	callerNetwork      *network // of callers and script to servers
	replicationNetwork *network
	entryRelays        []*relay.Relay // by region
	primary            int
}

func startPlainFailover(s deploymentProfile, o deploymentOptions) (*plainFailover, error) {
	d := &deployment{profile: s, instanceNetwork: newNetwork(s.interRegionDelay), replicationNetwork: newNetwork(s.interRegionDelay)}
	p := &plainFailover{profile: s, callerNetwork: d.instanceNetwork, replicationNetwork: d.replicationNetwork}
	server := s.server(o.lag, o.seed)
	server.MaxConnections = 0 // callers are not pooled
	var failure error
	var err error
	p.group, err = database.StartGroup(database.GroupConfig{Server: server, PeerAddress: d.relayedPeerAddress(&failure)})
	if err != nil {
		return nil, err
	}
	err = errors.CombineErrors(failure, p.startEntryRelays())
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
		through, err := p.callerNetwork.relayAddress(region, p.group.Server(0).Address())
		if err != nil {
			return err
		}
		entry, err := relay.Start(through, callerDelay, callerDelay)
		if err != nil {
			return err
		}
		p.entryRelays = append(p.entryRelays, entry)
	}
	return nil
}

func (p *plainFailover) close() {
	for _, e := range p.entryRelays {
		e.Cut()
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

// runScript is the script. It runs until ctx ends.
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

// callServer calls a server over a new connection from the script's region, the first one.
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

// promote makes the most advanced of the other servers the primary.
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
		through, err := p.callerNetwork.relayAddress(p.profile.regions[i], p.group.Server(p.primary).Address())
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
