package leaderlease

import (
	"testing"
	"time"
)

// Load: the platform refuses the promotion of a claim that was withdrawn, while one instance of the list is gone; the claimant orders
// the same promotion again. Guards against a wait of WithdrawalTerm for each attempt: no server loses its leases by the new claim.
func TestRepeatedClaimOfTheSameServerNeedsNoWithdrawal(t *testing.T) {
	former := Claim{Version: 5, Server: "i-1"}
	first := former.Next("i-1", "i-2", false)
	first.Version = 6
	ordered := first.Withdrawn()
	ordered.Version = 7
	next := ordered.Next("i-1", "i-2", false)
	next.Version = 8
	w := NewWithdrawal(next, time.Minute)
	w.List([]string{"gone"})
	if w.Basis(time.Minute) == "" {
		t.Errorf("the promotion of the same server waits up to %s, although nobody uses one of %v since claim %d was withdrawn",
			w.Remaining(time.Minute), next.Former, first.Version)
	}
}
