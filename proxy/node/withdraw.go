package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// tellTimeout bounds a call to another instance during a withdrawal, and tellRetryInterval is the time between two calls.
	tellTimeout       = 400 * time.Millisecond
	tellRetryInterval = 100 * time.Millisecond
	// stepDownAskInterval is the time between two calls by which an instance is asked to make a former primary step down. Each costs
	// the server a new connection. maxStepDownAsked bounds how many instances are asked.
	stepDownAskInterval = 300 * time.Millisecond
	maxStepDownAsked    = 16
	// claimRenewInterval is how often a claim is renewed during a withdrawal. It is well below failover.ClaimTerm, so that no other
	// instance takes the promotion over.
	claimRenewInterval = time.Second
)

// withdrawal ends the use of the former servers of a claim at all instances.
type withdrawal struct {
	controller *promotionController
	claim      ownClaim
	term       uint64 // above the terms of the former servers

	mu      sync.Mutex
	machine *leaderlease.Withdrawal
	changed chan struct{} // has an element after each change of machine
}

// endFormerLead makes a successor step down that acts as the primary of an earlier term, or may: instances would use it from its claim
// on, before its promotion. The order of an unconfirmed claim makes no earlier one void that has been accepted but is not in effect yet,
// unless it begins a term.
func (p *promotionController) endFormerLead(ctx context.Context, successor candidate) error {
	s := successor.server
	leads := s.Primary || successor.status.Primary || successor.busy
	claim := p.node.knownClaim(s.Database)
	if !p.node.usesLeases() || !leads || s.ID == claim.Ordered() && !claim.Unconfirmed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.stepDown(ctx, s)
	return errors.Wrap(err, "end the former lead of the successor")
}

// withdraw returns once no instance acknowledges answers of a former server of a claim any more, and the successor is known to have all
// that were acknowledged. It returns the claim by which the promotion may be ordered.
func (p *promotionController) withdraw(ctx context.Context, own ownClaim, successor candidate, former formerLead) (ownClaim, error) {
	w := &withdrawal{
		controller: p, claim: own, term: successor.status.Term + 1, machine: leaderlease.NewWithdrawal(own.Claim, own.confirmedAt), changed: make(chan struct{}, 1),
	}
	w.machine.StepDown(former.steppedDown)
	calls, stop := context.WithCancel(ctx)
	basis := w.basis()
	if basis == "" {
		go w.begin(calls)
	}
	var err error
	for basis == "" && err == nil {
		own, err = w.awaitChange(ctx, own)
		basis = w.basis()
	}
	stop()
	received := former.received
	if err == nil && !former.covered {
		received, err = p.confirmSuccessor(ctx, former.server, successor.server, nil)
	}
	if err == nil {
		own.Received = received
		own, err = p.rewriteClaim(ctx, own, own.Withdrawn())
	}
	w.logOutcome(basis, own.Version, err)
	if err == nil {
		w.followUpFormer()
	}
	return own, err
}

// awaitChange waits for progress, and renews the claim if it is due.
func (w *withdrawal) awaitChange(ctx context.Context, own ownClaim) (ownClaim, error) {
	untilRenewal := own.confirmedAt + claimRenewInterval - boottime.Now()
	if untilRenewal <= 0 {
		renewed, err := w.controller.rewriteClaim(ctx, own, own.Claim)
		if err == nil || errors.Is(err, errClaimed) {
			return renewed, err
		}
		untilRenewal = tellRetryInterval
	}
	w.mu.Lock()
	remaining := w.machine.Remaining(boottime.Now())
	w.mu.Unlock()
	timer := time.NewTimer(min(untilRenewal, max(remaining, time.Millisecond)))
	defer timer.Stop()
	select {
	case <-w.changed:
	case <-timer.C:
	case <-ctx.Done():
		return own, errors.Wrap(ctx.Err(), "withdraw the former primary")
	}
	return own, nil
}

func (w *withdrawal) basis() leaderlease.Basis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Basis(boottime.Now())
}

func (w *withdrawal) logOutcome(basis leaderlease.Basis, fence uint64, err error) {
	w.mu.Lock()
	silent, former := w.machine.Silent(), w.machine.Former()
	w.mu.Unlock()
	entry := event(w.controller.log, EventWithdrawn).WithFields(logrus.Fields{
		"database": w.claim.database, "server": w.claim.Server, "former": w.claim.Former, "former_known": w.claim.FormerKnown,
		"not_stepped_down": former, "silent": silent, "claim": w.claim.Version, "fence": fence,
		"basis": string(basis), "took_ms": (boottime.Now() - w.claim.confirmedAt).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("the promotion is not ordered: instances may still use a former primary, or the claim was lost")
		return
	}
	entry.Info("no instance uses a former primary any more")
}

// followUpFormer makes the former servers that have not stepped down do so once they answer.
func (w *withdrawal) followUpFormer() {
	w.mu.Lock()
	former := w.machine.Former()
	w.mu.Unlock()
	for _, id := range former {
		if s, ok := w.controller.server(w.claim.database, id); ok {
			go w.controller.followUpStepDown(s, w.term)
		}
	}
}

// begin tells the instances, and makes the former servers step down, until ctx ends.
func (w *withdrawal) begin(ctx context.Context) {
	for _, id := range w.claim.Former {
		if s, ok := w.controller.server(w.claim.database, id); ok {
			go w.stepDown(ctx, s)
		}
	}
	addresses, ok := w.listInstances(ctx)
	if !ok {
		return
	}
	w.update(func(m *leaderlease.Withdrawal) { m.List(addresses) })
	for _, address := range addresses {
		go w.tell(ctx, address)
	}
	if len(w.claim.Former) == 0 {
		return
	}
	for _, address := range peer.RendezvousTop(w.claim.database, addresses, maxStepDownAsked) {
		go w.askStepDown(ctx, address)
	}
}

// listInstances reads the peer addresses of the other instances from the store. It returns false if ctx ended before.
func (w *withdrawal) listInstances(ctx context.Context) (addresses []string, ok bool) {
	node := w.controller.node
	for ctx.Err() == nil {
		objects, err := node.instances.read(ctx)
		if err != nil {
			wait.For(ctx, tellRetryInterval)
			continue
		}
		for _, o := range objects {
			e, valid := decodeListEntry(o)
			switch {
			case !valid:
				addresses = append(addresses, o.Name) // can't be told
			case e.PeerAddress != node.settings.Listen.Peers:
				addresses = append(addresses, e.PeerAddress)
			}
			addresses = append(addresses, strings.Fields(e.Earlier)...)
		}
		return addresses, true
	}
	return nil, false
}

func (w *withdrawal) update(f func(*leaderlease.Withdrawal)) {
	w.mu.Lock()
	f(w.machine)
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// isFormer reports whether a server has not confirmed yet that it has stepped down.
func (w *withdrawal) isFormer(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.machine.Former(), server)
}

// stepDown makes a former server step down, until it has or ctx ends.
func (w *withdrawal) stepDown(ctx context.Context, s discovery.Server) {
	for ctx.Err() == nil && w.isFormer(s.ID) {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := w.controller.stepDownFormer(callCtx, s, w.term)
		cancel()
		if err == nil {
			w.update(func(m *leaderlease.Withdrawal) { m.StepDown(s.ID) })
			return
		}
		wait.For(ctx, stepDownRetryInterval)
	}
}

// tell tells an instance of the claim, until it has acknowledged it or ctx ends.
func (w *withdrawal) tell(ctx context.Context, address string) {
	c := w.claim.Claim
	request := &peerpb.JudgeRequest{Database: w.claim.database, Claim: claimToWire(c)}
	for ctx.Err() == nil {
		if reply, err := w.call(ctx, address, request); err == nil && reply.GetClaimVersion() >= c.Version {
			w.update(func(m *leaderlease.Withdrawal) { m.Acknowledge(address) })
			return
		}
		wait.For(ctx, tellRetryInterval)
	}
}

// askStepDown has an instance make the former servers step down, until they have or ctx ends.
func (w *withdrawal) askStepDown(ctx context.Context, address string) {
	for ctx.Err() == nil {
		for _, id := range w.claim.Former {
			if !w.isFormer(id) {
				continue
			}
			reply, err := w.call(ctx, address, &peerpb.JudgeRequest{Database: w.claim.database, Server: id, Term: w.term})
			if err == nil && reply.GetJudgement() == peerpb.Judgement_REACHES {
				w.update(func(m *leaderlease.Withdrawal) { m.StepDown(id) })
			}
		}
		wait.For(ctx, stepDownAskInterval)
	}
}

func claimToWire(c leaderlease.Claim) *peerpb.Claim {
	return &peerpb.Claim{
		Version: c.Version, Server: c.Server, HandOver: c.HandOver, Lead: uint64(c.Lead), HandOverLead: uint64(c.HandOverLead),
		Former: c.Former, FormerKnown: c.FormerKnown, Unconfirmed: c.Unconfirmed, Answered: c.Answered,
	}
}

func claimFromWire(c *peerpb.Claim) leaderlease.Claim {
	return leaderlease.Claim{
		Version: c.GetVersion(), Server: c.GetServer(), HandOver: c.GetHandOver(),
		Lead: leaderlease.Lead(c.GetLead()), HandOverLead: leaderlease.Lead(c.GetHandOverLead()),
		Former: c.GetFormer(), FormerKnown: c.GetFormerKnown(), Unconfirmed: c.GetUnconfirmed(), Answered: c.GetAnswered(),
	}
}

func (w *withdrawal) call(ctx context.Context, address string, request *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return w.controller.surveyor.Client.PeerClient(ctx, address).Judge(ctx, request)
}

// server returns the entry of a server that this instance knows.
func (p *promotionController) server(database, id string) (discovery.Server, bool) {
	servers := p.node.gateway.Servers(database)
	i := slices.IndexFunc(servers, func(s discovery.Server) bool { return s.ID == id })
	if i < 0 {
		return discovery.Server{}, false
	}
	return servers[i], true
}

// read reads the entries of the list from the store.
func (l *instanceList) read(ctx context.Context) ([]platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := l.store.List(ctx, instancesKind, false)
	return objects, err
}
