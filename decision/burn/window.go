package burn

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Window is one of the sliding windows, which end at the time of the report.
type Window int

// The windows of a report. The error budget covers ThirtyDays.
const (
	FiveMinutes Window = iota
	OneHour
	SixHours
	ThirtyDays
	windowCount
)

var (
	windowNames   = [windowCount]string{"5m", "1h", "6h", "30d"}
	windowLengths = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 30 * 24 * time.Hour}
)

// String returns the name of the window in reports and metrics.
func (w Window) String() string {
	return windowNames[w]
}

// Length returns the window's length.
func (w Window) Length() time.Duration {
	return windowLengths[w]
}

// MarshalText implements encoding.TextMarshaler.
func (w Window) MarshalText() ([]byte, error) {
	return []byte(w.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (w *Window) UnmarshalText(text []byte) error {
	for i, name := range windowNames {
		if name == string(text) {
			*w = Window(i)
			return nil
		}
	}
	return errors.Newf("unknown window %q; use one of %v", text, windowNames)
}

// bucketsPerWindow is the resolution of a window: at any time it misses less than 1/30 of its length.
const bucketsPerWindow = 30

// ring counts the events of one window in a ring buffer of buckets.
type ring [bucketsPerWindow]bucket

type bucket struct {
	index  int64 // bucketIndex of the counted events; 0 if unused
	counts Counts
}

// bucketIndex returns the index of the bucket of w that now falls into, counted from the origin and
// starting at 1.
func (w Window) bucketIndex(now time.Duration) int64 {
	return int64(now/(w.Length()/bucketsPerWindow)) + 1
}

func (r *ring) record(index int64, class Class) {
	b := &r[index%bucketsPerWindow]
	if b.index < index {
		*b = bucket{index: index}
	}
	*b.counts.field(class)++
}

func (r *ring) sum(index int64) Counts {
	var total Counts
	for i := range r {
		if r[i].index > index-bucketsPerWindow {
			total.add(r[i].counts)
		}
	}
	return total
}
