package node

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: an instance whose entry was removed from the list, because its peers have not reached it for ten minutes, or was never
// written, because the store refuses its writes. Guards against one that goes on using primaries although nobody tells it of their
// replacement or waits for it.
func TestUnlistedInstanceUsesNoPrimary(t *testing.T) {
	n := newUnassembled(Settings{Instance: "edge-1", UnfencedPromotions: true, Listen: Listen{Peers: "127.0.0.1:1"}}, discardLogger())
	n.instances = newInstanceList(nil, boottime.Now)
	entry := func(name string) platform.Object {
		return platform.Object{Name: name, Revision: 7, Spec: []byte(`{"id":"` + name + `","peerAddress":"127.0.0.1:` + name[len(name)-1:] + `"}`)}
	}
	read := func() {
		asOf := boottime.Now()
		n.confirmOwnEntry(asOf)
		n.leases.leases.Confirm(boottime.Now())
	}
	n.instances.replaceAll(objectList{objects: []platform.Object{entry("edge-1"), entry("edge-2")}, version: 9})
	if read(); !n.mayUsePrimary() {
		t.Error("a listed instance that has just heard from the store can't use primaries")
	}
	n.instances.applyChanges([]platform.Object{{Name: "edge-1", Revision: 10, Deleted: true}})
	if read(); n.mayUsePrimary() {
		t.Error("an instance uses primaries although its entry was removed")
	}
}
