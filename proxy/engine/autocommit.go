package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// retryBackoffMin and retryBackoffMax bound the wait before the second and later retries. The
	// wait has full jitter, so that sessions that failed together don't come back together.
	retryBackoffMin = 5 * time.Millisecond
	retryBackoffMax = 200 * time.Millisecond
	// maxHomeMoves is how many refusals as "not home" one unit follows: two more than a single failure needs.
	maxHomeMoves = 3
	// maxBackoffDoublings keeps the back-off from overflowing.
	maxBackoffDoublings = 10
	// failoverRetryAfter is the time after which a caller may try again when a server failed or is being
	// replaced; a failover is to take less than 3 s.
	failoverRetryAfter = time.Second
)

// attempt is the progress of one autocommit unit over several servers.
type attempt struct {
	plan
	number    int
	uncounted bool // placed again without counting an attempt
	// sampleFirst places the read only after its sample, because an answer did not cover it.
	sampleFirst bool
	knownSample position.Position // the sample that the answer did not cover; zero if unknown
	exclude     []authority.ServerID
	// primaryDeadline is until when a write that is known not to have run waits for a new primary.
	primaryDeadline time.Time
	homeMoves       int  // that refused because another one holds the server's connections now
	notRunOnPrimary bool // the last failure proves that the write did not run on the primary
}

// runAutocommit runs a unit outside a transaction, on another server if the first fails in a way
// that allows it.
func (n *session) runAutocommit(ctx context.Context, u *unit, report *Statement, started time.Time) (*outcome.Error, error) {
	p, e := n.planUnit(u)
	if e != nil {
		return e, nil
	}
	a := &attempt{plan: p, primaryDeadline: started.Add(n.srv.cfg.PrimaryWait)}
	for {
		a.number++
		report.Attempts = a.number
		up, e, again := n.connect(ctx, u, a)
		if e != nil && again && n.mayRetry(ctx, a) {
			continue
		}
		if e != nil {
			return e, nil
		}
		n.recordTarget(report, up, started)
		r := n.relay(ctx, up, u, a.plan)
		report.Wait += up.queueWait()
		report.Run = time.Since(started) - report.Wait
		e, again, err := n.handleResult(ctx, up, u, a, &r, report)
		if err != nil {
			return nil, err
		}
		if again && n.mayRetry(ctx, a) {
			n.out.discardUnwritten()
			u.completedOps = 0
			continue
		}
		return e, nil
	}
}

func (n *session) recordTarget(report *Statement, up *upstream, started time.Time) {
	report.Wait = time.Since(started)
	report.Server = up.target.Server
	report.Primary = up.target.Primary
}

// mayRetry counts an attempt and waits before the next one.
func (n *session) mayRetry(ctx context.Context, a *attempt) bool {
	if a.uncounted {
		a.uncounted = false
		return ctx.Err() == nil
	}
	if ctx.Err() != nil {
		return false
	}
	if a.notRunOnPrimary && time.Now().Before(a.primaryDeadline) {
		a.notRunOnPrimary = false
		return n.backOff(ctx, a.number)
	}
	if a.number >= n.srv.cfg.MaxAttempts {
		return false
	}
	if allow := n.srv.cfg.AllowRetry; allow != nil && !allow(n.login.Route.Name) {
		return false
	}
	if a.number == 1 {
		return true
	}
	return n.backOff(ctx, a.number)
}

// backOff waits before attempt number+1 and reports whether the wait went undisturbed.
func (n *session) backOff(ctx context.Context, number int) bool {
	limit := retryBackoffMax
	if number < maxBackoffDoublings {
		limit = min(retryBackoffMin<<number, retryBackoffMax)
	}
	return wait.For(ctx, rand.N(limit))
}

// connect chooses a server and gets a connection to it. again tells that another try may help.
func (n *session) connect(ctx context.Context, u *unit, a *attempt) (up *upstream, e *outcome.Error, again bool) {
	target, e := n.chooseTarget(ctx, a)
	if e != nil {
		return nil, e, false
	}
	conn, err := n.srv.cfg.Pool.Acquire(ctx, AcquireRequest{
		Target:         target,
		Account:        n.login.Account.Name,
		Weight:         n.login.Account.Weight,
		Timeout:        n.login.Route.QueueTimeout.Std(),
		Deferred:       true,
		SingleExchange: !u.taintsConnection,
	})
	if err != nil {
		e := n.waitError(ctx, err)
		return nil, e, a.noteRefusal(target, e)
	}
	return n.srv.newUpstream(conn, target), nil, false
}

// noteRefusal notes that no connection to t was granted. It reports whether another try may help.
func (a *attempt) noteRefusal(t Target, e *outcome.Error) bool {
	a.exclude = append(a.exclude, t.Server)
	a.notRunOnPrimary = !a.read && isConnectionFailure(e)
	return e.Kind == outcome.NotRun && (a.read || a.notRunOnPrimary)
}

// noteHomeMoved notes that the connections of a server are held elsewhere now. It reports whether the unit is
// placed again without counting an attempt.
func (a *attempt) noteHomeMoved() bool {
	a.homeMoves++
	if a.homeMoves > maxHomeMoves {
		return false
	}
	a.number--
	a.uncounted = true
	return true
}

// isConnectionFailure tells a server that can't be reached, where another target may help, from a
// full queue, where a repeated write would only add to the load.
func isConnectionFailure(e *outcome.Error) bool {
	return e.Code == outcome.CodeConnectionFailure || e.Code == outcome.CodeCannotConnectNow
}

func (n *session) chooseTarget(ctx context.Context, a *attempt) (Target, *outcome.Error) {
	if a.read {
		return n.chooseRead(ctx, a)
	}
	return n.choosePrimary(ctx)
}

func (n *session) chooseRead(ctx context.Context, a *attempt) (Target, *outcome.Error) {
	route := &n.login.Route
	need := n.state.ReadRequirement()
	stale := route.MaxStaleness.Std()
	t, err := n.db.Read(ctx, ReadRequest{
		Floor:        need.Floor,
		Sample:       need.Sample && stale == 0 && a.knownSample.IsZero(),
		KnownSample:  a.knownSample,
		MaxStaleness: stale,
		Wait:         route.ReadWait.Std(),
		VerifyLater:  a.verifyLater && !a.sampleFirst && route.SessionScope == manifest.ScopeAny,
		Exclude:      a.exclude,
	})
	if err != nil {
		return Target{}, n.floorError(ctx, err)
	}
	n.state.ServerChosen(t.Term, t.Floor)
	return t, nil
}

// floorError notes what an error of Database.Read says about the session's floor.
func (n *session) floorError(ctx context.Context, err error) *outcome.Error {
	e := n.waitError(ctx, err)
	switch e.Kind {
	case outcome.LostWrite:
		return n.state.ReportLostWrite()
	case outcome.Invalid:
		n.state.RejectToken()
	}
	return e
}

// choosePrimary waits for a primary. When its term is new to the session, the floor is checked
// first, since a write in the new term would hide that an earlier one was lost.
func (n *session) choosePrimary(ctx context.Context) (Target, *outcome.Error) {
	wait, done := context.WithTimeout(ctx, n.srv.cfg.PrimaryWait)
	defer done()
	t, err := n.db.Primary(wait)
	if err != nil {
		return Target{}, n.waitError(ctx, err)
	}
	if !n.state.NeedsFloorCheck(t.Term) {
		return t, nil
	}
	checked, err := n.db.Read(wait, ReadRequest{Floor: n.state.ReadRequirement().Floor})
	if err != nil {
		return Target{}, n.floorError(ctx, err)
	}
	n.state.ServerChosen(checked.Term, checked.Floor)
	return t, nil
}
