package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/succession"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// inquiryTimeout bounds an inquiry that needs the answers of particular servers. The primary may be back afterwards, and a claim
	// has to be renewed.
	inquiryTimeout = time.Second
	// A server that is busy is asked again after busyRetryPerInstance for each instance, since all instances may ask it, within
	// minBusyRetry and maxBusyRetry. A statement occupies a slot for some ten milliseconds.
	busyRetryPerInstance = 10 * time.Millisecond
	minBusyRetry         = 30 * time.Millisecond
	maxBusyRetry         = 300 * time.Millisecond
)

// busyRetryInterval returns the time until a busy server is asked again.
func (p *promotionController) busyRetryInterval() time.Duration {
	return min(max(time.Duration(p.node.peers.ListedCount())*busyRetryPerInstance, minBusyRetry), maxBusyRetry)
}

// inquiry asks the servers of a database how much of the log they have received, and those that are busy again.
type inquiry struct {
	controller *promotionController
	database   string
	old        string // the primary that is replaced, which is not asked
	excluded   string // another server that is not asked; empty: none
	copies     int
	fit        func(discovery.Server) bool
	interval   time.Duration // until a busy server is asked again; 0 without copies, where its answer is not worth the wait
	probe      func(context.Context, discovery.Server) (placement.Status, error)
	// anyServer: a server that may not lead is better than none, if only such ones have all acknowledged commits.
	anyServer bool
	// claim is the newest one. Its server may be promoted without the answers of the others, see leaderlease.Claim.HasVerified.
	claim leaderlease.Claim

	mu        sync.Mutex
	selection *succession.Selection
	answered  map[string]candidate
	busy      map[string]candidate // have answered that they are busy
	failures  map[string]error     // why the last answer of a server doesn't count
	asked     map[string]bool      // have been probed once
	// formerListed: the entry of the former primary is in the list.
	formerListed bool
	running      map[string]bool // are being asked
	changed      chan struct{}   // has an element after each change
}

func newInquiry(p *promotionController, database, old string, copies int, fit func(discovery.Server) bool) *inquiry {
	var interval time.Duration
	if copies > 0 {
		interval = p.busyRetryInterval()
	}
	return &inquiry{
		controller: p, database: database, old: old, copies: copies, fit: fit, selection: succession.New(copies),
		interval: interval,
		probe: func(ctx context.Context, s discovery.Server) (placement.Status, error) {
			return p.node.gateway.ProbeUntilAnswered(ctx, s, interval)
		},
		answered: map[string]candidate{}, busy: map[string]candidate{}, asked: map[string]bool{}, running: map[string]bool{},
		failures: map[string]error{},
		changed:  make(chan struct{}, 1),
	}
}

// mayLead reports whether a server may be promoted.
func (q *inquiry) mayLead(s discovery.Server) bool {
	return !s.Leaving && !s.Evacuated && q.fit(s)
}

// await asks the servers until done, which is called with mu held, or until ctx ends or inquiryTimeout has passed. Servers that enter the
// list meanwhile are asked, too; those whose entry is gone are not waited for.
func (q *inquiry) await(ctx context.Context, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	for {
		q.mu.Lock()
		for _, s := range q.refresh() {
			asking.Go(func() { q.ask(ctx, s) })
		}
		finished := done()
		q.mu.Unlock()
		if finished {
			return
		}
		poll := time.NewTimer(failoverInterval)
		select {
		case <-q.changed:
		case <-poll.C:
		case <-ctx.Done():
		}
		poll.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// refresh adopts the list of servers and returns those that are not asked yet. Without copies only servers that may lead are asked.
// mu must be held.
func (q *inquiry) refresh() []discovery.Server {
	var replicas []succession.Replica
	var next []discovery.Server
	q.formerListed = false
	for _, s := range q.controller.node.gateway.Servers(q.database) {
		q.formerListed = q.formerListed || s.ID == q.old
		eligible := q.mayLead(s)
		if s.ID == q.old || s.ID == q.excluded || q.copies == 0 && !eligible {
			continue
		}
		replicas = append(replicas, succession.Replica{ID: s.ID, Eligible: eligible})
		if !q.running[s.ID] {
			q.running[s.ID] = true
			next = append(next, s)
		}
	}
	q.selection.SetReplicas(replicas, q.controller.node.serversKnown.isComplete(boottime.Now()))
	return next
}

// ask asks a server, once without copies, else until it has answered or ctx ends.
func (q *inquiry) ask(ctx context.Context, s discovery.Server) {
	for {
		highest := q.controller.node.gateway.HighestPosition(s)
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		status, err := q.probe(probeCtx, s)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && q.copies > 0 && !q.controller.node.gateway.HasAllAcknowledged(s, highest, status.Received) {
			err = errStartedAgain
		}
		q.record(candidate{server: s, status: status, cold: q.controller.node.gateway.IsCold(s)}, err)
		if err == nil || q.copies == 0 || !wait.For(ctx, q.interval) {
			return
		}
	}
}

// record records the outcome of a probe.
func (q *inquiry) record(c candidate, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asked[c.server.ID] = true
	q.failures[c.server.ID] = err
	switch {
	case err == nil, errors.Is(err, errStartedAgain) && !q.formerListed:
		q.answered[c.server.ID] = c
		q.selection.Record(c.server.ID, c.status.Received)
	case errors.Is(err, errStartedAgain):
		q.answered[c.server.ID] = c
		q.selection.RecordPartial(c.server.ID, c.status.Received)
	case errors.Is(err, gateway.ErrBusy):
		c.busy, c.basis = true, succession.BasisNoCopies // chosen without copies only
		q.busy[c.server.ID] = c
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// settled reports whether a successor can be chosen as well as it can be now: every server has answered or had the time to, and, where
// commits are acknowledged by replicas, one is known to have all acknowledged ones. mu must be held.
func (q *inquiry) settled() bool {
	if q.isVerified() {
		return true
	}
	for _, id := range q.selection.Unheard() {
		if !q.asked[id] {
			return false
		}
	}
	return q.copies == 0 || q.best() != ""
}

// isVerified reports whether the server of the newest claim may be promoted without the answers of the others. mu must be held.
func (q *inquiry) isVerified() bool {
	c, answered := q.answered[q.claim.Server]
	return q.controller.node.fencesLeases() && answered && q.failures[q.claim.Server] == nil && q.mayLead(c.server) && q.claim.HasVerified(c.status.Received)
}

// best returns the best server that is known to have all acknowledged commits, empty if there is none. mu must be held.
func (q *inquiry) best() string {
	homes := q.controller.homesOf(q.database)
	id, _ := q.selection.Choose(q.anyServer, func(a, b string) int { return compareCandidates(homes, q.answered[a], q.answered[b]) })
	return id
}

// successor returns the server to promote. The one that an earlier order may still promote is preferred, so that no two are promoted,
// unless it lacks commits that may have been acknowledged.
func (q *inquiry) successor() (candidate, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.isVerified() {
		c := q.answered[q.claim.Server]
		c.basis = succession.BasisOrdered
		return c, nil
	}
	id, ordered := q.best(), q.claim.Ordered()
	_, answered := q.answered[ordered]
	_, isBusy := q.busy[ordered]
	if isBusy || answered && !q.selection.IsBehind(ordered) {
		id = ordered
	}
	c, answered := q.answered[id]
	c.basis, c.lastResort = q.selection.Proof(id), !q.mayLead(c.server)
	switch {
	case answered && c.basis != succession.BasisNone:
		return c, nil
	case q.copies > 0:
		return candidate{}, q.unproven()
	}
	return q.busyServer(ordered)
}

// busyServer returns a server that is alive but too busy to tell what it has received: the ordered one, or the best of the others.
func (q *inquiry) busyServer(ordered string) (candidate, error) {
	if c, ok := q.busy[ordered]; ok {
		return c, nil
	}
	homes := q.controller.homesOf(q.database)
	var out []candidate
	for _, c := range q.busy {
		out = append(out, c)
	}
	if len(out) == 0 {
		return candidate{}, errNoSuccessor
	}
	return slices.MaxFunc(out, func(a, b candidate) int { return compareCandidates(homes, a, b) }), nil
}

// unproven returns the error of an inquiry that has not shown which server has all acknowledged commits. mu must be held.
func (q *inquiry) unproven() error {
	if q.selection.KnowsAllCommits() {
		return errCommitsMissing
	}
	var reasons []string
	if !q.selection.IsListComplete() {
		reasons = append(reasons, "entries of servers may be missing, as this instance has just read them")
	}
	for _, id := range q.selection.Unheard() {
		if err := q.failures[id]; err != nil {
			reasons = append(reasons, id+": "+err.Error())
		} else {
			reasons = append(reasons, id+": not asked yet")
		}
	}
	return errors.Wrapf(errCommitsUnknown, "%s", strings.Join(reasons, "; "))
}
