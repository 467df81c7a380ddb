package fairqueue

import (
	"slices"
	"time"
)

const (
	// lateTurn is the number of grants of an account of which one goes to its oldest late request while others can
	// still meet their targets, so that late requests are not starved.
	lateTurn = 8
	// waitMargin is the part of the time until a request has to start that its expected wait may take. Without it, half
	// of the requests admitted at the limit would miss their target, and in a simulated burst 4% were refused after a
	// wait of 0.3 s, now 0.2%.
	waitMargin = 0.75
	// stallFactor is by how much the mean age of the running statements must exceed the average slot time of ended ones before it
	// lengthens the expected waits. In normal operation they are equal at most.
	stallFactor = 2
	// shedMargin is by how much the expected wait of a queued request must exceed the time until its deadline before it
	// is shed. Without it, the variation of the estimates would shed statements that can run; with more, those that can't run wait
	// for longer.
	shedMargin = 1.2
)

// expectedWait returns the expected waiting time of qr, without the slowdown, and records whether with it the wait is too long for
// the target.
func (q *Queue) expectedWait(now time.Duration, slowdown float64, a *account, qr *queuedRequest) time.Duration {
	if qr.Target == 0 {
		return q.estimate(*qr)
	}
	if qr.Continues {
		return q.waitAt(now, a, qr, 0)
	}
	late := a.queuedLate()
	early := len(a.queue) - late
	wait := q.waitAt(now, a, qr, early+min(late, early/(lateTurn-1)))
	slack := qr.Target - a.averageHold - now
	qr.late = float64(wait)*slowdown > waitMargin*float64(slack)
	if !qr.late {
		return wait
	}
	position := late
	if early > 0 {
		position = max(early+late, lateTurn*(late+1)-1)
	}
	return time.Duration(float64(q.waitAt(now, a, qr, position)) / waitMargin)
}

// waitAt returns the expected waiting time of qr if it is granted after the given number of other requests of its account.
func (q *Queue) waitAt(now time.Duration, a *account, qr *queuedRequest, position int) time.Duration {
	start := qr.startTag
	if len(a.queue) > 0 {
		start = a.queue[0].startTag + float64(position)*qr.cost
	}
	ahead := time.Duration(position) * a.averageHold
	for _, other := range q.backlog {
		if other != a {
			ahead += time.Duration(other.ahead(start)) * other.averageHold
		}
	}
	wait := (ahead + q.averageHold) / time.Duration(max(q.cfg.Slots, 1))
	return max(wait, a.pace.wait(now, position))
}

// slowdown returns the factor by which the running statements show that the server has become slower than the averages of ended
// statements tell, at least 1. Load: a server that stops answering while a queue waits for it, as one that is paused, or full of the
// connections of processes that have ended: nothing ends, so that the averages stay, and all that arrive would wait in vain.
func (q *Queue) slowdown(now time.Duration) float64 {
	if len(q.running) == 0 {
		return 1
	}
	var age time.Duration
	for _, r := range q.running {
		age += now - r.since
	}
	return max(1, float64(age)/float64(len(q.running))/float64(stallFactor*max(q.averageHold, time.Microsecond)))
}

// stretch returns an expected wait with the slowdown.
func stretch(wait time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(wait) * slowdown)
}

// queuedLate returns the number of queued requests that were not expected to meet their target.
func (a *account) queuedLate() int {
	n := 0
	for i := range a.queue {
		if a.queue[i].late {
			n++
		}
	}
	return n
}

// next returns the index of the account's request that is granted next, or -1 if all have expired: one that continues
// granted work, else one that can meet its target, else a late one.
func (a *account) next(now time.Duration) int {
	onTime, late := -1, -1
	for i := range a.queue {
		switch qr := &a.queue[i]; {
		case qr.Deadline <= now:
		case qr.Continues:
			return i
		case qr.isLate(now, a.averageHold):
			late = firstOf(late, i)
		default:
			onTime = firstOf(onTime, i)
		}
	}
	if onTime < 0 || late >= 0 && a.sinceLate >= lateTurn-1 {
		return late
	}
	return onTime
}

// firstOf returns known, or i if known is negative.
func firstOf(known, i int) int {
	if known < 0 {
		return i
	}
	return known
}

// isLate reports whether a request would miss its target if it were granted now.
func (r *queuedRequest) isLate(now, hold time.Duration) bool {
	return r.Target != 0 && (r.late || now+hold > r.Target)
}

// take removes the request at index i. It gets the start tag of the first one, since the account's turn doesn't depend
// on which of its requests is granted.
func (a *account) take(now time.Duration, i int) queuedRequest {
	qr := a.queue[i]
	a.sinceLate++
	if qr.isLate(now, a.averageHold) {
		a.sinceLate = 0
	}
	qr.startTag = a.queue[0].startTag
	for j := i; j > 0; j-- {
		a.queue[j].startTag = a.queue[j-1].startTag
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return qr
}

// refuse returns the refusal of a request that may wait for allowed and is expected to wait longer. wait is without the slowdown: a
// stalled server may answer again at any time, so that the stall doesn't count for the time of the retry.
func (q *Queue) refuse(now, allowed, wait time.Duration) Decision {
	if q.cfg.RetrySpread == 0 {
		return Decision{Verdict: Refused, RetryAfter: max(wait, q.averageHold)}
	}
	return Decision{Verdict: Refused, RetryAfter: q.retryAfter(now, max(wait-allowed, 0))}
}

// RetryAfter returns the time after which a request that was dropped from the queue may be repeated.
func (q *Queue) RetryAfter(now time.Duration) time.Duration {
	return q.retryAfter(now, q.averageHold)
}

// retryAfter returns the time after which a refused request may be repeated, if the queue has room after the given time.
// Each refusal takes the time that the server needs for one request. Beyond RetrySpread the times start again, so that
// the retries of a large burst are spread evenly.
func (q *Queue) retryAfter(now, room time.Duration) time.Duration {
	interval := q.averageHold / time.Duration(max(q.cfg.Slots, 1))
	first := now + room
	q.nextRetry = max(q.nextRetry, first) + interval
	if q.nextRetry > first+q.cfg.RetrySpread {
		q.nextRetry = first + interval
	}
	return q.nextRetry - now
}

// ExpectedWait returns the time after which a request that arrives now would be granted if accounts had no shares: the
// slot time of all queued requests, divided by the number of slots.
func (q *Queue) ExpectedWait(now time.Duration) time.Duration {
	if q.waiting == 0 && len(q.running) < q.cfg.Slots {
		return 0
	}
	ahead := q.averageHold
	for _, a := range q.backlog {
		ahead += time.Duration(len(a.queue)) * a.averageHold
	}
	return stretch(ahead/time.Duration(max(q.cfg.Slots, 1)), q.slowdown(now))
}

// Shed removes and returns the queued requests that are not expected to be granted before their deadline any more, for
// example because the server has become slower. The order of the grants stays as it is.
func (q *Queue) Shed(now time.Duration) []RequestID {
	var shed []RequestID
	slowdown := q.slowdown(now)
	for _, name := range q.backloggedNames() {
		a := q.backlog[name]
		for i := len(a.queue) - 1; i >= 0; i-- {
			if !q.willExpire(now, slowdown, a, i) {
				continue
			}
			shed = append(shed, a.queue[i].ID)
			q.drop(a, i)
		}
		q.removeIfEmpty(name, a)
	}
	return shed
}

// willExpire reports whether the queued request at index i of an account is not expected to be granted in time. The
// estimate over all accounts is costly and made for the first and the last request only, which have the least time left
// and the longest wait.
func (q *Queue) willExpire(now time.Duration, slowdown float64, a *account, i int) bool {
	qr := &a.queue[i]
	if qr.Continues {
		return false
	}
	expected := a.pace.wait(now, i)
	if i == 0 || i == len(a.queue)-1 {
		expected = max(expected, q.estimate(*qr))
	}
	return now+stretch(expected, slowdown/shedMargin) > qr.Deadline
}

// drop removes the request at index i, which is not granted.
func (q *Queue) drop(a *account, i int) {
	cost := a.queue[i].cost
	a.queue = slices.Delete(a.queue, i, i+1)
	q.waiting--
	if !q.cfg.RefundDropped {
		return
	}
	a.finishTag -= cost
	for j := i; j < len(a.queue); j++ {
		a.queue[j].startTag -= cost
	}
}
