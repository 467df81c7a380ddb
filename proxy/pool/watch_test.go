package pool

import (
	"testing"
	"time"
)

// look is one step of a watch.
type look struct {
	at      time.Duration
	sample  sample
	verdict verdict
}

func waiting(asked, received uint64, queued int) sample {
	return sample{progress: progress{asked: asked, received: received, queued: queued}, waiting: true}
}

// Guards against closing a connection that makes progress or whose statement runs, and against
// keeping one that is silent in either direction.
func TestWatch(t *testing.T) {
	const s = time.Second
	limits := watchLimits{quiet: 2 * s, grace: s}
	quiet := waiting(1, 100, 0)
	for name, c := range map[string]struct {
		executing bool
		before    []look // up to the question
		after     []look // from its answer, at the time of the first
	}{
		"silent": {
			before: []look{{0, quiet, verdictWait}, {2*s - 1, quiet, verdictWait}, {2 * s, quiet, verdictAsk}},
			after:  []look{{2 * s, quiet, verdictWait}, {3*s - 1, quiet, verdictWait}, {3 * s, quiet, verdictSilent}},
		},
		"executing": {
			executing: true,
			before:    []look{{0, quiet, verdictWait}, {2 * s, quiet, verdictAsk}},
			after:     []look{{2 * s, quiet, verdictWait}, {4*s - 1, quiet, verdictWait}, {4 * s, quiet, verdictAsk}},
		},
		"bytes come within the grace": {
			before: []look{{0, quiet, verdictWait}, {2 * s, quiet, verdictAsk}},
			after:  []look{{2 * s, quiet, verdictWait}, {2 * s, waiting(1, 101, 0), verdictWait}, {4*s - 1, waiting(1, 101, 0), verdictWait}, {4 * s, waiting(1, 101, 0), verdictAsk}},
		},
		"answered within the grace": {
			before: []look{{0, quiet, verdictWait}, {2 * s, quiet, verdictAsk}},
			after:  []look{{2 * s, sample{progress: progress{asked: 1, received: 120}}, verdictWait}, {9 * s, sample{progress: progress{asked: 1, received: 120}}, verdictWait}},
		},
		"next statement before the answer to the question": {
			before: []look{{0, quiet, verdictWait}, {2 * s, quiet, verdictAsk}, {2 * s, waiting(2, 100, 0), verdictWait}},
			after:  []look{{3 * s, waiting(2, 100, 0), verdictWait}, {4*s - 1, waiting(2, 100, 0), verdictWait}, {4 * s, waiting(2, 100, 0), verdictAsk}},
		},
		"statement on its way": {
			before: []look{{0, waiting(1, 100, 900), verdictWait}, {2 * s, waiting(1, 100, 500), verdictWait}, {4 * s, waiting(1, 100, 500), verdictAsk}},
			after:  []look{{4 * s, waiting(1, 100, 400), verdictWait}, {5 * s, waiting(1, 100, 400), verdictWait}},
		},
		"no read waits": {
			before: []look{{0, quiet, verdictWait}, {s, sample{progress: quiet.progress}, verdictWait}, {2 * s, quiet, verdictWait}, {3 * s, quiet, verdictAsk}},
			after:  []look{{3 * s, sample{progress: quiet.progress}, verdictWait}, {5*s - 1, quiet, verdictWait}, {5 * s, quiet, verdictAsk}},
		},
	} {
		w := &watch{limits: limits}
		var asked progress
		take := func(l look) {
			got := w.step(l.at, l.sample)
			if got != l.verdict {
				t.Errorf("%s, at %s: verdict %d, want %d", name, l.at, got, l.verdict)
			}
			if got == verdictAsk {
				asked = w.seen
			}
		}
		for _, l := range c.before {
			take(l)
		}
		w.told(c.after[0].at, asked, c.executing)
		for _, l := range c.after {
			take(l)
		}
	}
}
