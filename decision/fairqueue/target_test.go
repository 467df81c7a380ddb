package fairqueue

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// newTargetQueue returns the queue of a scheduler.
func newTargetQueue(slots, queuePerAccount int) *Queue {
	return New(Config{Slots: slots, Connections: slots, QueuePerAccount: queuePerAccount, RetrySpread: time.Second, RefundDropped: true})
}

// mustQueue submits a request that must not be refused.
func mustQueue(t *testing.T, q *Queue, now time.Duration, id RequestID, account string, allowed, target time.Duration) {
	t.Helper()
	r := Request{ID: id, Account: account, HasConnection: true, Deadline: now + allowed, Target: target}
	if d := q.Submit(now, r); d.Verdict == Refused {
		t.Fatalf("request %d was refused", id)
	}
}

// Guards against a statement that misses its target behind one that has missed it already, and against late statements
// that are never run while others arrive.
func TestLoadSchedulerPrefersWhatCanMeetItsTarget(t *testing.T) {
	q := newTargetQueue(1, 64)
	var now time.Duration
	submit := func(id RequestID, target time.Duration) { mustQueue(t, q, now, id, "a", time.Minute, target) }
	submit(1, time.Hour)
	submit(2, ms) // can't be met
	submit(3, time.Hour)
	now = 10 * ms
	order := q.ReleaseSlot(now, 1)
	running := order[0]
	for id := RequestID(4); !slices.Contains(order, 2) && id < 30; id++ {
		submit(id, time.Hour)
		now += 10 * ms
		granted := q.ReleaseSlot(now, running)
		order, running = append(order, granted...), granted[0]
	}
	if order[0] != 3 {
		t.Errorf("order %v, want 3 first, which can meet its target", order)
	}
	if i := slices.Index(order, 2); i < 0 || i > lateTurn {
		t.Errorf("order %v, want 2 among the first %d", order, lateTurn)
	}
}

// Guards against callers of a refused burst that all return at the same moment, and against a retry before the queue
// has room.
func TestLoadSchedulerSpreadsRetries(t *testing.T) {
	q := newTargetQueue(4, 8)
	var retries []time.Duration
	for id := range RequestID(1000) {
		d := q.Submit(0, Request{ID: id, Account: "a", HasConnection: true, Deadline: time.Second, Target: time.Second})
		if d.Verdict == Refused {
			retries = append(retries, d.RetryAfter)
		}
	}
	slices.Sort(retries)
	if len(retries) < 900 {
		t.Fatalf("%d of 1000 were refused, want all but the 4 that run and the 8 that wait", len(retries))
	}
	if retries[0] <= 0 || retries[len(retries)-1] > time.Second {
		t.Errorf("retries after %s to %s, want within a second", retries[0], retries[len(retries)-1])
	}
	const window = 100 * ms
	for i, from := range retries {
		end, _ := slices.BinarySearch(retries, from+window)
		if end-i > 2*int(window/(initialHoldTime/4)) {
			t.Fatalf("%d of %d retries within %s after %s", end-i, len(retries), window, from)
		}
	}
}

// Guards against statements that wait for their deadline although the server has become too slow to run them, and
// against the refusal of those that can run.
func TestLoadSchedulerShedsWhatCannotRun(t *testing.T) {
	q := newTargetQueue(1, 64)
	for id := range RequestID(60) {
		mustQueue(t, q, 0, id+1, "a", 3*time.Second, 3*time.Second)
	}
	now, running := time.Duration(0), RequestID(1)
	shed := 0
	for range 10 {
		now += 100 * ms
		running = q.ReleaseSlot(now, running)[0]
		shed += len(q.Shed(now))
	}
	if shed < 15 {
		t.Errorf("%d of 49 queued statements were refused after the server took 100 ms for each of ten, want most of the 19 that would take 3 s of the 2 s left", shed)
	}
	if left := q.Waiting(); left < 20 {
		t.Errorf("%d statements still wait, want the 20 that can run in 2 s", left)
	}
}

// Guards against an overload that is reported for a short burst, more than once, or for ever.
func TestLoadSchedulerReportsOverload(t *testing.T) {
	var o Overload
	var began, ended []time.Duration
	for now := time.Duration(0); now < 6*time.Second; now += 50 * ms {
		burst := now >= time.Second && now < 1500*ms
		overload := now >= 3*time.Second && now < 5*time.Second
		if burst || overload {
			o.Refused(now)
		}
		b, e := o.Step(now)
		if b {
			began = append(began, now)
		}
		if e {
			ended = append(ended, now)
		}
	}
	if !slices.Equal(began, []time.Duration{4 * time.Second}) || !slices.Equal(ended, []time.Duration{5500 * ms}) {
		t.Errorf("overload began at %v and ended at %v, want 4s and 5.5s", began, ended)
	}
}

// Guards against an account that pays with its later statements for those that were dropped while the server was slow.
func TestLoadSchedulerChargesOnlyWhatItServes(t *testing.T) {
	q := newTargetQueue(1, 64)
	for id := range RequestID(60) {
		mustQueue(t, q, 0, id+1, "a", time.Minute, time.Minute)
	}
	for id := range RequestID(59) {
		q.Cancel("a", id+2)
	}
	mustQueue(t, q, ms, 100, "a", time.Minute, time.Minute)
	for id := range RequestID(10) {
		mustQueue(t, q, ms, id+200, "b", time.Minute, time.Minute)
	}
	now, order := 2*ms, []RequestID{1}
	for i := 0; i < 3; i++ {
		order = append(order, q.ReleaseSlot(now, order[i])...)
		now += 2 * ms
	}
	if !slices.Contains(order, 100) {
		t.Errorf("order %v, want 100 among the first three after the account's only other statement", order)
	}
}

// Guards against an account whose statement misses its target behind a late one of another account with the same claim.
func TestLoadSchedulerPrefersTargetsAmongEqualAccounts(t *testing.T) {
	q := newTargetQueue(1, 64)
	for id, r := range []Request{{Account: "z", Target: time.Hour}, {Account: "a", Target: ms}, {Account: "b", Target: time.Hour}} {
		r.ID, r.HasConnection, r.Deadline = RequestID(id+1), true, time.Hour
		q.Submit(0, r)
	}
	if got := q.ReleaseSlot(10*ms, 1); !slices.Equal(got, []RequestID{3}) {
		t.Errorf("granted %v, want 3, which can meet its target", got)
	}
}

// Guards against the refusal of an open transaction's statement because its account has as many new statements queued as it may.
func TestLoadSchedulerQueuesOpenTransactionsBeyondTheLimit(t *testing.T) {
	q := New(Config{Slots: 1, Connections: 2, QueuePerAccount: 1, RetrySpread: time.Second, RefundDropped: true})
	request := Request{Account: "a", Deadline: time.Hour}
	for id, want := range []Verdict{Granted, Queued, Refused, Queued} {
		request.ID, request.Continues, request.HasConnection = RequestID(id), id == 3, id == 3
		if d := q.Submit(0, request); d.Verdict != want {
			t.Errorf("request %d: verdict %d, want %d", id, d.Verdict, want)
		}
	}
	if got := q.ReleaseSlot(ms, 0); !slices.Equal(got, []RequestID{3}) {
		t.Errorf("granted %v, want the statement of the open transaction", got)
	}
}

// BenchmarkOverload measures a scheduler with 300 backlogged accounts and 900 queued requests.
// Guards against requests that wait for their whole patience at a server that answers nothing, and against refusals once it answers
// again or that tell to come back much later. Load: 300 requests a second for 12 slots of 20 ms; the server stops for a second.
func TestLoadSchedulerRefusesAtAStalledServer(t *testing.T) {
	const (
		slots, hold, patience  = 12, 20 * ms, 750 * ms
		stallsAt, answersAgain = 2 * time.Second, 3 * time.Second
		// kept is the work of 0.1 s, which may wait for the server to answer again.
		kept = int(slots * 100 * ms / hold)
	)
	q := newTargetQueue(slots, 256)
	submitted, granted := map[RequestID]time.Duration{}, map[RequestID]time.Duration{}
	var waits []time.Duration // of requests that waited in vain
	refusedLater, latestRetry := 0, time.Duration(0)
	grant := func(now time.Duration, ids []RequestID) {
		for _, id := range ids {
			granted[id] = now
		}
	}
	drop := func(now time.Duration, ids []RequestID) {
		for _, id := range ids {
			waits = append(waits, now-submitted[id])
		}
	}
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		for id, at := range granted {
			if now-at >= hold && (now < stallsAt || now >= answersAgain) {
				delete(granted, id)
				grant(now, q.ReleaseSlot(now, id))
			}
		}
		drop(now, q.Expire(now))
		drop(now, q.Shed(now))
		for range 3 {
			id := RequestID(len(submitted) + 1)
			submitted[id] = now
			d := q.Submit(now, Request{ID: id, Account: "a", HasConnection: true, Deadline: now + patience, Target: now + 800*ms})
			latestRetry = max(latestRetry, d.RetryAfter)
			switch d.Verdict {
			case Granted:
				granted[id] = now
			case Refused:
				if now < stallsAt || now >= answersAgain+200*ms {
					refusedLater++
				}
			}
		}
	}
	long := len(slices.DeleteFunc(slices.Clone(waits), func(w time.Duration) bool { return w <= patience/2 }))
	t.Logf("%d requests waited in vain, %d of them for more than %s; %d refused while the server answers", len(waits), long, patience/2, refusedLater)
	if most := 300 * hold / slots; latestRetry > most { // the time for all that arrive while the server stops
		t.Errorf("told to come back after %s, want at most %s", latestRetry, most)
	}
	if long > kept || refusedLater > 0 {
		t.Errorf("%d requests waited in vain for more than %s and %d were refused while the server answers, want at most %d and none", long, patience/2, refusedLater, kept)
	}
}

func BenchmarkOverload(b *testing.B) {
	const accounts, queued = 300, 900
	q := newTargetQueue(8, 256)
	var last RequestID
	submit := func(now time.Duration) {
		last++
		end := now + time.Hour
		account := fmt.Sprint("account-", last%accounts)
		q.Submit(now, Request{ID: last, Account: account, Weight: 1 + int(last%4), HasConnection: true, Deadline: end, Target: end})
	}
	for range queued {
		submit(0)
	}
	running := slices.Sorted(maps.Keys(q.running))
	b.Run("statement", func(b *testing.B) {
		for now := time.Duration(0); b.Loop(); now += ms {
			running = append(running[1:], q.ReleaseSlot(now, running[0])...)
			submit(now)
		}
	})
	b.Run("shed", func(b *testing.B) {
		for b.Loop() {
			q.Shed(10 * time.Minute)
		}
	})
}
