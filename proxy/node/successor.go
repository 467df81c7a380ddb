package node

import (
	"cmp"
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/succession"
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
	// basis is the evidence that it has all acknowledged commits.
	basis succession.Basis
	// lastResort: it leaves or is evacuated, and no other server has all acknowledged commits.
	lastResort bool
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

// copiesOf returns how many replicas must have received a commit of a database before it is acknowledged.
func (p *promotionController) copiesOf(database string) (int, error) {
	snapshot := p.node.directory.Current()
	if snapshot == nil {
		return 0, errNoConfiguration
	}
	d, _ := snapshot.Database(database) // one that was removed from the configuration has no callers
	return d.Copies, nil
}

// chooseSuccessor returns the reachable and fit server that has received the most of the log, among equals one at home. Where commits
// are acknowledged by replicas, it has all acknowledged ones, or the error is errCommitsUnknown or errCommitsMissing. With anyServer it
// may be an unfit one, if only such ones have them. An order without an answer is carried through if it can be.
func (p *promotionController) chooseSuccessor(ctx context.Context, database, old string, anyServer bool, fit func(discovery.Server) bool) (candidate, error) {
	copies, err := p.copiesOf(database)
	if err != nil {
		return candidate{}, err
	}
	q := newInquiry(p, database, old, copies, fit)
	q.anyServer = anyServer
	q.claim = p.node.knownClaim(database)
	q.await(ctx, q.settled)
	return q.successor()
}

// isFit is for promotions for which every server will do that may lead.
func isFit(discovery.Server) bool { return true }

// confirmSuccessor returns the end of a chosen server's log once it is known to have all commits that were acknowledged so far; zero without
// copies. final is what the former primary had when it stepped down, nil if it has not told.
func (p *promotionController) confirmSuccessor(ctx context.Context, old string, successor discovery.Server, final *position.Position) (position.Position, error) {
	copies, err := p.copiesOf(successor.Database)
	if err != nil || copies == 0 {
		return position.Position{}, err
	}
	q := newInquiry(p, successor.Database, old, copies, isFit)
	if final != nil {
		q.selection.RecordFormer(*final)
	}
	q.await(ctx, func() bool {
		return q.selection.Proof(successor.ID) != succession.BasisNone || q.selection.IsBehind(successor.ID)
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.selection.Proof(successor.ID) == succession.BasisNone {
		return position.Position{}, q.unproven()
	}
	return q.answered[successor.ID].status.Received, nil
}

// checkFollows returns errPrimarySilent if a primary that is to hand over does not answer, and errLagsBehind if its successor does not
// receive within maxMoveLag what the primary has. The primary then stays until the successor has: an evacuated one, which gets nothing
// new, without limit, others with copies only, for followPatience. The successor has all acknowledged commits before that, too.
func (p *promotionController) checkFollows(ctx context.Context, successor candidate, old discovery.Server) error {
	if !old.Evacuated && (successor.basis == succession.BasisNoCopies || p.leavesSoon(old.Database)) {
		return nil
	}
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
	if old.Evacuated && p.lacksSuccessor(successor.server.Database) {
		return errLagsBehind // the next attempt sees whether it has caught up
	}
	lagCtx, cancelLag := context.WithTimeout(ctx, maxMoveLag)
	defer cancelLag()
	if !p.awaitCaughtUp(lagCtx, successor.server, status, lagPollInterval) {
		return errLagsBehind
	}
	return nil
}
