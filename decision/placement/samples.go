package placement

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

const (
	// sampleSpacing thins out samples; closer ones would not lower a floor noticeably.
	sampleSpacing = 50 * time.Millisecond
	// sampleCount covers staleness bounds of up to 3.2 s; for longer ones the floor is higher than needed.
	sampleCount = 64
	// SampleAllowance is taken off a staleness bound for the way from the choice of a floor to the
	// execution of the read, and for a machine that stands still meanwhile.
	SampleAllowance = 500 * time.Millisecond
)

// sample is a position of a proven leader's log.
type sample struct {
	sent     time.Duration // when the request was sent that the leader answered
	position position.Position
}

// Samples are the latest positions of the leaders of one database. The zero value is empty.
type Samples struct {
	entries []sample // oldest first
}

// Add takes the position of a leader's log from its answer to a request that was sent at the given time.
func (s *Samples) Add(sent time.Duration, p position.Position) {
	if p.IsZero() {
		return
	}
	n := len(s.entries)
	if n > 0 && p.Term < s.entries[n-1].position.Term {
		return // a late answer of an earlier leader
	}
	if n > 0 && p.Term == s.entries[n-1].position.Term && sent < s.entries[n-1].sent+sampleSpacing {
		return
	}
	if n > 0 && p.Term > s.entries[n-1].position.Term {
		s.entries = s.entries[:0]
	}
	if len(s.entries) == sampleCount {
		s.entries = append(s.entries[:0], s.entries[1:]...)
	}
	s.entries = append(s.entries, sample{sent, p})
}

// Floor returns the lowest known position that covers every commit acknowledged longer than staleness
// ago. ok is false when no sample is recent enough.
func (s *Samples) Floor(now, staleness time.Duration) (p position.Position, ok bool) {
	oldest := now - (staleness - SampleAllowance)
	for _, each := range s.entries {
		if each.sent >= oldest {
			return each.position, true
		}
	}
	return position.Position{}, false
}
