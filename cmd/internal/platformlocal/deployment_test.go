package platformlocal

import (
	"testing"
	"time"
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
