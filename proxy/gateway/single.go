package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/connlimit"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
)

const (
	// maxTries bounds the servers that one statement is sent to.
	maxTries = 6
	// firstReadTimeout is the least time that a read waits for one server before another is tried.
	firstReadTimeout = 300 * time.Millisecond
	// leaderPause is the wait before a leader is looked for again.
	leaderPause = 40 * time.Millisecond
)

// request is a statement on its way.
type request struct {
	stmt    sessionstate.Statement
	verdict sessionstate.Verdict
	grant   catalog.Grant
	began   time.Duration
}

// try is the progress of a statement over several servers.
type try struct {
	request
	view     *view
	database catalog.Database
	left     context.Context // ends with the statement's time
	number   int
	exclude  []string
	onLeader bool // the statement has to be run by the leader
	floor    position.Position
	last     *outcome.Error // of the last try
	lastSent bool           // the last try reached a server
}

// placed is a server chosen for a try, with a connection to it.
type placed struct {
	server discovery.Server
	up     *upstream
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
		p, e := n.place(t)
		if e != nil {
			n.refuse(r.stmt, e, r.began)
			return
		}
		if n.attempt(t, p) {
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

// place chooses a server and gets a connection to it. It waits while no server fits, within the time of the
// statement.
func (n *session) place(t *try) (placed, *outcome.Error) {
	for {
		s, ok := n.choose(t)
		changed := t.view.changes()
		if !ok {
			if !waitChange(t.left, changed, leaderPause) {
				return placed{}, t.refusal(errNoServer)
			}
			t.exclude = t.exclude[:0]
			continue
		}
		up, err := n.connect(t, s)
		if err == nil {
			return placed{s, up}, nil
		}
		if e := n.connectFailed(t, s, err); e != nil {
			return placed{}, e
		}
	}
}

// choose picks the server for the next try. A read whose floor is not known goes to the leader.
func (n *session) choose(t *try) (discovery.Server, bool) {
	t.floor = position.Position{}
	if !t.onLeader {
		floor, known := t.view.floor(t.grant.Route.MaxStaleness, n.floor)
		if known {
			parallel := connlimit.Limit{Max: t.database.MaxConnections, Instances: n.gw.cfg.Instances()}.Share()
			if s, ok := t.view.replica(floor, parallel, t.exclude); ok {
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

func (n *session) connect(t *try, s discovery.Server) (*upstream, error) {
	ctx, cancel := context.WithTimeout(t.left, connectTimeout)
	defer cancel()
	return n.gw.pool.acquire(ctx, s, t.database.MaxConnections, accountName(t.grant), n.state.Values())
}

// anonymous is the account that servers are told on open routes.
const anonymous = "-"

func accountName(g catalog.Grant) string {
	if g.Account == "" {
		return anonymous
	}
	return g.Account
}

// connectFailed notes a failed connection. It returns an error when the statement has to be refused.
func (n *session) connectFailed(t *try, s discovery.Server, err error) *outcome.Error {
	full := errors.Is(err, errServerFull) || errors.Is(err, errConnections)
	if !full {
		t.view.unreachable(s.ID)
		n.gw.cfg.Log.unreachable(s, err)
		n.gw.suspect(t.view, s.ID)
	}
	t.last = errNoServer
	if full {
		t.last = errQueueFull
	}
	if t.left.Err() != nil {
		return t.refusal(t.last)
	}
	if !t.leads() {
		t.exclude = append(t.exclude, s.ID)
		return nil
	}
	if !waitChange(t.left, t.view.changes(), leaderPause) {
		return t.refusal(t.last)
	}
	return nil
}

// refusal is what a statement is told that was not placed again. An earlier try that may have run counts more.
func (t *try) refusal(e *outcome.Error) *outcome.Error {
	if t.lastSent {
		return t.last
	}
	return e
}

// attempt runs the statement on one server. It reports whether the statement was answered; otherwise it may be
// tried again.
func (n *session) attempt(t *try, p placed) bool {
	sent := n.gw.cfg.Now()
	t.view.sent(p.server.ID)
	a, reached, err := n.exchange(t, p.up)
	took := n.gw.cfg.Now() - sent
	if err != nil {
		return n.attemptFailed(t, p, reached, err)
	}
	t.view.answered(p.server.ID, took, p.up.position)
	if a.code != "" {
		return n.attemptRefused(t, p, a)
	}
	if t.leads() {
		t.view.led(sent, p.server.ID, p.up.position)
	}
	if t.verdict.Writes {
		n.floor = position.Max(n.floor, p.up.position)
	}
	n.deliver(t, p, a)
	n.endProof(p)
	return true
}

// exchange sends the statement and returns the answer. reached is false when the statement itself is known not
// to have been sent.
func (n *session) exchange(t *try, up *upstream) (a answer, reached bool, err error) {
	up.deadline(t.timeout())
	var p *sessionstate.Prepared
	if t.stmt.Kind == sessionstate.Execute {
		p = &t.verdict.Uses
	}
	queued := up.setup(n.state.Values(), p)
	if t.proves() {
		up.codec.Begin()
		queued++
	}
	if queued > 0 {
		if err := up.codec.Flush(); err != nil {
			return a, false, err
		}
		a, err := up.settle(queued)
		if err != nil || a.code != "" {
			up.unknown = true
			return a, false, err
		}
	}
	up.query(t.stmt, t.verdict, t.floor)
	if err := up.codec.Flush(); err != nil {
		return a, true, err
	}
	a, err = up.receive()
	return a, true, err
}

// proves reports whether the statement is wrapped in a transaction of the proxy's own, which only the leader
// accepts. A write proves the same by itself.
func (t *try) proves() bool {
	return t.leads() && !t.verdict.Writes
}

// query queues a caller's statement.
func (u *upstream) query(stmt sessionstate.Statement, verdict sessionstate.Verdict, after position.Position) {
	if stmt.Kind == sessionstate.Execute {
		u.codec.Execute(stmt, preparedName(verdict.Uses), after)
		return
	}
	u.codec.Query(stmt, after)
}

// timeout is how long this try may take: a read leaves time for another server.
func (t *try) timeout() time.Duration {
	deadline, _ := t.left.Deadline()
	left := time.Until(deadline)
	if t.verdict.Writes || t.number >= maxTries-1 {
		return left
	}
	return min(max(left/2, firstReadTimeout), left)
}

// attemptFailed notes that the server gave no answer. A read is tried elsewhere; what became of a write is not
// known once it was sent.
func (n *session) attemptFailed(t *try, p placed, reached bool, err error) bool {
	n.gw.pool.release(p.up, false)
	t.view.failed(p.server.ID)
	n.gw.cfg.Log.noAnswer(n, t.stmt, p.server, reached, err)
	n.gw.suspect(t.view, p.server.ID)
	if reached && t.verdict.Writes {
		n.refuse(t.stmt, errOutcomeUnknown, t.began)
		return true
	}
	t.last, t.lastSent = errTimedOut, reached
	t.exclude = append(t.exclude, p.server.ID)
	return false
}

// attemptRefused notes a server's error. It reports whether the caller was told.
func (n *session) attemptRefused(t *try, p placed, a answer) bool {
	if a.code == outcome.CodeUndefinedStatement {
		p.up.unknown = true // prepared anew by the next try
	}
	n.endProof(p)
	t.last, t.lastSent = serverError(a), !provesNotRun(a.code)
	switch a.code {
	case outcome.CodeReadOnly:
		t.view.denied(p.server.ID)
		t.number--
		return false
	case outcome.CodeNotCaughtUp:
		t.view.lagged(p.server.ID)
	case outcome.CodeUndefinedStatement:
		return false
	case outcome.CodeInsufficient, outcome.CodeInternal, outcome.CodeQueryCanceled:
		if t.onLeader {
			n.refuse(t.stmt, t.last, t.began)
			return true
		}
	default:
		n.refuse(t.stmt, t.last, t.began)
		return true
	}
	t.exclude = append(t.exclude, p.server.ID)
	return false
}

// endProof gives the connection back, after the end of the transaction that proved the lead.
func (n *session) endProof(p placed) {
	if p.up.state == sessionstate.Idle {
		n.gw.pool.release(p.up, true)
		return
	}
	n.gw.rollBack(p.up)
}

// deliver answers the caller with what the server said.
func (n *session) deliver(t *try, p placed, a answer) {
	for _, row := range a.rows {
		n.codec.Row(row)
	}
	n.codec.Complete(a.receipt)
	n.gw.cfg.Log.served(n, t.stmt, p.server, t.number, n.gw.cfg.Now()-t.began)
}

// waitChange waits for a change, the pause at most. It returns false when ctx has ended.
func waitChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
