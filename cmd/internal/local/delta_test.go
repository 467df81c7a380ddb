package local_test

import (
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// Guards against an instance without a store that does not follow its peers, or takes the whole manifest
// from them at every change.
func TestPeersPassOnDifferences(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	d := start(t, local.Config{
		Instances: 2, Server: database.Config{Seed: 1}, Accounts: oneAccount(), Log: log,
		Adjust: func(i int, c *daemon.Config) {
			if i == 1 {
				c.StoreURL = "http://127.0.0.1:1"
			}
		},
	})
	awaitAdopted(t, hook, d.Manifest().Version, false)
	for range 3 {
		if err := d.Apply(t.Context(), func(m *manifest.Manifest) { m.Accounts[0].Rate++ }); err != nil {
			t.Fatal(err)
		}
		awaitAdopted(t, hook, d.Manifest().Version, true)
	}
}

// awaitAdopted waits until the instance without a store has the version, taken in the given way.
func awaitAdopted(t *testing.T, hook *logtest.Hook, version uint64, deltas bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Data["event"] != directory.EventAdopted || e.Data["instance"] != "proxy-2" || e.Data["version"] != version {
				continue
			}
			if e.Data["by_differences"] != deltas {
				t.Fatalf("version %d was taken by differences: %v, want %v", version, e.Data["by_differences"], deltas)
			}
			return
		}
	}
	t.Fatalf("the instance without a store did not take version %d", version)
}
