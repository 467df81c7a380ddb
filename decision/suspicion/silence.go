package suspicion

import (
	"maps"
	"time"
)

const (
	// SilenceTerm is how long a peer may answer nothing, while a call to it is open, until it is asked for a sign of life. A
	// server's statement and the round trip between regions take less than half of it on a usual day.
	SilenceTerm = 200 * time.Millisecond
	// silenceMemory is how long an answer is remembered.
	silenceMemory = time.Minute
)

// Silence tells a peer that is slow to answer one call from a peer that answers nothing. A call may rightly be open for long,
// because it waits in the peer's queue; a lost peer is noticed by asking it something that takes no time. The zero value has
// heard from nobody. It is not safe for concurrent use.
//
// Load: a few hundred calls a second to 24 peers, one of which is cut off from one moment to the next or overloaded. A peer that
// answers any call is not asked, so an overloaded one gets no further work.
type Silence[K comparable] struct {
	heard  map[K]time.Duration
	asking map[K]bool
}

// Heard records an answer of a peer.
func (s *Silence[K]) Heard(now time.Duration, peer K) {
	if s.heard == nil {
		s.heard = map[K]time.Duration{}
	}
	s.heard[peer] = now
}

// MustAsk reports whether a peer, to which a call has been open for SilenceTerm, is to be asked for a sign of life. It is not
// while it is being asked. The caller reports the end with Asked.
func (s *Silence[K]) MustAsk(now time.Duration, peer K) bool {
	maps.DeleteFunc(s.heard, func(_ K, at time.Duration) bool { return now-at > silenceMemory })
	at, heard := s.heard[peer]
	if heard && now-at < SilenceTerm || s.asking[peer] {
		return false
	}
	if s.asking == nil {
		s.asking = map[K]bool{}
	}
	s.asking[peer] = true
	return true
}

// Asked records whether a peer has answered the question after MustAsk.
func (s *Silence[K]) Asked(now time.Duration, peer K, answered bool) {
	delete(s.asking, peer)
	if answered {
		s.Heard(now, peer)
	}
}
