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

// queuePerFlow bounds the waiting statements of an account and priority at one server.
const queuePerFlow = 64

// errNoTurn tells that a statement would not get its turn in time.
var errNoTurn = errors.New("the server is too busy to run the statement in time")

// noTurn is the refusal of a statement whose turn could come after a time.
func noTurn(after time.Duration) error {
	return &notPlacedError{full: true, busy: true, retryAfter: max(after, retrySoon), cause: errNoTurn}
}

// gate lets statements to one server in turn: by the priority of their routes, fairly among accounts. A statement
// that can't be run in time is refused when it comes.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *fairqueue.Queue
	lastID  fairqueue.RequestID
	waiting map[fairqueue.RequestID]chan struct{}
}

func newGate(now func() time.Duration) *gate {
	return &gate{now: now, queue: fairqueue.New(fairqueue.Config{}), waiting: map[fairqueue.RequestID]chan struct{}{}}
}

// enter waits for the turn of a statement, limit at most. leave ends its execution.
func (g *gate) enter(ctx context.Context, d destination, executions int, limit time.Duration) (leave func(), err error) {
	g.mu.Lock()
	g.queue.Resize(fairqueue.Config{Slots: executions, Connections: executions, QueuePerAccount: queuePerFlow})
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
		return nil, noTurn(decision.RetryAfter)
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
func (g *gate) await(ctx context.Context, id fairqueue.RequestID, flow string, granted <-chan struct{}, limit time.Duration) error {
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
	return noTurn(limit)
}

func (g *gate) release(id fairqueue.RequestID) {
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

// dropGates forgets the gates of servers that are gone.
func (g *Gateway) dropGates() {
	g.mu.Lock()
	keys := slices.Collect(maps.Keys(g.gates))
	g.mu.Unlock()
	gone := slices.DeleteFunc(keys, func(key gateKey) bool { return g.usable(key.database, key.server) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range gone {
		delete(g.gates, key)
	}
}

// gateKey names one run of a server.
type gateKey struct {
	database, server string
	started          int64
}

// gateOf returns the gate of a server.
func (g *Gateway) gateOf(d destination) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gateKey{d.server.Database, d.server.ID, d.server.Started}
	if g.gates[key] == nil {
		g.gates[key] = newGate(g.cfg.Now)
	}
	return g.gates[key]
}

// enter waits for the turn of a statement at a server. It takes the wait off the time of the work.
func (g *Gateway) enter(ctx context.Context, d destination, w *work) (leave func(), err error) {
	began := time.Now()
	executions := connlimit.MaxExecutions(max(d.server.Slots, 1), g.cfg.Instances(d.server))
	leave, err = g.gateOf(d).enter(ctx, d, executions, w.patience)
	if err != nil {
		return nil, err
	}
	w.spend(time.Since(began))
	return leave, nil
}
