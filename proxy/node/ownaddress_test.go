package node

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: a delayed write of an earlier process, at another address, replaces the entry of an instance. Guards against an instance that
// takes the entry for its own where it checks that it is listed, but not for its leases: it uses no primary until it is restarted.
func TestEntryWithAnotherAddressIsWrittenAgain(t *testing.T) {
	n := newClaimant(t, startPlatform(t), "edge-1").node
	n.settings.UnfencedPromotions, n.settings.Listen.Peers = true, "127.0.0.1:1"
	n.instances = newInstanceList(n.store, boottime.Now)
	if _, _, err := n.instances.register(t.Context(), objectstore.Instance{ID: "edge-1", PeerAddress: "127.0.0.1:9"}); err != nil {
		t.Fatal(err)
	}
	m := &rosterManager{node: n}
	for range 2 * maxMissedChecks {
		objects, err := n.instances.read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		n.instances.replaceAll(objectList{objects: objects, version: 1})
		m.ensureOwnEntry(t.Context())
	}
	if _, listed := n.instances.own("edge-1", "127.0.0.1:1"); !listed {
		t.Error("the entry with the address of an earlier process stays, and the instance gets no leases")
	}
}
