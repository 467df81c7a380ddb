package openload

import (
	"slices"
	"testing"
	"time"
)

// Guards against a gap that is truncated at the end of a second, or that is missed at the start or end of the run.
func TestWriteGaps(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		writes  []time.Duration
		seconds int
		want    []time.Duration
	}{
		{"no write", nil, 2, []time.Duration{1000 * ms, 2000 * ms}},
		{"a gap over three seconds", []time.Duration{500 * ms, 2600 * ms}, 3, []time.Duration{500 * ms, 1500 * ms, 2100 * ms}},
		{"unsorted", []time.Duration{900 * ms, 300 * ms}, 1, []time.Duration{600 * ms}},
	} {
		if got := writeGaps(c.writes, c.seconds); !slices.Equal(got, c.want) {
			t.Errorf("%s: gaps %v, want %v", c.name, got, c.want)
		}
	}
}
