package node

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// Guards against an instance that uses a primary because its configuration or the entries of the servers are current after a
// partition or a restart, while it can't know whether the primary was replaced.
func TestPrimariesWaitForCurrentClaims(t *testing.T) {
	n := &Node{settings: Settings{UnfencedPromotions: true}, log: discardLogger()}
	n.liveSettings.Store(&Settings{Bounds: Bounds{KeyWithdrawalMillis: 5000}})
	n.directory = &directory{now: boottime.Now, bounds: func() Bounds { return n.liveSettings.Load().Bounds }}
	n.directory.offer(boottime.Now(), 0, false)
	n.serversKnown.confirm(boottime.Now(), boottime.Now())
	confirm := func(age time.Duration) { n.leases.leases.Confirm(boottime.Now() - age) }
	for _, c := range []struct {
		name string
		do   func()
		want bool
	}{
		{"the configuration and the servers are current", func() {}, false},
		{"claims were read before the instance was listed", func() { confirm(0); n.recordRegistration(boottime.Now(), true) }, false},
		{"claims are current", func() { confirm(0) }, true},
		{"claims are from before the withdrawal term", func() {
			n.leases.leases = leaderlease.Leases{}
			n.leases.leases.ConfirmListed(boottime.Now()-time.Minute, boottime.Now())
			confirm(4600 * time.Millisecond)
		}, false},
	} {
		if c.do(); n.mayUsePrimary() != c.want {
			t.Errorf("%s: a primary may be used: %t, want %t", c.name, !c.want, c.want)
		}
	}
}
