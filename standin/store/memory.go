package store

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
)

// snapshot is the store's content at one revision. Values are never changed in place.
type snapshot struct {
	revision uint64
	objects  map[string]httpstore.Change // including tombstones of deleted objects
}

func (s snapshot) get(key string) (httpstore.Change, bool) {
	o, ok := s.objects[key]
	return o, ok && !o.Deleted
}

// version returns the object's version, or 0 if it doesn't exist.
func (s snapshot) version(key string) uint64 {
	o, _ := s.get(key)
	if o.Deleted {
		return 0
	}
	return o.Version
}

func (s snapshot) list(prefix string) httpstore.Changes {
	return s.collect(func(o httpstore.Change) bool {
		return !o.Deleted && strings.HasPrefix(o.Key, prefix)
	})
}

func (s snapshot) changedSince(prefix string, after uint64) httpstore.Changes {
	return s.collect(func(o httpstore.Change) bool {
		return o.Version > after && strings.HasPrefix(o.Key, prefix)
	})
}

func (s snapshot) collect(keep func(httpstore.Change) bool) httpstore.Changes {
	out := httpstore.Changes{Revision: s.revision, Objects: []httpstore.Change{}}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if o := s.objects[key]; keep(o) {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

func (s snapshot) clone() snapshot {
	return snapshot{revision: s.revision, objects: maps.Clone(s.objects)}
}

// memory holds the current content and signals its changes.
type memory struct {
	mu      sync.Mutex
	current snapshot
	changed chan struct{} // closed and replaced at every change
}

func newMemory() *memory {
	return &memory{
		current: snapshot{objects: map[string]httpstore.Change{}},
		changed: make(chan struct{}),
	}
}

// write applies a put, or a delete when deleted is set, if the object has version ifVersion.
func (m *memory) write(key string, value []byte, deleted bool, ifVersion uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	currentVersion := m.current.version(key)
	if currentVersion != ifVersion || (deleted && currentVersion == 0) {
		return 0, objectstore.ErrConflict
	}
	m.current.revision++
	m.current.objects[key] = httpstore.Change{Key: key, Value: value, Version: m.current.revision, Deleted: deleted}
	m.wakeWatchesLocked()
	return m.current.revision, nil
}

// read calls f with the current content and returns a channel that is closed at the next change.
func (m *memory) read(f func(snapshot)) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.current)
	return m.changed
}

// wakeWatches makes all waiting watches check the content and the faults again.
func (m *memory) wakeWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeWatchesLocked()
}

func (m *memory) wakeWatchesLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}
