package burn

import (
	"cmp"
	"slices"
	"time"
)

// DefaultMaxSeries bounds a tracker to 2 MB: one series has 4 windows of 30 buckets of 56 bytes.
// Including the metrics exported for the series it is about 6 MB of the 32 MB available to the
// control functions.
const DefaultMaxSeries = 300

// Other is the account and route of the series that counts events beyond the maximum number of series.
const Other = "(other)"

// Key identifies a series.
type Key struct {
	Account string `json:"account"` // empty on open routes
	Route   string `json:"route"`
}

// Tracker counts events per account and route. It is not safe for concurrent use.
type Tracker struct {
	maxSeries int
	series    map[Key]*[windowCount]ring
}

// NewTracker returns a tracker of at most maxSeries series, plus the series named Other.
func NewTracker(maxSeries int) *Tracker {
	return &Tracker{maxSeries: maxSeries, series: make(map[Key]*[windowCount]ring)}
}

// Record counts one event and returns the key of the series that it was counted in. now is the time
// since a fixed origin and must not decrease.
func (t *Tracker) Record(now time.Duration, k Key, class Class) Key {
	k, rings := t.ringsFor(k)
	for w := range windowCount {
		rings[w].record(w.bucketIndex(now), class)
	}
	return k
}

func (t *Tracker) ringsFor(k Key) (Key, *[windowCount]ring) {
	if rings, ok := t.series[k]; ok {
		return k, rings
	}
	if len(t.series) >= t.maxSeries {
		k = Key{Other, Other}
	}
	if t.series[k] == nil {
		t.series[k] = new([windowCount]ring)
	}
	return k, t.series[k]
}

// Report returns the report as of now, sorted by account and route.
func (t *Tracker) Report(now time.Duration, o Objective) Report {
	r := Report{Objective: o, Series: []Series{}}
	for k, rings := range t.series {
		var counts [windowCount]Counts
		for w := range windowCount {
			counts[w] = rings[w].sum(w.bucketIndex(now))
		}
		r.Series = append(r.Series, newSeries(k, counts, o))
	}
	r.sort()
	return r
}

func (r *Report) sort() {
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route))
	})
}
