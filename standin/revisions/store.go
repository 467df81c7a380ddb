// Package revisions is a stand-in for the content of a store of objects by kind and name, with one revision counter and a
// history of changes. It can come back from a copy of itself: later writes are lost, their revisions are given out again, and
// the era rises.
package revisions

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// Errors of a Store.
var (
	// ErrConflict: the object is not as the condition demands.
	ErrConflict = errors.New("the object was changed by another writer")
	// ErrAbsent: there is no such object.
	ErrAbsent = errors.New("there is no such object")
	// ErrTruncated: the history of the watch is not there.
	ErrTruncated = errors.New("the store does not have this history")
)

// Object is one object. Revision is that of its last change.
type Object struct {
	Kind, Name string
	Revision   uint64
	Value      json.RawMessage
	Status     json.RawMessage
	Deleted    bool // only in changes
}

type key struct {
	kind, name string
}

type content struct {
	revision  uint64
	objects   map[key]Object
	history   []Object
	compacted uint64 // changes up to this revision are not in history
}

func (c content) clone() content {
	c.objects, c.history = maps.Clone(c.objects), slices.Clone(c.history)
	return c
}

// Store is the content. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	era     uint64
	content content
	copied  content
	hasCopy bool
	changed chan struct{} // closed and replaced at each change
}

// New returns a store without objects in an era.
func New(era uint64) *Store {
	return &Store{era: era, content: content{revision: 1, objects: map[key]Object{}}, changed: make(chan struct{})}
}

// Era returns how often the store came back from a copy, from the era given to New on.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Put writes an object if check, which may be nil, accepts the present one; that has revision 0 if it is absent.
func (s *Store) Put(kind, name string, value json.RawMessage, check func(present Object) error) (Object, error) {
	return s.PutWithStatus(kind, name, value, nil, check)
}

// PutWithStatus is Put with a status in place of the present one. A write that changes neither keeps the revision and makes no
// event.
func (s *Store) PutWithStatus(kind, name string, value, status json.RawMessage, check func(present Object) error) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.content.objects[key{kind, name}]
	if check != nil {
		if err := check(present); err != nil {
			return present, err
		}
	}
	if present.Revision != 0 && equalJSON(present.Value, value) && equalJSON(present.Status, status) {
		return present, nil
	}
	return s.record(Object{Kind: kind, Name: name, Value: value, Status: status}), nil
}

// equalJSON reports whether two values are equal or both absent.
func equalJSON(a, b json.RawMessage) bool {
	return len(a) == 0 && len(b) == 0 || objectstore.SameJSON(a, b)
}

// Remove removes an object if check, which may be nil, accepts it.
func (s *Store) Remove(kind, name string, check func(present Object) error) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, ok := s.content.objects[key{kind, name}]
	if !ok {
		return present, ErrAbsent
	}
	if check != nil {
		if err := check(present); err != nil {
			return present, err
		}
	}
	present.Deleted = true
	return s.record(present), nil
}

// record gives a change the next revision. The caller holds mu.
func (s *Store) record(o Object) Object {
	s.content.revision++
	o.Revision = s.content.revision
	s.content.history = append(s.content.history, o)
	if o.Deleted {
		delete(s.content.objects, key{o.Kind, o.Name})
	} else {
		s.content.objects[key{o.Kind, o.Name}] = o
	}
	s.notify()
	return o
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.content.objects[key{kind, name}]
	return o, ok
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	_, ok := s.Get(kind, name)
	return ok
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind, name string) {
	_, _ = s.Remove(kind, name, nil)
}

// List returns the objects of a kind by name, and the revision of the store.
func (s *Store) List(kind string) (objects []Object, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.content.objects {
		if o.Kind == kind {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, s.content.revision
}

// ChangesAfter returns the changes of a kind after a revision, the revision of the store, and a channel that is closed at the
// next change of any kind.
func (s *Store) ChangesAfter(kind string, after uint64) (changes []Object, revision uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.content.compacted || after > s.content.revision {
		return nil, 0, nil, ErrTruncated
	}
	for _, o := range s.content.history {
		if o.Kind == kind && o.Revision > after {
			changes = append(changes, o)
		}
	}
	return changes, s.content.revision, s.changed, nil
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.history, s.content.compacted = nil, s.content.revision
	s.notify()
}

// KeepCopy keeps a copy of the content in place of the one before.
func (s *Store) KeepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.hasCopy = s.content.clone(), true
}

// Restore goes back to the copy kept last and begins the next era. It returns the objects that were lost or are as they were
// before, in the state that the store had, so that their writers can write them again, and false without a copy.
func (s *Store) Restore() (lost []Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasCopy {
		return nil, false
	}
	for k, o := range s.content.objects {
		if s.copied.objects[k].Revision != o.Revision {
			lost = append(lost, o)
		}
	}
	for k, o := range s.copied.objects {
		if _, present := s.content.objects[k]; !present {
			o.Deleted = true
			lost = append(lost, o)
		}
	}
	s.content = s.copied.clone()
	s.era++
	s.notify()
	return lost, true
}
