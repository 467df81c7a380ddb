package node

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
)

// recordSuccessor records whether a server was found that can replace an evacuated primary, and logs changes.
func (p *promotionController) recordSuccessor(database string, found bool) {
	p.node.gateway.RecordSuccessor(database, found)
	p.mu.Lock()
	changed := p.withoutSuccessor[database] == found
	p.withoutSuccessor[database] = !found
	p.mu.Unlock()
	if !changed {
		return
	}
	log := event(p.log, EventNoSuccessor).WithField("database", database)
	if found {
		log.Info("a server outside the evacuated failure domains can be the primary again")
		return
	}
	log.Warn("no server outside the evacuated failure domains can be the primary; what needs one is refused")
}

func (p *promotionController) lacksSuccessor(database string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withoutSuccessor[database]
}

// candidate is a server that answered a probe.
type candidate struct {
	server discovery.Server
	status placement.Status
	busy   bool // it had no room to tell its status, which is zero
	cold   bool
}

// compareCandidates orders candidates by what they have received. Among equals, one at home is better, then a warm one, as a cold
// server gets few statements.
func compareCandidates(homes home.Regions, a, b candidate) int {
	return cmp.Or(
		a.status.Received.Compare(b.status.Received),
		homes.Compare(a.server.Region, b.server.Region),
		compareBool(b.cold, a.cold),
		cmp.Compare(b.server.ID, a.server.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// chooseSuccessor returns the reachable and fit server that has received the most of the log, among equals one at home.
func (p *promotionController) chooseSuccessor(ctx context.Context, database, old string, fit func(discovery.Server) bool) (candidate, error) {
	var mu sync.Mutex
	var candidates []candidate
	var probes sync.WaitGroup
	for _, s := range p.node.gateway.Servers(database) {
		if s.ID == old || s.Leaving || s.Evacuated || !fit(s) {
			continue
		}
		probes.Go(func() {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			status, err := p.node.gateway.Probe(probeCtx, s)
			if err != nil && !errors.Is(err, gateway.ErrBusy) {
				return // unreachable, so not a candidate
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, candidate{server: s, status: status, busy: err != nil, cold: p.node.gateway.IsCold(s)})
		})
	}
	probes.Wait()
	if len(candidates) == 0 {
		return candidate{}, errNoSuccessor
	}
	// An earlier order may still take effect.
	ordered := p.node.orderedServer(database)
	if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.server.ID == ordered }); i >= 0 {
		return candidates[i], nil
	}
	homes := p.homesOf(database)
	return slices.MaxFunc(candidates, func(a, b candidate) int { return compareCandidates(homes, a, b) }), nil
}

// checkFollows returns errPrimarySilent if an evacuated primary does not answer, and errLagsBehind if its successor does not
// receive within maxMoveLag what the primary has. The primary, which gets nothing new, then stays until the successor has.
func (p *promotionController) checkFollows(ctx context.Context, successor candidate, old discovery.Server) error {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := p.node.gateway.Probe(probeCtx, old)
	switch {
	case errors.Is(err, gateway.ErrBusy):
		return nil // it is asked again when it steps down
	case err != nil:
		return errPrimarySilent
	case !successor.status.Received.Less(status.Received):
		return nil
	}
	if p.lacksSuccessor(successor.server.Database) {
		return errLagsBehind // the next attempt sees whether it has caught up
	}
	lagCtx, cancelLag := context.WithTimeout(ctx, maxMoveLag)
	defer cancelLag()
	if !p.awaitCaughtUp(lagCtx, successor.server, status, lagPollInterval) {
		return errLagsBehind
	}
	return nil
}
