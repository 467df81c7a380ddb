// Package suspicion remembers who did not answer lately and is passed over for a while.
//
// Load: a few calls a second that fail, of hundreds; entries that have ended are dropped as others are added, so that
// a long run holds only those of the last term.
package suspicion

import (
	"maps"
	"time"
)

// List holds suspects until a time. The zero value is empty. It is not safe for concurrent use.
type List[K comparable] struct {
	expiry map[K]time.Duration
}

// Add suspects who for a term from now.
func (l *List[K]) Add(now time.Duration, who K, term time.Duration) {
	if l.expiry == nil {
		l.expiry = map[K]time.Duration{}
	}
	maps.DeleteFunc(l.expiry, func(_ K, until time.Duration) bool { return until <= now })
	l.expiry[who] = now + term
}

// Contains reports whether who is suspected.
func (l *List[K]) Contains(now time.Duration, who K) bool {
	return now < l.expiry[who]
}

// Len returns the number of entries, some of which may have ended.
func (l *List[K]) Len() int {
	return len(l.expiry)
}
