// Package roster decides which entries of instances are taken off the list of instances: those of machines that were
// removed for good. Nothing else removes them, and surveys, shares and heartbeats count with every entry.
//
// Load: a list of some thousand entries every few seconds, of which a few are lost.
//
// Invariants:
//
//   - An entry is removed only after its instance has not answered this one for RemovalDelay, without a renewal of the
//     entry. An instance that was cut off for longer enters itself again.
//   - At most one entry is removed in removalInterval, so that an instance which is cut off from all others, but not from the
//     store, does little harm.
package roster

import "time"

const (
	// RemovalDelay is longer than a machine is away for a restart, a repair of its network or a freeze.
	RemovalDelay = 10 * time.Minute
	// removalInterval is the time between two removals.
	removalInterval = 30 * time.Second
)

// Entry is an instance's entry on the list.
type Entry struct {
	Name        string
	Revision    uint64 // changes when the instance enters itself again
	Unreachable bool   // the instance does not answer
}

// registration names one entering of an instance.
type registration struct {
	name     string
	revision uint64
}

// Roster decides on the entries of a list. The zero value knows none. It is not safe for concurrent use.
type Roster struct {
	unreachableSince map[registration]time.Duration
	hasRemoved       bool
	lastRemoval      time.Duration
}

// Step takes the entries of the other instances and returns the one to remove, or false. All instances observe the list;
// the one that is chosen removes entries.
func (r *Roster) Step(now time.Duration, entries []Entry, chosen bool) (Entry, bool) {
	r.observe(now, entries)
	if !chosen || r.hasRemoved && now-r.lastRemoval < removalInterval {
		return Entry{}, false
	}
	for _, e := range entries {
		since, lost := r.unreachableSince[registration{e.Name, e.Revision}]
		if lost && now-since >= RemovalDelay {
			r.hasRemoved, r.lastRemoval = true, now
			return e, true
		}
	}
	return Entry{}, false
}

// observe keeps since when each entry's instance has been lost.
func (r *Roster) observe(now time.Duration, entries []Entry) {
	lost := map[registration]time.Duration{}
	for _, e := range entries {
		if e.Unreachable {
			lost[registration{e.Name, e.Revision}] = now
		}
	}
	for key := range lost {
		if since, known := r.unreachableSince[key]; known {
			lost[key] = since
		}
	}
	r.unreachableSince = lost
}
