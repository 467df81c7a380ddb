package node

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/relaytree"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: an instance that called the store itself loses it and follows a relay again, whose data is some seconds old. Guards
// against objects that go back to an earlier state while they count as confirmed at a later time, here and at followers.
func TestFollowerKeepsNewerObjectsThanItsRelay(t *testing.T) {
	const relayAge = 2 * time.Second
	relay := startRelay(t)
	relay.cache.asOf = 0
	relay.cache.replace([]platform.Object{object("a", 3), object("gone", 4)}, 5, boottime.Now()-relayAge)
	f := newTestFollower(t, relay.address, nil)
	var confirmed time.Duration
	f.onConfirm = func(asOf time.Duration, _ uint64) { confirmed = asOf }
	seen := boottime.Now()
	f.adopt(objectList{objects: []platform.Object{object("a", 8)}, version: 9}, seen)
	f.loaded = false // as after a failed call to the store
	if _, err := f.followRelay(t.Context(), relaytree.Parent{Address: relay.address, Hops: 1}); err != nil {
		t.Fatal(err)
	}
	if len(f.got) != 1 || f.got["a"].Revision != 8 {
		t.Errorf("objects %+v after an older reply, want those read from the store", f.got)
	}
	if confirmed != seen {
		t.Errorf("confirmed as of %s, want the %s of the read from the store", confirmed, seen)
	}
	if reply, _ := f.cache.changesSince(0); reply.GetRevision() != 9 {
		t.Errorf("followers get revision %d, want 9", reply.GetRevision())
	}
	relay.cache.apply([]platform.Object{object("a", 12)}, 12)
	if _, err := f.followRelay(t.Context(), relaytree.Parent{Address: relay.address, Hops: 1}); err != nil {
		t.Fatal(err)
	}
	if !f.loaded || f.got["a"].Revision != 12 {
		t.Errorf("objects %+v, want the change that the relay has received since", f.got)
	}
}
