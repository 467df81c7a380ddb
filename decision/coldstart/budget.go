package coldstart

import (
	"slices"
	"time"
)

const (
	// Window is the length of the windows that the limit holds for.
	Window = time.Second
	// windowGuard is added to each window for the time between counting a statement and writing it to the connection.
	windowGuard = 50 * time.Millisecond
	fullWindow  = Window + windowGuard
	// maxInterval bounds the time between two statements if the allowance is below one per second. 2,100 instances that
	// all are cut off from each other need four minutes at a limit of 17.
	maxInterval = 10 * time.Minute
)

// Ticket identifies a waiting statement of an open transaction.
type Ticket uint64

// Budget counts the statements that one instance sends to one cold server. Times are durations since a fixed origin on a
// monotonic clock. It is not safe for concurrent use.
type Budget struct {
	since    time.Duration // since when this instance has its rank
	rank     int
	phase    float64         // part of a long interval that passes before the first statement
	sent     []time.Duration // when the latest statements were sent, oldest first
	reserved int             // turns that were taken, without their statement being sent yet
	queue    []Ticket        // of waiting statements, first to be served first
	last     Ticket
}

// NewBudget returns the budget of an instance that has just learned of a cold server. phase, in [0, 1), should differ between
// instances: it keeps those with an allowance below one from sending at the same time.
func NewBudget(now time.Duration, phase float64) *Budget {
	return &Budget{since: now, rank: MaxRank, phase: phase}
}

// SetRank updates the rank of the instance and reports whether it has just become the first. An instance that moves up may
// follow a lender that used the preceding second.
func (b *Budget) SetRank(now time.Duration, rank int) (becameFirst bool) {
	if rank < b.rank {
		b.since = now
	}
	becameFirst = rank == 0 && b.rank != 0
	b.rank = rank
	return becameFirst
}

// Take takes a turn for a new statement. If there is none now, retryAfter is the time until there may be one. Sent or Cancel
// must follow a turn.
func (b *Budget) Take(now time.Duration, allowance float64) (ok bool, retryAfter time.Duration) {
	retryAfter = b.untilTurn(now, allowance, len(b.queue))
	if retryAfter > 0 {
		return false, retryAfter
	}
	b.reserved++
	return true, 0
}

// Enqueue adds a statement of an open transaction to the queue. TakeQueued or Leave must remove it.
func (b *Budget) Enqueue() Ticket {
	b.last++
	b.queue = append(b.queue, b.last)
	return b.last
}

// Leave removes a statement from the queue.
func (b *Budget) Leave(t Ticket) {
	b.queue = slices.DeleteFunc(b.queue, func(other Ticket) bool { return other == t })
}

// TakeQueued takes a turn for a queued statement, which leaves the queue. If there is none now, retryAfter is the time until
// there may be one. Sent or Cancel must follow a turn.
func (b *Budget) TakeQueued(now time.Duration, allowance float64, t Ticket) (ok bool, retryAfter time.Duration) {
	ahead := max(slices.Index(b.queue, t), 0)
	retryAfter = b.untilTurn(now, allowance, ahead)
	if retryAfter > 0 {
		return false, retryAfter
	}
	b.Leave(t)
	b.reserved++
	return true, 0
}

// Sent records that the statement of a turn is being sent.
func (b *Budget) Sent(now time.Duration) {
	b.reserved--
	b.sent = append(b.sent, now)
}

// Cancel gives a turn back whose statement was not sent.
func (b *Budget) Cancel() {
	b.reserved--
}

// untilTurn returns the time until a statement may be sent that lets ahead others go first, 0 if it may be sent now.
func (b *Budget) untilTurn(now time.Duration, allowance float64, ahead int) time.Duration {
	n, length := window(allowance)
	if n == 0 {
		return Window
	}
	b.forget(now, length)
	if first := b.firstTurn(length); now < first {
		return first - now
	}
	// Of the sent statements, those within the window and the reserved ones leave room for n in all.
	inWindow := slices.DeleteFunc(slices.Clone(b.sent), func(at time.Duration) bool { return now-at >= length })
	excess := len(inWindow) + b.reserved + ahead + 1 - n
	switch {
	case excess <= 0:
		return 0
	case excess > len(inWindow):
		return length // it is not known when the reserved ones will be sent
	}
	return inWindow[excess-1] + length - now
}

// firstTurn returns when the first statement may be sent: the window before this instance got its rank counts as full.
func (b *Budget) firstTurn(length time.Duration) time.Duration {
	return b.since + fullWindow + time.Duration(b.phase*float64(length-fullWindow))
}

// forget drops what was sent before the window. The last statement is kept: the window grows if the allowance falls below one.
func (b *Budget) forget(now, length time.Duration) {
	for len(b.sent) > 1 && now-b.sent[0] >= length {
		b.sent = b.sent[1:]
	}
}
