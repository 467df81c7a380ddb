package node

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
)

// followed records what a follower passes on.
type followed struct {
	*follower
	lists []objectList
}

// newFollowed returns a follower of "things" in a stand-in store.
func newFollowed(t *testing.T, p *platformtest.Platform) *followed {
	t.Helper()
	store := platform.NewStore(p.Address(), (&net.Dialer{}).DialContext, objectstore.NewEras(boottime.Now, nil))
	t.Cleanup(store.Close)
	f := &followed{follower: &follower{
		store: store, outage: &outage{}, cache: newObjectCache(boottime.Now), kind: "things", wait: shortWatchWait, now: boottime.Now,
		log: discardLogger(), onChange: func([]platform.Object) {}, onConfirm: func(time.Duration, uint64) {},
	}}
	f.onList = func(l objectList) { f.lists = append(f.lists, l) }
	return f
}

func startPlatform(t *testing.T) *platformtest.Platform {
	t.Helper()
	p, err := platformtest.Start(func(string, string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func put(t *testing.T, p *platformtest.Platform, name string, value int) {
	t.Helper()
	if err := p.Put("things", name, value); err != nil {
		t.Fatal(err)
	}
}

// Guards against a follower, and its followers in turn, that keep what a restored store has lost: the revision that they watch
// from has been given out again.
func TestFollowersReadAgainWhenStoreRestored(t *testing.T) {
	p := startPlatform(t)
	put(t, p, "copied", 1)
	f := newFollowed(t, p)
	p.KeepCopy()
	put(t, p, "lost", 1)
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	before, _ := f.cache.changesSince(0)
	p.Restore(0)
	for range 5 {
		put(t, p, "written later", 1)
	}
	if err := f.step(t.Context()); !errors.Is(err, platform.ErrHistoryTruncated) {
		t.Errorf("watch from before the restore returns error %v, want ErrHistoryTruncated", err)
	}
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	last := f.lists[len(f.lists)-1]
	if !last.restored || len(last.objects) != 2 || f.lists[0].restored {
		t.Errorf("list %+v, want the 2 present objects, as a restored one", last)
	}
	reply, _ := f.cache.changesSince(before.GetRevision())
	if !reply.GetWhole() || len(reply.GetObjects()) != 2 || storeversion.Era(reply.GetRevision()) != storeversion.Era(before.GetRevision())+1 {
		t.Errorf("a follower from before the restore gets %+v, want all objects of the next era", reply)
	}
}

// Guards against an instance that goes back to what the store lost, because its relay has not noticed the restore.
func TestRelayOfAnEarlierEraIsRejectedWhenStoreRestored(t *testing.T) {
	f := newFollowed(t, startPlatform(t))
	old, _ := storeversion.New(1, 500)
	current, _ := storeversion.New(2, 400)
	relay := newObjectCache(boottime.Now)
	relay.replace([]platform.Object{object("lost", old)}, old, boottime.Now())
	f.replace([]platform.Object{object("kept", current)}, current, boottime.Now())
	reply, _ := relay.changesSince(0)
	if _, err := f.applyReply(reply, boottime.Now(), "relay"); !errors.Is(err, errRelayStale) || len(f.lists) != 1 {
		t.Errorf("reply of an earlier era returns error %v, want errRelayStale", err)
	}
	if _, err := f.applyReply(&relaypb.FollowReply{Revision: current}, boottime.Now(), "relay"); err != nil {
		t.Error(err)
	}
}

// Guards against an instance that tells those which start later an older configuration than it has in force.
func TestNewestObjectStaysInTheCacheWhenStoreRestored(t *testing.T) {
	p := startPlatform(t)
	put(t, p, "a", 5)
	f := newFollowed(t, p)
	f.isOutdated = func(o platform.Object) bool { return string(o.Spec) < "7" }
	p.KeepCopy()
	put(t, p, "a", 7)
	if err := f.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Restore(0)
	expect := func(want string) {
		t.Helper()
		for range 3 {
			_ = f.step(t.Context()) // the first one notices the restore
		}
		if o := f.cache.all()["a"]; string(o.Spec) != want {
			t.Errorf("cache holds %s, want %s", o.Spec, want)
		}
	}
	expect("7")
	put(t, p, "a", 6)
	expect("7")
	put(t, p, "a", 8)
	expect("8")
}

// Guards against a server that leaves and is used again since the copy shows it as ready.
func TestLeavingServerStaysOutWhenStoreRestored(t *testing.T) {
	now := time.Minute
	var published []discovery.Server
	r := newServerRegistry(discardLogger(), func() time.Duration { return now }, map[string]string{}, func(s []discovery.Server) { published = s })
	entry := func(sequence uint64, leaving bool) platform.Object {
		spec, err := platform.EncodeServer(discovery.Server{
			Database: "db", Address: "10.0.0.9:8080", FailureDomain: "z1", Slots: 3, Leaving: leaving, Sequence: sequence,
		})
		if err != nil {
			t.Fatal(err)
		}
		return platform.Object{Name: "i-1", Spec: spec}
	}
	copied := []platform.Object{entry(4, false)}
	r.replaceAll(objectList{objects: copied})
	r.applyChanges([]platform.Object{entry(5, true)})
	r.replaceAll(objectList{objects: copied, restored: true})
	if len(published) != 1 || !published[0].Leaving {
		t.Errorf("servers %+v after the restore, want one that leaves", published)
	}
	r.applyChanges([]platform.Object{entry(6, true)})
	r.applyChanges([]platform.Object{{Name: "i-1", Deleted: true}})
	r.replaceAll(objectList{objects: copied, restored: true})
	if len(published) != 0 {
		t.Errorf("servers %+v after a second restore, want none: the server has left", published)
	}
	now += time.Hour
	r.expire()
	if len(published) != 1 {
		t.Errorf("servers %+v long after the restore, want what the store has", published)
	}
}
