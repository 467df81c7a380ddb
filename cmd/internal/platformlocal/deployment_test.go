package platformlocal

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
)

// instancesKind is the kind under which instances register themselves on the platform.
const instancesKind = "instances"

func start(t *testing.T) *Deployment {
	t.Helper()
	d, err := Start(Config{
		Dir: t.TempDir(), Instances: 2,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 20},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 100, Burst: 100}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Guards against an instance that stays unknown to the others because its entry was removed while it was cut off and it
// does not register again.
func TestInstanceRestoresRemovedEntry(t *testing.T) {
	d := start(t)
	name := d.Instances[0].Name
	if !d.Platform.Has(instancesKind, name) {
		t.Fatal("instance is not registered")
	}
	d.Platform.Delete(instancesKind, name)
	const limit = 30 * time.Second
	for end := time.Now().Add(limit); !d.Platform.Has(instancesKind, name); time.Sleep(ReadyPollInterval) {
		if time.Now().After(end) {
			t.Fatalf("instance has not registered again within %s", limit)
		}
	}
}

// startCalls returns the store calls until all instances are ready and one second after.
func startCalls(t *testing.T, d *Deployment, before map[platformtest.Call]int) (total int, calls map[platformtest.Call]int) {
	t.Helper()
	for _, i := range d.Instances {
		if err := i.awaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Second)
	calls = d.Platform.Calls()
	for call, n := range before {
		calls[call] -= n
	}
	for _, n := range calls {
		total += n
	}
	return total, calls
}

// Guards against instances that read everything from the store while the relay of their region is starting too. Load:
// all instances of a deployment start, and start again, at the same time.
func TestStartCostsFewStoreCalls(t *testing.T) {
	const instances = 24
	// Each instance writes its entry and lists the others. Beyond that, one in each region follows the store.
	limit := 2*instances + len(Zones)*30
	d, err := Start(Config{
		Dir: t.TempDir(), Instances: instances,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 20},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 100, Burst: 100}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	total, calls := startCalls(t, d, nil)
	t.Logf("start: %d calls, %v", total, calls)
	if total > limit {
		t.Errorf("%d calls at the start of %d instances, want at most %d: %v", total, instances, limit, calls)
	}
	var stops sync.WaitGroup
	for _, i := range d.Instances {
		stops.Go(func() { i.Stop(syscall.SIGKILL) })
	}
	stops.Wait()
	before := d.Platform.Calls()
	for _, i := range d.Instances {
		if err := i.Start(); err != nil {
			t.Fatal(err)
		}
	}
	total, calls = startCalls(t, d, before)
	t.Logf("restart: %d calls, %v", total, calls)
	if total > limit {
		t.Errorf("%d calls at the restart of %d instances, want at most %d: %v", total, instances, limit, calls)
	}
}
