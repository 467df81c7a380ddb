package peer

import "sync"

// Derived keeps a value that follows from the peers of a Set until they change. The zero value is empty. It may be
// used by several goroutines.
type Derived[T any] struct {
	mu      sync.Mutex
	known   bool
	version uint64 // of the set that value was derived from
	value   T
}

// Get returns the value at a version of the set, which the caller reads before the peers. It calls derive if no value
// of that version is kept. derive must not call Get.
func (d *Derived[T]) Get(version uint64, derive func() T) T {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || d.version != version {
		d.value, d.version, d.known = derive(), version, true
	}
	return d.value
}
