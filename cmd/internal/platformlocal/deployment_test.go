package platformlocal

import (
	"testing"
	"time"
)

// instancesKind is where instances enter themselves.
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

// Guards against an instance that stays unknown to the others after its entry was removed while it was cut off.
func TestInstanceRestoresRemovedEntry(t *testing.T) {
	d := start(t)
	name := d.Instances[0].Name
	if !d.Platform.Has(instancesKind, name) {
		t.Fatal("the instance has not entered itself")
	}
	d.Platform.Delete(instancesKind, name)
	const limit = 30 * time.Second
	for end := time.Now().Add(limit); !d.Platform.Has(instancesKind, name); time.Sleep(ReadyPollInterval) {
		if time.Now().After(end) {
			t.Fatalf("the entry is not back after %s", limit)
		}
	}
}
