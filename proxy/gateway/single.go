package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// maxTries bounds the servers that one statement is sent to.
	maxTries = 6
	// minReadTimeout is the least time that a read waits for one server before another is tried.
	minReadTimeout = 300 * time.Millisecond
	// leaderQueuePercent and replicaQueuePercent are the parts of a statement's time, in percent, that it waits for its turn
	// at a server. Executions take far less than what is left then.
	leaderQueuePercent  = 75
	replicaQueuePercent = 35
	// leaderRetryInterval is the wait before a leader is looked for again.
	leaderRetryInterval = 40 * time.Millisecond
)

// request is a statement on its way.
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
	ctx        context.Context // ends with the statement's time
	number     int
	excluded   []string
	leaderOnly bool // the leader has to run it
	floor      position.Position
	lastError  *outcome.Error // of the last try
	mayHaveRun bool           // the last try may have run the statement
}

// runSingle runs a statement outside a transaction and answers it.
func (n *session) runSingle(r request) {
	t, done, e := n.newTryState(r)
	if e != nil {
		n.refuse(r.stmt, e, r.began)
		return
	}
	defer done()
	for t.nextTry() {
		s, e := n.waitForServer(t)
		if e != nil {
			n.refuse(r.stmt, e, r.began)
			return
		}
		if n.runOn(t, s) {
			return
		}
	}
	n.refuse(r.stmt, t.lastError, r.began)
}

// newTryState begins a statement.
func (n *session) newTryState(r request) (*tryState, func(), *outcome.Error) {
	snapshot := n.gw.cfg.Directory.Current()
	database, ok := snapshot.Database(r.grant.Route.Database)
	if !ok {
		return nil, nil, errNoServer
	}
	left := r.grant.Route.StatementTimeout - (n.gw.cfg.Now() - r.began)
	ctx, cancel := context.WithTimeout(n.gw.ctx, left)
	t := &tryState{request: r, view: n.gw.view(database.Name), database: database, ctx: ctx, lastError: errNoServer}
	t.leaderOnly = r.decision.Writes || r.grant.Route.MaxStaleness == 0
	return t, cancel, nil
}

// nextTry counts a try and reports whether there is time for it. Refusals of servers that don't lead don't count:
// they cost no execution, and during a failover they only tell that it goes on.
func (t *tryState) nextTry() bool {
	t.number++
	return t.number <= maxTries && t.ctx.Err() == nil
}

// waitForServer chooses a server. It waits while none fits, within the time of the statement.
func (n *session) waitForServer(t *tryState) (discovery.Server, *outcome.Error) {
	for {
		changed := t.view.changes()
		if s, ok := n.chooseServer(t); ok {
			return s, nil
		}
		if !wait.UntilClosed(t.ctx, changed, leaderRetryInterval) {
			return discovery.Server{}, t.finalError(errNoServer)
		}
		t.excluded = t.excluded[:0]
	}
}

// chooseServer picks the server for the next try. A read whose floor is not known goes to the leader.
func (n *session) chooseServer(t *tryState) (discovery.Server, bool) {
	t.floor = position.Position{}
	if !t.leaderOnly {
		floor, known := t.view.floor(t.grant.Route.MaxStaleness, n.floor)
		if known {
			if s, ok := t.view.replica(floor, t.excluded); ok {
				t.floor = floor
				return s, true
			}
		}
	}
	return t.view.leader(t.excluded)
}

// requiresLeader reports whether this try has to prove that its server leads.
func (t *tryState) requiresLeader() bool {
	return t.floor.IsZero()
}

// finalError is what a statement is told that was not placed again. An earlier try that may have run counts more.
func (t *tryState) finalError(e *outcome.Error) *outcome.Error {
	if t.mayHaveRun {
		return t.lastError
	}
	return e
}

// anonymousAccount is the account that servers are told on open routes.
const anonymousAccount = "-"

func (t *tryState) destination(s discovery.Server) destination {
	d := destination{
		server: s, maxConnections: t.database.MaxConnections,
		account: t.grant.Account, priority: t.grant.Route.Priority,
	}
	if d.account == "" {
		d.account = anonymousAccount
	}
	return d
}

// runOn runs the statement on one server. It reports whether the statement was answered; otherwise it may be
// tried again.
func (n *session) runOn(t *tryState, s discovery.Server) bool {
	w := t.workItem(n.state.Values())
	if t.requiresLeader() && !t.decision.Writes {
		// Only the leader accepts the transaction; a write proves the same by itself.
		w.opening = openLeader
	}
	sent := n.gw.cfg.Now()
	t.view.recordSent(s.ID)
	r, err := n.gw.runStatement(t.ctx, t.destination(s), w)
	if err != nil {
		return n.handleNoAnswer(t, s, err)
	}
	t.view.recordAnswer(s.ID, n.gw.cfg.Now()-sent, r.position)
	if r.answer.code != "" {
		return n.handleRefusal(t, s, r.answer)
	}
	if t.requiresLeader() {
		t.view.markLeader(sent, s.ID, r.position)
	}
	if t.decision.Writes {
		n.floor = position.Max(n.floor, r.position)
	}
	n.sendResult(t.stmt, s, t.number, t.began, r.answer)
	return true
}

// workItem returns what this try asks a server for. A read leaves time for another server. It waits long for the leader's
// turn, which nobody else can give, and shortly for that of a replica.
func (t *tryState) workItem(values map[string]string) *workItem {
	deadline, _ := t.ctx.Deadline()
	left := max(time.Until(deadline), time.Millisecond)
	w := &workItem{
		values: values, after: t.floor, stmt: t.stmt, preparedStmt: t.decision.Prepared,
		timeLeft: left, maxQueueWait: left * leaderQueuePercent / 100, serverTimeout: left,
	}
	if !t.requiresLeader() {
		w.maxQueueWait = left * replicaQueuePercent / 100
	}
	if !t.decision.Writes && t.number < maxTries-1 {
		w.serverTimeout = min(max(left/2, minReadTimeout), left)
	}
	return w
}

// handleNoAnswer notes that no answer came. A read is tried elsewhere; what became of a write is not known once it
// was sent. It reports whether the caller was told.
func (n *session) handleNoAnswer(t *tryState, s discovery.Server, err error) bool {
	var notPlaced *notSentError
	if errors.As(err, &notPlaced) {
		return n.handleNotSent(t, s, notPlaced)
	}
	var silent *noAnswerError
	sent := !errors.As(err, &silent) || silent.sent
	n.gw.cfg.Log.noAnswer(n, t.stmt, s, sent, err)
	t.view.recordAbandoned(s.ID)
	if silent == nil || silent.lender == "" {
		t.view.markUnreachable(s.ID)
		n.gw.reportSuspect(t.view, s.ID)
		t.excluded = append(t.excluded, s.ID)
	}
	if sent && t.decision.Writes {
		n.refuse(t.stmt, errOutcomeUnknown, t.began)
		return true
	}
	t.lastError, t.mayHaveRun = errTimedOut, sent
	return false
}

// handleNotSent notes that no connection to a server was had in time. It reports whether the caller was told: where
// waiting is of no use and no other server may run the statement, it is refused at once.
func (n *session) handleNotSent(t *tryState, s discovery.Server, err *notSentError) bool {
	t.view.recordAbandoned(s.ID)
	t.number-- // nothing was sent
	switch {
	case err.serverBusy:
		t.lastError = errBusy.WithRetryAfter(err.retryAfter)
	case err.noFreeConnection:
		t.lastError = errQueueFull
	default:
		t.lastError = errNoServer
		t.view.markUnreachable(s.ID)
		n.gw.cfg.Log.unreachable(s, err)
		n.gw.reportSuspect(t.view, s.ID)
	}
	t.mayHaveRun = false
	switch {
	case !t.requiresLeader():
		t.excluded = append(t.excluded, s.ID)
	case err.serverBusy:
		n.failStatement(t.stmt, t.lastError, t.began)
		return true
	default:
		wait.UntilClosed(t.ctx, t.view.changes(), leaderRetryInterval)
	}
	return false
}

// handleRefusal notes a server's error. It reports whether the caller was told.
func (n *session) handleRefusal(t *tryState, s discovery.Server, a answer) bool {
	t.lastError, t.mayHaveRun = serverError(a), !provesNotRun(a.code)
	n.gw.cfg.Log.retried(n, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.markNotLeader(s.ID)
		t.number--
		return false
	case outcome.CodeNotCaughtUp:
		t.view.markLagging(s.ID)
	case outcome.CodeUndefinedStatement:
		return false // prepared anew by the next try
	case outcome.CodeInsufficientResources, outcome.CodeInternal, outcome.CodeQueryCanceled:
		if t.leaderOnly {
			n.refuse(t.stmt, t.lastError, t.began)
			return true
		}
	default:
		n.refuse(t.stmt, t.lastError, t.began)
		return true
	}
	t.excluded = append(t.excluded, s.ID)
	return false
}

// sendResult answers the caller with what the server said.
func (n *session) sendResult(stmt sessionstate.Statement, s discovery.Server, tries int, began time.Duration, a answer) {
	for _, row := range a.rows {
		n.codec.Row(row)
	}
	n.codec.Complete(a.receipt)
	n.gw.cfg.Log.served(n, stmt, s, tries, n.gw.cfg.Now()-began)
}
