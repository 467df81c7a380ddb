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
	// firstReadTimeout is the least time that a read waits for one server before another is tried.
	firstReadTimeout = 300 * time.Millisecond
	// leaderPatience and replicaPatience are the parts of a statement's time, in percent, that it waits for its turn
	// at a server. Executions take far less than what is left then.
	leaderPatience  = 75
	replicaPatience = 35
	// leaderPause is the wait before a leader is looked for again.
	leaderPause = 40 * time.Millisecond
)

// request is a statement on its way.
type request struct {
	stmt    sessionstate.Statement
	verdict sessionstate.Decision
	grant   catalog.Grant
	began   time.Duration
}

// try is the progress of a statement, or of the begin of a transaction, over several servers.
type try struct {
	request
	view     *view
	database catalog.Database
	left     context.Context // ends with the statement's time
	number   int
	exclude  []string
	onLeader bool // the leader has to run it
	floor    position.Position
	last     *outcome.Error // of the last try
	maySent  bool           // the last try may have run the statement
}

// runSingle runs a statement outside a transaction and answers it.
func (n *session) runSingle(r request) {
	t, done, e := n.newTry(r)
	if e != nil {
		n.refuse(r.stmt, e, r.began)
		return
	}
	defer done()
	for t.mayTry() {
		s, e := n.place(t)
		if e != nil {
			n.refuse(r.stmt, e, r.began)
			return
		}
		if n.attempt(t, s) {
			return
		}
	}
	n.refuse(r.stmt, t.last, r.began)
}

// newTry begins a statement.
func (n *session) newTry(r request) (*try, func(), *outcome.Error) {
	snapshot := n.gw.cfg.Directory.Current()
	database, ok := snapshot.Database(r.grant.Route.Database)
	if !ok {
		return nil, nil, errNoServer
	}
	left := r.grant.Route.StatementTimeout - (n.gw.cfg.Now() - r.began)
	ctx, cancel := context.WithTimeout(n.gw.ctx, left)
	t := &try{request: r, view: n.gw.view(database.Name), database: database, left: ctx, last: errNoServer}
	t.onLeader = r.verdict.Writes || r.grant.Route.MaxStaleness == 0
	return t, cancel, nil
}

// mayTry counts a try and reports whether there is time for it. Refusals of servers that don't lead don't count:
// they cost no execution, and during a failover they only tell that it goes on.
func (t *try) mayTry() bool {
	t.number++
	return t.number <= maxTries && t.left.Err() == nil
}

// place chooses a server. It waits while none fits, within the time of the statement.
func (n *session) place(t *try) (discovery.Server, *outcome.Error) {
	for {
		changed := t.view.changes()
		if s, ok := n.choose(t); ok {
			return s, nil
		}
		if !wait.UntilClosed(t.left, changed, leaderPause) {
			return discovery.Server{}, t.refusal(errNoServer)
		}
		t.exclude = t.exclude[:0]
	}
}

// choose picks the server for the next try. A read whose floor is not known goes to the leader.
func (n *session) choose(t *try) (discovery.Server, bool) {
	t.floor = position.Position{}
	if !t.onLeader {
		floor, known := t.view.floor(t.grant.Route.MaxStaleness, n.floor)
		if known {
			if s, ok := t.view.replica(floor, t.exclude); ok {
				t.floor = floor
				return s, true
			}
		}
	}
	return t.view.leader(t.exclude)
}

// leads reports whether this try has to prove that its server leads.
func (t *try) leads() bool {
	return t.floor.IsZero()
}

// refusal is what a statement is told that was not placed again. An earlier try that may have run counts more.
func (t *try) refusal(e *outcome.Error) *outcome.Error {
	if t.maySent {
		return t.last
	}
	return e
}

// anonymous is the account that servers are told on open routes.
const anonymous = "-"

func (t *try) destination(s discovery.Server) destination {
	d := destination{
		server: s, maxConnections: t.database.MaxConnections,
		account: t.grant.Account, priority: t.grant.Route.Priority,
	}
	if d.account == "" {
		d.account = anonymous
	}
	return d
}

// attempt runs the statement on one server. It reports whether the statement was answered; otherwise it may be
// tried again.
func (n *session) attempt(t *try, s discovery.Server) bool {
	w := t.work(n.state.Values())
	if t.leads() && !t.verdict.Writes {
		// Only the leader accepts the transaction; a write proves the same by itself.
		w.opening = openLeader
	}
	sent := n.gw.cfg.Now()
	t.view.sent(s.ID)
	r, err := n.gw.runOnce(t.left, t.destination(s), w)
	if err != nil {
		return n.attemptFailed(t, s, err)
	}
	t.view.answered(s.ID, n.gw.cfg.Now()-sent, r.position)
	if r.answer.code != "" {
		return n.attemptRefused(t, s, r.answer)
	}
	if t.leads() {
		t.view.led(sent, s.ID, r.position)
	}
	if t.verdict.Writes {
		n.floor = position.Max(n.floor, r.position)
	}
	n.deliver(t.stmt, s, t.number, t.began, r.answer)
	return true
}

// work returns what this try asks a server for. A read leaves time for another server. It waits long for the leader's
// turn, which nobody else can give, and shortly for that of a replica.
func (t *try) work(values map[string]string) *work {
	deadline, _ := t.left.Deadline()
	left := max(time.Until(deadline), time.Millisecond)
	w := &work{
		values: values, after: t.floor, stmt: t.stmt, uses: t.verdict.Prepared,
		left: left, patience: left * leaderPatience / 100, timeout: left,
	}
	if !t.leads() {
		w.patience = left * replicaPatience / 100
	}
	if !t.verdict.Writes && t.number < maxTries-1 {
		w.timeout = min(max(left/2, firstReadTimeout), left)
	}
	return w
}

// attemptFailed notes that no answer came. A read is tried elsewhere; what became of a write is not known once it
// was sent. It reports whether the caller was told.
func (n *session) attemptFailed(t *try, s discovery.Server, err error) bool {
	var notPlaced *notPlacedError
	if errors.As(err, &notPlaced) {
		return n.placingFailed(t, s, notPlaced)
	}
	var silent *silentError
	sent := !errors.As(err, &silent) || silent.sent
	n.gw.cfg.Log.noAnswer(n, t.stmt, s, sent, err)
	t.view.unsent(s.ID)
	if silent == nil || silent.lender == "" {
		t.view.unreachable(s.ID)
		n.gw.suspect(t.view, s.ID)
		t.exclude = append(t.exclude, s.ID)
	}
	if sent && t.verdict.Writes {
		n.refuse(t.stmt, errOutcomeUnknown, t.began)
		return true
	}
	t.last, t.maySent = errTimedOut, sent
	return false
}

// placingFailed notes that no connection to a server was had in time. It reports whether the caller was told: where
// waiting is of no use and no other server may run the statement, it is refused at once.
func (n *session) placingFailed(t *try, s discovery.Server, err *notPlacedError) bool {
	t.view.unsent(s.ID)
	t.number-- // nothing was sent
	switch {
	case err.busy:
		t.last = errBusy.WithRetryAfter(err.retryAfter)
	case err.full:
		t.last = errQueueFull
	default:
		t.last = errNoServer
		t.view.unreachable(s.ID)
		n.gw.cfg.Log.unreachable(s, err)
		n.gw.suspect(t.view, s.ID)
	}
	t.maySent = false
	switch {
	case !t.leads():
		t.exclude = append(t.exclude, s.ID)
	case err.busy:
		n.refuseInState(t.stmt, t.last, t.began)
		return true
	default:
		wait.UntilClosed(t.left, t.view.changes(), leaderPause)
	}
	return false
}

// attemptRefused notes a server's error. It reports whether the caller was told.
func (n *session) attemptRefused(t *try, s discovery.Server, a answer) bool {
	t.last, t.maySent = serverError(a), !provesNotRun(a.code)
	n.gw.cfg.Log.triedAgain(n, t, s, a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.denied(s.ID)
		t.number--
		return false
	case outcome.CodeNotCaughtUp:
		t.view.lagged(s.ID)
	case outcome.CodeUndefinedStatement:
		return false // prepared anew by the next try
	case outcome.CodeInsufficientResources, outcome.CodeInternal, outcome.CodeQueryCanceled:
		if t.onLeader {
			n.refuse(t.stmt, t.last, t.began)
			return true
		}
	default:
		n.refuse(t.stmt, t.last, t.began)
		return true
	}
	t.exclude = append(t.exclude, s.ID)
	return false
}

// deliver answers the caller with what the server said.
func (n *session) deliver(stmt sessionstate.Statement, s discovery.Server, tries int, began time.Duration, a answer) {
	for _, row := range a.rows {
		n.codec.Row(row)
	}
	n.codec.Complete(a.receipt)
	n.gw.cfg.Log.served(n, stmt, s, tries, n.gw.cfg.Now()-began)
}
