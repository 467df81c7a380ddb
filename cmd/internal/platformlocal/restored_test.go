package platformlocal

import (
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// away is how long the store of these tests is away before it comes back from its copy.
const away = 300 * time.Millisecond

func startRestorable(t *testing.T, unfenced bool) *Deployment {
	t.Helper()
	t.Parallel()
	d, err := Start(Config{
		Dir: t.TempDir(), Instances: 3,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Unfenced: unfenced},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}, {Name: "b", Key: "l", Rate: 1e5, Burst: 1e5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// isServed reports whether an instance serves a read with a key.
func isServed(address, route, key, id string) bool {
	s, err := lineclient.Dial(address, route, key)
	if err != nil {
		return false
	}
	defer s.Close()
	return s.Query(id, "READ x").Outcome == lineclient.Receipt
}

func await(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(ReadyPollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("not %[2]s after %[1]s", limit, what)
}

// Guards against a key that works again at an instance which starts after the store came back from a copy, before the
// operator has written again.
func TestWithdrawnKeyWhenStoreRestored(t *testing.T) {
	d := startRestorable(t, false)
	route := d.DatabaseNames()[0] + StrictRouteSuffix
	for _, i := range d.Instances {
		await(t, 10*time.Second, "served", func() bool { return isServed(i.CallerAddress, route, "k", "before") })
	}
	d.Platform.KeepCopy()
	if err := d.Configure("a"); err != nil {
		t.Fatal(err)
	}
	for _, i := range d.Instances {
		await(t, KeyWithdrawalLimit, "refused", func() bool { return !isServed(i.CallerAddress, route, "k", "withdrawn") })
	}
	d.Platform.Restore(away)
	restarted := d.Instances[0]
	restarted.Stop(syscall.SIGKILL)
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	await(t, 10*time.Second, "served with the other key", func() bool { return isServed(restarted.CallerAddress, route, "l", "other") })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(ReadyPollInterval) {
		for _, i := range d.Instances {
			if isServed(i.CallerAddress, route, "k", "after") {
				t.Fatalf("%s serves a key that was withdrawn before the restore", i.Name)
			}
		}
	}
}

// Guards against a primary that can't be replaced because the fences of a restored store are lower than those used before, and
// against two promotions by one and the same loss.
func TestPromotionWhenStoreRestored(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		t.Run(map[bool]string{false: "fenced", true: "unfenced"}[unfenced], func(t *testing.T) {
			d := startRestorable(t, unfenced)
			database := d.DatabaseNames()[0]
			stop := make(chan struct{})
			wait := writeUntil(t, d, database+StrictRouteSuffix, stop)
			awaitWrites(t, d, "")
			d.Platform.KeepCopy()
			for range 300 {
				if err := d.Configure(); err != nil { // so that the next claim has a high revision
					t.Fatal(err)
				}
			}
			first := d.CrashPrimary(database)
			awaitWrites(t, d, first)
			if err := d.Recover(database); err != nil {
				t.Fatal(err)
			}
			if err := d.RestoreStore(away, 0); err != nil {
				t.Fatal(err)
			}
			second := d.CrashPrimary(database)
			await(t, 20*time.Second, "another primary", func() bool {
				return d.Group(database).Primary() != second
			})
			time.Sleep(time.Second)
			close(stop)
			wait()
			checkFormerPrimary(t, d, second)
		})
	}
}

// Load: three instances that serve an account at a steady rate while the store comes back from a copy that lacks the entries of
// the instances, the assignment of the quota and the configuration. Guards against callers that are refused inside their rate,
// and against instances that don't find each other any more.
func TestCallersAreServedWhenStoreRestored(t *testing.T) {
	d := startRestorable(t, false)
	route := d.DatabaseNames()[0] + StrictRouteSuffix
	time.Sleep(QuotaWarmupTime)
	d.Platform.KeepCopy()
	for range 2 {
		if err := d.RestoreStore(away, away); err != nil {
			t.Fatal(err)
		}
		served, asked := 0, 0
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, i := range d.Instances {
				asked++
				if isServed(i.CallerAddress, route, "k", "steady") {
					served++
				}
			}
		}
		if served < asked {
			t.Errorf("%d of %d statements were served after the restore, want all", served, asked)
		}
	}
}
