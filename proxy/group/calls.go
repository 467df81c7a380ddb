package group

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

// perform starts the calls that the state machine requests.
func (g *Group) perform(actions []authority.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case authority.Probe:
			go g.probe(a)
		case authority.Fence:
			g.serverLog(EventFenceOrdered, a.Server, a.Term).Info("fencing the server to begin a new term")
			go g.fence(a)
		case authority.Promote:
			g.serverLog(EventPromoteOrdered, a.Server, a.Term).WithField("reason", a.Reason).Info("promoting the server")
			g.cfg.Observer.PromotionAttempted(a.Server, a.Term, a.Reason)
			go g.promote(a)
		case authority.AskPeers:
			go g.survey(a)
		}
	}
}

func (g *Group) serverLog(event string, id authority.ServerID, term uint64) logrus.FieldLogger {
	return g.log.WithFields(logrus.Fields{"event": event, "server": id, "term": term})
}

// errWrongServer reports that another server answers at a server's configured address.
var errWrongServer = errors.New("a server with another name answers at this address; correct the server's address in the manifest")

// probe sends a probe and reports its answer, or its failure after ProbeTimeout. Over a new connection the answer is also reported
// if it comes later.
func (g *Group) probe(a authority.Probe) {
	adapter, limit := g.adapters[a.Server].Persistent, g.cfg.ProbeTimeout
	if a.Fresh {
		adapter, limit = g.adapters[a.Server].Fresh, max(g.cfg.ProbeTimeout, lateAnswerLimit)
	}
	ctx, cancel := context.WithTimeout(g.runCtx, limit)
	defer cancel()
	sent := g.now()
	fail := func(class authority.FailureClass) {
		g.deliver(func() {
			g.handleProbeFailure(authority.ProbeFailure{Server: a.Server, Seq: a.Seq, Sent: sent, Class: class, Fresh: a.Fresh})
		})
	}
	timeout := time.AfterFunc(g.cfg.ProbeTimeout, func() { fail(authority.FailureTimeout) })
	state, err := adapter.Probe(ctx)
	late := !timeout.Stop()
	if err == nil && state.Server != a.Server {
		g.serverLog(EventWrongServer, a.Server, state.Term).WithField("answered", state.Server).Error(errWrongServer)
		err = errWrongServer
	}
	switch {
	case err == nil:
		g.cfg.Observer.ProbeRoundTrip(a.Server, g.now()-sent)
		g.deliver(func() { g.handleProbeResult(authority.ProbeResult{Seq: a.Seq, Sent: sent, State: state, Late: late}) })
	case !late:
		fail(classify(err))
	}
}

// deliver posts the result of a call to the owner. It is dropped once the group has stopped.
func (g *Group) deliver(f func()) {
	g.post(g.runCtx, f)
}

func (g *Group) handleProbeResult(r authority.ProbeResult) {
	now := g.now()
	g.beginSample()
	actions := g.machine.Step(now, r)
	// Publishes before resolving waiters, so that a read whose sample this result completes sees the
	// server states that completed it.
	g.publish()
	g.resolveWaiters(g.confirm.Observe(now, r))
	g.perform(actions)
}

func (g *Group) handleProbeFailure(f authority.ProbeFailure) {
	now := g.now()
	g.beginSample()
	actions := g.machine.Step(now, f)
	g.viewChanged = true
	g.resolveWaiters(g.confirm.Failed(now, f.Server))
	g.perform(actions)
}

func (g *Group) fence(a authority.Fence) {
	ctx, cancel := context.WithTimeout(g.runCtx, g.cfg.OrderTimeout)
	defer cancel()
	state, err := g.adapters[a.Server].Fresh.Fence(ctx, a.Term, g.machine.Owner())
	if err != nil {
		g.serverLog(EventFenceFailed, a.Server, a.Term).WithError(err).Warn("fence call failed; it may have taken effect")
		g.step(authority.FenceFailure(a))
		return
	}
	g.step(authority.FenceAccepted{Server: a.Server, Term: a.Term, State: state})
}

func (g *Group) promote(a authority.Promote) {
	ctx, cancel := context.WithTimeout(g.runCtx, g.cfg.OrderTimeout)
	defer cancel()
	state, err := g.adapters[a.Server].Fresh.Promote(ctx, a.Term, g.machine.Owner())
	if err != nil {
		g.serverLog(EventPromoteFailed, a.Server, a.Term).WithError(err).Warn("promote call failed; it may have taken effect")
		g.step(authority.PromoteFailure{Server: a.Server, Term: a.Term})
		return
	}
	g.serverLog(EventPromoteAccepted, a.Server, a.Term).Info("server accepted its promotion")
	g.step(authority.PromoteAccepted{Server: a.Server, Term: a.Term, State: state})
}

// survey asks the other instances whether they have lost the primary. If the survey is not possible, the
// machine gets an inconclusive result (one asked, none answered), so that it asks again.
func (g *Group) survey(a authority.AskPeers) {
	if g.cfg.Survey == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.runCtx, surveyTimeout)
	defer cancel()
	sent := g.now()
	views, ok := g.cfg.Survey(ctx, a.Server, a.Term)
	if !ok {
		views = authority.PeerViews{Asked: 1}
	}
	views.Server, views.Term, views.Sent = a.Server, a.Term, sent
	g.step(views)
}

// Judge returns this instance's judgement of the primary of a term, for surveys of other instances.
func (g *Group) Judge(ctx context.Context, server authority.ServerID, term uint64) authority.Judgement {
	result := make(chan authority.Judgement, 1)
	if !g.post(ctx, func() { result <- g.machine.Judge(g.now(), server, term) }) {
		return authority.JudgementNone
	}
	select {
	case j := <-result:
		return j
	case <-g.stopped:
	case <-ctx.Done():
	}
	return authority.JudgementNone
}

func (g *Group) step(e authority.Event) {
	g.deliver(func() { g.perform(g.machine.Step(g.now(), e)) })
}

// classify returns the failure class of a call's error. A refused connection proves that no server process
// listens; every other failure leaves open whether the server's process runs.
func classify(err error) authority.FailureClass {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return authority.FailureRefused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return authority.FailureTimeout
	case errors.As(err, &netErr) && netErr.Timeout():
		return authority.FailureTimeout
	}
	return authority.FailureOther
}

// reportedState is the state last reported to the log and the observer.
type reportedState struct {
	primary authority.ServerID
	term    uint64
	failing map[authority.ServerID]bool
}

// reportChanges reports changes since the last call to the log and the observer.
func (g *Group) reportChanges() {
	v := g.machine.View()
	if g.reported.failing == nil {
		g.reported.failing = map[authority.ServerID]bool{}
	}
	for i := range v.Servers {
		g.reportServer(&v.Servers[i])
	}
	if v.Primary == g.reported.primary && v.Term == g.reported.term {
		return
	}
	g.reported.primary, g.reported.term = v.Primary, v.Term
	g.cfg.Observer.PrimaryChanged(v.Primary, v.Term)
	if v.Primary == "" {
		g.log.WithFields(logrus.Fields{"event": EventPrimaryLost, "term": v.Term}).Warn("no server is known to be the primary of the highest term")
		return
	}
	g.serverLog(EventPrimaryChanged, v.Primary, v.Term).Info("server is the primary")
}

func (g *Group) reportServer(s *authority.ServerView) {
	failing := s.Failures > 0
	if failing == g.reported.failing[s.ID] {
		return
	}
	g.reported.failing[s.ID] = failing
	if failing {
		since := (g.now() - s.FailingSince).Round(time.Millisecond)
		g.serverLog(EventServerFailing, s.ID, s.State.Term).WithField("silent_for", since).Warn("server does not answer probes")
		return
	}
	g.serverLog(EventServerAnswers, s.ID, s.State.Term).Info("server answers probes again")
}
