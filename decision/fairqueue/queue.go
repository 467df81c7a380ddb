package fairqueue

import (
	"maps"
	"math"
	"slices"
	"time"
)

// initialHoldTime is the initial value of the queue's moving average of the slot time of a statement.
const initialHoldTime = 2 * time.Millisecond

// holdSmoothing is the weight of the newest hold time in the moving averages.
const holdSmoothing = 0.1

const (
	// evictionThreshold is the number of known accounts at which eviction of idle ones starts.
	evictionThreshold = 1024
	// evictionScan is the number of accounts examined for each new one. With four, the number of idle accounts
	// shrinks despite new accounts as soon as more than a quarter are idle.
	evictionScan = 4
)

// Config holds the limits of one server's queue.
type Config struct {
	Slots           int // concurrent statements
	Connections     int // connections in use
	QueuePerAccount int // waiting requests of one account, except for those that continue granted work
	// RetrySpread is the time over which the retries of requests that are refused at the same moment are spread; 0 for
	// none.
	RetrySpread time.Duration
	// RefundDropped: an account is not charged for requests that are dropped from the queue. Otherwise its requests after
	// a period of overload wait for those of the others.
	RefundDropped bool
}

// RequestID identifies a request. The caller chooses it and must not reuse it.
type RequestID uint64

// Request asks for a slot.
type Request struct {
	ID            RequestID
	Account       string
	Weight        int           // relative to other accounts; below 1 counts as 1
	Deadline      time.Duration // on the queue's clock; a grant after it is useless
	HasConnection bool          // the request already holds a connection
	// Target is when the request should have ended, on the queue's clock; 0 for no target. Among the requests of one
	// account, those that can still meet their target are granted before the others.
	Target time.Duration
	// Continues: the request belongs to work that was granted before and holds resources of the server. It goes before
	// the other requests of its account and is refused only by its deadline.
	Continues bool
}

// Verdict is the answer to a submitted request.
type Verdict int

const (
	// Granted: the request now holds a slot, and a connection if it didn't have one.
	Granted Verdict = iota + 1
	// Queued: the request waits until it is granted, expires or is cancelled.
	Queued
	// Refused: the request can't be granted before its deadline, or the account's queue is full.
	Refused
)

// Decision is the result of Submit. RetryAfter is set for a refusal: the estimated time until the request could
// be granted, or with Config.RetrySpread until the queue has room for it and for those refused before it.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

type queuedRequest struct {
	Request
	startTag float64 // virtual time at which service begins
	cost     float64 // seconds of slot time charged in advance, divided by the weight
	late     bool    // it was not expected to meet its target when it was submitted
}

type account struct {
	queue       []queuedRequest
	finishTag   float64       // virtual finish time of the last request
	averageHold time.Duration // moving average of the slot time of one statement
	slotsHeld   int           // currently
	// sinceLate counts the grants since the last one of a late request, while late requests were queued.
	sinceLate int
	pace      pace
}

type runningRequest struct {
	account string
	weight  float64
	cost    float64
	since   time.Duration
}

// Queue is the queue of one server. Times are durations since a fixed origin on a monotonic clock. It is not
// safe for concurrent use.
type Queue struct {
	cfg            Config
	virtualTime    float64
	accounts       map[string]*account
	backlog        map[string]*account // accounts with queued requests
	accountOrder   []string            // account names, in a deterministic order
	evictionCursor int                 // index in accountOrder of the account that evictIdle examines next
	running        map[RequestID]runningRequest
	conns          int
	waiting        int
	averageHold    time.Duration // moving average over all accounts
	nextRetry      time.Duration // when the last refused request was told to retry
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

// Resize changes the limits. Slots and connections already granted beyond the new limits are kept.
func (q *Queue) Resize(cfg Config) {
	q.cfg = cfg
}

// Submit grants, queues or refuses r.
func (q *Queue) Submit(now time.Duration, r Request) Decision {
	a := q.account(r.Account)
	qr := q.tagRequest(a, r)
	if q.fits(r) && (q.waiting == 0 || q.nextAccount(now) == nil) {
		a.finishTag = qr.startTag + qr.cost
		q.grant(now, a, qr)
		return Decision{Verdict: Granted}
	}
	slowdown := q.slowdown(now)
	wait := q.expectedWait(now, slowdown, a, &qr)
	if !r.Continues && (len(a.queue) >= q.cfg.QueuePerAccount || now+stretch(wait, slowdown) > r.Deadline) {
		return q.refuse(now, r.Deadline-now, wait)
	}
	a.finishTag = qr.startTag + qr.cost
	a.pace.queued(now)
	a.queue = append(a.queue, qr)
	q.backlog[r.Account] = a
	q.waiting++
	return Decision{Verdict: Queued}
}

// ReleaseSlot releases the slot of a granted request, charges its account for the time for which the slot was
// held, and returns the requests that are granted as a result.
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
	// Shift the account's queued requests by the difference between actual and estimated slot time, so that
	// an account is charged for its own long statements.
	correction := used.Seconds()/r.weight - r.cost
	a.finishTag += correction
	for i := range a.queue {
		a.queue[i].startTag += correction
	}
	return q.Grant(now)
}

// ReleaseConnection releases a connection and returns the requests that are granted as a result.
func (q *Queue) ReleaseConnection(now time.Duration) []RequestID {
	q.conns--
	return q.Grant(now)
}

// Cancel removes a queued request, for example when its caller has disconnected. It reports whether the
// request was still queued.
func (q *Queue) Cancel(name string, id RequestID) bool {
	a, ok := q.accounts[name]
	if !ok {
		return false
	}
	i := slices.IndexFunc(a.queue, func(qr queuedRequest) bool { return qr.ID == id })
	if i < 0 {
		return false
	}
	q.drop(a, i)
	q.removeIfEmpty(name, a)
	return true
}

// Expire removes and returns the queued requests whose deadline has passed.
func (q *Queue) Expire(now time.Duration) []RequestID {
	var expired []RequestID
	for _, name := range q.accountsWithExpired(now) {
		a := q.backlog[name]
		for i := 0; i < len(a.queue); {
			if a.queue[i].Deadline > now {
				i++
				continue
			}
			expired = append(expired, a.queue[i].ID)
			q.drop(a, i)
		}
		q.removeIfEmpty(name, a)
	}
	return expired
}

// Grant grants free slots and connections to queued requests in the order of their start tags and returns these
// requests. A request that waits for a connection doesn't block one that already holds one.
func (q *Queue) Grant(now time.Duration) []RequestID {
	var granted []RequestID
	for {
		if len(q.running) >= q.cfg.Slots {
			return granted
		}
		a := q.nextAccount(now)
		if a == nil {
			return granted
		}
		qr := a.take(now, a.next(now))
		a.pace.granted(now, len(a.queue) > 0)
		q.waiting--
		q.removeIfEmpty(qr.Account, a)
		q.grant(now, a, qr)
		granted = append(granted, qr.ID)
	}
}

// removeIfEmpty removes an account without queued requests from the backlog.
func (q *Queue) removeIfEmpty(name string, a *account) {
	if len(a.queue) == 0 {
		delete(q.backlog, name)
	}
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int {
	return q.waiting
}

// InUse returns the numbers of slots and connections in use.
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

// evictIdle removes idle accounts to bound memory. Each call examines the next few accounts in rotation, so
// that its cost doesn't grow with their number.
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

// isEvictable reports whether the account's next request would get the same start tag if it were evicted.
func (q *Queue) isEvictable(a *account) bool {
	return len(a.queue) == 0 && a.slotsHeld == 0 && a.finishTag <= q.virtualTime
}

// tagRequest assigns r its start tag and its cost.
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

func (q *Queue) grant(now time.Duration, a *account, qr queuedRequest) {
	q.virtualTime = max(q.virtualTime, qr.startTag)
	a.slotsHeld++
	q.running[qr.ID] = runningRequest{account: qr.Account, weight: float64(qr.Weight), cost: qr.cost, since: now}
	if !qr.HasConnection {
		q.conns++
	}
}

// nextAccount returns the account whose next request fits and has the smallest start tag. Among equal tags, a request
// that can meet its target goes before a late one.
func (q *Queue) nextAccount(now time.Duration) *account {
	var best candidate
	for name, a := range q.backlog {
		i := a.next(now)
		if i < 0 || !q.fits(a.queue[i].Request) {
			continue
		}
		c := candidate{account: a, name: name, startTag: a.queue[0].startTag, isLate: a.queue[i].isLate(now, a.averageHold)}
		if best.account == nil || c.before(&best) {
			best = c
		}
	}
	return best.account
}

// candidate is an account whose next request may be granted.
type candidate struct {
	account  *account
	name     string
	startTag float64
	isLate   bool
}

// before reports whether c is granted before other. The name makes grants deterministic.
func (c *candidate) before(other *candidate) bool {
	switch {
	case c.startTag != other.startTag:
		return c.startTag < other.startTag
	case c.isLate != other.isLate:
		return other.isLate
	}
	return c.name < other.name
}

// estimate returns the expected waiting time of qr: the slot time of the requests ahead of it plus that of one
// running statement, divided by the number of slots.
func (q *Queue) estimate(qr queuedRequest) time.Duration {
	var ahead time.Duration
	for _, a := range q.backlog {
		ahead += time.Duration(a.ahead(qr.startTag)) * a.averageHold
	}
	return (ahead + q.averageHold) / time.Duration(max(q.cfg.Slots, 1))
}

// ahead returns the number of the account's queued requests whose start tag is below the given one.
func (a *account) ahead(start float64) int {
	i, _ := slices.BinarySearchFunc(a.queue, start, func(qr queuedRequest, s float64) int {
		if qr.startTag < s {
			return -1
		}
		return 1
	})
	return i
}

// accountsWithExpired returns the names of the accounts with expired requests in sorted order.
func (q *Queue) accountsWithExpired(now time.Duration) []string {
	var names []string
	for name, a := range q.backlog {
		if slices.ContainsFunc(a.queue, func(qr queuedRequest) bool { return qr.Deadline <= now }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// backloggedNames returns the names of the accounts with queued requests in sorted order, which makes
// results deterministic.
func (q *Queue) backloggedNames() []string {
	return slices.Sorted(maps.Keys(q.backlog))
}

func smooth(average, sample time.Duration) time.Duration {
	v := (1-holdSmoothing)*float64(average) + holdSmoothing*float64(sample)
	return time.Duration(math.Max(v, float64(time.Microsecond)))
}
