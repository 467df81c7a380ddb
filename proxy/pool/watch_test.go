package pool

import (
	"testing"
	"time"
)

// observation is one step of a watch.
type observation struct {
	at      time.Duration
	sample  sample
	verdict verdict
}

func waitingSample(asked, received uint64, queued int) sample {
	return sample{progress: progress{requestsSent: asked, bytesReceived: received, unackedBytes: queued}, waiting: true}
}

// Guards against closing a connection that makes progress or whose statement runs, and against
// keeping one that is silent in either direction.
func TestSilenceDetector(t *testing.T) {
	const s = time.Second
	limits := silenceLimits{stall: 2 * s, grace: s}
	quiet := waitingSample(1, 100, 0)
	for name, c := range map[string]struct {
		executing bool
		before    []observation // up to the question
		after     []observation // from its answer, at the time of the first
	}{
		"silent": {
			before: []observation{{0, quiet, verdictWait}, {2*s - 1, quiet, verdictWait}, {2 * s, quiet, verdictQueryServer}},
			after:  []observation{{2 * s, quiet, verdictWait}, {3*s - 1, quiet, verdictWait}, {3 * s, quiet, verdictSilent}},
		},
		"executing": {
			executing: true,
			before:    []observation{{0, quiet, verdictWait}, {2 * s, quiet, verdictQueryServer}},
			after:     []observation{{2 * s, quiet, verdictWait}, {4*s - 1, quiet, verdictWait}, {4 * s, quiet, verdictQueryServer}},
		},
		"bytes come within the grace": {
			before: []observation{{0, quiet, verdictWait}, {2 * s, quiet, verdictQueryServer}},
			after:  []observation{{2 * s, quiet, verdictWait}, {2 * s, waitingSample(1, 101, 0), verdictWait}, {4*s - 1, waitingSample(1, 101, 0), verdictWait}, {4 * s, waitingSample(1, 101, 0), verdictQueryServer}},
		},
		"answered within the grace": {
			before: []observation{{0, quiet, verdictWait}, {2 * s, quiet, verdictQueryServer}},
			after:  []observation{{2 * s, sample{progress: progress{requestsSent: 1, bytesReceived: 120}}, verdictWait}, {9 * s, sample{progress: progress{requestsSent: 1, bytesReceived: 120}}, verdictWait}},
		},
		"next statement before the answer to the question": {
			before: []observation{{0, quiet, verdictWait}, {2 * s, quiet, verdictQueryServer}, {2 * s, waitingSample(2, 100, 0), verdictWait}},
			after:  []observation{{3 * s, waitingSample(2, 100, 0), verdictWait}, {4*s - 1, waitingSample(2, 100, 0), verdictWait}, {4 * s, waitingSample(2, 100, 0), verdictQueryServer}},
		},
		"statement on its way": {
			before: []observation{{0, waitingSample(1, 100, 900), verdictWait}, {2 * s, waitingSample(1, 100, 500), verdictWait}, {4 * s, waitingSample(1, 100, 500), verdictQueryServer}},
			after:  []observation{{4 * s, waitingSample(1, 100, 400), verdictWait}, {5 * s, waitingSample(1, 100, 400), verdictWait}},
		},
		"no read waits": {
			before: []observation{{0, quiet, verdictWait}, {s, sample{progress: quiet.progress}, verdictWait}, {2 * s, quiet, verdictWait}, {3 * s, quiet, verdictQueryServer}},
			after:  []observation{{3 * s, sample{progress: quiet.progress}, verdictWait}, {5*s - 1, quiet, verdictWait}, {5 * s, quiet, verdictQueryServer}},
		},
	} {
		w := &silenceDetector{limits: limits}
		var asked progress
		take := func(l observation) {
			got := w.observe(l.at, l.sample)
			if got != l.verdict {
				t.Errorf("%s, at %s: verdict %d, want %d", name, l.at, got, l.verdict)
			}
			if got == verdictQueryServer {
				asked = w.lastProgress
			}
		}
		for _, l := range c.before {
			take(l)
		}
		w.serverReplied(c.after[0].at, asked, c.executing)
		for _, l := range c.after {
			take(l)
		}
	}
}
