package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// maxMoveLag is the replication lag above which a server is not made the primary just to move it home. Writes stop for as
// long, and it leaves half of catchUpTimeout for the writes of the meantime.
const maxMoveLag = catchUpTimeout / 2

const (
	// movers is the number of instances that try to move a primary home, the first in the hash order of its database. Each
	// attempt opens several control connections to the servers, whose connections callers need.
	movers = 3
	// moverTerm is how long the movers stay the same. Others follow, because these may be cut off from the store or from the
	// servers. Clocks that differ only make the terms overlap.
	moverTerm = time.Minute
)

// reportUnknownHomes logs the regions in a configuration that no failure domain has. Requests that are bound to them alone
// are refused.
func (n *Node) reportUnknownHomes(s *catalog.Snapshot) {
	known := map[string]bool{}
	for _, region := range n.settings.Regions {
		known[region] = true
	}
	for _, u := range s.UnknownHomes(func(region string) bool { return known[region] }) {
		event(n.log, EventHomeUnknown).WithFields(logrus.Fields{
			"version": s.Version(), "region": u.Region, "routes": u.Routes, "accounts": u.Accounts,
		}).Warn("no failure domain has a region that the configuration names")
	}
}

// homesOf returns the regions in which the primary of a database belongs.
func (p *promotionController) homesOf(database string) home.Regions {
	snapshot := p.node.directory.Current()
	if snapshot == nil {
		return home.Regions{}
	}
	return snapshot.PrimaryHomes(database)
}

// isAwayFromHome reports whether the primary of a database is to be moved to a home region.
func (p *promotionController) isAwayFromHome(database string, primary discovery.Server) bool {
	homes := p.homesOf(database)
	if primary.ID == "" || !homes.Bound() {
		return false
	}
	var candidates []home.Candidate
	for _, s := range p.node.gateway.Servers(database) {
		candidates = append(candidates, p.candidateFor(s))
	}
	return home.IsAway(homes, primary.Region, candidates) && isMover(p.node.peers, p.node.settings.Listen.Peers, database, time.Now())
}

// isMover reports whether the instance with the given peer address tries to move the primary of a database home.
func isMover(peers *peer.Set, self, database string, now time.Time) bool {
	key := fmt.Sprintf("home/%s/%d", database, now.Unix()/int64(moverTerm.Seconds()))
	return slices.Contains(peer.RendezvousTop(key, peers.Usable(), movers), self)
}

func (p *promotionController) candidateFor(s discovery.Server) home.Candidate {
	return home.Candidate{Region: s.Region, Leaving: s.Leaving, Evacuated: s.Evacuated, Warmup: p.node.gateway.WarmupRemaining(s)}
}

// moveHome hands a primary over to a server in its home regions. Unlike a primary that leaves, it can stay: nobody is
// promoted unless it has stepped down, and it is promoted again if its successor does not receive all of its writes.
func (p *promotionController) moveHome(ctx context.Context, database string, old discovery.Server) error {
	homes := p.homesOf(database)
	successor, err := p.chooseSuccessor(ctx, database, old.ID, false, func(s discovery.Server) bool {
		return p.candidateFor(s).MayLeadAtHome(homes)
	})
	if err != nil {
		return err
	}
	if !p.followsClosely(ctx, successor.server, old) {
		return errLagsBehind
	}
	if err := p.endFormerLead(ctx, successor); err != nil {
		return err
	}
	own, err := p.claimPromotion(ctx, database, old.ID, successor.server.ID, true)
	if err != nil {
		return err
	}
	caughtUp, err := p.stepDownFor(ctx, own, old, successor.server)
	if err != nil {
		return err
	}
	if caughtUp {
		return p.promote(ctx, successor, own, formerLead{server: old.ID, steppedDown: old.ID, covered: true})
	}
	return p.promoteAgain(ctx, own, old, successor)
}

// followsClosely reports whether a server has received within maxMoveLag what the primary has now.
func (p *promotionController) followsClosely(ctx context.Context, s, primary discovery.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, maxMoveLag)
	defer cancel()
	for {
		status, err := p.node.gateway.Probe(ctx, primary)
		if err == nil {
			return p.awaitCaughtUp(ctx, s, status, catchUpPollInterval)
		}
		if !errors.Is(err, gateway.ErrBusy) || !wait.For(ctx, stepDownRetryInterval) {
			return false
		}
	}
}

// stepDownFor makes a primary step down and reports whether its successor has received all of its writes.
func (p *promotionController) stepDownFor(ctx context.Context, own ownClaim, old, successor discovery.Server) (caughtUp bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	status, err := p.stepDownHeld(ctx, own, old)
	if err != nil {
		return false, err
	}
	return p.awaitCaughtUp(ctx, successor, status, catchUpPollInterval), nil
}
