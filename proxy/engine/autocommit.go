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
	// wait has full jitter, so that sessions that failed together don't retry together.
	retryBackoffMin = 5 * time.Millisecond
	retryBackoffMax = 200 * time.Millisecond
	// maxHomeMoves is how many times one unit is placed again because the home of a server moved: two
	// more than a single failure causes.
	maxHomeMoves = 3
	// maxBackoffDoublings keeps the backoff from overflowing.
	maxBackoffDoublings = 10
	// failoverRetryAfter is the retry-after sent to a caller when a server failed or is being replaced; a
	// failover should take less than 3 s.
	failoverRetryAfter = time.Second
)

// attempt is the state of the retries of one autocommit unit.
type attempt struct {
	plan
	number    int
	uncounted bool // the next try does not count as an attempt
	// sampleFirst means that the read waits for its sample before it is placed, because an earlier answer
	// did not cover the sample.
	sampleFirst bool
	knownSample position.Position // the sample that an answer did not cover; zero if unknown
	exclude     []authority.ServerID
	// primaryDeadline ends the retries of a write that is known not to have run while a new primary is
	// awaited.
	primaryDeadline time.Time
	homeMoves       int  // refusals because another instance holds the server's connections now
	notRunOnPrimary bool // the last failure proves that the write did not run on the primary
}

// runAutocommit runs a unit outside a transaction. If a server fails, it runs the unit on another one
// where that is safe.
func (s *session) runAutocommit(ctx context.Context, u *unit, report *Statement, started time.Time) (*outcome.Error, error) {
	unitPlan, e := s.planUnit(u)
	if e != nil {
		return e, nil
	}
	a := &attempt{plan: unitPlan, primaryDeadline: started.Add(s.srv.cfg.PrimaryWait)}
	for {
		a.number++
		report.Attempts = a.number
		up, e, retry := s.connect(ctx, u, a)
		if e != nil && retry && s.mayRetry(ctx, a) {
			continue
		}
		if e != nil {
			return e, nil
		}
		s.recordTarget(report, up, started)
		r := s.relay(ctx, up, u, a.plan)
		report.Wait += up.queueWait()
		report.Run = time.Since(started) - report.Wait
		e, retry, err := s.handleResult(ctx, up, u, a, &r, report)
		if err != nil {
			return nil, err
		}
		if retry && s.mayRetry(ctx, a) {
			s.out.discardUnwritten()
			u.completedOps = 0
			continue
		}
		return e, nil
	}
}

func (s *session) recordTarget(report *Statement, up *upstream, started time.Time) {
	report.Wait = time.Since(started)
	report.Server = up.target.Server
	report.Primary = up.target.Primary
}

// mayRetry reports whether another attempt is allowed, after waiting for the backoff.
func (s *session) mayRetry(ctx context.Context, a *attempt) bool {
	if a.uncounted {
		a.uncounted = false
		return ctx.Err() == nil
	}
	if ctx.Err() != nil {
		return false
	}
	if a.notRunOnPrimary && time.Now().Before(a.primaryDeadline) {
		a.notRunOnPrimary = false
		return s.waitBackoff(ctx, a.number)
	}
	if a.number >= s.srv.cfg.MaxAttempts {
		return false
	}
	if allow := s.srv.cfg.AllowRetry; allow != nil && !allow(s.login.Route.Name) {
		return false
	}
	if a.number == 1 {
		return true
	}
	return s.waitBackoff(ctx, a.number)
}

// waitBackoff waits before attempt number+1. It returns false if ctx ends first.
func (s *session) waitBackoff(ctx context.Context, number int) bool {
	limit := retryBackoffMax
	if number < maxBackoffDoublings {
		limit = min(retryBackoffMin<<number, retryBackoffMax)
	}
	return wait.For(ctx, rand.N(limit))
}

// connect chooses a server and acquires a connection to it. retry means that another attempt may succeed.
func (s *session) connect(ctx context.Context, u *unit, a *attempt) (up *upstream, e *outcome.Error, retry bool) {
	s.stage.enter(StagePlacement)
	target, e := s.chooseTarget(ctx, a)
	if e != nil {
		return nil, e, false
	}
	s.stage.enter(StageConnection)
	conn, err := s.srv.cfg.Pool.Acquire(ctx, AcquireRequest{
		Target:         target,
		Account:        s.login.Account.Name,
		Weight:         s.login.Account.Weight,
		Timeout:        s.login.Route.QueueTimeout.Std(),
		Deferred:       true,
		SingleExchange: !u.taintsConnection,
	})
	if err != nil {
		e := s.waitError(ctx, err)
		return nil, e, a.noteRefusal(target, e)
	}
	return s.srv.newUpstream(conn, target), nil, false
}

// noteRefusal records that no connection to t was granted. It reports whether another attempt may succeed.
func (a *attempt) noteRefusal(t Target, e *outcome.Error) bool {
	a.exclude = append(a.exclude, t.Server)
	a.notRunOnPrimary = !a.read && isConnectionFailure(e)
	return e.Kind == outcome.NotRun && (a.read || a.notRunOnPrimary)
}

// noteHomeMoved records that another instance holds the connections of a server now. It reports whether the
// unit is placed again without counting an attempt.
func (a *attempt) noteHomeMoved() bool {
	a.homeMoves++
	if a.homeMoves > maxHomeMoves {
		return false
	}
	a.number--
	a.uncounted = true
	return true
}

// isConnectionFailure distinguishes a server that can't be reached, where another target may succeed,
// from a full queue, where a repeated write would only add to the load.
func isConnectionFailure(e *outcome.Error) bool {
	return e.Code == outcome.CodeConnectionFailure || e.Code == outcome.CodeCannotConnectNow
}

func (s *session) chooseTarget(ctx context.Context, a *attempt) (Target, *outcome.Error) {
	if a.read {
		return s.chooseRead(ctx, a)
	}
	return s.choosePrimary(ctx)
}

func (s *session) chooseRead(ctx context.Context, a *attempt) (Target, *outcome.Error) {
	route := &s.login.Route
	need := s.state.ReadRequirement()
	stale := route.MaxStaleness.Std()
	t, err := s.db.Read(ctx, ReadRequest{
		Floor:        need.Floor,
		Sample:       need.Sample && stale == 0 && a.knownSample.IsZero(),
		KnownSample:  a.knownSample,
		MaxStaleness: stale,
		Wait:         route.ReadWait.Std(),
		VerifyLater:  a.verifyLater && !a.sampleFirst && route.SessionScope == manifest.ScopeAny,
		Exclude:      a.exclude,
	})
	if err != nil {
		return Target{}, s.floorError(ctx, err)
	}
	s.state.ServerChosen(t.Term, t.Floor)
	return t, nil
}

// floorError updates the session's floor after an error of Database.Read and returns the error to report.
func (s *session) floorError(ctx context.Context, err error) *outcome.Error {
	e := s.waitError(ctx, err)
	switch e.Kind {
	case outcome.LostWrite:
		return s.state.ReportLostWrite()
	case outcome.Invalid:
		s.state.RejectToken()
	}
	return e
}

// choosePrimary waits for a primary. If its term is new to the session, it checks the floor first, since a
// write in the new term would hide that an earlier one was lost.
func (s *session) choosePrimary(ctx context.Context) (Target, *outcome.Error) {
	waitCtx, cancel := context.WithTimeout(ctx, s.srv.cfg.PrimaryWait)
	defer cancel()
	t, err := s.db.Primary(waitCtx)
	if err != nil {
		return Target{}, s.waitError(ctx, err)
	}
	if !s.state.NeedsFloorCheck(t.Term) {
		return t, nil
	}
	checked, err := s.db.Read(waitCtx, ReadRequest{Floor: s.state.ReadRequirement().Floor})
	if err != nil {
		return Target{}, s.floorError(ctx, err)
	}
	s.state.ServerChosen(checked.Term, checked.Floor)
	return t, nil
}
