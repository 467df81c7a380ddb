package quota

import (
	"math/rand"
	"testing"
	"time"
)

const second = time.Second

var testLimits = Limits{Rate: 100, Burst: 100}

// ownerWithLoan returns an owner that has borrowed all fractions at time 0, with full buckets.
func ownerWithLoan(t *testing.T) *Owner {
	t.Helper()
	o := NewOwner("owner", 1)
	o.SetAccounts(0, map[string]Limits{"a": testLimits})
	o.SetOwnership(0, true, []string{"holder"})
	o.Grant(0, Demand{Account: "a", Want: 1})
	ask := o.LoanRequests(0)[0]
	o.HandleLoan(0, 0, "holder", ask.Request.Serial, Loan{Fractions: allFractions, Tokens: map[string]float64{"a": 1000}})
	if got := o.pools["a"].bucket.Level(); got != testLimits.capacity(FractionCount) {
		t.Fatalf("level %.1f, want a full bucket", got)
	}
	return o
}

// grantee is a requester whose tokens are checked against the bound when they are used.
type grantee struct {
	*Requester
	check     boundCheck
	maxExcess float64
}

func newGrantee() *grantee {
	g := &grantee{Requester: NewRequester(), check: boundCheck{limits: testLimits}}
	g.SetAccounts(map[string]Limits{"a": testLimits})
	return g
}

// draw empties the pool at now; the answer arrives at answered.
func (g *grantee) draw(o *Owner, now, answered time.Duration) {
	ask := GrantRequest{Owner: "owner", Demands: []Demand{{Account: "a", Want: 1000}}}
	g.HandleGrants(answered, now, ask, 1, []Grant{o.Grant(now, ask.Demands[0])})
}

// use admits statements while take has tokens.
func (g *grantee) use(now time.Duration, take func() bool) {
	for take() {
		g.maxExcess = max(g.maxExcess, g.check.admit(now))
	}
}

// Guards against tokens of a late answer being used next to what the pool has refilled.
func TestLifetimeCountsFromTheRequest(t *testing.T) {
	o, g := ownerWithLoan(t), newGrantee()
	g.draw(o, 0, 1900*time.Millisecond)
	g.draw(o, 1900*time.Millisecond, 1900*time.Millisecond)
	g.use(1900*time.Millisecond, func() bool { return g.accounts["a"].take(1900 * time.Millisecond) })
	if g.maxExcess > 0 {
		t.Errorf("%.1f tokens above the bound", g.maxExcess)
	}
}

// lendingSetup is a holder of all fractions, an owner and a requester at different instances.
type lendingSetup struct {
	*grantee
	holder *Holder
	owner  *Owner
}

// lentAt is when the owner of a newLendingSetup borrows the fractions, which are full by then.
const lentAt = 2 * second

// newLendingSetup returns a trio whose owner has borrowed full fractions.
func newLendingSetup() *lendingSetup {
	r := &lendingSetup{newGrantee(), NewHolder(), NewOwner("owner", 1)}
	r.holder.SetAccounts(0, map[string]Limits{"a": testLimits})
	r.holder.SetUsable(0, allFractions, HoldTerm)
	r.owner.SetAccounts(0, map[string]Limits{"a": testLimits})
	r.owner.SetOwnership(lentAt, true, []string{"holder"})
	r.borrow(lentAt)
	return r
}

// borrow lends the fractions to the owner if it asks for them.
func (r *lendingSetup) borrow(now time.Duration) {
	r.owner.lastDemand, r.owner.hasDemand = now, true
	for _, ask := range r.owner.LoanRequests(now) {
		r.owner.HandleLoan(now, now, "holder", ask.Request.Serial, r.holder.Lend(now, ask.Request))
	}
}

// useStock uses the tokens of the requester.
func (r *lendingSetup) useStock(now time.Duration) {
	r.use(now, func() bool { return r.accounts["a"].take(now) })
}

// useLocal uses the tokens of the holder's own fractions and returns their number.
func (r *lendingSetup) useLocal(now time.Duration) int {
	used := 0
	r.use(now, func() bool {
		if !r.holder.Take(now, "a") {
			return false
		}
		used++
		return true
	})
	return used
}

// Guards against tokens used at the end of their lifetime together with what the fractions have
// refilled at their holder, after the pool drew everything and the loan was handed back or ended.
func TestDelayedTokensKeepTheBoundAfterTheLoan(t *testing.T) {
	const drawn = lentAt + LoanTerm - time.Millisecond
	const late = drawn + MaxTokenLifetime - time.Millisecond
	for _, handsBack := range []bool{true, false} {
		r := newLendingSetup()
		r.draw(r.owner, drawn, drawn)
		r.owner.SetOwnership(drawn, !handsBack, nil)
		used := 0
		for now := drawn; now < drawn+second; now += time.Millisecond {
			for _, back := range r.owner.HandBacks(now) {
				r.holder.AcceptHandBack(now, back.HandBack)
			}
			if now >= late {
				r.useStock(now)
				used += r.useLocal(now)
			}
		}
		if r.maxExcess > 0 {
			t.Errorf("hands back %v: %.1f tokens above the bound", handsBack, r.maxExcess)
		}
		if used < 10 {
			t.Errorf("hands back %v: the holder used %d tokens of its fractions, want 10 at least", handsBack, used)
		}
	}
}

// Guards against unused tokens that return to a pool after the fractions that they were drawn from
// have left it: the holder has refilled and used that room.
func TestUnusedTokensDontReturnAfterTheLoan(t *testing.T) {
	const drawn = lentAt + LoanTerm - time.Millisecond
	const returned = drawn + slotWidth + slotTerm - 2*time.Millisecond
	r := newLendingSetup()
	g := r.owner.Grant(drawn, Demand{Account: "a", Want: 1000})
	r.useLocal(returned)
	r.borrow(returned)
	unused := SettledTokens{Epoch: 1, Slot: g.Slot, Unused: g.Tokens}
	again := r.owner.Grant(returned, Demand{Account: "a", Want: 1000, Settled: []SettledTokens{unused}})
	for range again.Tokens {
		r.maxExcess = max(r.maxExcess, r.check.admit(returned))
	}
	if r.owner.fractions() != allFractions || g.Tokens == 0 {
		t.Fatalf("the owner has fractions %x and drew %d tokens", r.owner.fractions(), g.Tokens)
	}
	if r.maxExcess > 0 {
		t.Errorf("%.1f tokens above the bound", r.maxExcess)
	}
}

// Guards against an account that is removed and comes back: its pool must still count the tokens
// that are outstanding at instances that have not heard of it.
func TestReturningAccountCountsOutstandingTokens(t *testing.T) {
	const late = lentAt + MaxTokenLifetime - time.Millisecond
	r := newLendingSetup()
	r.draw(r.owner, lentAt, lentAt)
	r.owner.SetAccounts(lentAt+time.Millisecond, nil)
	r.owner.SetAccounts(lentAt+2*time.Millisecond, map[string]Limits{"a": testLimits})
	r.useStock(late)
	g := r.owner.Grant(late, Demand{Account: "a", Want: 1000})
	for range g.Tokens {
		r.maxExcess = max(r.maxExcess, r.check.admit(late))
	}
	if r.maxExcess > 0 {
		t.Errorf("%.1f tokens above the bound", r.maxExcess)
	}
}

// Guards against a borrower using fractions after their holder takes them back, because the
// answer was late.
func TestLoanCountsFromTheRequest(t *testing.T) {
	o, h := NewOwner("owner", 1), NewHolder()
	h.SetUsable(0, allFractions, HoldTerm)
	o.SetOwnership(0, true, []string{"holder"})
	o.SetAccounts(0, map[string]Limits{"a": testLimits})
	o.Grant(0, Demand{Account: "a", Want: 1})
	ask := o.LoanRequests(0)[0]
	o.HandleLoan(LoanTerm/2, 0, "holder", ask.Request.Serial, h.Lend(0, ask.Request))
	if o.fractions() != allFractions {
		t.Fatal("a loan in time does not count")
	}
	for now := LoanTerm / 2; now < 2*LoanTerm; now += 10 * time.Millisecond {
		o.expireLoans(now)
		if h.Lent(now) != allFractions && o.fractions() != 0 {
			t.Fatalf("at %v the borrower still uses fractions that the holder uses", now)
		}
	}
}

// Guards against a clock that runs half a percent fast refilling above the rate.
func TestFastClockKeepsTheRate(t *testing.T) {
	var b Bucket
	b.Configure(0, testLimits.rate(FractionCount), 1e9)
	b.Advance(1005 * second) // of a clock with maxClockDrift
	if got, want := b.Level(), 1000*testLimits.Rate; got > want*(1+1e-9) {
		t.Errorf("%.2f tokens in 1000 s of true time, want at most %.2f", got, want)
	}
}

// Guards against a pool using fractions that it has handed back, because an answer came late.
func TestLateLoanAfterHandBackDoesNotCount(t *testing.T) {
	o := ownerWithLoan(t)
	const asked, handedBack, answered = LoanTerm * 3 / 4, LoanTerm * 4 / 5, LoanTerm * 17 / 20
	renewal := o.LoanRequests(asked)[0]
	o.SetOwnership(handedBack, false, nil)
	if got := len(o.HandBacks(handedBack)); got != 1 {
		t.Fatalf("%d hand-backs, want 1", got)
	}
	o.HandleLoan(answered, asked, "holder", renewal.Request.Serial, Loan{Fractions: allFractions})
	if o.fractions() != 0 {
		t.Error("the pool uses fractions that it has handed back")
	}
}

// Guards against a hand-back ending a loan that it does not belong to: that of the owner's present
// process when an earlier one sent it, or a later loan when it arrives late.
func TestHandBackEndsOnlyItsOwnLoan(t *testing.T) {
	h := NewHolder()
	h.SetUsable(0, allFractions, HoldTerm)
	h.Lend(0, LoanRequest{Owner: "owner", Epoch: 2, Serial: 5})
	cases := []struct {
		name     string
		handBack HandBack
		lent     Mask
	}{
		{"earlier process", HandBack{Owner: "owner", Epoch: 1, Serial: 9}, allFractions},
		{"earlier loan", HandBack{Owner: "owner", Epoch: 2, Serial: 4}, allFractions},
		{"other owner", HandBack{Owner: "other", Epoch: 2, Serial: 5}, allFractions},
		{"this loan", HandBack{Owner: "owner", Epoch: 2, Serial: 5}, 0},
	}
	for _, c := range cases {
		h.AcceptHandBack(1, c.handBack)
		if got := h.Lent(1); got != c.lent {
			t.Errorf("%s: fractions %x lent after it, want %x", c.name, got, c.lent)
		}
	}
}

// Guards against a bucket that loses fractions keeping their tokens.
func TestBucketLosesTokensWithItsCapacity(t *testing.T) {
	b := Bucket{level: 10, capacity: 10}
	b.Configure(0, 0, 4)
	if got := b.Level(); got != 4 {
		t.Errorf("level %.1f, want 4", got)
	}
}

// Guards against tokens that return to a pool although nothing is reserved for them: after their
// draw is forgotten, or when another owner granted them.
func TestUnusedTokensReturnOnlyToTheirDraw(t *testing.T) {
	o := ownerWithLoan(t)
	g := o.Grant(0, Demand{Account: "a", Want: 50})
	level := func(now time.Duration, s SettledTokens) float64 {
		o.Grant(now, Demand{Account: "a", Settled: []SettledTokens{s}})
		return o.pools["a"].bucket.Level()
	}
	before := level(0, SettledTokens{})
	if got := level(0, SettledTokens{Epoch: 2, Slot: g.Slot, Unused: 50}); got != before {
		t.Errorf("tokens of another owner returned: level %.1f, want %.1f", got, before)
	}
	if got := level(0, SettledTokens{Epoch: 1, Slot: g.Slot, Unused: 20}); got != before+20 {
		t.Errorf("level %.1f after 20 tokens returned, want %.1f", got, before+20)
	}
	if got := level(0, SettledTokens{Epoch: 1, Slot: g.Slot, Unused: 31}); got != before+20 {
		t.Errorf("more tokens returned than were drawn: level %.1f, want %.1f", got, before+20)
	}
	const forgotten = slotWidth + slotTerm
	o.Grant(forgotten, Demand{Account: "a", Want: 1000})
	before = o.pools["a"].bucket.Level()
	if got := level(forgotten, SettledTokens{Epoch: 1, Slot: g.Slot, Unused: 30}); got != before {
		t.Errorf("tokens of a forgotten draw returned: level %.1f, want %.1f", got, before)
	}
}

// Guards against fractions that come back into use because an old answer of the store arrives
// after a newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	f := NewClaimManager("self", 1, 0, rand.New(rand.NewSource(1)))
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
	slow := HoldTerm.Seconds() / (1 - maxClockDrift)
	fast := claimExpiryTerm.Seconds() / (1 + maxClockDrift)
	if fast <= slow {
		t.Errorf("a fast clock abandons after %.0f s of true time, a slow holder stops after %.0f s", fast, slow)
	}
}

// noPoolShard is a shard whose owner has started with its only holder.
type noPoolShard struct {
	*Shard
	t *testing.T
}

func newNoPoolShard(t *testing.T, started time.Duration) noPoolShard {
	s := NewShard("n1", 1)
	s.SetAccounts(started, map[string]Limits{"a": {Rate: 100, Burst: 10}})
	s.SetOwner(started, "n1", []string{"n2"})
	return noPoolShard{s, t}
}

// round lets the holder answer, and then the owner.
func (s noPoolShard) round(now time.Duration, loan Loan) {
	s.requester.accounts["a"].nextRequestAt = now
	w := s.Poll(now)
	if len(w.GrantRequest.Demands) == 0 || len(w.LoanRequests) == 0 {
		s.t.Fatalf("the owner asks for nothing, or is not asked: %+v", w)
	}
	s.HandleLoan(now, now, w.LoanRequests[0], loan)
	s.HandleGrants(now, now, w.GrantRequest, 1, []Grant{s.Grant(now, w.GrantRequest.Demands[0])})
}

// Guards against callers that wait in vain for an owner whose holders have lost power with it, and against an account
// that stays refused once fractions are lent.
func TestRestAfterACommonStart(t *testing.T) {
	const started = 100 * time.Second
	const age = 300 * time.Millisecond
	s := newNoPoolShard(t, started)
	now := started + 10*time.Millisecond
	s.SetOwner(now, "n1", []string{"n2"})
	if v := s.Admit(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Fatalf("right after the start the verdict is %+v; holders may lend within milliseconds", v)
	}
	s.Grant(now, Demand{Account: "a", Want: 1}) // the owner begins to borrow
	now = started + age
	s.round(now, Loan{})
	if v := s.Retry(now, "a"); v.NoPoolFor < lenderLoanTerm-age || !v.Wait {
		t.Errorf("while fractions rest the verdict is %+v; they rest for %s", v, lenderLoanTerm-age)
	}
	v := s.Refuse(now, "a")
	if v.AboveRate || v.RetryAfter < lenderLoanTerm-age {
		t.Errorf("a caller that can't wait is told %+v; fractions rest for %s", v, lenderLoanTerm-age)
	}
	now += noPoolReportTerm
	if v := s.Admit(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Errorf("the owner's word counts too long: %+v", v)
	}
	s.round(now, Loan{Fractions: allFractions, Tokens: map[string]float64{"a": 5}})
	if v := s.Retry(now, "a"); !v.Admitted {
		t.Errorf("with fractions and tokens the verdict is %+v", v)
	}
}

// Guards against callers that are sent away while the first fractions of a deployment are claimed, which need no rest: a
// burdened machine took 300 ms for it, and refused what a second more would have served.
func TestNoRestWhileFractionsAreClaimed(t *testing.T) {
	const started = 100 * time.Second
	s := newNoPoolShard(t, started)
	now := started + 300*time.Millisecond
	s.SetOwner(now, "n1", nil)
	if v := s.Admit(now, "a"); !v.Wait {
		t.Fatalf("the verdict is %+v", v)
	}
	w := s.Poll(now)
	s.HandleGrants(now, now, w.GrantRequest, 1, []Grant{s.Grant(now, w.GrantRequest.Demands[0])})
	if v := s.Retry(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Errorf("before the first claims the verdict is %+v", v)
	}
}

// Guards against traffic to the owners that grows with instances times accounts: a caller that comes once in ten seconds
// cost 140 demands for the stock that waited for its next statement.
func TestRareCallersCostFewMessages(t *testing.T) {
	const roundTrip, poll = 20 * time.Millisecond, 5 * time.Millisecond
	const most = 10 // demands for one statement
	s := NewShard("n1", 1)
	s.SetAccounts(0, map[string]Limits{"a": {Rate: 100, Burst: 1000}})
	s.SetOwner(0, "n2", []string{"n2"})
	s.requester.recordRoundTrip(roundTrip)
	if v := s.Admit(0, "a"); !v.Wait {
		t.Fatalf("the first statement's verdict is %+v", v)
	}
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += poll {
		w := s.Poll(now)
		for _, d := range w.GrantRequest.Demands {
			sent++
			grant := Grant{Account: "a", Tokens: d.Want, Slot: uint64(sent), Lifetime: MaxTokenLifetime}
			s.HandleGrants(now+roundTrip, now, w.GrantRequest, 2, []Grant{grant})
		}
		if sent == 1 && now == 0 {
			if v := s.Retry(now+roundTrip, "a"); !v.Admitted {
				t.Fatalf("with a token the verdict is %+v", v)
			}
		}
	}
	if sent > most {
		t.Errorf("one statement cost %d demands, at most %d are needed", sent, most)
	}
}

// Guards against owners whose load grows with the fleet, and against so many that loans do.
func TestOwnersGrowWithTheFleet(t *testing.T) {
	for instances, want := range map[int]int{1: 8, 8: 8, 78: 8, 300: 30, 2100: ShardCount} {
		if got := OwnerCount(instances); got != want {
			t.Errorf("%d instances have %d owners, want %d", instances, got, want)
		}
	}
}
