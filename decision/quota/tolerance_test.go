package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against owners that together admit more than the tolerance allows, also when each of them restarts once within a
// window: owners of all ranks at the same time, or two that both believe to be the first because their lists differ.
func TestOwnersStayWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := Tolerance{
			Window:  5 * time.Second,
			Overage: float64(rapid.IntRange(0, 30).Draw(t, "overage")) / 100,
			Slack:   float64(rapid.IntRange(0, 50).Draw(t, "slack")),
		}
		limits := Limits{Rate: float64(rapid.IntRange(1, 500).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 1000).Draw(t, "burst"))}
		ranks := rapid.SampledFrom([][]int{{0, 0}, {0, 1, 2, 3, 4, 5, 6, 7, 8, math.MaxInt}}).Draw(t, "ranks")
		admitted := 0
		for range startsPerWindow {
			for _, rank := range ranks {
				var budget ToleranceBudget
				for now := time.Duration(0); now < tolerance.Window; now += 20 * time.Millisecond {
					admitted += budget.Take(now, tolerance.Window, tolerance.ownerShare(limits, rank), 3)
				}
			}
		}
		allowed := tolerance.Overage*(limits.Rate*tolerance.Window.Seconds()+limits.Burst) + tolerance.Slack
		if float64(admitted) > allowed {
			t.Fatalf("%d statements admitted, want at most %g", admitted, allowed)
		}
	})
}

// Guards against accounts within their rate that get nothing after all instances of a large fleet have started, although the
// operator tolerates some statements, and against an owner that goes on granting them once its buckets have filled. Load: 60
// instances, an account with 13 statements a second and a rate of 21.
func TestLoadOwnerToleratesTheStartOfAFleet(t *testing.T) {
	tolerance := OwnerTolerance{Tolerance: Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}
	for _, c := range []struct {
		name string
		at   time.Duration
		loan Mask
		rank int
		want int
	}{
		{"no fractions yet", 300 * time.Millisecond, 0, 0, 6},
		{"empty buckets", 800 * time.Millisecond, allFractions, 0, 6},
		{"second owner", 300 * time.Millisecond, 0, 1, 4},
		{"empty buckets long after the start", 5 * time.Second, allFractions, 0, 0},
	} {
		o := NewOwner("o", 1)
		o.SetAccounts(c.at, map[string]Limits{"a": {Rate: 21, Burst: 42}})
		o.SetOwnership(0, true, []string{"h"})
		tolerance.Rank = c.rank
		o.SetTolerance(tolerance)
		o.Grant(c.at-time.Millisecond, Demand{Account: "other", Want: 1}) // so that the owner borrows
		for _, outgoing := range o.LoanRequests(c.at) {
			o.HandleLoan(c.at, c.at, "h", outgoing.Request.Serial, Loan{Fractions: c.loan})
		}
		granted := 0
		for range 6 {
			granted += o.Grant(c.at, Demand{Account: "a", Want: 1}).Tokens
		}
		if granted != c.want {
			t.Errorf("%s: %d of 6 tokens granted, want %d", c.name, granted, c.want)
		}
	}
}

// Guards against a budget that is not refilled after the window, and against admissions without a
// tolerance.
func TestBudgetRefillsAfterWindow(t *testing.T) {
	const window, share = 5 * time.Second, 4
	var budget ToleranceBudget
	for _, c := range []struct {
		at         time.Duration
		wants, get int
	}{{0, 3, 3}, {0, 3, 1}, {window, 1, 0}, {window + time.Second, 9, share}} {
		if got := budget.Take(c.at, window, share, c.wants); got != c.get {
			t.Errorf("%d of %d statements admitted at %s, want %d", got, c.wants, c.at, c.get)
		}
	}
	if n := (Tolerance{}).ownerShare(Limits{Rate: 1e6, Burst: 1e6}, 0); n != 0 {
		t.Errorf("%d statements allowed without a tolerance", n)
	}
}

// Guards against an owner that lacks fractions and reports the account as above its rate.
func TestGrantReportsPartialPool(t *testing.T) {
	o := NewOwner("o", 1)
	o.SetAccounts(0, map[string]Limits{"a": {Rate: 10, Burst: 10}})
	o.SetOwnership(0, true, []string{"h", "i"})
	o.Grant(0, Demand{Account: "a", Want: 1})
	for _, outgoing := range o.LoanRequests(0) {
		if outgoing.Holder == "h" {
			o.HandleLoan(time.Millisecond, 0, "h", outgoing.Request.Serial, Loan{Fractions: 0xff})
		}
	}
	if g := o.Grant(2*time.Millisecond, Demand{Account: "a", Want: 1}); !g.Partial {
		t.Errorf("grant of a pool with 8 of 64 fractions is %+v, want Partial", g)
	}
	for _, outgoing := range o.LoanRequests(time.Second / 2) {
		o.HandleLoan(time.Second/2, time.Second/2, outgoing.Holder, outgoing.Request.Serial, Loan{Fractions: map[string]Mask{"h": 0xff, "i": ^Mask(0xff)}[outgoing.Holder]})
	}
	if g := o.Grant(time.Second/2+time.Millisecond, Demand{Account: "a", Want: 1}); g.Partial {
		t.Errorf("grant of a pool with all fractions is %+v, want Partial false", g)
	}
}
