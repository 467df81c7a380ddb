package openload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
)

// Counts holds the number of operations by result.
type Counts struct {
	Due        int `json:"due"`
	InTime     int `json:"in_time"`
	Late       int `json:"late"` // served after the latency target
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
	NotOffered int `json:"not_offered"` // not sent because too many were in flight
	Retries    int `json:"retries"`
}

// Latency holds latency quantiles of served operations in milliseconds, measured from the time at which they were due.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// KindResult holds the measurements of one kind of operation.
type KindResult struct {
	Kind string `json:"kind"`
	Counts
	Latency
	Failures map[string]int `json:"failures"` // operations that were not served, by the outcome of the last reply
}

// Second holds the measurements of the operations that were due in one second of the run.
type Second struct {
	Counts
	Latency
	// WriteGap is the longest gap in acknowledged writes of any one database that overlaps this second.
	WriteGap float64 `json:"write_gap_ms"`
}

// Result holds the measurements of a run.
type Result struct {
	Sheet    string       `json:"sheet"`
	Seconds  float64      `json:"seconds"`
	Kinds    []KindResult `json:"kinds"`
	Series   []Second     `json:"series"`
	WriteGap float64      `json:"longest_write_gap_ms"` // of the database with the longest gap
}

// tally accumulates the results of a kind or of a second.
type tally struct {
	counts    Counts
	latencies *hdrhistogram.Histogram // microseconds
	failures  map[string]int
}

func newTally() *tally {
	return &tally{latencies: load.NewHistogram(), failures: map[string]int{}}
}

func (t *tally) add(k Kind, latency time.Duration, r result) {
	t.counts.Due++
	t.counts.Retries += r.attempts - 1
	switch {
	case r.outcome == served && latency <= k.LatencyTarget:
		t.counts.InTime++
	case r.outcome == served:
		t.counts.Late++
	case r.outcome == refused:
		t.counts.Refused++
	default:
		t.counts.Unknown++
	}
	if r.outcome != served {
		t.failures[r.failure]++
		return
	}
	_ = t.latencies.RecordValue(min(latency.Microseconds(), t.latencies.HighestTrackableValue())) // cannot fail: the value is in range
}

func (t *tally) latency() Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		P50: ms(t.latencies.ValueAtQuantile(50)),
		P99: ms(t.latencies.ValueAtQuantile(99)),
		Max: ms(t.latencies.Max()),
	}
}

// recorder collects the results of operations. It is safe for concurrent use.
type recorder struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	kinds   map[string]*tally
	seconds []*tally
	writes  map[string][]time.Duration // times of acknowledged writes since the start, by database
}

func newRecorder(c Config) *recorder {
	r := &recorder{cfg: c, start: time.Now(), kinds: map[string]*tally{}, writes: map[string][]time.Duration{}}
	for _, k := range c.Sheet.Kinds {
		r.kinds[k.Name] = newTally()
	}
	for range int((c.Duration + time.Second - 1) / time.Second) {
		r.seconds = append(r.seconds, newTally())
	}
	return r
}

// tallyOf returns the tally of the second in which an operation was due.
func (r *recorder) tallyOf(due time.Time) *tally {
	n := int(due.Sub(r.start) / time.Second)
	return r.seconds[min(max(n, 0), len(r.seconds)-1)]
}

func (r *recorder) recordFinished(o *operation, res result) {
	k, due, now := o.kind, o.due, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[k.Name].add(k, now.Sub(due), res)
	r.tallyOf(due).add(k, now.Sub(due), res)
	if res.outcome == served && res.wrote {
		r.writes[o.database] = append(r.writes[o.database], now.Sub(r.start))
	}
}

func (r *recorder) recordNotOffered(kind string, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range []*tally{r.kinds[kind], r.tallyOf(due)} {
		t.counts.Due++
		t.counts.NotOffered++
	}
}

func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{Sheet: r.cfg.Sheet.Name, Seconds: r.cfg.Duration.Seconds()}
	for _, k := range r.cfg.Sheet.Kinds {
		t := r.kinds[k.Name]
		out.Kinds = append(out.Kinds, KindResult{Kind: k.Name, Counts: t.counts, Latency: t.latency(), Failures: t.failures})
	}
	for _, t := range r.seconds {
		out.Series = append(out.Series, Second{Counts: t.counts, Latency: t.latency()})
	}
	for _, database := range r.cfg.Databases {
		for i, gap := range writeGaps(r.writes[database], len(r.seconds)) {
			s := &out.Series[i]
			s.WriteGap = max(s.WriteGap, float64(gap.Milliseconds()))
			out.WriteGap = max(out.WriteGap, s.WriteGap)
		}
	}
	return out
}
