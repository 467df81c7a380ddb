package pool

import "time"

// progress is what has passed a connection. A change of any part shows that the path works.
type progress struct {
	asked    uint64 // requests sent
	received uint64 // bytes
	queued   int    // bytes sent that the server has not acknowledged
}

// sample is one look at a connection.
type sample struct {
	progress
	waiting bool // a request is not answered to the end, and a read waits for bytes
}

// verdict is what a watch asks for.
type verdict int

const (
	verdictWait   verdict = iota
	verdictAsk            // ask the server what it does for the connection
	verdictSilent         // close the connection
)

// watchLimits are the times of a watch.
type watchLimits struct {
	quiet time.Duration // without progress until the server is asked, and between two questions
	grace time.Duration // for an answer that is on its way when the server says that it has finished
}

// watch decides whether a connection with a request outstanding is silent. Time is since the pool's
// origin.
//
// Invariants:
//   - A connection is silent only if nothing has passed it since before the server was asked, and
//     the server said that it executes nothing for it.
//   - A failed question proves nothing: the health checks judge a server that can't be reached.
type watch struct {
	limits  watchLimits
	seen    progress
	askAt   time.Duration
	closeAt time.Duration // 0 unless the server has said that it executes nothing
}

// step takes a look at the connection.
func (w *watch) step(now time.Duration, s sample) verdict {
	if !s.waiting || s.progress != w.seen {
		w.seen, w.closeAt = s.progress, 0
		w.askAt = now + w.limits.quiet
		return verdictWait
	}
	switch {
	case w.closeAt > 0 && now >= w.closeAt:
		return verdictSilent
	case w.closeAt == 0 && now >= w.askAt:
		return verdictAsk
	}
	return verdictWait
}

// told takes the answer to a question that was asked when asked had passed.
func (w *watch) told(now time.Duration, asked progress, executing bool) {
	if w.seen != asked {
		return
	}
	if executing {
		w.askAt = now + w.limits.quiet
		return
	}
	w.closeAt = now + w.limits.grace
}
