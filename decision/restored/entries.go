// Package restored decides which entries of writers such as servers an instance goes on with after the store came back from
// a copy.
//
// The copy is some seconds old, and each writer repeats what it wrote since. Until it has, the copy can list an entry in an
// earlier state (a server that now leaves as one that is ready), list one whose writer has left, and lack one that was
// created meanwhile. An instance that knew better goes on with what it knew.
//
// Invariants:
//
//   - After a restore an entry is not replaced by an earlier state of itself.
//   - An entry that was removed before a restore does not return for hiddenTerm unless its writer writes it again; by then the
//     store has removed the entry of a writer that is gone.
//   - An entry that a restore lost is kept for keptTerm; a live writer has written it again by then.
//   - What the store reports as a change is taken as it is.
package restored

import (
	"maps"
	"time"
)

const (
	// keptTerm is how long lost entries are kept. Servers write theirs again within about two seconds.
	keptTerm = 3 * time.Second
	// hiddenTerm is how long removed entries don't return. The platform removes those of silent servers after less.
	hiddenTerm = 6 * time.Second
	// removedTerm is how long a removal is remembered, which has to outlast the age of a copy and the outage before it.
	removedTerm = time.Minute
)

// State orders the states of an entry: by the run of its writer, then by the number of its writes.
type State struct {
	Run, Count int64
}

func (s State) isBefore(other State) bool {
	return s.Run < other.Run || s.Run == other.Run && s.Count < other.Count
}

type entry[E any] struct {
	value E
	state State
}

type removal struct {
	run int64
	at  time.Duration
}

// Entries holds the entries of one kind. Times are of a clock that advances while the machine is suspended.
type Entries[E any] struct {
	stored  map[string]entry[E] // what the store has
	kept    map[string]entry[E] // used in place of those in stored
	hidden  map[string]bool     // not used although stored
	removed map[string]removal
	// keptUntil and hiddenUntil end the exceptions.
	keptUntil, hiddenUntil time.Duration
}

// NewEntries returns Entries without any.
func NewEntries[E any]() *Entries[E] {
	return &Entries[E]{
		stored: map[string]entry[E]{}, kept: map[string]entry[E]{}, hidden: map[string]bool{}, removed: map[string]removal{},
	}
}

// Listing collects the entries of a list.
type Listing[E any] struct {
	entries map[string]entry[E]
}

// Add adds an entry to the list.
func (l *Listing[E]) Add(name string, value E, state State) {
	if l.entries == nil {
		l.entries = map[string]entry[E]{}
	}
	l.entries[name] = entry[E]{value, state}
}

// Replace applies a list of all entries. isRestored tells that the store came back from a copy since the entries were last
// updated.
func (e *Entries[E]) Replace(now time.Duration, list Listing[E], isRestored bool) {
	before := e.current()
	for name, old := range e.stored {
		if _, listed := list.entries[name]; !listed {
			e.removed[name] = removal{old.state.Run, now}
		}
	}
	e.stored = maps.Clone(list.entries)
	if e.stored == nil {
		e.stored = map[string]entry[E]{}
	}
	if isRestored {
		e.makeExceptions(now, before)
	}
	e.Expire(now)
}

// makeExceptions keeps entries that the store has lost or holds in an earlier state, and hides those that were removed.
func (e *Entries[E]) makeExceptions(now time.Duration, before map[string]entry[E]) {
	for name, old := range before {
		delete(e.removed, name)
		if listed, ok := e.stored[name]; !ok || listed.state.isBefore(old.state) {
			e.kept[name] = old
			e.keptUntil = now + keptTerm
		}
	}
	for name, r := range e.removed {
		if listed, ok := e.stored[name]; ok && listed.state.Run <= r.run {
			e.hidden[name] = true
			e.hiddenUntil = now + hiddenTerm
		}
	}
}

// Put applies a change of an entry.
func (e *Entries[E]) Put(name string, value E, state State) {
	e.stored[name] = entry[E]{value, state}
	e.endException(name)
	delete(e.removed, name)
}

// Remove applies the removal of an entry.
func (e *Entries[E]) Remove(now time.Duration, name string) {
	if old, ok := e.stored[name]; ok {
		e.removed[name] = removal{old.state.Run, now}
	}
	delete(e.stored, name)
	e.endException(name)
}

func (e *Entries[E]) endException(name string) {
	delete(e.kept, name)
	delete(e.hidden, name)
}

// Expire ends exceptions and forgets removals after their terms. It reports whether entries have changed.
func (e *Entries[E]) Expire(now time.Duration) (changed bool) {
	if len(e.kept) > 0 && now >= e.keptUntil {
		clear(e.kept)
		changed = true
	}
	if len(e.hidden) > 0 && now >= e.hiddenUntil {
		clear(e.hidden)
		changed = true
	}
	maps.DeleteFunc(e.removed, func(_ string, r removal) bool { return now-r.at >= removedTerm })
	return changed
}

// Exceptions returns the numbers of entries that are kept and hidden.
func (e *Entries[E]) Exceptions() (kept, hidden int) {
	return len(e.kept), len(e.hidden)
}

// Current returns the entries in use by name.
func (e *Entries[E]) Current() map[string]E {
	out := make(map[string]E, len(e.stored)+len(e.kept))
	for name, x := range e.current() {
		out[name] = x.value
	}
	return out
}

func (e *Entries[E]) current() map[string]entry[E] {
	out := make(map[string]entry[E], len(e.stored)+len(e.kept))
	for name, x := range e.stored {
		if !e.hidden[name] {
			out[name] = x
		}
	}
	maps.Copy(out, e.kept)
	return out
}
