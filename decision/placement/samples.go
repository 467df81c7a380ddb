package placement

import (
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

const (
	// sampleSpacing is the minimum time between samples; closer ones would not lower a floor noticeably.
	sampleSpacing = 50 * time.Millisecond
	// sampleCount samples cover staleness bounds of up to 3.2 s; for longer bounds the floor is higher than
	// necessary.
	sampleCount = 64
	// SampleAllowance is subtracted from a staleness bound to allow for the time between the choice of a
	// floor and the execution of the read, pauses of the machine included.
	SampleAllowance = 500 * time.Millisecond
)

// sample is a log position of a proven leader.
type sample struct {
	sent     time.Duration // when the request that the leader answered was sent
	position position.Position
}

// Samples holds recent log positions of the leader of one database. The zero value is empty.
type Samples struct {
	entries []sample // oldest first
}

// Add records a leader's log position, taken from its answer to a request sent at the given time.
func (s *Samples) Add(sent time.Duration, p position.Position) {
	if p.IsZero() {
		return
	}
	n := len(s.entries)
	if n > 0 && p.Term < s.entries[n-1].position.Term {
		return // delayed answer of a former leader
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

// Latest returns the newest position and when the request for it was sent. ok is false if there is none.
func (s *Samples) Latest() (sent time.Duration, p position.Position, ok bool) {
	if len(s.entries) == 0 {
		return 0, position.Position{}, false
	}
	last := s.entries[len(s.entries)-1]
	return last.sent, last.position, true
}

// Floor returns the lowest known position that covers every commit acknowledged longer than staleness
// ago. ok is false if no sample is recent enough.
func (s *Samples) Floor(now, staleness time.Duration) (p position.Position, ok bool) {
	oldest := now - (staleness - SampleAllowance)
	for _, each := range s.entries {
		if each.sent >= oldest {
			return each.position, true
		}
	}
	return position.Position{}, false
}
