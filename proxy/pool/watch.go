package pool

import "time"

// progress is what has passed a connection. A change of any part shows that the path works.
type progress struct {
	requestsSent  uint64 // requests sent
	bytesReceived uint64 // bytes
	unackedBytes  int    // bytes sent that the server has not acknowledged
}

// sample is one look at a connection.
type sample struct {
	progress
	waiting bool // a request is not answered to the end, and a read waits for bytes
}

// verdict is what a watch asks for.
type verdict int

const (
	verdictWait        verdict = iota
	verdictQueryServer         // ask the server what it does for the connection
	verdictSilent              // close the connection
)

// silenceLimits are the times of a watch.
type silenceLimits struct {
	stall time.Duration // without progress until the server is asked, and between two questions
	grace time.Duration // for an answer that is on its way when the server says that it has finished
}

// silenceDetector decides whether a connection with a request outstanding is silent. Time is since the pool's
// origin.
//
// Invariants:
//   - A connection is silent only if nothing has passed it since before the server was asked, and
//     the server said that it executes nothing for it.
//   - A failed question proves nothing: the health checks judge a server that can't be reached.
type silenceDetector struct {
	limits       silenceLimits
	lastProgress progress
	queryAt      time.Duration
	closeAt      time.Duration // 0 unless the server has said that it executes nothing
}

// observe takes a look at the connection.
func (w *silenceDetector) observe(now time.Duration, s sample) verdict {
	if !s.waiting || s.progress != w.lastProgress {
		w.lastProgress, w.closeAt = s.progress, 0
		w.queryAt = now + w.limits.stall
		return verdictWait
	}
	switch {
	case w.closeAt > 0 && now >= w.closeAt:
		return verdictSilent
	case w.closeAt == 0 && now >= w.queryAt:
		return verdictQueryServer
	}
	return verdictWait
}

// serverReplied takes the answer to a question that was asked when asked had passed.
func (w *silenceDetector) serverReplied(now time.Duration, asked progress, executing bool) {
	if w.lastProgress != asked {
		return
	}
	if executing {
		w.queryAt = now + w.limits.stall
		return
	}
	w.closeAt = now + w.limits.grace
}
