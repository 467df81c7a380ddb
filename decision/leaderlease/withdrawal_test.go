package leaderlease

import (
	"testing"
	"time"
)

// Guards against a second promotion while an earlier one is under way: the server of an unfinished claim answers a request to step
// down as the replica that it still is, and leads a moment later, at instances that know only the claim which names it.
func TestServerOfAnUnfinishedClaimHasNotSteppedDown(t *testing.T) {
	const now = 100 * time.Second
	unfinished := Claim{Server: "a", FormerKnown: true, Version: 6} // its promotion was ordered and not answered
	next := unfinished.Next("", "b", false)
	next.Version = 7

	other := Leases{}
	other.ConfirmListed(now-time.Second, now-time.Second)
	other.Adopt("database", unfinished)
	other.Confirm(now - time.Second/2)

	w := NewWithdrawal(next, now)
	w.StepDown("a")
	mayAcknowledge := other.Valid(now) && other.Claim("database").Allows("a")
	if basis := w.Basis(now); basis != "" && mayAcknowledge {
		t.Errorf("b may be promoted (%s) while an instance may acknowledge answers of a, whose promotion may still take effect", basis)
	}
}
