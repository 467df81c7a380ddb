package node

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/storeversion"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
)

// Load: the store comes back from a copy without the newest claim, and is listed again after a call that got no answer. Guards against
// an instance that knows the newest claim and goes back to the one before.
func TestKnownClaimOutlastsEachListOfARestoredStore(t *testing.T) {
	n := newUnassembled(Settings{Instance: "edge-1", UnfencedPromotions: true}, discardLogger())
	n.gateway = gateway.New(gateway.Config{Now: boottime.Now})
	n.failover = newPromotionController(n, nil)
	claimOf := func(era, revision uint64, server string) platform.Object {
		version, err := storeversion.New(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		return platform.Object{Name: "db", Revision: version, Spec: []byte(`{"server":"` + server + `","order":1,"serial":1}`)}
	}
	n.adoptClaims([]platform.Object{claimOf(1, 20, "successor")}, false)
	copied := []platform.Object{claimOf(2, 10, "former")}
	n.adoptClaims(copied, true)
	if known := n.leases.leases.Claim("db"); known.Allows("former") {
		t.Fatal("the list after the restore brings the former primary back")
	}
	n.adoptClaims(copied, false) // the next list, or that of a relay
	if known := n.leases.leases.Claim("db"); known.Allows("former") {
		t.Errorf("the second list after the restore brings the former primary back (claim %+v)", known)
	}
}
