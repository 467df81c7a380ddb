package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// handOver makes a primary that answers step down, and waits until its successor has received all of its writes.
func (p *promotionController) handOver(ctx context.Context, old, successor discovery.Server) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	status, err := p.stepDown(ctx, old)
	if err != nil {
		event(p.log, EventPromotionFailed).WithField("server", old.ID).WithError(err).
			Warn("failed to make the leaving primary step down; its last commits may be lost")
		return err
	}
	if !p.awaitCaughtUp(ctx, successor, status, catchUpPollInterval) && old.Evacuated {
		return errLagsBehind
	}
	return nil
}

// stepDown makes a primary step down. It repeats the call while the server has no room for it.
func (p *promotionController) stepDown(ctx context.Context, old discovery.Server) (placement.Status, error) {
	for {
		status, err := p.node.gateway.Probe(ctx, old)
		if err == nil {
			status, err = p.stepDownBelow(ctx, old, status.Term+1)
		}
		if !errors.Is(err, gateway.ErrBusy) || !wait.For(ctx, stepDownRetryInterval) {
			return status, err
		}
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

// retire makes a primary that this instance can't reach step down before its successor is promoted, through any
// instance that reaches it, and makes them all stop sending statements to it. It waits until instances that don't
// acknowledge this have noticed that they are cut off.
func (p *promotionController) retire(ctx context.Context, old discovery.Server, term uint64) error {
	p.node.gateway.Retire(old.Database, old.ID)
	callCtx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	var told peer.Survey
	var telling sync.WaitGroup
	telling.Go(func() { told, _ = p.surveyor.Tell(callCtx, old.Database, old.ID, term) })
	_, err := p.stepDownBelow(callCtx, old, term)
	telling.Wait()
	log := event(p.log, EventRetired).WithFields(logrus.Fields{
		"database": old.Database, "server": old.ID, "asked": told.Asked, "told": told.Lost, "stepped_down_by": told.Reaching,
		"silent": told.Silent, "step_down_error": errorText(err),
	})
	if err == nil || told.Reaching > 0 {
		log.WithField("wait_ms", 0).Info("the former primary has stepped down")
		return nil
	}
	go p.followUpStepDown(old, term)
	var lostSince time.Duration
	p.withMachine(old.Database, func(m *failover.Machine) { lostSince = m.LostSince() })
	delay := failover.ReplacementDelay(boottime.Now(), lostSince, p.node.noticePeriod(), summaryOf(told))
	log.WithField("wait_ms", delay.Milliseconds()).Info("the former primary has not stepped down; instances were told to stop using it")
	wait.For(ctx, delay)
	if now, _, ok := p.node.gateway.Primary(old.Database); ok && now.ID != old.ID {
		return errClaimed
	}
	p.node.gateway.Retire(old.Database, old.ID)
	return nil
}

// retireForPeer implements retire for another instance. It replies that this instance reaches the server if it has
// stepped down.
func (p *promotionController) retireForPeer(ctx context.Context, in *peerpb.JudgeRequest) *peerpb.JudgeReply {
	p.node.gateway.Retire(in.GetDatabase(), in.GetServer())
	ctx, cancel := context.WithTimeout(ctx, peerStepDownTimeout)
	defer cancel()
	err := errUnknownServer
	for _, s := range p.node.gateway.Servers(in.GetDatabase()) {
		if s.ID == in.GetServer() {
			_, err = p.stepDownBelow(ctx, s, in.GetTerm())
		}
	}
	event(p.log, EventToldToRetire).WithFields(logrus.Fields{
		"database": in.GetDatabase(), "server": in.GetServer(), "term": in.GetTerm(), "step_down_error": errorText(err),
	}).Info("another instance replaces the primary")
	if err == nil {
		return &peerpb.JudgeReply{Judgement: peerpb.Judgement_REACHES}
	}
	return &peerpb.JudgeReply{Judgement: peerpb.Judgement_LOST}
}

// errorText returns the text of an error for a log field, empty without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// followUpStepDown makes a replaced primary step down as soon as it answers again.
func (p *promotionController) followUpStepDown(old discovery.Server, term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownFollowUp)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, probeTimeout)
		_, err := p.stepDownBelow(callCtx, old, term)
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
		if !wait.For(ctx, poll) {
			return false
		}
	}
}
