package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// instancesKind is the kind of the instance entries. Each has the name of its instance.
const instancesKind = "instances"

// errListNotRead is returned until the list has been read for the first time.
var errListNotRead = errors.New("the list of instances was not read yet; see whether the store answers")

// instanceList is the list of instances as last read by a follower. It implements objectstore.InstanceList.
type instanceList struct {
	store *platform.Store

	mu      sync.Mutex
	entries map[string]listEntry // by instance
	loaded  bool
	sorted  []objectstore.Instance // the instances of entries; nil after a change, not modified once it is set
}

// listEntry is the entry of an instance.
type listEntry struct {
	objectstore.Instance
	revision uint64
}

func newInstanceList(store *platform.Store) *instanceList {
	return &instanceList{store: store, entries: map[string]listEntry{}}
}

// Instances implements objectstore.InstanceList.
func (l *instanceList) Instances(context.Context) ([]objectstore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil, errListNotRead
	}
	if l.sorted == nil {
		l.sorted = make([]objectstore.Instance, 0, len(l.entries))
		for _, e := range l.entries {
			l.sorted = append(l.sorted, e.Instance)
		}
		slices.SortFunc(l.sorted, func(a, b objectstore.Instance) int { return strings.Compare(a.PeerAddress, b.PeerAddress) })
	}
	return l.sorted, nil
}

func (l *instanceList) replaceAll(objects []platform.Object) {
	l.mu.Lock()
	clear(l.entries)
	l.loaded = true
	l.mu.Unlock()
	l.applyChanges(objects)
}

func (l *instanceList) applyChanges(changes []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sorted = nil
	for _, o := range changes {
		e := listEntry{revision: o.Revision}
		if o.Deleted || json.Unmarshal(o.Spec, &e.Instance) != nil {
			delete(l.entries, o.Name) // an entry that can't be decoded counts as deleted
			continue
		}
		l.entries[o.Name] = e
	}
}

// snapshot returns the entries by instance, and whether the list was read yet.
func (l *instanceList) snapshot() (map[string]listEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.entries), l.loaded
}

// remove removes an entry from the list, unless its instance has written it again since revision.
func (l *instanceList) remove(ctx context.Context, name string, revision uint64) error {
	return l.store.Remove(ctx, instancesKind+"/"+name, revision)
}

// register writes the entry of an instance and reports whether it was created.
func (l *instanceList) register(ctx context.Context, i objectstore.Instance) (created bool, err error) {
	value, err := json.Marshal(i)
	if err != nil {
		return false, errors.Wrap(err, "encode the entry of this instance")
	}
	return l.store.Overwrite(ctx, instancesKind+"/"+i.ID, value)
}
