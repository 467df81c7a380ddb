package quota

import (
	"math/rand"
	"testing"
	"time"
)

const second = time.Second

var testLimits = Limits{Rate: 100, Burst: 100}

// ownerWithLoan returns an owner that has borrowed all fractions at time 0 and has full buckets.
func ownerWithLoan(t *testing.T) *Owner {
	t.Helper()
	o := NewOwner("owner", 1)
	o.SetAccounts(0, map[string]Limits{"a": testLimits})
	o.SetOwnership(0, true, []string{"holder"})
	o.Grant(0, Demand{Account: "a", Want: 1})
	outgoing := o.LoanRequests(0)[0]
	o.HandleLoan(0, 0, "holder", outgoing.Request.Serial, Loan{Fractions: allFractions, Tokens: map[string]float64{"a": 1000}})
	if got := o.pools["a"].bucket.Level(); got != testLimits.capacity(FractionCount) {
		t.Fatalf("level %.1f, want a full bucket", got)
	}
	return o
}

// grantee is a requester that checks the use of its tokens against the bound.
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

// draw requests all tokens of the pool at now; the answer arrives at answered.
func (g *grantee) draw(o *Owner, now, answered time.Duration) {
	request := GrantRequest{Owner: "owner", Demands: []Demand{{Account: "a", Want: 1000}}}
	g.HandleGrants(answered, now, request, 1, []Grant{o.Grant(now, request.Demands[0])})
}

// use admits statements while take has tokens.
func (g *grantee) use(now time.Duration, take func() bool) {
	for take() {
		g.maxExcess = max(g.maxExcess, g.check.admit(now))
	}
}

// Guards against tokens of a late answer that are used in addition to what the pool has refilled.
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

// lentAt is when the owner of a lendingSetup borrows the fractions. Their buckets are full by then.
const lentAt = 2 * second

// newLendingSetup returns a lendingSetup whose owner has borrowed fractions with full buckets.
func newLendingSetup() *lendingSetup {
	s := &lendingSetup{newGrantee(), NewHolder(), NewOwner("owner", 1)}
	s.holder.SetAccounts(0, map[string]Limits{"a": testLimits})
	s.holder.SetUsable(0, allFractions, HoldTerm)
	s.owner.SetAccounts(0, map[string]Limits{"a": testLimits})
	s.owner.SetOwnership(lentAt, true, []string{"holder"})
	s.borrow(lentAt)
	return s
}

// borrow processes the loan requests of the owner.
func (s *lendingSetup) borrow(now time.Duration) {
	s.owner.lastDemand, s.owner.hasDemand = now, true
	for _, outgoing := range s.owner.LoanRequests(now) {
		s.owner.HandleLoan(now, now, "holder", outgoing.Request.Serial, s.holder.Lend(now, outgoing.Request))
	}
}

// useStock uses the tokens of the requester.
func (s *lendingSetup) useStock(now time.Duration) {
	s.use(now, func() bool { return s.accounts["a"].take(now) })
}

// useLocal uses the tokens of the holder's own fractions and returns how many there were.
func (s *lendingSetup) useLocal(now time.Duration) int {
	used := 0
	s.use(now, func() bool {
		if !s.holder.Take(now, "a") {
			return false
		}
		used++
		return true
	})
	return used
}

// Guards against tokens used at the end of their lifetime in addition to what the fractions have
// refilled at their holder, after the pool granted all its tokens and the loan was handed back or
// ended.
func TestDelayedTokensKeepTheBoundAfterTheLoan(t *testing.T) {
	const drawn = lentAt + LoanTerm - time.Millisecond
	const late = drawn + MaxTokenLifetime - time.Millisecond
	for _, handsBack := range []bool{true, false} {
		s := newLendingSetup()
		s.draw(s.owner, drawn, drawn)
		s.owner.SetOwnership(drawn, !handsBack, nil)
		used := 0
		for now := drawn; now < drawn+second; now += time.Millisecond {
			for _, back := range s.owner.HandBacks(now) {
				s.holder.AcceptHandBack(now, back.HandBack)
			}
			if now >= late {
				s.useStock(now)
				used += s.useLocal(now)
			}
		}
		if s.maxExcess > 0 {
			t.Errorf("hands back %v: %.1f tokens above the bound", handsBack, s.maxExcess)
		}
		if used < 10 {
			t.Errorf("hands back %v: the holder used %d tokens of its fractions, want at least 10", handsBack, used)
		}
	}
}

// Guards against unused tokens that return to a pool after the fractions that they were drawn from
// have left it: the holder has refilled and used that capacity.
func TestUnusedTokensDontReturnAfterTheLoan(t *testing.T) {
	const drawn = lentAt + LoanTerm - time.Millisecond
	const returned = drawn + slotWidth + slotTerm - 2*time.Millisecond
	s := newLendingSetup()
	g := s.owner.Grant(drawn, Demand{Account: "a", Want: 1000})
	s.useLocal(returned)
	s.borrow(returned)
	unused := SettledTokens{Epoch: 1, Slot: g.Slot, Unused: g.Tokens}
	again := s.owner.Grant(returned, Demand{Account: "a", Want: 1000, Settled: []SettledTokens{unused}})
	for range again.Tokens {
		s.maxExcess = max(s.maxExcess, s.check.admit(returned))
	}
	if s.owner.fractions() != allFractions || g.Tokens == 0 {
		t.Fatalf("the owner has fractions %x and granted %d tokens, want all fractions and some tokens", s.owner.fractions(), g.Tokens)
	}
	if s.maxExcess > 0 {
		t.Errorf("%.1f tokens above the bound", s.maxExcess)
	}
}

// Guards against an account that is removed and returns: its pool must still count the tokens that
// are outstanding at instances that did not see the removal.
func TestReturningAccountCountsOutstandingTokens(t *testing.T) {
	const late = lentAt + MaxTokenLifetime - time.Millisecond
	s := newLendingSetup()
	s.draw(s.owner, lentAt, lentAt)
	s.owner.SetAccounts(lentAt+time.Millisecond, nil)
	s.owner.SetAccounts(lentAt+2*time.Millisecond, map[string]Limits{"a": testLimits})
	s.useStock(late)
	g := s.owner.Grant(late, Demand{Account: "a", Want: 1000})
	for range g.Tokens {
		s.maxExcess = max(s.maxExcess, s.check.admit(late))
	}
	if s.maxExcess > 0 {
		t.Errorf("%.1f tokens above the bound", s.maxExcess)
	}
}

// Guards against a borrower that uses fractions after their holder has taken them back, because the
// answer arrived late.
func TestLoanCountsFromTheRequest(t *testing.T) {
	o, h := NewOwner("owner", 1), NewHolder()
	h.SetUsable(0, allFractions, HoldTerm)
	o.SetOwnership(0, true, []string{"holder"})
	o.SetAccounts(0, map[string]Limits{"a": testLimits})
	o.Grant(0, Demand{Account: "a", Want: 1})
	outgoing := o.LoanRequests(0)[0]
	o.HandleLoan(LoanTerm/2, 0, "holder", outgoing.Request.Serial, h.Lend(0, outgoing.Request))
	if o.fractions() != allFractions {
		t.Fatal("the owner ignores a loan that arrived in time")
	}
	for now := LoanTerm / 2; now < 2*LoanTerm; now += 10 * time.Millisecond {
		o.expireLoans(now)
		if h.Lent(now) != allFractions && o.fractions() != 0 {
			t.Fatalf("at %v the borrower still uses fractions that the holder uses again", now)
		}
	}
}

// Guards against a clock that runs half a percent fast and refills above the rate.
func TestFastClockKeepsTheRate(t *testing.T) {
	var b Bucket
	b.Configure(0, testLimits.rate(FractionCount), 1e9)
	b.Advance(1005 * second) // of a clock with maxClockDrift
	if got, want := b.Level(), 1000*testLimits.Rate; got > want*(1+1e-9) {
		t.Errorf("%.2f tokens in 1000 s of true time, want at most %.2f", got, want)
	}
}

// Guards against a pool that uses fractions after handing them back, because an answer arrived
// late.
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

// Guards against a hand-back that ends another loan: one sent by an earlier process of the owner
// ends the loan of the present process, or a late one ends a later loan.
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
			t.Errorf("%s: fractions %x lent after the hand-back, want %x", c.name, got, c.lent)
		}
	}
}

// Guards against a bucket that keeps the tokens of fractions it has lost.
func TestBucketLosesTokensWithItsCapacity(t *testing.T) {
	b := Bucket{level: 10, capacity: 10}
	b.Configure(0, 0, 4)
	if got := b.Level(); got != 4 {
		t.Errorf("level %.1f, want 4", got)
	}
}

// Guards against tokens that return to a pool that has no capacity reserved for them: after their
// draw has expired, or when another owner granted them.
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
	const expired = slotWidth + slotTerm
	o.Grant(expired, Demand{Account: "a", Want: 1000})
	before = o.pools["a"].bucket.Level()
	if got := level(expired, SettledTokens{Epoch: 1, Slot: g.Slot, Unused: 30}); got != before {
		t.Errorf("tokens of an expired draw returned: level %.1f, want %.1f", got, before)
	}
}

// Guards against fractions that become usable again because an older answer of the store arrives
// after a newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	m := NewClaimManager("self", 1, 0, rand.New(rand.NewSource(1)))
	m.Observe(0, Record{}, 0)
	held, _ := m.Plan(0, 1, 0)
	m.Observe(0, held, 1)
	m.Drain()
	freed, _ := m.Plan(second, 1, 0)
	m.Observe(second, freed, 2)
	m.Observe(second, held, 1)
	if m.held != 0 {
		t.Error("an older record made fractions usable again in a drained process")
	}
}

// Guards against fractions that are claimed from a holder whose clock is slow and that still uses
// them.
func TestClaimExpiryCoversSlowHolder(t *testing.T) {
	slow := HoldTerm.Seconds() / (1 - maxClockDrift)
	fast := claimExpiryTerm.Seconds() / (1 + maxClockDrift)
	if fast <= slow {
		t.Errorf("a claim expires after %.0f s of true time by a fast clock, but a slow holder stops only after %.0f s", fast, slow)
	}
}

// noPoolShard is a shard whose owner has started at the same time as its only holder.
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

// round sends one loan request and one grant request, and answers them with loan and the grant of
// the owner.
func (s noPoolShard) round(now time.Duration, loan Loan) {
	s.requester.accounts["a"].nextRequestAt = now
	messages := s.Poll(now)
	if len(messages.GrantRequest.Demands) == 0 || len(messages.LoanRequests) == 0 {
		s.t.Fatalf("messages are %+v, want a loan request and a grant request", messages)
	}
	s.HandleLoan(now, now, messages.LoanRequests[0], loan)
	s.HandleGrants(now, now, messages.GrantRequest, 1, []Grant{s.Grant(now, messages.GrantRequest.Demands[0])})
}

// Guards against callers that wait in vain for an owner whose holders lost power together with it,
// and against an account that is still refused once fractions are lent.
func TestNoPoolAfterCommonStart(t *testing.T) {
	const started = 100 * time.Second
	const age = 300 * time.Millisecond
	s := newNoPoolShard(t, started)
	now := started + 10*time.Millisecond
	s.SetOwner(now, "n1", []string{"n2"})
	if v := s.Admit(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Fatalf("verdict right after the start is %+v, want Wait without NoPoolFor: holders may lend within milliseconds", v)
	}
	s.Grant(now, Demand{Account: "a", Want: 1}) // the owner begins to borrow
	now = started + age
	s.round(now, Loan{})
	if v := s.Retry(now, "a"); v.NoPoolFor < lenderLoanTerm-age || !v.Wait {
		t.Errorf("verdict during the quarantine is %+v, want Wait and NoPoolFor of at least %s", v, lenderLoanTerm-age)
	}
	v := s.Refuse(now, "a")
	if v.AboveRate || v.RetryAfter < lenderLoanTerm-age {
		t.Errorf("refusal during the quarantine is %+v, want RetryAfter of at least %s and not AboveRate", v, lenderLoanTerm-age)
	}
	now += noPoolReportTerm
	if v := s.Admit(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Errorf("verdict after noPoolReportTerm is %+v, want Wait without NoPoolFor", v)
	}
	s.round(now, Loan{Fractions: allFractions, Tokens: map[string]float64{"a": 5}})
	if v := s.Retry(now, "a"); !v.Admitted {
		t.Errorf("verdict with fractions and tokens is %+v, want Admitted", v)
	}
}

// Guards against refusals while the first fractions of a deployment are claimed, which need no
// quarantine: on a loaded machine claiming took 300 ms, and statements were refused that could have
// been served a second later.
func TestCallersWaitWhileFractionsAreClaimed(t *testing.T) {
	const started = 100 * time.Second
	s := newNoPoolShard(t, started)
	now := started + 300*time.Millisecond
	s.SetOwner(now, "n1", nil)
	if v := s.Admit(now, "a"); !v.Wait {
		t.Fatalf("verdict is %+v, want Wait", v)
	}
	messages := s.Poll(now)
	s.HandleGrants(now, now, messages.GrantRequest, 1, []Grant{s.Grant(now, messages.GrantRequest.Demands[0])})
	if v := s.Retry(now, "a"); !v.Wait || v.NoPoolFor != 0 {
		t.Errorf("verdict before the first claims is %+v, want Wait without NoPoolFor", v)
	}
}

// Guards against traffic to the owners that grows with instances times accounts: a caller that sent
// one statement in ten seconds cost 140 demands, because its stock was refreshed until the next
// statement.
func TestRareCallersCostFewMessages(t *testing.T) {
	const roundTrip, poll = 20 * time.Millisecond, 5 * time.Millisecond
	const maxDemands = 10 // demands for one statement
	s := NewShard("n1", 1)
	s.SetAccounts(0, map[string]Limits{"a": {Rate: 100, Burst: 1000}})
	s.SetOwner(0, "n2", []string{"n2"})
	s.requester.recordRoundTrip(roundTrip)
	if v := s.Admit(0, "a"); !v.Wait {
		t.Fatalf("verdict on the first statement is %+v, want Wait", v)
	}
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += poll {
		messages := s.Poll(now)
		for _, d := range messages.GrantRequest.Demands {
			sent++
			grant := Grant{Account: "a", Tokens: d.Want, Slot: uint64(sent), Lifetime: MaxTokenLifetime}
			s.HandleGrants(now+roundTrip, now, messages.GrantRequest, 2, []Grant{grant})
		}
		if sent == 1 && now == 0 {
			if v := s.Retry(now+roundTrip, "a"); !v.Admitted {
				t.Fatalf("verdict with a token in stock is %+v, want Admitted", v)
			}
		}
	}
	if sent > maxDemands {
		t.Errorf("one statement cost %d demands, want at most %d", sent, maxDemands)
	}
}

// Guards against a load per owner that grows with the fleet, and against so many owners that the
// loans grow with it.
func TestOwnersGrowWithTheFleet(t *testing.T) {
	for instances, want := range map[int]int{1: 8, 8: 8, 78: 8, 300: 30, 2100: ShardCount} {
		if got := OwnerCount(instances); got != want {
			t.Errorf("%d instances have %d owners, want %d", instances, got, want)
		}
	}
}
