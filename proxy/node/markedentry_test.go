package node

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: an instance whose writes the store refuses reads through a relay that its entry is marked, until the entry is removed. Guards
// against one that relies on the list up to the removal: a claimant that reads the list right after it neither tells the instance nor
// waits for it.
func TestMarkedInstanceStopsUsingPrimaries(t *testing.T) {
	n := newUnassembled(Settings{Instance: "edge-1", UnfencedPromotions: true, Listen: Listen{Peers: "127.0.0.1:1"}}, discardLogger())
	n.instances = newInstanceList(nil, boottime.Now)
	now := boottime.Now()
	n.leases.leases.ConfirmListed(now-time.Minute, now-leaderlease.ListedTerm-time.Second) // the last time without the mark
	marked := platform.Object{Name: "edge-1", Revision: 8, Spec: []byte(`{"id":"edge-1","peerAddress":"127.0.0.1:1","lost":true}`)}
	n.instances.replaceAll(objectList{objects: []platform.Object{marked}, version: 9})
	n.confirmOwnEntry(now)
	n.leases.leases.Confirm(now)
	if n.mayUsePrimary() {
		t.Error("an instance whose entry was marked for longer than ListedTerm uses primaries; the entry may be removed at any moment")
	}
}
