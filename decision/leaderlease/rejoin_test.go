package leaderlease

import (
	"testing"
	"time"
)

// Load: an instance was cut off until its entry was removed. When the store answers again it reads the claims, and then writes its entry
// again without having seen the list in between. Guards against evidence from before the entry: a claimant that read the list
// between the two did not tell the instance.
func TestEntryWrittenAgainNeedsLaterEvidence(t *testing.T) {
	var l Leases
	l.ConfirmListed(0, 0)
	l.Confirm(time.Second)
	back := ListedTerm + 10*time.Minute
	l.Confirm(back) // no claim yet
	l.ConfirmListed(back+200*time.Millisecond, back+100*time.Millisecond)
	if l.Valid(back + 300*time.Millisecond) {
		t.Error("the evidence from before the entry was written again counts as evidence of a listed instance")
	}
}
