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

// instancesKind holds an entry for each instance, named by the instance.
const instancesKind = "instances"

// errNotListed tells that the list was not read yet.
var errNotListed = errors.New("the list of instances was not read yet; see whether the store answers")

// instanceList is the list of instances, as a follower has read it. It implements objectstore.InstanceList.
type instanceList struct {
	store *platform.Store

	mu      sync.Mutex
	entries map[string]objectstore.Instance
	known   bool
}

func newInstanceList(store *platform.Store) *instanceList {
	return &instanceList{store: store, entries: map[string]objectstore.Instance{}}
}

// Instances implements objectstore.InstanceList.
func (l *instanceList) Instances(context.Context) ([]objectstore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return nil, errNotListed
	}
	return slices.SortedFunc(maps.Values(l.entries), func(a, b objectstore.Instance) int {
		return strings.Compare(a.PeerAddress, b.PeerAddress)
	}), nil
}

func (l *instanceList) listed(all []platform.Object) {
	l.mu.Lock()
	clear(l.entries)
	l.known = true
	l.mu.Unlock()
	l.changed(all)
}

func (l *instanceList) changed(some []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range some {
		var i objectstore.Instance
		if o.Deleted || json.Unmarshal(o.Spec, &i) != nil {
			delete(l.entries, o.Name) // an entry of another form names no instance
			continue
		}
		l.entries[o.Name] = i
	}
}

// register writes the entry of an instance and reports whether it is new.
func (l *instanceList) register(ctx context.Context, i objectstore.Instance) (created bool, err error) {
	value, err := json.Marshal(i)
	if err != nil {
		return false, errors.Wrap(err, "encode the entry of this instance")
	}
	return l.store.Overwrite(ctx, instancesKind+"/"+i.ID, value)
}
