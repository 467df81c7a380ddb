package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/evacuation"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
)

// errServerEvacuated reports that the failure domain of a server was evacuated after the server was chosen.
var errServerEvacuated = errors.New("the failure domain of the server is evacuated")

// SetEvacuations replaces the evacuated failure domains. It reaches servers whose entries are missing too, and limits the
// transactions that are open.
func (g *Gateway) SetEvacuations(set evacuation.Set) {
	g.evacuations.Store(&set)
	g.endWaits(set.Domains())
	for _, name := range g.Databases() {
		v := g.view(name)
		v.read(func(group *placement.Group) { group.Evacuate(set.Contains) })
		v.notifyChange()
	}
	for _, sess := range g.openSessions(false) {
		sess.limitRead()
	}
}

// evacuationWait is a statement that waits for its turn at a server.
type evacuationWait struct {
	cancel context.CancelFunc
}

// evacuationWaits holds the waiting statements by the failure domain of their servers. It stays empty until the gateway is told
// of evacuations, even of none.
type evacuationWaits struct {
	waitsMu  sync.Mutex
	byDomain map[string]map[*evacuationWait]bool
}

// untilEvacuated returns a context for waits, which ends when the failure domain of a server is evacuated, so that statements
// don't wait for a server that may be down too. stop must be called.
func (g *Gateway) untilEvacuated(ctx context.Context, s discovery.Server) (_ context.Context, stop func()) {
	if g.evacuations.Load() == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &evacuationWait{cancel}
	g.waitsMu.Lock()
	if g.byDomain[s.FailureDomain] == nil {
		g.byDomain[s.FailureDomain] = map[*evacuationWait]bool{}
	}
	g.byDomain[s.FailureDomain][w] = true
	g.waitsMu.Unlock()
	if g.evacuated().Contains(s.FailureDomain) {
		cancel()
	}
	return ctx, func() {
		cancel()
		g.waitsMu.Lock()
		defer g.waitsMu.Unlock()
		delete(g.byDomain[s.FailureDomain], w)
	}
}

// endWaits ends the waits for servers in failure domains.
func (g *Gateway) endWaits(domains []string) {
	g.waitsMu.Lock()
	defer g.waitsMu.Unlock()
	for _, domain := range domains {
		for w := range g.byDomain[domain] {
			w.cancel()
		}
	}
}

func (g *Gateway) evacuated() evacuation.Set {
	if set := g.evacuations.Load(); set != nil {
		return *set
	}
	return evacuation.Set{}
}

// checkEvacuation returns a *notSentError if a server must not get anything new. The server may have been chosen, here or at a
// borrower, before its evacuation was known. A borrower that does not know of it yet is not to ask again at once.
func (g *Gateway) checkEvacuation(s discovery.Server) error {
	if !g.evacuated().Contains(s.FailureDomain) {
		return nil
	}
	return newEvacuatedError()
}

func newEvacuatedError() *notSentError {
	return &notSentError{noFreeConnection: true, serverBusy: true, retryAfter: retryLater, cause: errServerEvacuated}
}

// evacuationLimit returns a function that reports whether a server gets no further statement, or nil in deployments without
// evacuations. A server may take long to answer the setup that precedes a statement.
func (g *Gateway) evacuationLimit(s discovery.Server) func() bool {
	if g.evacuations.Load() == nil {
		return nil
	}
	domain := s.FailureDomain
	return func() bool { return g.evacuated().MustEnd(g.cfg.Now(), domain) }
}

// mustEndTransaction reports whether a transaction that is open at a server gets no further statement.
func (g *Gateway) mustEndTransaction(s discovery.Server) bool {
	return g.evacuated().MustEnd(g.cfg.Now(), s.FailureDomain)
}

// RecordSuccessor records whether a search for the successor of a database's evacuated primary has found a server.
func (g *Gateway) RecordSuccessor(database string, found bool) {
	v := g.view(database)
	v.withLock(func(now time.Duration, group *placement.Group) { group.RecordSuccessor(now, found) })
	v.notifyChange()
}

// AwaitsSuccessor reports whether a database has its primary in a failure domain although another server can be promoted.
func (g *Gateway) AwaitsSuccessor(database, failureDomain string) (awaits bool) {
	g.view(database).withLock(func(now time.Duration, group *placement.Group) {
		awaits = group.AwaitsSuccessor(now, failureDomain)
	})
	return awaits
}

// WithoutSuccessor reports whether evacuations leave a database no server that leads or could be promoted.
func (g *Gateway) WithoutSuccessor(database string) (without bool) {
	g.view(database).withLock(func(now time.Duration, group *placement.Group) { without = group.WithoutSuccessor(now) })
	return without
}

// refuseEvacuated returns the error for a statement that no server can run because of evacuations, or nil if waiting may help.
func (sess *session) refuseEvacuated(t *tryState) *outcome.Error {
	if !sess.gw.WithoutSuccessor(t.view.name) {
		return nil
	}
	sess.gw.cfg.Log.metrics.evacuationRefused.Inc(1)
	return t.finalError(errEvacuated)
}

// openTransactionMustEnd reports whether the open transaction is at a server that gets no further statement.
func (sess *session) openTransactionMustEnd() bool {
	return sess.tx != nil && sess.tx.conn != nil && sess.gw.mustEndTransaction(sess.tx.server)
}

// endEvacuatedTransaction rolls back a transaction whose server gets no further statement, and reports whether it did.
func (sess *session) endEvacuatedTransaction() bool {
	if !sess.openTransactionMustEnd() {
		return false
	}
	sess.gw.cfg.Log.metrics.evacuationRolledBack.Inc(1)
	sess.rollBackOpen()
	sess.abortError = errEvacuatedTransaction
	return true
}

// transactionDomain returns the failure domain of the server of the open transaction, or "".
func (sess *session) transactionDomain() string {
	if sess.tx == nil || sess.tx.conn == nil {
		return ""
	}
	return sess.tx.server.FailureDomain
}

// readDeadline returns the time until which the session waits for the caller's next request. mu must be held.
func (sess *session) readDeadline() time.Time {
	if sess.txAtServer && sess.keyObjection() != nil {
		return pastDeadline
	}
	end, ok := sess.gw.evacuated().TransactionEnd(sess.txDomain)
	if !ok || sess.txDomain == "" {
		return sess.idleDeadline
	}
	deadline := time.Now().Add(end - sess.gw.cfg.Now())
	if !sess.idleDeadline.IsZero() && sess.idleDeadline.Before(deadline) {
		return sess.idleDeadline
	}
	return deadline
}

// limitRead applies a change of the evacuations, or of the session's rights, to a session that waits for its caller in a transaction.
func (sess *session) limitRead() {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.awaitingRequest && sess.txAtServer && !sess.shouldStop() {
		_ = sess.conn.SetReadDeadline(sess.readDeadline())
	}
}
