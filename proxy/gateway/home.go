package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/home"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// retryWhenConfigured is the retry delay sent to callers that no server may serve before the operator has changed the
	// configuration.
	retryWhenConfigured = 5 * time.Second
	// homeSampleTimeout bounds the wait for the position of a primary outside a request's regions: a round trip
	// between regions for the connection and another for the answer.
	homeSampleTimeout = 300 * time.Millisecond
)

// Refusals of requests that are bound to regions.
var (
	errNoCommonRegion = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"the route and the account allow no common region", "ask the operator to change the regions of one of them").WithRetryAfter(retryWhenConfigured)
	errNoServerAtHome = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"no server in the regions that the route and the account allow can run the request now", "repeat the request").WithRetryAfter(retryLater)
	errPrimaryAway = outcome.New(outcome.NotRun, outcome.CodeInsufficientResources,
		"the primary is outside the regions that the route and the account allow", "repeat the request").WithRetryAfter(retryLater)
	errHomeChanged = outcome.New(outcome.NotRun, outcome.CodeRolledBack,
		"the configuration does not allow the region of the transaction any more, and it was rolled back", "repeat the whole transaction")
)

func homeError(v home.Verdict) *outcome.Error {
	switch v {
	case home.NoCommonRegion:
		return errNoCommonRegion
	case home.NoServer:
		return errNoServerAtHome
	case home.PrimaryAway:
		return errPrimaryAway
	}
	return nil
}

// leader returns the server that probably leads, if it is in the request's regions.
func (t *tryState) leader() (discovery.Server, bool) {
	homes := t.grant.Homes
	if !homes.Bound() {
		return t.view.leader(t.excluded)
	}
	if t.view.checkHome(homes, true) != home.Runnable {
		return discovery.Server{}, false
	}
	return atHome(homes)(t.view.leader(append(slices.Clone(t.excluded), t.view.outside(homes)...)))
}

// replica returns the server for a read with the given floor, in the request's regions. excluded names the servers that may not
// get it; alone reports that no other one may.
func (t *tryState) replica(floor position.Position, excluded []string) (s discovery.Server, alone, ok bool) {
	homes := t.grant.Homes
	if !homes.Bound() {
		return t.view.replica(floor, excluded)
	}
	s, alone, ok = t.view.replica(floor, append(slices.Clone(excluded), t.view.outside(homes)...))
	s, ok = atHome(homes)(s, ok)
	return s, alone, ok
}

// atHome rejects a server outside the regions: the servers of the database may have changed after the others were
// excluded.
func atHome(homes home.Regions) func(discovery.Server, bool) (discovery.Server, bool) {
	return func(s discovery.Server, ok bool) (discovery.Server, bool) {
		return s, ok && homes.Allow(s.Region)
	}
}

func (v *view) outside(homes home.Regions) (ids []string) {
	v.read(func(g *placement.Group) { ids = g.Outside(homes) })
	return ids
}

func (v *view) checkHome(homes home.Regions, needsPrimary bool) (verdict home.Verdict) {
	v.withLock(func(now time.Duration, g *placement.Group) {
		verdict = home.Check(homes, g.HomeServers(now), needsPrimary)
	})
	return verdict
}

// handleNotAtHome decides about a request that is bound to regions and for which no server was found: it is refused, or a
// server is to be chosen again. Neither is the case if it has to wait like other requests.
func (sess *session) handleNotAtHome(t *tryState) (refusal *outcome.Error, again bool) {
	homes := t.grant.Homes
	if !homes.Bound() {
		return nil, false
	}
	verdict := t.view.checkHome(homes, t.leaderOnly)
	if verdict == home.Runnable && t.view.checkHome(homes, true) == home.PrimaryAway {
		if sess.floorKnown(t) {
			return nil, false // a replica at home has to catch up
		}
		sess.gw.sampleLeader(t.ctx, t.view)
		if sess.floorKnown(t) {
			return nil, true
		}
		verdict = home.PrimaryAway
	}
	if verdict == home.Runnable {
		return nil, false
	}
	sess.gw.cfg.Log.refusedForHome(sess, t, verdict)
	return homeError(verdict), false
}

func (sess *session) floorKnown(t *tryState) bool {
	_, known := t.view.floor(t.grant.Route.MaxStaleness, sess.floor)
	return known
}

// sampleLeader asks the leader of a database for its position, so that replicas can serve reads which may not use the
// leader itself. The call carries nothing of a request. Concurrent requests share one call.
func (g *Gateway) sampleLeader(ctx context.Context, v *view) {
	if !g.mayUseLeader() {
		return
	}
	sampled, first := v.beginSample()
	if first {
		go func() {
			defer v.endSample()
			callCtx, cancel := context.WithTimeout(g.ctx, homeSampleTimeout)
			defer cancel()
			g.probeLeader(callCtx, v)
		}()
	}
	wait.UntilClosed(ctx, sampled, homeSampleTimeout)
}

// beginSample returns a channel that is closed when the position of the leader was asked for. The caller that is first has
// to ask.
func (v *view) beginSample() (done <-chan struct{}, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first = v.sampling == nil
	if first {
		v.sampling = make(chan struct{})
	}
	return v.sampling, first
}

func (v *view) endSample() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.sampling)
	v.sampling = nil
}

// probeLeader records the position of the leader if it answers as such.
func (g *Gateway) probeLeader(ctx context.Context, v *view) {
	s, ok := v.leader(nil)
	if !ok {
		return
	}
	sent := g.cfg.Now()
	status, err := g.Probe(ctx, s)
	if err == nil && status.Primary {
		g.recordLeader(v, sent, s.ID, status.Received)
	}
}

// leftHome reports whether the open transaction may have been sent to a server or a lender that the configuration in force
// does not allow any more.
func (tx *transaction) leftHome(homes home.Regions) bool {
	return !homes.Covers(tx.homes)
}
