package gateway

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/connlimit"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
)

const (
	// maxSchedulersTried bounds the schedulers tried for one statement, before this instance uses a connection of its own.
	maxSchedulersTried = 3
	// serverAliveFor is how long an answer of a server proves that this instance reaches it. A scheduler that is only
	// waiting for a slow statement must not be replaced, since two would send more statements than the server runs.
	serverAliveFor = time.Second
	// formerSchedulerAfter is the time without a statement after which a scheduler keeps idle connections only briefly. Its
	// successor needs them, and a scheduler that gets so few statements has little use for them.
	formerSchedulerAfter = 5 * time.Second
	// returnTimeNear and returnTimeFar are the times that the answer needs from a scheduler in the region and in another.
	returnTimeNear = 5 * time.Millisecond
	returnTimeFar  = 25 * time.Millisecond
)

// hasOneScheduler reports whether one instance runs all statements of a server, for its load or because it is cold.
func (g *Gateway) hasOneScheduler(s discovery.Server) bool {
	return g.cfg.OneScheduler != nil && g.cfg.OneScheduler(s) || g.IsCold(s)
}

// schedules reports whether this instance is the scheduler of the server of d.
func (g *Gateway) schedules(d destination) bool {
	return d.chosen && g.hasOneScheduler(d.server)
}

// maxLenders returns how many lenders are tried for one statement. If a scheduler is lost, all demand goes to the next
// one; connections of the entry instances would send more statements than the server runs.
func (g *Gateway) maxLenders(d destination) int {
	if d.toScheduler {
		return maxSchedulersTried
	}
	return 1
}

// skipScheduler makes the following statements go to the next scheduler, for example when one is stopping.
func (g *Gateway) skipScheduler(d destination, lender string) {
	if d.toScheduler {
		g.borrower.suspect(suspect{lender: lender})
	}
}

// recordUnreached makes the following statements go to the next scheduler if this instance is one that can't reach the server.
func (g *Gateway) recordUnreached(d destination, err error) {
	if d.chosen {
		g.borrower.recordUnreached("", d.server.ID, err)
	}
}

// targetLeft returns the time until the work must have ended at a server, so that the answer meets a target latency.
func (g *Gateway) targetLeft(s discovery.Server, target, elapsed time.Duration) time.Duration {
	back := returnTimeNear
	if s.Region != g.cfg.Local.Region {
		back = returnTimeFar
	}
	return max(target-elapsed-back, time.Millisecond)
}

// schedule is what a scheduler tells about a statement that it ran or refused.
type schedule struct {
	scheduled    bool          // the lender is the server's only scheduler
	expectedWait time.Duration // of the next statement
}

// record passes the scheduler's backlog to the placement of later statements.
func (s schedule) record(v *view, server string) {
	if s.scheduled {
		v.recordBacklog(server, s.expectedWait)
	}
}

// limitFor returns the limit of the connections to a server. An instance that was not chosen to run the statements of
// a server, but reaches none that was, keeps to its share.
func (p *pool) limitFor(d destination) connlimit.Limit {
	oneScheduler := p.hasOneScheduler != nil && p.hasOneScheduler(d.server)
	if d.chosen && oneScheduler {
		return connlimit.Limit{Max: d.maxConnections, Instances: 1, Scheduler: true, MaxOpening: max(d.server.Slots, 1)}
	}
	return connlimit.Limit{Max: d.maxConnections, Instances: p.cfg.Instances(d.server), Substitute: oneScheduler}
}

// capacity returns how many statements may be outstanding at a server and how many connections may be in use.
func (p *pool) capacity(d destination) (executions, connections int) {
	limit, slots := p.limitFor(d), max(d.server.Slots, 1)
	if !limit.Scheduler {
		return connlimit.MaxExecutions(slots, limit.Instances), limit.Ceiling()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := p.server(d)
	return sp.link.MaxExecutions(slots), limit.Usable(p.cfg.Now(), sp.usage)
}

// idleTimeout returns how long a connection may stay idle.
func (sp *serverPool) idleTimeout(now time.Duration) time.Duration {
	if sp.limit.Scheduler && now-sp.scheduledAt > formerSchedulerAfter {
		return connlimit.IdleTimeoutBorrowed
	}
	return sp.limit.IdleTimeout(sp.usage.Open)
}

// began records that a statement is sent on a connection.
func (p *pool) began(u *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.pool.inFlight++
}

// ended records the end of a statement. answered is false if the server did not answer.
func (p *pool) ended(u *upstreamConn, slots int, took time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := u.pool
	if answered {
		sp.link.Ran(took, sp.inFlight, slots)
		sp.answeredAt = p.cfg.Now()
	}
	sp.inFlight--
}

// answersOthers reports whether the server of a connection has answered this instance recently.
func (p *pool) answersOthers(u *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := u.pool
	return sp.answeredAt != 0 && p.cfg.Now()-sp.answeredAt < serverAliveFor
}

// endOpening records that the attempt to open a connection has ended, and lets the next waiter open one.
func (p *pool) endOpening(sp *serverPool) {
	p.mu.Lock()
	sp.usage.Opening--
	if len(sp.waiters) == 0 || sp.limit.MaxOpening == 0 {
		p.mu.Unlock()
		return
	}
	var old *upstreamConn
	switch sp.limit.NextAction(p.cfg.Now(), sp.usage) {
	case connlimit.Open:
		sp.usage.Open++
	case connlimit.Replace:
		old = sp.takeOldest()
	default:
		p.mu.Unlock()
		return
	}
	w := sp.waiters[0]
	sp.waiters = sp.waiters[1:]
	sp.usage.Opening++
	p.mu.Unlock()
	if old != nil {
		p.discard(old)
	}
	w.granted <- nil
}

// recordRoundTrip records the time in which a connection to a server was established.
func (p *pool) recordRoundTrip(sp *serverPool, roundTrip time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp.link.Connected(roundTrip)
}
