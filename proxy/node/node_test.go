package node

import (
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newPeerSet returns the peers of an instance according to a list.
func newPeerSet(t *testing.T, self string, list objectstore.InstanceList) *peer.Set {
	t.Helper()
	set, err := peer.NewSet(peer.SetConfig{
		Self: self, List: list, Client: peer.NewClient(peer.ClientConfig{}), Config: heartbeatHandler{},
		Digest: func() *peerpb.Digest { return &peerpb.Digest{} }, Rand: rand.New(rand.NewSource(1)), Log: discardLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

const validSettings = `
instance: edge-1
place: {region: north, failureDomain: z1}
listen: {callers: "127.0.0.1:1001", ready: "127.0.0.1:1002", peers: "127.0.0.1:1003"}
store: "127.0.0.1:1004"
promotion: "127.0.0.1:1005"
regions: {"z1": "north"}
bounds: {stopSeconds: 6, keyWithdrawalMillis: 5000, trustKeysWhenCutOff: false}
quota: {windowSeconds: 5, overage: 0.1, slackStatements: 20}
memoryMiB: 284
logLevel: info
laterField: {x: 1}
`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against invalid settings that are accepted, and against faults that are reported one at a time.
func TestSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, path, validSettings)
	s, err := ReadSettings(path)
	if err != nil || s.Bounds.StopGracePeriod() != 6*time.Second || s.Quota.tolerance().Window != 5*time.Second || s.Regions["z1"] != "north" {
		t.Errorf("settings %+v, error %v", s, err)
	}
	writeFile(t, path, strings.NewReplacer("edge-1", "", "127.0.0.1:1004", "store", "stopSeconds: 6", "stopSeconds: 0", "overage: 0.1", "overage: -1", "logLevel: info", "logLevel: loud").Replace(validSettings))
	_, err = ReadSettings(path)
	if err == nil {
		t.Fatal("invalid settings are accepted")
	}
	for _, name := range []string{"instance:", "store:", "bounds.stopSeconds:", "quota.overage:", "logLevel:"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("the error does not name %q: %q", name, err)
		}
	}
	writeFile(t, path, "instance: [")
	if _, err := ReadSettings(path); err == nil || !strings.Contains(err.Error(), "deploy/settings.yaml") {
		t.Errorf("error %v, want one that refers to deploy/settings.yaml", err)
	}
}

// Guards against a reload that applies invalid settings or does not apply valid ones.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, path, validSettings)
	s, err := ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{settings: s, log: discardLogger()}
	n.liveSettings.Store(&s)
	level := logrus.InfoLevel
	setLevel := func(l logrus.Level) { level = l }
	writeFile(t, path, strings.NewReplacer("stopSeconds: 6", "stopSeconds: 9", "logLevel: info", "logLevel: debug").Replace(validSettings))
	n.reload(path, setLevel)
	if n.liveSettings.Load().Bounds.StopGracePeriod() != 9*time.Second || level != logrus.DebugLevel {
		t.Errorf("after a reload: grace period %s, level %s, want 9s and debug", n.liveSettings.Load().Bounds.StopGracePeriod(), level)
	}
	writeFile(t, path, "instance: ''")
	n.reload(path, setLevel)
	if n.liveSettings.Load().Bounds.StopGracePeriod() != 9*time.Second {
		t.Error("invalid settings are in force")
	}
	other := s
	other.Store, other.Listen.Ready = "127.0.0.1:9", "127.0.0.1:8"
	if got := strings.Join(s.changesNeedingRestart(other), ","); got != "listen,store" {
		t.Errorf("settings that need a restart: %s, want listen,store", got)
	}
}

// Guards against an older configuration that replaces a newer one, and against keys trusted on an old confirmation.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	var adopted []uint64
	d := &directory{
		known: make(chan struct{}), log: discardLogger(), now: func() time.Duration { return time.Minute },
		bounds:  func() Bounds { return Bounds{KeyWithdrawalMillis: 5000} },
		onAdopt: func(s *catalog.Snapshot) { adopted = append(adopted, s.Version()) },
	}
	for _, version := range []uint64{3, 7, 5, 7, 9} {
		d.adopt(catalog.Catalog{Version: version})
	}
	if len(adopted) != 3 || d.Current().Version() != 9 {
		t.Errorf("adopted versions %v, version %d in force, want 3, 7, 9 and 9", adopted, d.Current().Version())
	}
	if d.Fresh() {
		t.Error("fresh without a confirmation")
	}
	d.offer(time.Minute-4400*time.Millisecond, 0, false)
	if !d.Fresh() {
		t.Error("not fresh 4.4 s after a confirmation")
	}
	d.now = func() time.Duration { return time.Minute + 200*time.Millisecond }
	if d.Fresh() {
		t.Error("fresh 4.6 s after a confirmation, with a key withdrawal time of 5 s")
	}
}

func serverObject(t *testing.T, name string, leaving bool) platform.Object {
	t.Helper()
	spec, err := platform.EncodeServer(discovery.Server{
		Database: "db", Address: "10.0.0.9:8080", FailureDomain: "z1", Slots: 3, Leaving: leaving,
	})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Object{Name: name, Revision: 1, Spec: spec}
}

// Guards against invalid entries that remove or hide other entries, and against lost changes.
func TestRegistryIgnoresInvalidEntries(t *testing.T) {
	var published []discovery.Server
	r := newServerRegistry(discardLogger(), boottime.Now, map[string]string{}, func(s []discovery.Server) { published = s })
	invalid := platform.Object{Name: "i-2", Spec: []byte("nonsense")}
	r.replaceAll(objectList{objects: []platform.Object{serverObject(t, "i-1", false), invalid, serverObject(t, "i-3", false)}})
	if len(published) != 2 {
		t.Fatalf("%d servers, want the 2 valid ones", len(published))
	}
	r.applyChanges([]platform.Object{serverObject(t, "i-1", true), {Name: "i-3", Deleted: true}})
	if len(published) != 1 || !published[0].Leaving {
		t.Errorf("servers %+v, want only i-1, leaving", published)
	}
	r.applyChanges([]platform.Object{{Name: "i-1", Spec: []byte(`{"foreign":true}`)}})
	if len(published) != 0 {
		t.Errorf("servers %+v after the entry was overwritten by an invalid one, want none", published)
	}
}

func object(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte("1")}
}

// Guards against followers of a relay that miss changes, and against data that is reported as more recent than it is.
func TestObjectCache(t *testing.T) {
	now := 10 * time.Second
	c := newObjectCache(func() time.Duration { return now })
	if reply, _ := c.changesSince(0); !reply.GetUnknown() {
		t.Error("an empty cache is not reported as unknown")
	}
	c.replace([]platform.Object{object("a", 3), object("b", 4)}, 5, 9*time.Second)
	c.apply([]platform.Object{object("a", 7), {Name: "b", Revision: 8, Deleted: true}}, 8)
	reply, changed := c.changesSince(0)
	if !reply.GetWhole() || len(reply.GetObjects()) != 1 || reply.GetRevision() != 8 || reply.GetAgeMs() < 1000 {
		t.Errorf("reply to a new follower: %+v, want all objects and an age of at least 1 s", reply)
	}
	if reply, _ := c.changesSince(5); reply.GetWhole() || len(reply.GetObjects()) != 2 || !reply.GetObjects()[1].GetDeleted() {
		t.Errorf("reply after revision 5: %+v, want the 2 changes", reply)
	}
	if reply, _ := c.changesSince(4); !reply.GetWhole() {
		t.Errorf("a follower at a revision before the kept changes gets %+v, want all objects", reply)
	}
	if reply, _ := c.changesSince(8); reply.GetWhole() || len(reply.GetObjects()) != 0 {
		t.Errorf("reply without changes is %+v, want no objects", reply)
	}
	c.apply([]platform.Object{object("c", 9)}, 9)
	select {
	case <-changed:
	default:
		t.Error("a change does not notify the followers")
	}
	for revision := uint64(10); revision < 10+2*maxKeptChanges; revision++ {
		c.apply([]platform.Object{object("d", revision)}, revision)
	}
	if reply, _ := c.changesSince(9); !reply.GetWhole() {
		t.Error("a follower far behind gets a part of the changes, want all objects")
	}
	if reply, _ := c.changesSince(10 + maxKeptChanges); reply.GetWhole() || len(reply.GetObjects()) != maxKeptChanges-1 {
		t.Errorf("%d objects, whole %t, want only the kept changes", len(reply.GetObjects()), reply.GetWhole())
	}
}

// newTestRelay returns the relay of a region with other instances.
func newTestRelay(t *testing.T, others ...objectstore.Instance) *relayService {
	t.Helper()
	list := newInstanceList(nil, boottime.Now)
	list.loaded, list.sorted = true, others
	peers := newPeerSet(t, "127.0.0.1:1", list)
	peers.RefreshNow()
	return &relayService{
		now: boottime.Now, peers: peers, self: "127.0.0.1:1",
		caches: map[string]*objectCache{"kind": newObjectCache(boottime.Now)},
	}
}

// Guards against a relay that has lost the store and holds its followers for a whole wait although they can't use its data
// any more: they learned of a withdrawn key too late.
func TestRelayRepliesOnceItsDataIsTooOld(t *testing.T) {
	r := newTestRelay(t)
	const left = 50 * time.Millisecond
	r.caches["kind"].repliesOnceOld = true
	r.caches["kind"].replace([]platform.Object{object("a", 3)}, 5, boottime.Now()-maxRelayAge+left)
	began := time.Now()
	reply, err := r.Follow(t.Context(), &relaypb.FollowRequest{Kind: "kind", Revision: 5, WaitMs: 60_000})
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < left/2 || took > time.Second || reply.GetAgeMs() < uint64(maxRelayAge.Milliseconds()) {
		t.Errorf("reply %+v after %s, want one with the limit's age when that is reached", reply, took)
	}
}

// Guards against followers that call the store because a watch of their relay takes longer than usual.
func TestRelayHoldsCallsWhileItsWatchLasts(t *testing.T) {
	r := newTestRelay(t)
	const wait = 50 * time.Millisecond
	r.caches["kind"].replace([]platform.Object{object("a", 3)}, 5, boottime.Now()-maxRelayAge)
	began := time.Now()
	if _, err := r.Follow(t.Context(), &relaypb.FollowRequest{Kind: "kind", Revision: 5, WaitMs: uint32(wait.Milliseconds())}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < wait {
		t.Errorf("reply after %s, want one at the end of the wait of %s", took, wait)
	}
	relays := newRelayService(&Node{}, boottime.Now, platform.ConfigKind, platform.ServersKind, quotaKind, instancesKind)
	for kind, cache := range relays.caches {
		if cache.repliesOnceOld != (kind == platform.ConfigKind) {
			t.Errorf("kind %s: replies once old is %t, want it for the configuration only", kind, cache.repliesOnceOld)
		}
	}
	if age := relays.caches[instancesKind].maxAge; age < instancesWatchWait+instancesBatchDelay+relayWait {
		t.Errorf("followers reject the list of instances at an age of %s, which a relay reaches while instances start", age)
	}
}

// Guards against followers that read everything from the store because their relay has not done so yet, and against
// followers that wait for a relay that can't reach the store.
func TestFollowersAwaitTheFirstRead(t *testing.T) {
	r := newTestRelay(t)
	follow := func() <-chan *relaypb.FollowReply {
		replies := make(chan *relaypb.FollowReply, 1)
		go func() {
			reply, err := r.Follow(t.Context(), &relaypb.FollowRequest{Kind: "kind", WaitMs: 60_000})
			if err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
		return replies
	}
	cache := r.caches["kind"]
	cache.setSourceLost(true)
	if reply := <-follow(); !reply.GetUnknown() {
		t.Errorf("reply %+v of a relay without the store, want unknown", reply)
	}
	cache.setSourceLost(false)
	waiting := follow()
	select {
	case reply := <-waiting:
		t.Errorf("reply %+v before the first read, want a wait", reply)
	case <-time.After(20 * time.Millisecond):
	}
	cache.replace([]platform.Object{object("a", 3)}, 5, boottime.Now())
	if reply := <-waiting; !reply.GetWhole() || len(reply.GetObjects()) != 1 || reply.GetAgeMs() > 1000 {
		t.Errorf("reply %+v after the first read, want all objects with their age", reply)
	}
}

// Guards against a watch that counts as a confirmation for longer than the store has waited, and against long watches
// while the last confirmation is old.
func TestWatchConfirmsOnlyItsWait(t *testing.T) {
	now := 35 * time.Second
	f := &follower{now: func() time.Duration { return now }, wait: 2 * time.Second}
	if got := f.confirmedAsOf(30*time.Second, 2*time.Second); got != 32*time.Second {
		t.Errorf("a full watch confirms as of %s, want the end of its wait", got)
	}
	if got := f.confirmedAsOf(34*time.Second, 2*time.Second); got != 34*time.Second {
		t.Errorf("a watch that ended early confirms as of %s, want the time it was sent", got)
	}
	f.asOf = 33 * time.Second
	if f.watchWait() != shortWatchWait {
		t.Error("the next watch is long although the last confirmation is old")
	}
	f.asOf = 34500 * time.Millisecond
	if f.watchWait() != f.wait {
		t.Error("the next watch is short although the last confirmation is recent")
	}
}
