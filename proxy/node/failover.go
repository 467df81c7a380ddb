package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/succession"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// claimsKind is the kind of the promotion claims, one object per database. The instance that writes the claim
	// orders the next promotion, and the revision of the claim is the fence of the order.
	claimsKind = "promotions"
	// failoverInterval is how often the primaries are checked; a suspicion triggers a check at once.
	failoverInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe, and surveyTimeout a survey of the other instances, which includes their probes.
	probeTimeout  = 400 * time.Millisecond
	surveyTimeout = 700 * time.Millisecond
	// recentAnswerAge is the age up to which the last answer of a server proves that it is reachable.
	recentAnswerAge = 300 * time.Millisecond
	// claimJitter spreads the claims of instances that detect a failure at the same time.
	claimJitter = 120 * time.Millisecond
	// catchUpTimeout bounds the wait until a successor has received all writes of a primary that stepped down, and
	// catchUpPollInterval is how often that is checked.
	catchUpTimeout      = time.Second
	catchUpPollInterval = 30 * time.Millisecond
	// followPatience is how long a leaving primary waits for a successor that follows it. It is well below the time for which servers that
	// leave may get statements.
	followPatience = 3 * time.Second
	// lagPollInterval is longer than catchUpPollInterval, because all instances poll before one of them claims a promotion.
	lagPollInterval = 150 * time.Millisecond
	// promoteTimeout bounds a promotion call to the platform, and orderTimeout all steps of an order.
	promoteTimeout = 1500 * time.Millisecond
	orderTimeout   = 10 * time.Second
	// peerStepDownTimeout bounds the attempt to make a primary step down for another instance, whose call has to be answered
	// within tellTimeout.
	peerStepDownTimeout = 200 * time.Millisecond
	// stepDownRetryInterval and stepDownFollowUp are the interval and the duration of the attempts to make a replaced
	// primary step down that did not answer before.
	stepDownRetryInterval = 50 * time.Millisecond
	stepDownFollowUp      = 10 * time.Second
)

// Errors of a promotion order.
var (
	errClaimed            = errors.New("another instance has claimed the promotion")
	errNoSuccessor        = errors.New("no server can be promoted: no candidate answered a probe")
	errStillLeads         = errors.New("the server goes on as the primary: it is in a higher term than was assumed")
	errClaimTooOld        = errors.New("the claim is too old to order the promotion, or was lost by the store; another instance may have claimed it since")
	errSuccessorEvacuated = errors.New("the failure domain of the chosen server was evacuated meanwhile; another one is chosen")
	errLagsBehind         = errors.New("the chosen server lags too far behind the primary to take over, or is too busy to tell")
	errMovedBack          = errors.New("the successor did not receive all writes in time, so the former primary was promoted again")
	errPrimarySilent      = errors.New("the primary does not answer; it is replaced like any lost one")
	errNoConfiguration    = errors.New("the configuration was not read yet, so it is not known whether replicas acknowledge commits; see whether the store answers")
	errCommitsUnknown     = errors.New("it is not known which server has all acknowledged commits; nothing is promoted until the silent or busy servers answer, or their entries are gone")
	errCommitsMissing     = errors.New("the chosen server lacks acknowledged commits that another one has; another one is chosen")
	errStartedAgain       = errors.New("the server has started again and may lack commits that it acknowledged; its answer counts once it has caught up, or once the former primary's entry is gone")
	errOrderOutstanding   = errors.New("an earlier order without an answer may still promote another server; it is waited for")
	errUnknownServer      = errors.New("this instance knows no entry of the server")
	errRestoredNow        = errors.New("the store may have lost a claim of another instance a moment ago; the promotion is claimed later")
)

// promotionController runs the failover state machines of all databases and carries out their actions.
type promotionController struct {
	node     *Node
	promoter *platform.Promoter
	surveyor *peer.Surveyor
	log      logrus.FieldLogger
	checkNow chan struct{}

	mu       sync.Mutex
	machines map[string]*failover.Machine
	// claims holds the revision of the last known claim of each database, and when this instance learned of it.
	claims map[string]seenClaim
	// withoutSuccessor holds the databases whose evacuated primary can't be replaced.
	withoutSuccessor map[string]bool
	// primaries holds the servers that were last taken for the primary, by database. Only run uses it.
	primaries map[string]string
	// leavingSince is since when the primary of a database is leaving.
	leavingSince map[string]time.Duration
}

func newPromotionController(n *Node, promoter *platform.Promoter) *promotionController {
	return &promotionController{
		node: n, promoter: promoter, log: n.log,
		surveyor: &peer.Surveyor{Peers: n.peers, Client: n.peerClient},
		checkNow: make(chan struct{}, 1),
		machines: map[string]*failover.Machine{},
		claims:   map[string]seenClaim{},

		withoutSuccessor: map[string]bool{},
		primaries:        map[string]string{},
		leavingSince:     map[string]time.Duration{},
	}
}

// suspect reports to the state machine that a server did not answer, and triggers a check.
func (p *promotionController) suspect(database, server string) {
	var began bool
	p.withMachine(database, func(m *failover.Machine) { began = m.Suspect(boottime.Now(), server) })
	if began {
		event(p.log, EventPrimarySuspected).WithFields(logrus.Fields{"database": database, "server": server}).
			Warn("primary did not answer; probing it")
	}
	p.checkSoon()
}

// evacuationsChanged triggers a check, after which a database without a successor is logged again.
func (p *promotionController) evacuationsChanged() {
	p.mu.Lock()
	clear(p.withoutSuccessor)
	p.mu.Unlock()
	p.checkSoon()
}

// checkSoon triggers a check of the primaries.
func (p *promotionController) checkSoon() {
	select {
	case p.checkNow <- struct{}{}:
	default:
	}
}

func (p *promotionController) withMachine(database string, f func(*failover.Machine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[database]
	if m == nil {
		m = &failover.Machine{}
		p.machines[database] = m
	}
	f(m)
}

// run checks the primaries periodically and at each suspicion, until ctx ends.
func (p *promotionController) run(ctx context.Context) {
	ticker := time.NewTicker(failoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.checkNow:
		case <-ticker.C:
		}
		for _, database := range p.node.gateway.Databases() {
			p.step(ctx, database)
		}
	}
}

// step advances the state machine of a database and starts its action in the background.
func (p *promotionController) step(ctx context.Context, database string) {
	if !p.node.gateway.HasServers(database) || !p.isConfigured(database) {
		return
	}
	primary, missing, _ := p.node.gateway.Primary(database)
	p.logPrimary(database, primary, missing)
	p.recordLeaving(database, primary)
	if p.pausesDue(database) && primary.ID != "" {
		go p.resumeAbandoned(ctx, primary)
	}
	away := p.isAwayFromHome(database, primary)
	claimed, isReplaced := p.node.exclusionOf(database, primary.ID)
	var action failover.Action
	var reason failover.Reason
	p.withMachine(database, func(m *failover.Machine) {
		action, reason = m.Step(boottime.Now(), failover.Primary{
			ID: primary.ID, Leaving: primary.Leaving, Missing: missing, Evacuated: primary.Evacuated, AwayFromHome: away,
			IsReplaced: isReplaced, ClaimedAt: claimed.at, OwnClaim: claimed.own,
		})
	})
	switch action {
	case failover.Probe:
		go p.probe(ctx, primary)
	case failover.AskPeers:
		go p.survey(ctx, primary)
	case failover.Replace, failover.HandOver:
		if reason == failover.ReasonAwayFromHome {
			event(p.log, EventMovingHome).WithFields(logrus.Fields{"database": database, "server": primary.ID, "region": primary.Region}).
				Info("primary is outside the home regions of its database and is handed over")
			go p.orderPromotion(ctx, database, primary, func(ctx context.Context) error { return p.moveHome(ctx, database, primary) })
			return
		}
		if !p.lacksSuccessor(database) {
			event(p.log, EventPrimaryLost).WithFields(logrus.Fields{
				"database": database, "server": primary.ID, "reason": string(reason),
			}).Warn("primary must be replaced")
		}
		go p.orderPromotion(ctx, database, primary, func(ctx context.Context) error {
			return p.promoteSuccessor(ctx, database, primary, action == failover.HandOver)
		})
	}
}

// isConfigured reports whether a database is in the configuration. An entry of another writer may name any.
func (p *promotionController) isConfigured(database string) bool {
	snapshot := p.node.directory.Current()
	if snapshot == nil {
		return false
	}
	_, ok := snapshot.Database(database)
	return ok
}

// logPrimary logs which server this instance takes for the primary, and why, when it is another one than before.
func (p *promotionController) logPrimary(database string, primary discovery.Server, missing bool) {
	former := p.primaries[database]
	if primary.ID == former {
		return
	}
	p.primaries[database] = primary.ID
	event(p.log, EventPrimaryChanged).WithFields(logrus.Fields{
		"database": database, "server": primary.ID, "former": former, "entry_primary": primary.Primary, "entry_revision": primary.Revision,
		"entry_missing": missing, "servers_age_ms": p.node.serversKnown.age(boottime.Now()).Milliseconds(),
	}).Info("this instance takes another server for the primary")
}

// recordLeaving records since when the primary of a database is leaving.
func (p *promotionController) recordLeaving(database string, primary discovery.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.leavingSince[database]; !primary.Leaving {
		delete(p.leavingSince, database)
	} else if !known {
		p.leavingSince[database] = boottime.Now()
	}
}

// leavesSoon reports whether a primary has been leaving for so long that it can't wait for its successor any more.
func (p *promotionController) leavesSoon(database string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, leaving := p.leavingSince[database]
	return leaving && boottime.Now()-since >= followPatience
}

func (p *promotionController) probe(ctx context.Context, s discovery.Server) {
	answered := p.isReachable(ctx, s)
	p.withMachine(s.Database, func(m *failover.Machine) { m.RecordProbe(s.ID, answered) })
	if answered {
		p.resumeAbandoned(ctx, s)
	}
}

// isReachable reports whether a server answers a probe.
func (p *promotionController) isReachable(ctx context.Context, s discovery.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.node.gateway.Probe(ctx, s)
	return err == nil || errors.Is(err, gateway.ErrBusy)
}

func (p *promotionController) survey(ctx context.Context, s discovery.Server) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	survey, _ := p.surveyor.Ask(ctx, s.Database, s.ID, 0)
	p.withMachine(s.Database, func(m *failover.Machine) { m.RecordSurvey(s.ID, failover.Survey(survey)) })
}

// Judge implements peer.JudgeHandler.
func (p *promotionController) Judge(ctx context.Context, in *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
	if c := in.GetClaim(); c != nil {
		told := claimFromWire(c)
		if told.HandOver != "" && told.Version >= p.node.knownClaim(in.GetDatabase()).Version {
			p.node.gateway.Hold(in.GetDatabase(), told.HandOver)
		}
		return &peerpb.JudgeReply{ClaimVersion: p.node.adoptClaim(in.GetDatabase(), told, sourcePeer)}, nil
	}
	if in.GetTerm() != 0 {
		return p.retireForPeer(ctx, in), nil
	}
	reply := &peerpb.JudgeReply{}
	primary, _, ok := p.node.gateway.Primary(in.GetDatabase())
	switch {
	case !ok:
		reply.Judgement = peerpb.Judgement_LOST
	case primary.ID != in.GetServer():
		reply.Judgement = peerpb.Judgement_REACHES // another server is already the primary
	case p.answeredRecently(primary), p.isReachable(ctx, primary):
		reply.Judgement = peerpb.Judgement_REACHES
	default:
		reply.Judgement = peerpb.Judgement_LOST
		p.suspect(primary.Database, primary.ID)
	}
	return reply, nil
}

func (p *promotionController) answeredRecently(s discovery.Server) bool {
	age, known := p.node.gateway.LastAnswer(s.Database, s.ID)
	return known && age < recentAnswerAge
}

// orderPromotion replaces a primary with promote and reports the result to the state machine.
func (p *promotionController) orderPromotion(ctx context.Context, database string, old discovery.Server, promote func(context.Context) error) {
	wait.For(ctx, rand.N(claimJitter))
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := promote(ctx)
	now := boottime.Now()
	log := p.log.WithFields(logrus.Fields{"database": database, "old": old.ID})
	switch {
	case errors.Is(err, errRestoredNow):
		event(log, EventPromotionWithheld).Warn("promotion is not claimed yet, since the store came back from a copy a moment ago")
	case errors.Is(err, errClaimed):
		event(log, EventClaimLost).Info("another instance has claimed the promotion")
		p.withMachine(database, func(m *failover.Machine) { m.RecordForeignClaim(now) })
		return
	case old.Evacuated && (errors.Is(err, errNoSuccessor) || errors.Is(err, errLagsBehind)): // logged by recordSuccessor
	case err != nil:
		event(log, EventPromotionFailed).WithError(err).Warn("promotion failed; it will be retried")
	}
	p.withMachine(database, func(m *failover.Machine) { m.RecordOrder(now, err == nil || errors.Is(err, errMovedBack)) })
	if errors.Is(err, errPrimarySilent) {
		p.suspect(database, old.ID) // it gets no statements, whose failures would show that it is lost
	}
}

func (p *promotionController) promoteSuccessor(ctx context.Context, database string, old discovery.Server, handOver bool) error {
	if c := p.node.knownClaim(database); c.Unconfirmed && c.Server == old.ID {
		return p.repeatOrder(ctx, old)
	}
	successor, err := p.chooseSuccessor(ctx, database, old.ID, !handOver, isFit)
	if err == nil && handOver {
		err = p.checkFollows(ctx, successor, old)
	}
	if old.Evacuated {
		p.recordSuccessor(database, !errors.Is(err, errNoSuccessor) && !errors.Is(err, errLagsBehind))
	}
	if err != nil {
		return err
	}
	if err := p.endFormerLead(ctx, successor); err != nil {
		return err
	}
	own, err := p.claimPromotion(ctx, database, old.ID, successor.server.ID, handOver)
	if err != nil {
		return err
	}
	event(p.log, EventPromoting).WithFields(logrus.Fields{
		"database": database, "old": old.ID, "server": successor.server.ID, "fence": own.Version, "hand_over": handOver,
		"received": successor.status.Received.String(), "basis": string(successor.basis),
	}).Info("promotion is claimed")
	if !handOver {
		isRepeated := successor.basis == succession.BasisOrdered && own.IsWithdrawn()
		return p.promote(ctx, successor, own, formerLead{server: old.ID, covered: isRepeated, received: own.Received})
	}
	received, err := p.handOver(ctx, own, old, successor)
	switch {
	case errors.Is(err, errCommitsUnknown), errors.Is(err, errCommitsMissing):
		return p.promoteAgain(ctx, own, old, successor)
	case err != nil && (old.Evacuated || p.node.settings.UnfencedPromotions || successor.basis != succession.BasisNoCopies):
		return err // the successor may lack commits, and an unfenced primary would go on
	}
	return p.promote(ctx, successor, own, formerLead{server: old.ID, steppedDown: old.ID, covered: err == nil && own.FormerKnown, received: received})
}

// repeatOrder orders the promotion of a primary again that leads although its order was not accepted as far as is known.
func (p *promotionController) repeatOrder(ctx context.Context, primary discovery.Server) error {
	if err := p.endFormerLead(ctx, candidate{server: primary}); err != nil {
		return err
	}
	own, err := p.claimPromotion(ctx, primary.Database, primary.ID, primary.ID, false)
	if err != nil {
		return err
	}
	return p.promote(ctx, candidate{server: primary}, own, formerLead{covered: own.IsWithdrawn(), received: own.Received})
}

// promoteAgain promotes a primary that has stepped down for a successor which did not receive all of its writes.
func (p *promotionController) promoteAgain(ctx context.Context, own ownClaim, old discovery.Server, successor candidate) error {
	event(p.log, EventMovedBack).WithFields(logrus.Fields{"database": old.Database, "server": old.ID, "successor": successor.server.ID}).
		Warn("the successor did not receive all writes in time; the former primary is promoted again")
	own, err := p.rewriteClaim(ctx, own, p.node.nextClaim(own.Claim, old.ID, old.ID, false))
	if err != nil {
		return err
	}
	if err := p.promote(ctx, candidate{server: old, status: successor.status}, own, formerLead{covered: true}); err != nil {
		return err
	}
	return errMovedBack
}

// formerLead is what is known about the lead that a promotion ends.
type formerLead struct {
	server      string // empty if none is known
	steppedDown string // has confirmed that it does not lead since the claim was written; empty if none has
	covered     bool   // the successor is known to have all commits that were acknowledged in it
	// received is where the successor's log ended at least when that was known; zero if covered is not set.
	received position.Position
}

// promote makes the platform promote the server of a claim, once that server has all acknowledged commits and no other one can have
// further ones acknowledged. Where a former primary that nobody reaches leads until then, the other replicas are paused as well, so that
// it can't acknowledge anything to clients that bypass the instances.
func (p *promotionController) promote(ctx context.Context, successor candidate, own ownClaim, former formerLead) error {
	if p.node.usesLeases() {
		var err error
		if own, err = p.withdraw(ctx, own, successor, former); err != nil {
			return err
		}
	}
	copies, err := p.copiesOf(own.database)
	if err != nil {
		return err
	}
	if copies > 0 && !former.covered && !p.node.settings.UnfencedPromotions {
		return p.orderPaused(ctx, successor, own, former.server, copies)
	}
	return p.order(ctx, successor, own)
}

// order makes the platform promote the server of a claim.
func (p *promotionController) order(ctx context.Context, successor candidate, own ownClaim) error {
	s, fence := successor.server, own.Version
	if !failover.MayOrder(boottime.Now()-own.sentAt, fence, p.node.eras.Era()) {
		return errClaimTooOld
	}
	if p.node.isEvacuated(s) && !successor.lastResort {
		return errSuccessorEvacuated
	}
	callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := p.promoter.Promote(callCtx, s.Database, s.ID, fence)
	if !errors.Is(err, platform.ErrNoAnswer) && !own.repeated {
		p.settleClaim(s.Database, fence)
	}
	if err != nil {
		return err
	}
	event(p.log, EventPromoted).WithFields(logrus.Fields{
		"database": s.Database, "server": s.ID, "fence": fence,
	}).Info("promotion was accepted")
	p.confirmOrder(ctx, own)
	return nil
}
