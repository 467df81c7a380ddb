// Package roster decides which entries to remove from the list of instances: those of machines that were permanently
// removed. Nothing else removes them, and failover surveys, quota shares and heartbeats include every entry.
//
// Load: a list of a few thousand entries every few seconds, of which a few are unreachable.
//
// Invariants:
//
//   - An entry is marked after its instance has not answered this one for RemovalDelay, and removed once it has been marked for
//     MarkTerm, unless the instance has registered again meanwhile. One that reaches the store sees the mark and does.
//   - At most one entry is removed per removalInterval, so that an instance that is isolated from all others, but not from
//     the store, does little damage.
package roster

import "time"

const (
	// RemovalDelay is longer than the time for which a restart, a network repair or a freeze makes a machine unreachable.
	RemovalDelay = 10 * time.Minute
	// MarkTerm is longer than the time for which an instance relies on the list that it read last, see package leaderlease.
	MarkTerm = 20 * time.Second
	// removalInterval is the minimum time between two removals.
	removalInterval = 30 * time.Second
)

// Entry is the entry of an instance in the list.
type Entry struct {
	Name        string
	Revision    uint64 // changes when the instance registers again
	Unreachable bool   // the instance does not answer
	Marked      bool   // it is to be removed
}

// registration identifies one registration of an instance.
type registration struct {
	name     string
	revision uint64
}

// Roster decides which entries of a list to mark and to remove. The zero value is ready to use. It is not safe for concurrent use.
type Roster struct {
	unreachableSince map[registration]time.Duration
	hasRemoved       bool
	lastRemoval      time.Duration
}

// Step takes the current entries of the other instances and returns the entry to mark, or to remove if it is marked, or false if there
// is none. All instances track the list; only those called with mayRemove change it.
func (r *Roster) Step(now time.Duration, entries []Entry, mayRemove bool) (Entry, bool) {
	r.observe(now, entries)
	if !mayRemove {
		return Entry{}, false
	}
	for _, e := range entries {
		since, unreachable := r.unreachableSince[registration{e.Name, e.Revision}]
		switch {
		case !unreachable:
		case !e.Marked && now-since >= RemovalDelay:
			return e, true
		case e.Marked && now-since >= MarkTerm && !(r.hasRemoved && now-r.lastRemoval < removalInterval):
			r.hasRemoved, r.lastRemoval = true, now
			return e, true
		}
	}
	return Entry{}, false
}

// observe records since when the instance of each entry has been unreachable.
func (r *Roster) observe(now time.Duration, entries []Entry) {
	unreachableSince := map[registration]time.Duration{}
	for _, e := range entries {
		if e.Unreachable {
			unreachableSince[registration{e.Name, e.Revision}] = now
		}
	}
	for key := range unreachableSince {
		if since, known := r.unreachableSince[key]; known {
			unreachableSince[key] = since
		}
	}
	r.unreachableSince = unreachableSince
}
