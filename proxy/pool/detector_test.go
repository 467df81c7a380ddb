package pool

import (
	"testing"
	"time"
)

// observation is a sample and the verdict that it must lead to.
type observation struct {
	at      time.Duration
	sample  sample
	verdict verdict
}

func waitingSample(requestsSent, bytesReceived uint64, unackedBytes int) sample {
	return sample{progress: progress{requestsSent: requestsSent, bytesReceived: bytesReceived, unackedBytes: unackedBytes}, waiting: true}
}

// Guards against closing a connection that makes progress or whose statement runs, and against keeping
// one that is silent in either direction.
func TestSilenceDetector(t *testing.T) {
	const s = time.Second
	limits := silenceLimits{stall: 2 * s, grace: s}
	stalled := waitingSample(1, 100, 0)
	for name, test := range map[string]struct {
		executing   bool
		beforeReply []observation // up to the query
		afterReply  []observation // from the reply on, which arrives at the time of the first
	}{
		"silent": {
			beforeReply: []observation{{0, stalled, verdictWait}, {2*s - 1, stalled, verdictWait}, {2 * s, stalled, verdictQueryServer}},
			afterReply:  []observation{{2 * s, stalled, verdictWait}, {3*s - 1, stalled, verdictWait}, {3 * s, stalled, verdictSilent}},
		},
		"executing": {
			executing:   true,
			beforeReply: []observation{{0, stalled, verdictWait}, {2 * s, stalled, verdictQueryServer}},
			afterReply:  []observation{{2 * s, stalled, verdictWait}, {4*s - 1, stalled, verdictWait}, {4 * s, stalled, verdictQueryServer}},
		},
		"bytes come within the grace": {
			beforeReply: []observation{{0, stalled, verdictWait}, {2 * s, stalled, verdictQueryServer}},
			afterReply:  []observation{{2 * s, stalled, verdictWait}, {2 * s, waitingSample(1, 101, 0), verdictWait}, {4*s - 1, waitingSample(1, 101, 0), verdictWait}, {4 * s, waitingSample(1, 101, 0), verdictQueryServer}},
		},
		"answered within the grace": {
			beforeReply: []observation{{0, stalled, verdictWait}, {2 * s, stalled, verdictQueryServer}},
			afterReply:  []observation{{2 * s, sample{progress: progress{requestsSent: 1, bytesReceived: 120}}, verdictWait}, {9 * s, sample{progress: progress{requestsSent: 1, bytesReceived: 120}}, verdictWait}},
		},
		"next statement before the reply to the query": {
			beforeReply: []observation{{0, stalled, verdictWait}, {2 * s, stalled, verdictQueryServer}, {2 * s, waitingSample(2, 100, 0), verdictWait}},
			afterReply:  []observation{{3 * s, waitingSample(2, 100, 0), verdictWait}, {4*s - 1, waitingSample(2, 100, 0), verdictWait}, {4 * s, waitingSample(2, 100, 0), verdictQueryServer}},
		},
		"statement in transit": {
			beforeReply: []observation{{0, waitingSample(1, 100, 900), verdictWait}, {2 * s, waitingSample(1, 100, 500), verdictWait}, {4 * s, waitingSample(1, 100, 500), verdictQueryServer}},
			afterReply:  []observation{{4 * s, waitingSample(1, 100, 400), verdictWait}, {5 * s, waitingSample(1, 100, 400), verdictWait}},
		},
		"no read is waiting": {
			beforeReply: []observation{{0, stalled, verdictWait}, {s, sample{progress: stalled.progress}, verdictWait}, {2 * s, stalled, verdictWait}, {3 * s, stalled, verdictQueryServer}},
			afterReply:  []observation{{3 * s, sample{progress: stalled.progress}, verdictWait}, {5*s - 1, stalled, verdictWait}, {5 * s, stalled, verdictQueryServer}},
		},
	} {
		d := &silenceDetector{limits: limits}
		var atQuery progress
		observe := func(o observation) {
			got := d.observe(o.at, o.sample)
			if got != o.verdict {
				t.Errorf("%s, at %s: verdict %d, want %d", name, o.at, got, o.verdict)
			}
			if got == verdictQueryServer {
				atQuery = d.lastProgress
			}
		}
		for _, o := range test.beforeReply {
			observe(o)
		}
		d.serverReplied(test.afterReply[0].at, atQuery, test.executing)
		for _, o := range test.afterReply {
			observe(o)
		}
	}
}
