package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/restored"
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
	now   func() time.Duration

	mu      sync.Mutex
	entries *restored.Entries[listEntry] // by instance
	loaded  bool
	sorted  []objectstore.Instance // the instances of entries; nil after a change, not modified once it is set
}

// listEntry is the entry of an instance.
type listEntry struct {
	objectstore.Instance
	revision uint64
}

func newInstanceList(store *platform.Store, now func() time.Duration) *instanceList {
	return &instanceList{store: store, now: now, entries: restored.NewEntries[listEntry]()}
}

// Instances implements objectstore.InstanceList.
func (l *instanceList) Instances(context.Context) ([]objectstore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil, errListNotRead
	}
	if l.sorted == nil {
		l.sorted = []objectstore.Instance{}
		for _, e := range l.entries.Current() {
			l.sorted = append(l.sorted, e.Instance)
		}
		slices.SortFunc(l.sorted, func(a, b objectstore.Instance) int { return strings.Compare(a.PeerAddress, b.PeerAddress) })
	}
	return l.sorted, nil
}

func (l *instanceList) replaceAll(list objectList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded, l.sorted = true, nil
	var listing restored.Listing[listEntry]
	for _, o := range list.objects {
		if e, ok := decodeListEntry(o); ok {
			listing.Add(o.Name, e, restored.State{})
		}
	}
	l.entries.Replace(l.now(), listing, list.restored)
}

func (l *instanceList) applyChanges(changes []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sorted = nil
	for _, o := range changes {
		if e, ok := decodeListEntry(o); ok {
			l.entries.Put(o.Name, e, restored.State{})
		} else {
			l.entries.Remove(l.now(), o.Name)
		}
	}
}

// expire forgets entries that a restored store has lost and nobody has written again.
func (l *instanceList) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries.Expire(l.now()) {
		l.sorted = nil
	}
}

// decodeListEntry returns false for a deleted entry and for one that can't be decoded, which counts as deleted.
func decodeListEntry(o platform.Object) (listEntry, bool) {
	e := listEntry{revision: o.Revision}
	return e, !o.Deleted && json.Unmarshal(o.Spec, &e.Instance) == nil
}

// snapshot returns the entries by instance, and whether the list was read yet.
func (l *instanceList) snapshot() (map[string]listEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries.Current(), l.loaded
}

// own returns the entry of an instance at a peer address.
func (l *instanceList) own(name, peerAddress string) (e listEntry, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, listed = l.entries.Current()[name]
	return e, listed && e.PeerAddress == peerAddress
}

// mark marks an entry as that of a lost instance, unless its instance has written it again since it was read.
func (l *instanceList) mark(ctx context.Context, name string, e listEntry) error {
	e.Lost = true
	return l.rewrite(ctx, name, e)
}

// remove removes an entry from the list, unless its instance has written it again since revision.
func (l *instanceList) remove(ctx context.Context, name string, revision uint64) error {
	return l.store.Remove(ctx, instancesKind+"/"+name, revision)
}

// register writes the entry of an instance. It reports whether it was created, and whether there was none with its peer address. An
// earlier address is kept in the entry, since its process may not have ended.
func (l *instanceList) register(ctx context.Context, i objectstore.Instance) (created, entered bool, err error) {
	key := instancesKind + "/" + i.ID
	value, err := json.Marshal(i)
	if err != nil {
		return false, false, errors.Wrap(err, "encode the entry of this instance")
	}
	if _, err = l.store.Put(ctx, key, value, 0); !errors.Is(err, objectstore.ErrConflict) {
		return err == nil, err == nil, err
	}
	present, err := l.store.Get(ctx, key)
	if err != nil {
		return false, false, err
	}
	var before objectstore.Instance
	if json.Unmarshal(present.Value, &before) == nil {
		i.Earlier = before.Earlier
		if entered = before.PeerAddress != i.PeerAddress; entered {
			i.Earlier = strings.TrimSpace(i.Earlier + " " + before.PeerAddress)
		}
	}
	if value, err = json.Marshal(i); err != nil || objectstore.SameJSON(present.Value, value) {
		return false, entered, err
	}
	_, err = l.store.Put(ctx, key, value, present.Version)
	return false, entered, err
}

// forgetEarlier removes the earlier addresses from the entry of an instance, unless it was written again since it was read.
func (l *instanceList) forgetEarlier(ctx context.Context, name string, e listEntry) error {
	e.Earlier = ""
	return l.rewrite(ctx, name, e)
}

func (l *instanceList) rewrite(ctx context.Context, name string, e listEntry) error {
	value, err := json.Marshal(e.Instance)
	if err != nil {
		return errors.Wrap(err, "encode the entry of an instance")
	}
	_, err = l.store.Put(ctx, instancesKind+"/"+name, value, e.revision)
	return err
}
