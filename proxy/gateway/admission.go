package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/connlimit"
	"github.com/cyclamenstile/cyclamenstile/decision/fairqueue"
)

const (
	// maxQueuedPerFlow bounds the statements of one account and priority that wait for one server.
	maxQueuedPerFlow = 64
	// maxQueuedAtScheduler does so at a scheduler, where statements of all instances meet. A server that runs 400
	// statements a second runs as many within most targets; what can't be run in time is refused before.
	maxQueuedAtScheduler = 256
	// retrySpread is the time over which the retries of statements refused at the same moment are spread.
	retrySpread = time.Second
	// shedInterval is the minimum time between checks for queued statements that can't run in time any more. With 300
	// backlogged accounts and 900 statements one takes about 1 ms.
	shedInterval = 50 * time.Millisecond
	// schedulerPeriod is how long an instance keeps the limits of a scheduler after the last statement that it got as one.
	// During a change of the scheduler some statements reach it as one and others don't.
	schedulerPeriod = time.Second
	// schedulingIdle is how long a scheduler without statements is still reported as one.
	schedulingIdle = 30 * time.Second
)

// errServerQueueFull reports that a statement would not be admitted in time.
var errServerQueueFull = errors.New("the server is too busy to run the statement in time")

// newServerBusyError returns the refusal of a statement that could be admitted after a delay.
func newServerBusyError(after time.Duration) *notSentError {
	return &notSentError{noFreeConnection: true, serverBusy: true, retryAfter: max(after, retrySoon), cause: errServerQueueFull}
}

// admissionRequest asks for the execution of a statement.
type admissionRequest struct {
	account  string
	priority int // 0 is the highest
	// executions bounds the concurrent statements, connections those in use. connections is 0 if they are not counted.
	executions, connections int
	limit                   time.Duration // how long the statement may wait
	// scheduled: the queue orders the whole demand for the server. The other fields are used only then.
	scheduled bool
	target    time.Duration // time until the statement's target latency; 0 for none
	continues bool          // the statement belongs to an open transaction, which has its connection
}

// fairqueueConfig returns the limits of the queue.
func (r *admissionRequest) fairqueueConfig() fairqueue.Config {
	cfg := fairqueue.Config{Slots: r.executions, Connections: r.executions, QueuePerAccount: maxQueuedPerFlow}
	if r.scheduled {
		cfg.Connections, cfg.QueuePerAccount = r.connections, maxQueuedAtScheduler
		cfg.RetrySpread, cfg.RefundDropped = retrySpread, true
	}
	return cfg
}

// flow returns the account name for the queue.
func (r *admissionRequest) flow() string {
	return r.account + "/" + strconv.Itoa(r.priority)
}

func (r *admissionRequest) toFairqueue(now time.Duration, id fairqueue.RequestID) fairqueue.Request {
	out := fairqueue.Request{
		ID: id, Account: r.flow(), Weight: connlimit.Weight(r.priority), HasConnection: true, Deadline: now + r.limit,
	}
	if r.scheduled {
		out.HasConnection, out.Continues = r.continues, r.continues
		if r.target > 0 {
			out.Target = now + r.target
		}
	}
	return out
}

// admission is an admitted statement.
type admission struct {
	queue           *admissionQueue
	id              fairqueue.RequestID
	holdsConnection bool
}

// endExecution ends the execution of the statement.
func (a *admission) endExecution() {
	a.queue.release(a.id)
}

// endConnection records that the statement's connection is not in use any more. It may be called more than once.
func (a *admission) endConnection() {
	if a == nil || !a.holdsConnection {
		return
	}
	a.holdsConnection = false
	a.queue.releaseConnection()
}

// admissionQueue limits the concurrent statements on one server. It admits them by the priority of their routes,
// fairly among accounts, and refuses a statement at once if it can't run in time.
type admissionQueue struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *fairqueue.Queue
	lastID  fairqueue.RequestID
	waiting map[fairqueue.RequestID]chan bool // gets true for admission and false for refusal
	// scheduledAt is when this instance last ran a statement as the server's scheduler; 0 if never.
	scheduledAt time.Duration
	shedAt      time.Duration
	overload    fairqueue.Overload
	refused     int64 // statements, since the last report
	// reportedScheduling: the last report said that this instance is the scheduler.
	reportedScheduling bool
	metrics            *schedulerMetrics // used by observeSchedulers only
}

func newAdmissionQueue(now func() time.Duration) *admissionQueue {
	return &admissionQueue{now: now, queue: fairqueue.New(fairqueue.Config{}), waiting: map[fairqueue.RequestID]chan bool{}}
}

// admit waits for the admission of a statement, up to its limit.
func (q *admissionQueue) admit(ctx context.Context, r admissionRequest) (*admission, error) {
	q.mu.Lock()
	now := q.now()
	if r.scheduled {
		q.scheduledAt = now
	}
	if r.scheduled || !q.isScheduler(now) {
		q.queue.Resize(r.fairqueueConfig())
	}
	if r.scheduled {
		q.notify(q.queue.Grant(now), true) // the limits may have grown
	}
	q.lastID++
	a := &admission{queue: q, id: q.lastID, holdsConnection: r.scheduled && !r.continues}
	decision := q.queue.Submit(now, r.toFairqueue(now, a.id))
	switch decision.Verdict {
	case fairqueue.Refused:
		err := q.refuse(now, decision.RetryAfter)
		q.mu.Unlock()
		return nil, err
	case fairqueue.Granted:
		q.mu.Unlock()
		return a, nil
	}
	verdict := make(chan bool, 1)
	q.waiting[a.id] = verdict
	q.mu.Unlock()
	if err := q.await(ctx, a, r, verdict); err != nil {
		return nil, err
	}
	return a, nil
}

// isScheduler reports whether this instance was the server's scheduler a moment ago. q.mu must be held.
func (q *admissionQueue) isScheduler(now time.Duration) bool {
	return q.scheduledAt != 0 && now-q.scheduledAt < schedulerPeriod
}

// refuse counts a refusal and returns its error. q.mu must be held.
func (q *admissionQueue) refuse(now, retryAfter time.Duration) error {
	if q.scheduledAt != 0 {
		q.refused++
		q.overload.Refused(now)
	}
	return newServerBusyError(retryAfter)
}

// await waits until a queued statement is admitted or refused, or its time is over.
func (q *admissionQueue) await(ctx context.Context, a *admission, r admissionRequest, verdict <-chan bool) error {
	timer := time.NewTimer(r.limit)
	defer timer.Stop()
	shed := false
	select {
	case admitted := <-verdict:
		if admitted {
			return nil
		}
		shed = true
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	delete(q.waiting, a.id)
	stillQueued := q.queue.Cancel(r.flow(), a.id)
	retryAfter := r.limit
	if r.scheduled {
		retryAfter = q.queue.RetryAfter(q.now())
	}
	err := q.refuse(q.now(), retryAfter)
	q.mu.Unlock()
	if !stillQueued && !shed && q.wasAdmitted(verdict, r) {
		a.endExecution()
		a.endConnection()
	}
	return err
}

// wasAdmitted reports whether a statement that is not queued any more was admitted and not refused.
func (q *admissionQueue) wasAdmitted(verdict <-chan bool, r admissionRequest) bool {
	if !r.scheduled {
		return true // ending the execution of an expired statement has no effect
	}
	select {
	case admitted := <-verdict:
		return admitted
	default:
		return false // it has expired
	}
}

// notify tells waiting statements that they are admitted or refused. q.mu must be held.
func (q *admissionQueue) notify(ids []fairqueue.RequestID, admitted bool) {
	for _, id := range ids {
		if verdict := q.waiting[id]; verdict != nil {
			verdict <- admitted
			delete(q.waiting, id)
		}
	}
}

func (q *admissionQueue) release(id fairqueue.RequestID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.dropUnservable(now)
	q.notify(q.queue.ReleaseSlot(now, id), true)
}

func (q *admissionQueue) releaseConnection() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.dropUnservable(now)
	q.notify(q.queue.ReleaseConnection(now), true)
}

// dropUnservable removes the queued statements that can't run in time. q.mu must be held.
func (q *admissionQueue) dropUnservable(now time.Duration) {
	for _, expired := range q.queue.Expire(now) {
		delete(q.waiting, expired) // its own timer ends its wait
	}
	if q.scheduledAt != 0 && now-q.shedAt >= shedInterval {
		q.shedAt = now
		q.notify(q.queue.Shed(now), false)
	}
}

// expectedWait returns the wait at a scheduler; ok is false if this instance is not the server's scheduler.
func (q *admissionQueue) expectedWait() (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.ExpectedWait(q.now()), q.scheduledAt != 0
}

// dropUnusedQueues removes the admission queues of servers that may get no new work.
func (g *Gateway) dropUnusedQueues() {
	g.mu.Lock()
	keys := slices.Collect(maps.Keys(g.admissionQueues))
	g.mu.Unlock()
	gone := slices.DeleteFunc(keys, func(key admissionKey) bool { return g.usable(key.database, key.server) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range gone {
		g.admissionQueues[key].metrics.clear()
		delete(g.admissionQueues, key)
	}
}

// admissionKey identifies one run of a server, from its start to its stop.
type admissionKey struct {
	database, server string
	started          int64
}

// admissionQueue returns the admission queue of a server and creates it on first use.
func (g *Gateway) admissionQueue(d destination) *admissionQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := admissionKey{d.server.Database, d.server.ID, d.server.Started}
	if g.admissionQueues[key] == nil {
		g.admissionQueues[key] = newAdmissionQueue(g.cfg.Now)
	}
	return g.admissionQueues[key]
}

// admit waits for the admission of a statement to a server and deducts the wait from the time of the work. continues is
// set for a statement of an open transaction.
func (g *Gateway) admit(ctx context.Context, d destination, w *workItem, continues bool) (*admission, error) {
	began := time.Now()
	request := admissionRequest{
		account: d.account, priority: d.priority, limit: w.maxQueueWait, scheduled: g.schedules(d), target: w.targetLeft, continues: continues,
	}
	request.executions, request.connections = g.pool.capacity(d)
	queue := g.admissionQueue(d)
	a, err := queue.admit(ctx, request)
	w.waited = time.Since(began)
	if err == nil && request.scheduled && ctx.Err() != nil {
		// The instance was frozen or the queue was too long; nobody waits for the answer.
		a.endExecution()
		a.endConnection()
		err = newServerBusyError(retrySoon)
	}
	if err != nil {
		return nil, withBacklog(err, queue, request)
	}
	w.deductTime(w.waited)
	return a, nil
}

// withBacklog adds the scheduler's expected wait to a refusal. The queue of a server that was cold belongs to no scheduler any more.
func withBacklog(err error, queue *admissionQueue, r admissionRequest) error {
	var notSent *notSentError
	if r.scheduled && errors.As(err, &notSent) {
		notSent.expectedWait, notSent.scheduled = queue.expectedWait()
	}
	return err
}
