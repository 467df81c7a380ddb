package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// maxTries bounds how often one statement is sent to servers.
	maxTries = 6
	// minReadTimeout is the minimum time that a read waits for one server before another is tried.
	minReadTimeout = 300 * time.Millisecond
	// leaderQueuePercent and replicaQueuePercent are the percentages of a statement's time that it may wait in
	// the admission queue of a server. The rest is for the execution and for the way to a scheduler and back, of which a new
	// connection across regions just after a common start takes a quarter of a second: a refusal that arrives after the statement's
	// time leaves its outcome unknown.
	leaderQueuePercent  = 60
	replicaQueuePercent = 35
	// leaderRetryInterval is the interval between attempts to find a leader.
	leaderRetryInterval = 40 * time.Millisecond
)

// request is a statement that is being served.
type request struct {
	stmt     sessionstate.Statement
	decision sessionstate.Decision
	grant    catalog.Grant
	began    time.Duration
}

// tryState is the progress of a statement, or of the begin of a transaction, over several servers.
type tryState struct {
	request
	view       *view
	database   catalog.Database
	ctx        context.Context // ends at the statement's deadline
	number     int
	tried      bool // a try has ended
	excluded   []string
	leaderOnly bool // only the leader may run it
	floor      position.Position
	lastError  *outcome.Error // of the last try
	mayHaveRun bool           // the last try may have run the statement
	// noOtherServer: no other server can run the read now, because the schedulers of all suitable ones have refused it or the others
	// lack the position that it needs. It may then wait for longer.
	noOtherServer bool
	lastBusy      *outcome.Error // of the last scheduler or cold server that refused it; nil if none did
}

// runSingle runs a statement outside a transaction and answers it.
func (sess *session) runSingle(r request) {
	t, done, e := sess.newTryState(r)
	if e != nil {
		sess.refuse(r.stmt, e, r.began)
		return
	}
	defer done()
	for t.nextTry() {
		s, e := sess.waitForServer(t)
		if e != nil {
			sess.refuse(r.stmt, e, r.began)
			return
		}
		if sess.runOn(t, s) {
			return
		}
	}
	sess.refuse(r.stmt, t.lastError, r.began)
}

// newTryState returns the state of a statement that was not tried yet. The function it returns releases its
// context.
func (sess *session) newTryState(r request) (*tryState, func(), *outcome.Error) {
	snapshot := sess.gw.cfg.Directory.Current()
	database, ok := snapshot.Database(r.grant.Route.Database)
	if !ok {
		return nil, nil, errNoServer
	}
	left := r.grant.Route.StatementTimeout - (sess.gw.cfg.Now() - r.began)
	ctx, cancel := context.WithTimeout(sess.gw.ctx, left)
	t := &tryState{request: r, view: sess.gw.view(database.Name), database: database, ctx: ctx, lastError: errNoServer}
	t.leaderOnly = r.decision.Writes || r.grant.Route.MaxStaleness == 0
	return t, cancel, nil
}

// nextTry counts a try and reports whether tries and time are left. Refusals by servers that don't lead don't
// count: they cost no execution and only show that a failover is in progress. A write is known not to have run after each try that
// it may follow, and is not sent again when the answer could come too late.
func (t *tryState) nextTry() bool {
	again := t.tried
	t.number, t.tried = t.number+1, true
	if again && t.decision.Writes && t.timeLeft() < lenderRoundTripAllowance {
		return false
	}
	return t.number <= maxTries && t.ctx.Err() == nil
}

// timeLeft returns the time until the statement's deadline.
func (t *tryState) timeLeft() time.Duration {
	deadline, _ := t.ctx.Deadline()
	return time.Until(deadline)
}

// waitForServer chooses a server. While none is suitable, it waits up to the statement's deadline.
func (sess *session) waitForServer(t *tryState) (discovery.Server, *outcome.Error) {
	for waited := t.number > 1; ; waited = true {
		if waited {
			if e := sess.renewGrant(t); e != nil {
				return discovery.Server{}, t.finalError(e)
			}
		}
		changed := t.view.changes()
		if s, ok := sess.chooseServer(t); ok {
			return s, nil
		}
		if refusal, again := sess.handleNotAtHome(t); refusal != nil {
			return discovery.Server{}, t.finalError(refusal)
		} else if again {
			continue
		}
		if !sess.gw.mayUseLeader() {
			return discovery.Server{}, t.finalError(errCutOff)
		}
		if e := sess.refuseEvacuated(t); e != nil {
			return discovery.Server{}, e
		}
		t.lastBusy = cmp.Or(t.lastBusy, sess.heldRefusal(t))
		if t.lastBusy != nil {
			if t.noOtherServer {
				return discovery.Server{}, t.finalError(t.lastBusy)
			}
			t.noOtherServer, t.excluded = true, t.excluded[:0]
			continue
		}
		if !wait.UntilClosed(t.ctx, changed, leaderRetryInterval) {
			return discovery.Server{}, t.finalError(errNoServer)
		}
		t.excluded = t.excluded[:0]
	}
}

// chooseServer picks the server for the next try. A read whose floor is not known goes to the leader.
func (sess *session) chooseServer(t *tryState) (discovery.Server, bool) {
	t.floor = position.Position{}
	if !t.leaderOnly {
		floor, known := t.view.floor(t.grant.Route.MaxStaleness, sess.floor)
		if known {
			if s, alone, ok := t.replica(floor, sess.gw.withHeldServers(t.view.name, t.excluded)); ok {
				t.floor, t.noOtherServer = floor, t.noOtherServer || alone
				return s, true
			}
		}
	}
	if !sess.gw.mayUseLeader() {
		return discovery.Server{}, false
	}
	return t.leader()
}

// requiresLeader reports whether the server must prove in this try that it leads.
func (t *tryState) requiresLeader() bool {
	return t.floor.IsZero()
}

// finalError returns the error for a statement that can't be tried again. The error of an earlier try that may
// have run takes precedence.
func (t *tryState) finalError(e *outcome.Error) *outcome.Error {
	if t.mayHaveRun {
		return t.lastError
	}
	return e
}

// anonymousAccount is the account name sent to servers for open routes.
const anonymousAccount = "-"

func (t *tryState) destination(s discovery.Server) destination {
	d := destination{
		server: s, maxConnections: t.database.MaxConnections,
		account: t.grant.Account, priority: t.grant.Route.Priority, homes: t.grant.Homes.Names(),
	}
	if d.account == "" {
		d.account = anonymousAccount
	}
	return d
}

// runOn runs the statement on one server. It reports whether the statement was answered; otherwise it may be
// tried again.
func (sess *session) runOn(t *tryState, s discovery.Server) bool {
	w := t.workItem(sess.state.Values())
	w.authorized = sess.isAuthorized
	w.targetLeft = sess.targetLeft(t.request, s)
	if t.requiresLeader() && !t.decision.Writes {
		// Only the leader accepts this transaction. A write doesn't need it: only the leader accepts writes.
		w.opening = openLeader
	}
	sent := sess.gw.cfg.Now()
	lead := t.leadAtSend(s)
	t.view.recordSent(s.ID)
	r, err := sess.gw.runStatement(t.ctx, t.destination(s), w)
	if err != nil {
		return sess.handleNoAnswer(t, s, err)
	}
	t.view.recordAnswer(s.ID, sess.gw.cfg.Now()-sent-r.waited, r.position)
	r.schedule.record(t.view, s.ID)
	if r.answer.code != "" {
		return sess.handleRefusal(t, s, r)
	}
	if t.requiresLeader() {
		if !sess.confirmLeader(t.view, t.stmt, s, lead, t.began) {
			return sess.handleUnconfirmed(t)
		}
		t.view.markLeader(sent, s.ID, r.position)
	}
	if t.decision.Writes {
		sess.floor = position.Max(sess.floor, r.position)
	}
	sess.sendResult(t.stmt, s, t.number, t.began, r.answer)
	return true
}

// leadAtSend returns the lead of a server that has to prove that it leads. Whether it may is checked before the statement is sent.
func (t *tryState) leadAtSend(s discovery.Server) (lead leaderlease.Lead) {
	if t.requiresLeader() {
		lead, _ = t.view.lead(s.ID)
	}
	return lead
}

// confirmLeader reports whether an answer that has arrived may be acknowledged as one of the leader, and logs why not. The statement
// was sent in a lead.
func (sess *session) confirmLeader(v *view, stmt sessionstate.Statement, s discovery.Server, lead leaderlease.Lead, began time.Duration) bool {
	why := sess.gw.ackObjection(v, s.ID, lead)
	if why != "" {
		sess.gw.cfg.Log.answerWithheld(sess, stmt, s, why, sess.gw.cfg.Now()-began)
	}
	return why == ""
}

// handleUnconfirmed handles an answer that can't be acknowledged: a read is repeated, and a write may have been lost with its
// server's lead. It reports whether the caller was answered.
func (sess *session) handleUnconfirmed(t *tryState) bool {
	if t.decision.Writes {
		sess.refuse(t.stmt, errOutcomeUnknown, t.began)
		return true
	}
	t.lastError, t.mayHaveRun = errNoServer, false
	return false
}

// targetLeft returns the time until a request must have ended at a server to meet its route's target latency.
func (sess *session) targetLeft(r request, s discovery.Server) time.Duration {
	return sess.gw.targetLeft(s, r.grant.Route.TargetLatency, sess.gw.cfg.Now()-r.began)
}

// workItem returns the work for this try. A read leaves time to try another server. It may queue for long at the
// leader, which no other server can replace, but only briefly at a replica.
func (t *tryState) workItem(values map[string]string) *workItem {
	left := max(t.timeLeft(), time.Millisecond)
	w := &workItem{
		values: values, after: t.floor, stmt: t.stmt, preparedStmt: t.decision.Prepared,
		timeLeft: left, maxQueueWait: left * leaderQueuePercent / 100, serverTimeout: left,
	}
	if !t.requiresLeader() && !t.noOtherServer {
		w.maxQueueWait = left * replicaQueuePercent / 100
	}
	if !t.decision.Writes && t.number < maxTries-1 {
		w.serverTimeout = min(max(left/2, minReadTimeout), left)
	}
	return w
}

// handleNoAnswer handles a missing answer. A read is tried on another server; the outcome of a write that was
// sent is unknown. It reports whether the caller was answered.
func (sess *session) handleNoAnswer(t *tryState, s discovery.Server, err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return sess.handleNotSent(t, s, notSent)
	}
	var noAnswer *noAnswerError
	sent := !errors.As(err, &noAnswer) || noAnswer.sent
	sess.gw.cfg.Log.noAnswer(sess, t.stmt, s, sent, err)
	t.view.recordAbandoned(s.ID)
	if noAnswer == nil || noAnswer.lender == "" {
		t.view.markUnreachable(s.ID)
		sess.gw.reportSuspect(t.view, s.ID)
		t.excluded = append(t.excluded, s.ID)
	}
	if sent && t.decision.Writes {
		sess.refuse(t.stmt, errOutcomeUnknown, t.began)
		return true
	}
	t.lastError, t.mayHaveRun = errTimedOut, sent
	return false
}

// handleNotSent handles a failure to get a connection in time. It reports whether the caller was answered: the
// statement is refused at once if waiting can't help and no other server may run it.
func (sess *session) handleNotSent(t *tryState, s discovery.Server, err *notSentError) bool {
	t.view.recordAbandoned(s.ID)
	err.schedule.record(t.view, s.ID)
	t.number-- // nothing was sent
	evacuated := sess.gw.checkEvacuation(s) != nil
	switch {
	case evacuated:
		t.lastError = errEvacuated
	case err.cold:
		t.lastError = errColdRefused.WithRetryAfter(err.retryAfter)
		t.lastBusy = t.lastError
	case err.serverBusy:
		t.lastError = errBusy.WithRetryAfter(err.retryAfter)
		if err.scheduled {
			t.lastBusy = t.lastError
		}
	case err.noFreeConnection:
		t.lastError = errQueueFull
	default:
		t.lastError = errNoServer
		t.view.markUnreachable(s.ID)
		sess.gw.cfg.Log.unreachable(s, err)
		sess.gw.reportSuspect(t.view, s.ID)
	}
	t.mayHaveRun = false
	switch {
	case !t.requiresLeader():
		t.excluded = append(t.excluded, s.ID)
	case err.serverBusy && !evacuated:
		sess.failStatement(t.stmt, t.lastError, t.began)
		return true
	default:
		wait.UntilClosed(t.ctx, t.view.changes(), leaderRetryInterval)
	}
	return false
}

// handleRefusal handles a server's error. It reports whether the caller was answered.
func (sess *session) handleRefusal(t *tryState, s discovery.Server, r result) bool {
	a := r.answer
	t.lastError, t.mayHaveRun = serverError(a), !provesNotRun(a.code)
	sess.gw.cfg.Log.retried(sess, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.markNotLeader(s.ID)
		t.number--
		return false
	case outcome.CodeNotCaughtUp:
		t.view.markLagging(s.ID, t.floor)
	case outcome.CodeUndefinedStatement:
		return false // the next try prepares it again
	case outcome.CodeInsufficientResources, outcome.CodeInternal, outcome.CodeQueryCanceled:
		if t.leaderOnly && r.scheduled && a.code == outcome.CodeInsufficientResources {
			// The server has proved that it did not run the statement, and its scheduler has others under way.
			t.lastError = errBusy.WithRetryAfter(retrySoon)
			wait.For(t.ctx, retrySoon)
			return false
		}
		if t.leaderOnly {
			sess.refuse(t.stmt, t.lastError, t.began)
			return true
		}
	default:
		sess.refuse(t.stmt, t.lastError, t.began)
		return true
	}
	t.excluded = append(t.excluded, s.ID)
	return false
}

// sendResult sends the server's result to the caller.
func (sess *session) sendResult(stmt sessionstate.Statement, s discovery.Server, tries int, began time.Duration, a answer) {
	for _, row := range a.rows {
		sess.codec.Row(row)
	}
	sess.codec.Complete(a.receipt)
	sess.gw.cfg.Log.served(sess, stmt, s, tries, sess.gw.cfg.Now()-began)
}
