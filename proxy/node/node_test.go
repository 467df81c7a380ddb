package node

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
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

// Guards against settings that are taken with faults, and against faults that are reported one at a time.
func TestSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, path, validSettings)
	s, err := ReadSettings(path)
	if err != nil || s.Bounds.StopGracePeriod() != 6*time.Second || s.Quota.tolerance().Window != 5*time.Second || s.Regions["z1"] != "north" {
		t.Errorf("%+v, %v", s, err)
	}
	writeFile(t, path, strings.NewReplacer("edge-1", "", "127.0.0.1:1004", "store", "stopSeconds: 6", "stopSeconds: 0", "overage: 0.1", "overage: -1", "logLevel: info", "logLevel: loud").Replace(validSettings))
	_, err = ReadSettings(path)
	if err == nil {
		t.Fatal("wrong settings are accepted")
	}
	for _, name := range []string{"instance:", "store:", "bounds.stopSeconds:", "quota.overage:", "logLevel:"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%q is not named in %q", name, err)
		}
	}
	writeFile(t, path, "instance: [")
	if _, err := ReadSettings(path); err == nil || !strings.Contains(err.Error(), "deploy/settings.yaml") {
		t.Errorf("error %v", err)
	}
}

// Guards against a reload that brings wrong settings into force, or leaves out right ones.
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
	set := func(l logrus.Level) { level = l }
	writeFile(t, path, strings.NewReplacer("stopSeconds: 6", "stopSeconds: 9", "logLevel: info", "logLevel: debug").Replace(validSettings))
	n.reload(path, set)
	if n.liveSettings.Load().Bounds.StopGracePeriod() != 9*time.Second || level != logrus.DebugLevel {
		t.Errorf("grace %s, level %s", n.liveSettings.Load().Bounds.StopGracePeriod(), level)
	}
	writeFile(t, path, "instance: ''")
	n.reload(path, set)
	if n.liveSettings.Load().Bounds.StopGracePeriod() != 9*time.Second {
		t.Error("wrong settings are in force")
	}
	other := s
	other.Store, other.Listen.Ready = "127.0.0.1:9", "127.0.0.1:8"
	if got := strings.Join(s.changesNeedingRestart(other), ","); got != "listen,store" {
		t.Errorf("settings for the next start: %s", got)
	}
}

// Guards against a configuration that goes back to an older version.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	var adopted []uint64
	d := &directory{
		log: discardLogger(), now: func() time.Duration { return time.Minute },
		bounds:  func() Bounds { return Bounds{KeyWithdrawalMillis: 5000} },
		onAdopt: func(s *catalog.Snapshot) { adopted = append(adopted, s.Version()) },
	}
	for _, version := range []uint64{3, 7, 5, 7, 9} {
		d.adopt(catalog.Catalog{Version: version})
	}
	if len(adopted) != 3 || d.Current().Version() != 9 {
		t.Errorf("adopted %v, in force %d", adopted, d.Current().Version())
	}
	if d.Fresh() {
		t.Error("fresh without a proof")
	}
	d.confirm(time.Minute - 4400*time.Millisecond)
	if !d.Fresh() {
		t.Error("not fresh 4.4 s after a proof")
	}
	d.now = func() time.Duration { return time.Minute + 200*time.Millisecond }
	if d.Fresh() {
		t.Error("fresh 4.6 s after a proof, with 5 s for a withdrawal")
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

// Guards against foreign entries that remove or hide others, and against a change that is lost.
func TestRegistryIgnoresInvalidEntries(t *testing.T) {
	var last []discovery.Server
	r := &serverRegistry{log: discardLogger(), regions: map[string]string{}, publish: func(s []discovery.Server) { last = s }}
	foreign := platform.Object{Name: "i-2", Spec: []byte("nonsense")}
	r.replaceAll([]platform.Object{serverObject(t, "i-1", false), foreign, serverObject(t, "i-3", false)})
	if len(last) != 2 {
		t.Fatalf("%d servers", len(last))
	}
	r.applyChanges([]platform.Object{serverObject(t, "i-1", true), {Name: "i-3", Deleted: true}})
	if len(last) != 1 || !last[0].Leaving {
		t.Errorf("servers %+v", last)
	}
	r.applyChanges([]platform.Object{{Name: "i-1", Spec: []byte(`{"foreign":true}`)}})
	if len(last) != 0 {
		t.Errorf("servers %+v after the entry was overwritten", last)
	}
}

func object(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte("1")}
}

// Guards against followers of a relay that miss changes, and against knowledge that looks younger than it is.
func TestRelayCopy(t *testing.T) {
	now := 10 * time.Second
	c := newObjectCache(func() time.Duration { return now })
	if reply, _ := c.changesSince(0); !reply.GetUnknown() {
		t.Error("an empty copy answers")
	}
	c.replace([]platform.Object{object("a", 3), object("b", 4)}, 5)
	c.confirm(9 * time.Second)
	c.apply([]platform.Object{object("a", 7), {Name: "b", Revision: 8, Deleted: true}}, 8)
	reply, changed := c.changesSince(0)
	if !reply.GetWhole() || len(reply.GetObjects()) != 1 || reply.GetRevision() != 8 || reply.GetAgeMs() < 1000 {
		t.Errorf("whole copy %+v", reply)
	}
	if reply, _ := c.changesSince(5); reply.GetWhole() || len(reply.GetObjects()) != 2 || !reply.GetObjects()[1].GetDeleted() {
		t.Errorf("changes after 5: %+v", reply)
	}
	if reply, _ := c.changesSince(4); !reply.GetWhole() {
		t.Errorf("a follower that is behind the copy gets changes only: %+v", reply)
	}
	if reply, _ := c.changesSince(8); reply.GetWhole() || len(reply.GetObjects()) != 0 {
		t.Errorf("nothing has changed, but the answer is %+v", reply)
	}
	c.apply([]platform.Object{object("c", 9)}, 9)
	select {
	case <-changed:
	default:
		t.Error("a change does not wake the followers")
	}
	for revision := uint64(10); revision < 10+2*maxKeptChanges; revision++ {
		c.apply([]platform.Object{object("d", revision)}, revision)
	}
	if reply, _ := c.changesSince(9); !reply.GetWhole() {
		t.Error("a follower far behind gets a part of the changes")
	}
	if reply, _ := c.changesSince(10 + maxKeptChanges); reply.GetWhole() || len(reply.GetObjects()) != maxKeptChanges-1 {
		t.Errorf("%d changes, whole %t", len(reply.GetObjects()), reply.GetWhole())
	}
}

// Guards against a watch that is taken for a proof of contact for longer than the store has waited.
func TestWatchConfirmsOnlyItsWait(t *testing.T) {
	now := 35 * time.Second
	f := &follower{now: func() time.Duration { return now }, wait: 2 * time.Second}
	if got := f.confirmedAsOf(30*time.Second, 2*time.Second); got != 32*time.Second {
		t.Errorf("a full watch proves contact as of %s", got)
	}
	if got := f.confirmedAsOf(34*time.Second, 2*time.Second); got != 34*time.Second {
		t.Errorf("a watch that was cut off proves contact as of %s", got)
	}
	f.asOf = 33 * time.Second
	if f.watchWait() != shortWatchWait {
		t.Error("the next watch is long although the last proof is old")
	}
	f.asOf = 34500 * time.Millisecond
	if f.watchWait() != f.wait {
		t.Error("the next watch is short although the last proof is recent")
	}
}
