package pool

import "time"

// progress is the traffic on a connection so far. A change of any field shows that the path works.
type progress struct {
	requestsSent  uint64
	bytesReceived uint64
	unackedBytes  int // bytes in the TCP send queue that the server has not acknowledged
}

// sample is the state of a connection at one time.
type sample struct {
	progress
	waiting bool // a response is incomplete, and a read is waiting for bytes
}

// verdict is the action that a silenceDetector requests.
type verdict int

const (
	verdictWait        verdict = iota
	verdictQueryServer         // ask the server whether it executes a statement for the connection
	verdictSilent              // close the connection
)

// silenceLimits are the timeouts of a silenceDetector.
type silenceLimits struct {
	stall time.Duration // without progress before the server is queried, and between two queries
	grace time.Duration // for a response that is in transit when the server reports that it executes nothing
}

// silenceDetector decides whether a connection with an outstanding request is silent. Times are relative
// to the pool's origin.
//
// Invariants:
//   - A connection is silent only if it has made no progress since before the server was queried, and
//     the server has reported that it executes nothing for it.
//   - A failed query proves nothing: an unreachable server is left to the health checks.
type silenceDetector struct {
	limits       silenceLimits
	lastProgress progress
	queryAt      time.Duration
	closeAt      time.Duration // 0 unless the server has reported that it executes nothing
}

// observe evaluates a sample of the connection.
func (d *silenceDetector) observe(now time.Duration, s sample) verdict {
	if !s.waiting || s.progress != d.lastProgress {
		d.lastProgress, d.closeAt = s.progress, 0
		d.queryAt = now + d.limits.stall
		return verdictWait
	}
	switch {
	case d.closeAt > 0 && now >= d.closeAt:
		return verdictSilent
	case d.closeAt == 0 && now >= d.queryAt:
		return verdictQueryServer
	}
	return verdictWait
}

// serverReplied handles the reply to a query that was sent at progress atQuery.
func (d *silenceDetector) serverReplied(now time.Duration, atQuery progress, executing bool) {
	if d.lastProgress != atQuery {
		return
	}
	if executing {
		d.queryAt = now + d.limits.stall
		return
	}
	d.closeAt = now + d.limits.grace
}
