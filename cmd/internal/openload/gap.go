package openload

import (
	"slices"
	"time"
)

// writeGaps returns, for each second of a run, the longest gap between acknowledged writes that overlaps it, measured up
// to the end of that second. The start of the run counts as a write.
func writeGaps(writes []time.Duration, seconds int) []time.Duration {
	writes = slices.Sorted(slices.Values(writes))
	out := make([]time.Duration, seconds)
	last := time.Duration(0)
	next := 0
	for i := range out {
		end := time.Duration(i+1) * time.Second
		for next < len(writes) && writes[next] < end {
			out[i] = max(out[i], writes[next]-last)
			last = writes[next]
			next++
		}
		out[i] = max(out[i], end-last)
	}
	return out
}
