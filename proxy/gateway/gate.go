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

// maxQueuedPerFlow bounds the waiting statements of an account and priority at one server.
const maxQueuedPerFlow = 64

// errServerQueueFull tells that a statement would not get its turn in time.
var errServerQueueFull = errors.New("the server is too busy to run the statement in time")

// newServerBusyError is the refusal of a statement whose turn could come after a time.
func newServerBusyError(after time.Duration) error {
	return &notSentError{noFreeConnection: true, serverBusy: true, retryAfter: max(after, retrySoon), cause: errServerQueueFull}
}

// admissionQueue lets statements to one server in turn: by the priority of their routes, fairly among accounts. A statement
// that can't be run in time is refused when it comes.
type admissionQueue struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *fairqueue.Queue
	lastID  fairqueue.RequestID
	waiting map[fairqueue.RequestID]chan struct{}
}

func newAdmissionQueue(now func() time.Duration) *admissionQueue {
	return &admissionQueue{now: now, queue: fairqueue.New(fairqueue.Config{}), waiting: map[fairqueue.RequestID]chan struct{}{}}
}

// admit waits for the turn of a statement, limit at most. leave ends its execution.
func (g *admissionQueue) admit(ctx context.Context, d destination, executions int, limit time.Duration) (leave func(), err error) {
	g.mu.Lock()
	g.queue.Resize(fairqueue.Config{Slots: executions, Connections: executions, QueuePerAccount: maxQueuedPerFlow})
	g.lastID++
	id := g.lastID
	flow := d.account + "/" + strconv.Itoa(d.priority)
	now := g.now()
	decision := g.queue.Submit(now, fairqueue.Request{
		ID: id, Account: flow, Weight: connlimit.Weight(d.priority), HasConnection: true,
		Deadline: now + limit,
	})
	if decision.Verdict == fairqueue.Refused {
		g.mu.Unlock()
		return nil, newServerBusyError(decision.RetryAfter)
	}
	leave = func() { g.release(id) }
	if decision.Verdict == fairqueue.Granted {
		g.mu.Unlock()
		return leave, nil
	}
	granted := make(chan struct{})
	g.waiting[id] = granted
	g.mu.Unlock()
	return leave, g.await(ctx, id, flow, granted, limit)
}

// await waits until a queued statement is granted or its time is over.
func (g *admissionQueue) await(ctx context.Context, id fairqueue.RequestID, flow string, granted <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.waiting, id)
	stillQueued := g.queue.Cancel(flow, id)
	g.mu.Unlock()
	if !stillQueued {
		g.release(id) // it was granted, or has expired, meanwhile
	}
	return newServerBusyError(limit)
}

func (g *admissionQueue) release(id fairqueue.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, expired := range g.queue.Expire(now) {
		delete(g.waiting, expired) // its own timer ends its wait
	}
	for _, next := range g.queue.ReleaseSlot(now, id) {
		if granted := g.waiting[next]; granted != nil {
			close(granted)
			delete(g.waiting, next)
		}
	}
}

// dropUnusedQueues forgets the gates of servers that are gone.
func (g *Gateway) dropUnusedQueues() {
	g.mu.Lock()
	keys := slices.Collect(maps.Keys(g.admissionQueues))
	g.mu.Unlock()
	gone := slices.DeleteFunc(keys, func(key admissionKey) bool { return g.usable(key.database, key.server) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range gone {
		delete(g.admissionQueues, key)
	}
}

// admissionKey names one run of a server.
type admissionKey struct {
	database, server string
	started          int64
}

// admissionQueue returns the gate of a server.
func (g *Gateway) admissionQueue(d destination) *admissionQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := admissionKey{d.server.Database, d.server.ID, d.server.Started}
	if g.admissionQueues[key] == nil {
		g.admissionQueues[key] = newAdmissionQueue(g.cfg.Now)
	}
	return g.admissionQueues[key]
}

// admit waits for the turn of a statement at a server. It takes the wait off the time of the work.
func (g *Gateway) admit(ctx context.Context, d destination, w *workItem) (leave func(), err error) {
	began := time.Now()
	executions := connlimit.MaxExecutions(max(d.server.Slots, 1), g.cfg.Instances(d.server))
	leave, err = g.admissionQueue(d).admit(ctx, d, executions, w.maxQueueWait)
	if err != nil {
		return nil, err
	}
	w.deductTime(time.Since(began))
	return leave, nil
}
