package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// resumeTimeout bounds a call that resumes a replica. Several are made one after the other while a claim is young.
	resumeTimeout = 200 * time.Millisecond
	// maxPauseCheckers bounds how many instances look for replicas that were left paused by the order of a claim.
	maxPauseCheckers = 3
)

// pauseOthers keeps a former primary that may still lead from having commits acknowledged that the successor lacks: it pauses the
// other replicas, except fewer than copies, and waits until the successor has received what they have.
func (p *promotionController) pauseOthers(ctx context.Context, successor candidate, former string, copies int) error {
	q := newInquiry(p, successor.server.Database, former, copies, isFit)
	q.excluded = successor.server.ID
	q.probe = func(ctx context.Context, s discovery.Server) (placement.Status, error) {
		return p.pause(ctx, s, successor.status.Term+1, q.interval)
	}
	q.await(ctx, q.selection.KnowsAllCommits)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.selection.KnowsAllCommits() {
		return q.unproven()
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if !p.awaitCaughtUp(ctx, successor.server, placement.Status{Received: q.selection.Longest()}, catchUpPollInterval) {
		return errCommitsMissing
	}
	return nil
}

// pause pauses a replica. One that knows a newer term is paused for the next one.
func (p *promotionController) pause(ctx context.Context, s discovery.Server, term uint64, interval time.Duration) (placement.Status, error) {
	status, err := p.node.gateway.Pause(ctx, s, term, interval)
	if err == nil && status.Term >= term {
		return p.node.gateway.Pause(ctx, s, status.Term+1, interval)
	}
	return status, err
}

// orderPaused orders a promotion while the replicas other than the successor are paused, and resumes them if it can't be carried out. After
// an order without an answer they stay paused: it is repeated until it has one.
func (p *promotionController) orderPaused(ctx context.Context, successor candidate, own ownClaim, former string, copies int) error {
	err := p.pauseOthers(ctx, successor, former, copies)
	if err == nil {
		err = p.order(ctx, successor, own)
	}
	if err != nil && !errors.Is(err, platform.ErrNoAnswer) && !own.repeated && !own.Unconfirmed {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
			defer cancel()
			p.resume(ctx, own, p.node.gateway.Servers(own.database))
		}()
	}
	return err
}

// resume ends the pauses of servers while a claim is young enough for a promotion, so that no other instance has paused them for its
// own since. It claims once more if that is needed, and leaves them to another instance that has.
func (p *promotionController) resume(ctx context.Context, own ownClaim, servers []discovery.Server) {
	age := func() time.Duration { return boottime.Now() - own.sentAt }
	if age() > failover.OrderTerm {
		var err error
		if own, err = p.claimPromotion(ctx, own.database, own.Server, own.Server, false); err != nil {
			return
		}
	}
	for len(servers) > 0 && age() <= failover.OrderTerm && wait.For(ctx, stepDownRetryInterval) {
		servers = slices.DeleteFunc(servers, func(s discovery.Server) bool {
			callCtx, cancel := context.WithTimeout(ctx, resumeTimeout)
			defer cancel()
			return p.node.gateway.Resume(callCtx, s) == nil
		})
	}
}

// pausesDue reports, once for each claim, that replicas which were paused for it are resumed by now unless the instance that paused them
// has ended, and that this instance is one of those that look for them.
func (p *promotionController) pausesDue(database string) bool {
	p.mu.Lock()
	seen := p.claims[database]
	due := seen.revision != 0 && !seen.pausesChecked && boottime.Now()-seen.seenAt > failover.MaxOrderAge+orderTimeout
	if due {
		seen.pausesChecked = true
		p.claims[database] = seen
	}
	p.mu.Unlock()
	return due && slices.Contains(peer.RendezvousTop(database, p.node.peers.Listed(), maxPauseCheckers), p.node.settings.Listen.Peers)
}

// resumeAbandoned resumes replicas that were paused by an instance which has ended. It is called for a primary that answers: some time
// after each claim, and when it had left a statement unanswered, since commits may wait for those replicas. Nothing is resumed for a primary
// that the newest claim excludes: an order to replace it may still be carried out, and its server would lack what the replicas receive.
func (p *promotionController) resumeAbandoned(ctx context.Context, primary discovery.Server) {
	if copies, err := p.copiesOf(primary.Database); err != nil || copies == 0 || p.node.settings.UnfencedPromotions {
		return
	}
	if _, excluded := p.node.exclusionOf(primary.Database, primary.ID); excluded {
		return
	}
	var paused []discovery.Server
	for _, s := range p.node.gateway.Servers(primary.Database) {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		status, err := p.node.gateway.Probe(callCtx, s)
		cancel()
		if err == nil && status.HeldTerm > status.Term {
			paused = append(paused, s)
		}
	}
	if len(paused) == 0 {
		return
	}
	event(p.log, EventReplicasPaused).WithFields(logrus.Fields{"database": primary.Database, "servers": serverIDs(paused)}).
		Warn("replicas are paused for a promotion that was not carried out; resuming them")
	outdated := ownClaim{Claim: leaderlease.Claim{Server: primary.ID}, database: primary.Database, sentAt: -failover.OrderTerm}
	p.resume(ctx, outdated, paused)
}

func serverIDs(servers []discovery.Server) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}
