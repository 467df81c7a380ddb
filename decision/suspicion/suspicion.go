// Package suspicion keeps a list of peers that failed to answer recently and are skipped until their entries
// expire.
//
// Load: a few failed calls a second, of hundreds. Expired entries are removed when others are added, so a
// long-running process holds only the entries of about the last ttl.
package suspicion

import (
	"maps"
	"time"
)

// List is a set of suspects with expiry times. The zero value is empty. It is not safe for concurrent use.
type List[K comparable] struct {
	expiry map[K]time.Duration
}

// Add adds key as a suspect until ttl has passed from now.
func (l *List[K]) Add(now time.Duration, key K, ttl time.Duration) {
	if l.expiry == nil {
		l.expiry = map[K]time.Duration{}
	}
	maps.DeleteFunc(l.expiry, func(_ K, expiry time.Duration) bool { return expiry <= now })
	l.expiry[key] = now + ttl
}

// Contains reports whether key is suspected at now.
func (l *List[K]) Contains(now time.Duration, key K) bool {
	return now < l.expiry[key]
}

// Len returns the number of entries, some of which may have expired.
func (l *List[K]) Len() int {
	return len(l.expiry)
}

// Any reports whether any key is suspected at now.
func (l *List[K]) Any(now time.Duration) bool {
	for _, expiry := range l.expiry {
		if now < expiry {
			return true
		}
	}
	return false
}
