package leaderlease

import (
	"maps"
	"slices"
	"time"
)

// Basis is the evidence on which a promotion is ordered, for logs; empty if there is none yet.
type Basis string

const (
	// SteppedDown: every server that an instance may still use has confirmed that it has stepped down.
	SteppedDown Basis = "stepped_down"
	// Acknowledged: all instances have acknowledged the claim.
	Acknowledged Basis = "acknowledged"
	// TermPassed: the evidence of all instances that don't know the claim is too old.
	TermPassed Basis = "term_passed"
)

// Withdrawal is the progress of a claimant until it may order its promotion. It is not safe for concurrent use.
type Withdrawal struct {
	confirmedAt time.Duration
	formerKnown bool
	former      map[string]bool // servers that have not confirmed that they have stepped down
	listed      bool
	silent      map[string]bool // instances that have not acknowledged
}

// NewWithdrawal returns the withdrawal of the former servers of a claim, whose confirmation arrived from the store at a time.
func NewWithdrawal(c Claim, confirmedAt time.Duration) *Withdrawal {
	w := &Withdrawal{confirmedAt: confirmedAt, formerKnown: c.FormerKnown, former: map[string]bool{}}
	for _, s := range c.Former {
		w.former[s] = true
	}
	return w
}

// List records the instances of the list, without the claimant, which was read after the claim was written.
func (w *Withdrawal) List(instances []string) {
	w.listed, w.silent = true, map[string]bool{}
	for _, i := range instances {
		w.silent[i] = true
	}
}

// Acknowledge records that an instance knows the claim, or a later one of the claimant.
func (w *Withdrawal) Acknowledge(instance string) {
	delete(w.silent, instance)
}

// StepDown records that a server has confirmed, after the claim was written, that it does not lead.
func (w *Withdrawal) StepDown(server string) {
	delete(w.former, server)
}

// Silent returns the instances that have not acknowledged the claim.
func (w *Withdrawal) Silent() []string {
	return slices.Sorted(maps.Keys(w.silent))
}

// Former returns the servers that have not confirmed that they have stepped down.
func (w *Withdrawal) Former() []string {
	return slices.Sorted(maps.Keys(w.former))
}

// Basis returns on which evidence the promotion may be ordered; empty if it may not yet.
func (w *Withdrawal) Basis(now time.Duration) Basis {
	switch {
	case w.formerKnown && len(w.former) == 0:
		return SteppedDown
	case w.listed && len(w.silent) == 0:
		return Acknowledged
	case now-w.confirmedAt >= WithdrawalTerm:
		return TermPassed
	}
	return ""
}

// Remaining returns the time until the promotion may be ordered in any case.
func (w *Withdrawal) Remaining(now time.Duration) time.Duration {
	return max(w.confirmedAt+WithdrawalTerm-now, 0)
}
