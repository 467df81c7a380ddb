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

// Guards against an instance without a store that does not adopt manifests from its peers, or that fetches the
// whole manifest from them at every change.
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

// awaitAdopted waits until the instance without a store has adopted the version and checks whether it did so by
// differences.
func awaitAdopted(t *testing.T, hook *logtest.Hook, version uint64, wantDifferences bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Data["event"] != directory.EventAdopted || e.Data["instance"] != "proxy-2" || e.Data["version"] != version {
				continue
			}
			if e.Data["by_differences"] != wantDifferences {
				t.Fatalf("version %d was adopted by differences: %v, want %v", version, e.Data["by_differences"], wantDifferences)
			}
			return
		}
	}
	t.Fatalf("instance without a store did not adopt version %d", version)
}
