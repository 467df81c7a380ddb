package fairqueue

import (
	"maps"
	"math"
	"slices"
	"time"
)

// initialHoldTime is the slot time that a statement is charged until its account has finished one.
const initialHoldTime = 2 * time.Millisecond

// holdSmoothing is the weight of the newest hold time in the moving average.
const holdSmoothing = 0.1

const (
	// evictionThreshold is the number of accounts from which on the tags of idle ones are forgotten.
	evictionThreshold = 1024
	// evictionScan is the number of accounts looked at for each new one. With four, idle accounts become
	// fewer, although new ones come, as soon as they are more than a quarter.
	evictionScan = 4
)

// Config holds the limits of one server's queue.
type Config struct {
	Slots           int // statements in execution
	Connections     int // connections in use
	QueuePerAccount int // waiting requests of one account
}

// RequestID identifies a request; the caller chooses it and never uses it twice.
type RequestID uint64

// Request asks for a slot.
type Request struct {
	ID            RequestID
	Account       string
	Weight        int           // relative to other accounts; below 1 counts as 1
	Deadline      time.Duration // time since the caller's origin after which the grant is of no use
	HasConnection bool          // the request goes on with a connection that it holds already
}

// Verdict is the answer to a submitted request.
type Verdict int

const (
	// Granted: the request holds a slot, and a connection unless it had one.
	Granted Verdict = iota + 1
	// Queued: the request waits and is granted, expired or cancelled later.
	Queued
	// Refused: the request can't be granted before its deadline, or the account's queue is full.
	Refused
)

// Decision is a verdict; RetryAfter tells a refused caller when its turn could come.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

type queuedRequest struct {
	Request
	startTag float64 // virtual time at which service begins
	cost     float64 // seconds of slot time charged in advance, divided by the weight
}

type account struct {
	queue       []queuedRequest
	finishTag   float64       // virtual finish time of the last request
	averageHold time.Duration // moving average of the slot time of one statement
	slotsHeld   int           // slots held now
}

type runningRequest struct {
	account string
	weight  float64
	cost    float64
	since   time.Duration
}

// Queue is the state machine. Times are durations since one origin that never goes back.
type Queue struct {
	cfg            Config
	virtualTime    float64
	accounts       map[string]*account
	backlog        map[string]*account // those with waiting requests
	accountOrder   []string            // names of the accounts, in an order that depends on the inputs only
	evictionCursor int                 // in order, of the account that evictIdle looks at next
	running        map[RequestID]runningRequest
	conns          int
	waiting        int
	averageHold    time.Duration // moving average over all accounts
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:         cfg,
		accounts:    make(map[string]*account),
		backlog:     make(map[string]*account),
		running:     make(map[RequestID]runningRequest),
		averageHold: initialHoldTime,
	}
}

// Resize changes the limits. Requests that hold more than the new limits keep what they have.
func (q *Queue) Resize(cfg Config) {
	q.cfg = cfg
}

// Submit grants, queues or refuses r.
func (q *Queue) Submit(now time.Duration, r Request) Decision {
	a := q.account(r.Account)
	w := q.tagRequest(a, r)
	if q.fits(r) && (q.waiting == 0 || q.nextAccount(now) == nil) {
		a.finishTag = w.startTag + w.cost
		q.grant(now, a, w)
		return Decision{Verdict: Granted}
	}
	wait := q.estimate(w)
	if len(a.queue) >= q.cfg.QueuePerAccount || now+wait > r.Deadline {
		return Decision{Verdict: Refused, RetryAfter: max(wait, q.averageHold)}
	}
	a.finishTag = w.startTag + w.cost
	a.queue = append(a.queue, w)
	q.backlog[r.Account] = a
	q.waiting++
	return Decision{Verdict: Queued}
}

// ReleaseSlot ends the execution of a granted request, charges its account for the time that it
// took, and returns the requests that are granted now.
func (q *Queue) ReleaseSlot(now time.Duration, id RequestID) []RequestID {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	a := q.account(r.account)
	a.slotsHeld--
	used := now - r.since
	a.averageHold = smooth(a.averageHold, used)
	q.averageHold = smooth(q.averageHold, used)
	// Waiting requests of the account move by the difference between the estimate and the use,
	// so that long statements are paid for by the account that sends them.
	correction := used.Seconds()/r.weight - r.cost
	a.finishTag += correction
	for i := range a.queue {
		a.queue[i].startTag += correction
	}
	return q.Grant(now)
}

// ReleaseConnection returns a connection and returns the requests that are granted now.
func (q *Queue) ReleaseConnection(now time.Duration) []RequestID {
	q.conns--
	return q.Grant(now)
}

// Cancel removes a waiting request, for example when its caller has gone. It reports whether the
// request was still waiting.
func (q *Queue) Cancel(name string, id RequestID) bool {
	a, ok := q.accounts[name]
	if !ok {
		return false
	}
	i := slices.IndexFunc(a.queue, func(w queuedRequest) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	q.waiting--
	q.removeIfEmpty(name, a)
	return true
}

// Expire removes and returns the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Duration) []RequestID {
	var expired []RequestID
	for _, name := range q.backloggedNames() {
		a := q.backlog[name]
		a.queue = slices.DeleteFunc(a.queue, func(w queuedRequest) bool {
			if w.Deadline > now {
				return false
			}
			expired = append(expired, w.ID)
			return true
		})
		q.removeIfEmpty(name, a)
	}
	q.waiting -= len(expired)
	return expired
}

// Grant gives free slots and connections to waiting requests in the order of their start tags and
// returns them. A request that needs a connection does not hold up one that has its own.
func (q *Queue) Grant(now time.Duration) []RequestID {
	var granted []RequestID
	for {
		a := q.nextAccount(now)
		if a == nil {
			return granted
		}
		w := a.queue[0]
		a.queue = slices.Delete(a.queue, 0, 1)
		q.waiting--
		q.removeIfEmpty(w.Account, a)
		q.grant(now, a, w)
		granted = append(granted, w.ID)
	}
}

// removeIfEmpty takes an account without waiting requests out of the backlog.
func (q *Queue) removeIfEmpty(name string, a *account) {
	if len(a.queue) == 0 {
		delete(q.backlog, name)
	}
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int {
	return q.waiting
}

// InUse returns the slots and connections held.
func (q *Queue) InUse() (slots, connections int) {
	return len(q.running), q.conns
}

func (q *Queue) account(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		q.evictIdle()
		a = &account{averageHold: q.averageHold}
		q.accounts[name] = a
		q.accountOrder = append(q.accountOrder, name)
	}
	return a
}

// evictIdle drops accounts whose tags no longer matter, to bound memory. A call looks at a few accounts in
// turn, so that its cost doesn't grow with their number.
func (q *Queue) evictIdle() {
	for range evictionScan {
		if len(q.accountOrder) < evictionThreshold {
			return
		}
		q.evictionCursor %= len(q.accountOrder)
		name := q.accountOrder[q.evictionCursor]
		if !q.isEvictable(q.accounts[name]) {
			q.evictionCursor++
			continue
		}
		delete(q.accounts, name)
		last := len(q.accountOrder) - 1
		q.accountOrder[q.evictionCursor] = q.accountOrder[last]
		q.accountOrder[last] = ""
		q.accountOrder = q.accountOrder[:last]
	}
}

// isEvictable reports whether an account that is forgotten and comes again gets the same place.
func (q *Queue) isEvictable(a *account) bool {
	return len(a.queue) == 0 && a.slotsHeld == 0 && a.finishTag <= q.virtualTime
}

// tagRequest gives r its place in virtual time.
func (q *Queue) tagRequest(a *account, r Request) queuedRequest {
	r.Weight = max(r.Weight, 1)
	return queuedRequest{
		Request:  r,
		startTag: max(q.virtualTime, a.finishTag),
		cost:     a.averageHold.Seconds() / float64(r.Weight),
	}
}

func (q *Queue) fits(r Request) bool {
	if len(q.running) >= q.cfg.Slots {
		return false
	}
	return r.HasConnection || q.conns < q.cfg.Connections
}

func (q *Queue) grant(now time.Duration, a *account, w queuedRequest) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	a.slotsHeld++
	q.running[w.ID] = runningRequest{account: w.Account, weight: float64(w.Weight), cost: w.cost, since: now}
	if !w.HasConnection {
		q.conns++
	}
}

// nextAccount returns the account whose first request fits, is in time and has the smallest start tag.
func (q *Queue) nextAccount(now time.Duration) *account {
	var best *account
	for _, name := range q.backloggedNames() {
		a := q.backlog[name]
		if a.queue[0].Deadline <= now || !q.fits(a.queue[0].Request) {
			continue
		}
		if best == nil || a.queue[0].startTag < best.queue[0].startTag {
			best = a
		}
	}
	return best
}

// estimate returns how long w would wait: the slot time of the requests ahead of it, shared by
// all slots, plus what is left of one statement in execution.
func (q *Queue) estimate(w queuedRequest) time.Duration {
	var ahead time.Duration
	for _, a := range q.backlog {
		ahead += time.Duration(a.ahead(w.startTag)) * a.averageHold
	}
	return (ahead + q.averageHold) / time.Duration(max(q.cfg.Slots, 1))
}

// ahead counts the account's waiting requests that start before the given virtual time.
func (a *account) ahead(start float64) int {
	i, _ := slices.BinarySearchFunc(a.queue, start, func(w queuedRequest, s float64) int {
		if w.startTag < s {
			return -1
		}
		return 1
	})
	return i
}

// backloggedNames lists the accounts with waiting requests in a fixed order, so that equal inputs give equal grants.
func (q *Queue) backloggedNames() []string {
	return slices.Sorted(maps.Keys(q.backlog))
}

func smooth(average, sample time.Duration) time.Duration {
	v := (1-holdSmoothing)*float64(average) + holdSmoothing*float64(sample)
	return time.Duration(math.Max(v, float64(time.Microsecond)))
}
