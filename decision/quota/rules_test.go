package quota

import (
	"math/rand"
	"testing"
	"time"
)

const second = time.Second

var ruleLimits = Limits{Rate: 100, Burst: 100}

// ownerWithLoan returns an owner that has borrowed all fractions at time 0, with full buckets.
func ownerWithLoan(t *testing.T) *Owner {
	t.Helper()
	o := NewOwner("owner", 1)
	o.SetAccounts(0, map[string]Limits{"a": ruleLimits})
	o.SetOwning(0, true, []string{"holder"})
	o.Grant(0, Demand{Account: "a", Want: 1})
	ask := o.Asks(0)[0]
	o.Borrowed(0, 0, "holder", ask.Request.Serial, Loan{Fractions: allFractions, Tokens: map[string]float64{"a": 1000}})
	if got := o.pools["a"].bucket.Level(); got != ruleLimits.capacity(FractionCount) {
		t.Fatalf("level %.1f, want a full bucket", got)
	}
	return o
}

// Guards against a window of tokens drawn before it and used in it that exceeds burst + rate*w:
// a full bucket is drawn, used at the end of its lifetime, and what was refilled is used at once.
func TestDelayedTokensKeepTheBound(t *testing.T) {
	o, r := ownerWithLoan(t), NewRequester()
	r.SetAccounts(map[string]Limits{"a": ruleLimits})
	r.SetOwner("owner")
	s := r.accounts["a"]
	check := &boundCheck{limits: ruleLimits}
	draw := func(now, answered time.Duration) {
		ask := Ask{Owner: "owner", Demands: []Demand{{Account: "a", Want: 1000}}}
		r.Granted(answered, now, ask, 1, []Grant{o.Grant(now, ask.Demands[0])})
	}
	use := func(now time.Duration) {
		for s.take(now) {
			if over := check.admit(now); over > 0 {
				t.Fatalf("at %v: %.1f tokens above the bound", now, over)
			}
		}
	}
	draw(0, 150*time.Millisecond)
	use(199 * time.Millisecond)
	draw(199*time.Millisecond, 199*time.Millisecond)
	use(199 * time.Millisecond)
	draw(200*time.Millisecond, 1900*time.Millisecond)
	draw(1900*time.Millisecond, 1900*time.Millisecond)
	use(1900 * time.Millisecond)
}

// Guards against a clock that runs half a percent fast refilling above the rate.
func TestFastClockKeepsTheRate(t *testing.T) {
	var b Bucket
	b.Configure(0, ruleLimits.rate(FractionCount), 1e9)
	b.Advance(1005 * second) // of a clock with clockDeviation
	if got, want := b.Level(), 1000*ruleLimits.Rate; got > want*(1+1e-9) {
		t.Errorf("%.2f tokens in 1000 s of true time, want at most %.2f", got, want)
	}
}

// Guards against a pool using fractions that it has handed back, because an answer came late.
func TestLateLoanAfterHandBackDoesNotCount(t *testing.T) {
	o := ownerWithLoan(t)
	renewal := o.Asks(1500 * time.Millisecond)[0]
	o.SetOwning(1600*time.Millisecond, false, nil)
	if got := len(o.HandBacks(1600 * time.Millisecond)); got != 1 {
		t.Fatalf("%d hand-backs, want 1", got)
	}
	o.Borrowed(1700*time.Millisecond, 1500*time.Millisecond, "holder", renewal.Request.Serial, Loan{Fractions: allFractions})
	if o.fractions() != 0 {
		t.Error("the pool uses fractions that it has handed back")
	}
}

// Guards against a hand-back of an owner's earlier process ending the loan of its present one.
func TestHandBackOfEarlierProcessIsIgnored(t *testing.T) {
	h := NewHolder()
	h.SetUsable(0, allFractions, HoldTerm)
	h.Lend(0, LoanRequest{Owner: "owner", Epoch: 2, Serial: 1})
	h.HandBack(1, HandBack{Owner: "owner", Epoch: 1, Serial: 9})
	if h.Lent(1) != allFractions {
		t.Error("a hand-back of another process has ended the loan")
	}
}

// Guards against tokens that return to a pool although nothing is reserved for them: after their
// draw is forgotten, or when another owner granted them.
func TestUnusedTokensReturnOnlyToTheirDraw(t *testing.T) {
	o := ownerWithLoan(t)
	g := o.Grant(0, Demand{Account: "a", Want: 50})
	level := func(now time.Duration, s Settled) float64 {
		o.Grant(now, Demand{Account: "a", Settled: []Settled{s}})
		return o.pools["a"].bucket.Level()
	}
	before := level(0, Settled{})
	if got := level(0, Settled{Epoch: 2, Slot: g.Slot, Unused: 50}); got != before {
		t.Errorf("tokens of another owner returned: level %.1f, want %.1f", got, before)
	}
	if got := level(0, Settled{Epoch: 1, Slot: g.Slot, Unused: 20}); got != before+20 {
		t.Errorf("level %.1f after 20 tokens returned, want %.1f", got, before+20)
	}
	if got := level(0, Settled{Epoch: 1, Slot: g.Slot, Unused: 31}); got != before+20 {
		t.Errorf("more tokens returned than were drawn: level %.1f, want %.1f", got, before+20)
	}
	o.Grant(second, Demand{Account: "a", Want: 1000})
	before = o.pools["a"].bucket.Level()
	if got := level(second, Settled{Epoch: 1, Slot: g.Slot, Unused: 30}); got != before {
		t.Errorf("tokens of a forgotten draw returned: level %.1f, want %.1f", got, before)
	}
}

// Guards against fractions that come back into use because an old answer of the store arrives
// after a newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	f := NewFractions("self", 1, 0, rand.New(rand.NewSource(1)))
	f.Observe(0, Record{}, 0)
	held, _ := f.Plan(0, 1, 0)
	f.Observe(0, held, 1)
	f.Drain()
	freed, _ := f.Plan(second, 1, 0)
	f.Observe(second, freed, 2)
	f.Observe(second, held, 1)
	if f.held != 0 {
		t.Error("an older record gave fractions back to a drained process")
	}
}

// Guards against fractions being claimed from a holder whose clock is slow and that still uses
// them.
func TestAbandonTermCoversSlowHolder(t *testing.T) {
	slow := HoldTerm.Seconds() / (1 - clockDeviation)
	fast := abandonTerm.Seconds() / (1 + clockDeviation)
	if fast <= slow {
		t.Errorf("a fast clock abandons after %.0f s of true time, a slow holder stops after %.0f s", fast, slow)
	}
}
