package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// holdRenewal is how often the instances are told to hold back statements for a primary, less than the time for which they do.
const holdRenewal = 200 * time.Millisecond

// handOver makes a primary that answers step down, and waits until its successor has received all of its writes. It returns where the
// successor's log ends at least. A successor that has
// not in time takes over all the same, except from an evacuated primary. Where commits are acknowledged by replicas, it has to have the
// acknowledged ones, or the error is errCommitsUnknown or errCommitsMissing.
func (p *promotionController) handOver(ctx context.Context, own ownClaim, old discovery.Server, successor candidate) (received position.Position, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	status, err := p.stepDownHeld(waitCtx, own, old)
	if err != nil {
		event(p.log, EventPromotionFailed).WithField("server", old.ID).WithError(err).
			Warn("failed to make the leaving primary step down; its last commits may be lost")
		return received, err
	}
	if p.awaitCaughtUp(waitCtx, successor.server, status, catchUpPollInterval) {
		return status.Received, nil
	}
	if old.Evacuated {
		return received, errLagsBehind
	}
	return p.confirmSuccessor(ctx, old.ID, successor.server, &status.Received)
}

// stepDown makes a primary step down. It repeats the call while the server has no room for it.
func (p *promotionController) stepDown(ctx context.Context, old discovery.Server) (placement.Status, error) {
	return p.stepDownOnceFree(ctx, old, func() {})
}

// stepDownHeld is like stepDown for the primary of a hand-over. While the server has no room for the call, all instances hold back what
// they have for it: more statements than it runs would leave no slot free at any time.
func (p *promotionController) stepDownHeld(ctx context.Context, own ownClaim, old discovery.Server) (placement.Status, error) {
	var heldAt time.Duration
	return p.stepDownOnceFree(ctx, old, func() {
		if now := boottime.Now(); heldAt == 0 || now-heldAt >= holdRenewal {
			heldAt = now
			p.hold(ctx, own, old)
		}
	})
}

// stepDownOnceFree makes a primary step down. It repeats the call while the server has no room for it, and calls busy each time.
func (p *promotionController) stepDownOnceFree(ctx context.Context, old discovery.Server, busy func()) (placement.Status, error) {
	for {
		status, err := p.node.gateway.Probe(ctx, old)
		if err == nil {
			status, err = p.stepDownBelow(ctx, old, status.Term+1)
		}
		if !errors.Is(err, gateway.ErrBusy) {
			return status, err
		}
		busy()
		if !wait.For(ctx, stepDownRetryInterval) {
			return status, err
		}
	}
}

// hold makes all instances hold back statements for the primary of a hand-over.
func (p *promotionController) hold(ctx context.Context, own ownClaim, old discovery.Server) {
	p.node.gateway.Hold(old.Database, old.ID)
	p.announce(ctx, own)
}

// announce tells all instances of a claim once, without waiting for them.
func (p *promotionController) announce(ctx context.Context, own ownClaim) {
	request := &peerpb.JudgeRequest{Database: own.database, Claim: claimToWire(own.Claim)}
	for _, address := range p.node.peers.Usable() {
		if address == p.node.settings.Listen.Peers {
			continue
		}
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
			defer cancel()
			_, _ = p.surveyor.Client.PeerClient(callCtx, address).Judge(callCtx, request) // the store tells it, too
		}()
	}
}

// stepDownBelow makes a primary of a term below the given one step down.
func (p *promotionController) stepDownBelow(ctx context.Context, old discovery.Server, term uint64) (placement.Status, error) {
	status, err := p.node.gateway.StepDown(ctx, old, term)
	if err == nil && status.Primary {
		err = errStillLeads
	}
	return status, err
}

// stepDownFormer makes a primary step down that the newest claim does not allow, whatever its term. Otherwise it may have been
// promoted since the order to step down was given, and keeps a term that is not below the given one.
func (p *promotionController) stepDownFormer(ctx context.Context, s discovery.Server, term uint64) (placement.Status, error) {
	if _, excluded := p.node.exclusionOf(s.Database, s.ID); excluded {
		return p.stepDown(ctx, s)
	}
	return p.stepDownBelow(ctx, s, term)
}

// retireForPeer makes a primary step down that another instance replaces. It replies that this instance reaches the server if it has
// stepped down. An instance of a build without leases sends no claim before, so the primary is not used for a while either.
func (p *promotionController) retireForPeer(ctx context.Context, in *peerpb.JudgeRequest) *peerpb.JudgeReply {
	if _, excluded := p.node.exclusionOf(in.GetDatabase(), in.GetServer()); !excluded {
		p.node.gateway.Retire(in.GetDatabase(), in.GetServer())
	}
	ctx, cancel := context.WithTimeout(ctx, peerStepDownTimeout)
	defer cancel()
	err := errUnknownServer
	for _, s := range p.node.gateway.Servers(in.GetDatabase()) {
		if s.ID == in.GetServer() {
			_, err = p.stepDownFormer(ctx, s, in.GetTerm())
		}
	}
	log := event(p.log, EventToldToRetire).WithFields(logrus.Fields{
		"database": in.GetDatabase(), "server": in.GetServer(), "term": in.GetTerm(),
	})
	if err != nil {
		log.WithError(err).Debug("a primary that another instance replaces has not stepped down")
		return &peerpb.JudgeReply{Judgement: peerpb.Judgement_LOST}
	}
	log.Info("a primary that another instance replaces has stepped down")
	return &peerpb.JudgeReply{Judgement: peerpb.Judgement_REACHES}
}

// followUpStepDown makes a replaced primary step down as soon as it answers again.
func (p *promotionController) followUpStepDown(old discovery.Server, term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownFollowUp)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, probeTimeout)
		_, err := p.stepDownFormer(callCtx, old, term)
		cancelCall()
		if err == nil || errors.Is(err, errStillLeads) || !wait.For(ctx, stepDownRetryInterval) {
			return
		}
	}
}

// awaitCaughtUp waits until a successor has received what the old primary had when it stepped down, and reports whether it
// has.
func (p *promotionController) awaitCaughtUp(ctx context.Context, successor discovery.Server, status placement.Status, poll time.Duration) bool {
	for {
		next, err := p.node.gateway.Probe(ctx, successor)
		if err == nil && !next.Received.Less(status.Received) {
			return true
		}
		interval := poll
		if errors.Is(err, gateway.ErrBusy) {
			interval = min(poll, p.busyRetryInterval())
		}
		if !wait.For(ctx, interval) {
			return false
		}
	}
}
