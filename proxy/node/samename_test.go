package node

import (
	"slices"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Load: a machine that others can't reach is replaced by one with the same instance name at another address, while its process goes on
// and follows a relay. Guards against a process that is neither told of a claim nor waited for, because its entry was overwritten without
// the announcement of a removal.
func TestOverwrittenEntryIsStillToldOfClaims(t *testing.T) {
	p := newClaimant(t, startPlatform(t), "edge-1")
	p.node.settings.Listen.Peers = "127.0.0.1:1"
	p.node.instances = newInstanceList(p.node.store, boottime.Now)
	for _, address := range []string{"127.0.0.1:2", "127.0.0.1:3"} {
		if _, _, err := p.node.instances.register(t.Context(), objectstore.Instance{ID: "edge-2", PeerAddress: address}); err != nil {
			t.Fatal(err)
		}
	}
	w := &withdrawal{controller: p}
	if addresses, _ := w.listInstances(t.Context()); !slices.Contains(addresses, "127.0.0.1:2") {
		t.Errorf("the claimant waits for the acknowledgement of %v only; the process at 127.0.0.1:2 was listed a moment ago", addresses)
	}
}
