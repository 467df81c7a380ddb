package burn

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Window is a sliding window that ends now.
type Window int

// The windows of a report. The budget is that of ThirtyDays.
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

// String names the window as reports and metrics show it.
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

// bucketsPerWindow of each window: a window read at any time lacks less than 1/30 of its length.
const bucketsPerWindow = 30

// ring counts the events of one window.
type ring [bucketsPerWindow]bucket

type bucket struct {
	index  int64 // of the bucket's time span since the origin, plus 1; 0 if unused
	counts Counts
}

// bucketIndex returns the number of the span of w that now falls into.
func (w Window) bucketIndex(now time.Duration) int64 {
	return int64(now/(w.Length()/bucketsPerWindow)) + 1
}

func (r *ring) record(number int64, class Class) {
	b := &r[number%bucketsPerWindow]
	if b.index < number {
		*b = bucket{index: number}
	}
	*b.counts.field(class)++
}

func (r *ring) sum(number int64) Counts {
	var total Counts
	for i := range r {
		if r[i].index > number-bucketsPerWindow {
			total.add(r[i].counts)
		}
	}
	return total
}
