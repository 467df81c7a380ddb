package benchcmd

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

const (
	// quotaSlowRate is the demand of an account at one instance, in statements/s, when its callers
	// are spread over very many instances, quotaFastRate when they use only a few.
	quotaSlowRate = 0.5
	quotaFastRate = 100

	quotaStep        = time.Millisecond     // step of the simulated time
	quotaNearDelay   = time.Millisecond     // one way; short enough for a caller to wait for a grant
	quotaFarDelay    = 4 * time.Millisecond // one way; long enough that tokens have to be stocked
	quotaWarmUp      = 2 * time.Second
	quotaMeasureTime = 10 * time.Second
	quotaUsableTime  = time.Hour
	accountRate      = 1000 // statements/s over all instances
	accountBurst     = 1000 // statements
	ownerAddress     = "10.0.0.1:7432"
	callerAddress    = "10.0.0.2:7432"
)

// quotaSim runs the state machines of one shard in simulated time: holders that share the 64
// fractions, the pool owner, and one instance that serves callers.
type quotaSim struct {
	now         time.Duration
	oneWayDelay time.Duration // one way between instances
	caller      *quota.Shard
	owner       *quota.Shard
	holders     map[string]*quota.Shard
	pending     []delivery // ordered by time

	grantCalls, demands, loanCalls int // answered calls; demands counts those within the grant calls
	bytes                          int // protobuf-encoded requests and answers
	admitted, refused              int
}

// delivery is a message in transit.
type delivery struct {
	at     time.Duration
	handle func()
}

func newQuotaSim(accounts, holders int, oneWayDelay time.Duration) *quotaSim {
	limits := make(map[string]quota.Limits, accounts)
	for i := range accounts {
		limits[accountName(i)] = quota.Limits{Rate: accountRate, Burst: accountBurst}
	}
	s := &quotaSim{oneWayDelay: oneWayDelay, holders: map[string]*quota.Shard{}}
	var names []string
	for i := range holders {
		name := fmt.Sprintf("10.0.1.%d:7432", i+1)
		names = append(names, name)
		s.holders[name] = quota.NewShard(name, uint64(i+10))
		s.holders[name].SetAccounts(0, limits)
		s.holders[name].SetUsable(0, fractionsOfHolder(i, holders), quotaUsableTime)
	}
	s.owner, s.caller = quota.NewShard(ownerAddress, 1), quota.NewShard(callerAddress, 2)
	for _, shard := range []*quota.Shard{s.owner, s.caller} {
		shard.SetAccounts(0, limits)
		shard.SetOwner(0, ownerAddress, names)
	}
	return s
}

// fractionsOfHolder returns the fractions that holder i of n has.
func fractionsOfHolder(i, n int) quota.Mask {
	var m quota.Mask
	for f := i; f < quota.FractionCount; f += n {
		m |= 1 << f
	}
	return m
}

func (s *quotaSim) send(arrive func()) {
	s.pending = append(s.pending, delivery{s.now + s.oneWayDelay, arrive})
}

// runFor simulates the given time span, in which each account's callers send rate statements/s.
func (s *quotaSim) runFor(span time.Duration, accounts int, rate float64) {
	period := time.Duration(float64(time.Second) / rate)
	for end := s.now + span; s.now < end; s.now += quotaStep {
		s.deliver()
		for a := range accounts {
			offset := period * time.Duration(a) / time.Duration(accounts)
			if (s.now+period-offset)%period < quotaStep {
				s.handleVerdict(s.caller.Admit(s.now, accountName(a)), accountName(a))
			}
		}
		s.poll(s.caller)
		s.poll(s.owner)
	}
}

func (s *quotaSim) deliver() {
	for len(s.pending) > 0 && s.pending[0].at <= s.now {
		first := s.pending[0]
		s.pending = s.pending[1:]
		first.handle()
	}
}

// handleVerdict counts the verdict on a statement. A statement that has to wait is retried once an
// answer may have arrived.
func (s *quotaSim) handleVerdict(v quota.Verdict, account string) {
	switch {
	case v.Admitted:
		s.admitted++
	case v.Wait:
		s.send(func() { s.handleVerdict(s.caller.Retry(s.now, account), account) })
	default:
		s.refused++
	}
}

func (s *quotaSim) poll(shard *quota.Shard) {
	work := shard.Poll(s.now)
	if len(work.GrantRequest.Demands) > 0 {
		s.requestGrant(work.GrantRequest)
	}
	for _, l := range work.LoanRequests {
		s.requestLoan(l)
	}
}

// requestGrant delivers a grant request to the owner and the answer to the caller.
func (s *quotaSim) requestGrant(grantRequest quota.GrantRequest) {
	sent := s.now
	request := &peerpb.GrantRequest{From: callerAddress}
	for _, d := range grantRequest.Demands {
		request.Accounts = append(request.Accounts, demandMessage(d))
	}
	s.send(func() {
		var grants []quota.Grant
		answer := &peerpb.Grants{Epoch: 1}
		for _, d := range grantRequest.Demands {
			g := s.owner.Grant(s.now, d)
			grants = append(grants, g)
			answer.Accounts = append(answer.Accounts, grantMessage(g))
		}
		s.grantCalls++
		s.demands += len(grants)
		s.bytes += proto.Size(request) + proto.Size(answer)
		s.send(func() { s.caller.HandleGrants(s.now, sent, grantRequest, 1, grants) })
	})
}

// demandMessage and grantMessage fill the same fields as proxy/quota does.
func demandMessage(d quota.Demand) *peerpb.AccountDemand {
	m := &peerpb.AccountDemand{Account: d.Account, Want: uint32(d.Want)}
	for _, s := range d.Settled {
		m.Settled = append(m.Settled, &peerpb.SettledTokens{
			Epoch: s.Epoch, Slot: s.Slot, Used: uint32(s.Used), Unused: uint32(s.Unused),
		})
	}
	return m
}

func grantMessage(g quota.Grant) *peerpb.AccountGrant {
	return &peerpb.AccountGrant{
		Account: g.Account, Tokens: uint32(g.Tokens), Slot: g.Slot, LifetimeUs: uint64(g.Lifetime.Microseconds()),
	}
}

// requestLoan delivers a loan request to a holder and the answer to the owner.
func (s *quotaSim) requestLoan(loanRequest quota.OutgoingLoanRequest) {
	sent := s.now
	request := &peerpb.LoanRequest{Owner: ownerAddress, Epoch: 1, Shards: []*peerpb.ShardLoanRequest{{Shard: 1, Serial: loanRequest.Request.Serial}}}
	s.send(func() {
		loan := s.holders[loanRequest.Holder].Lend(s.now, loanRequest.Request)
		answer := &peerpb.ShardLoan{Shard: 1, Serial: loanRequest.Request.Serial, Fractions: uint64(loan.Fractions)}
		for account, n := range loan.Tokens {
			answer.Tokens = append(answer.Tokens, &peerpb.AccountTokens{Account: account, Tokens: n})
		}
		s.loanCalls++
		s.bytes += proto.Size(request) + proto.Size(&peerpb.Loan{Shards: []*peerpb.ShardLoan{answer}})
		s.send(func() { s.owner.HandleLoan(s.now, sent, loanRequest, loan) })
	})
}

// measure runs the warm-up and then quotaMeasureTime. It returns the CPU time of the latter in
// microseconds per simulated second.
func (s *quotaSim) measure(accounts int, rate float64) (cpu float64, err error) {
	s.runFor(quotaWarmUp, accounts, rate)
	s.grantCalls, s.demands, s.loanCalls, s.bytes, s.admitted, s.refused = 0, 0, 0, 0, 0, 0
	cpu, err = cpuCost(func() error { s.runFor(quotaMeasureTime, accounts, rate); return nil })
	return cpu / quotaMeasureTime.Seconds(), err
}

func perSecond(values ...int) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = float64(v) / quotaMeasureTime.Seconds()
	}
	return out
}

// quotaRequester measures the grants to one instance by the number of accounts of a shard that its
// callers use.
func quotaRequester(name string, rate float64, oneWayDelay time.Duration) measurement {
	per := fmt.Sprintf("account with %g statements/s at an instance, %v from the owner", rate, oneWayDelay)
	name = "quota.grant." + name + "."
	return measurement{
		sizes: []int{4, 8, 16},
		quantities: []quantity{
			{name + "calls", "calls/s", per, "decision/quota"},
			{name + "demands", "demands/s", per, "decision/quota"},
			{name + "bytes", "B/s", per + ", without framing", "decision/quota"},
			{name + "cpu", "µs/s", per + ", both ends with 1,000 passes/s each", "decision/quota"},
			{name + "refused", "statements/s", per, "decision/quota"},
		},
		setUp: withoutSetup(func(accounts int) ([]float64, error) {
			s := newQuotaSim(accounts, 1, oneWayDelay)
			cpu, err := s.measure(accounts, rate)
			// quotaLoans measures the loans.
			values := perSecond(s.grantCalls, s.demands, s.bytes)
			return slices.Concat(values, []float64{cpu}, perSecond(s.refused)), err
		}),
	}
}

// quotaLoans measures the loans of a shard with 8 accounts by the number of holders.
func quotaLoans() measurement {
	const accounts = 8
	return measurement{
		sizes: []int{8, 16, 32, 64},
		quantities: []quantity{
			{"quota.loan.calls", "calls/s", "holder of a shard in use", "decision/quota"},
			{"quota.loan.bytes", "B/s", "holder of a shard with 8 accounts in use", "decision/quota"},
			{"quota.loan.cpu", "µs/s", "holder of a shard with 8 accounts in use, both ends", "decision/quota"},
		},
		setUp: withoutSetup(func(holders int) ([]float64, error) {
			s := newQuotaSim(accounts, holders, quotaFarDelay)
			cpu, err := s.measure(accounts, quotaFastRate)
			return append(perSecond(s.loanCalls, s.bytes), cpu), err
		}),
	}
}

// quotaPoll measures the CPU time of a pass over accounts without traffic and their memory.
func quotaPoll() measurement {
	return measurement{
		sizes: []int{1000, 2000, 4000},
		quantities: []quantity{
			{"quota.poll.cpu", "µs", "account without traffic, for one pass", "decision/quota"},
			{"quota.account.memory", "B", "account, as holder, owner and requester", "decision/quota"},
		},
		setUp: withoutSetup(func(accounts int) ([]float64, error) {
			const passes = 200
			var shard *quota.Shard
			memory, _ := retainedBytes(func() (any, error) {
				shard = newQuotaSim(accounts, 1, quotaNearDelay).caller
				return shard, nil
			})
			cpu, err := cpuCost(func() error {
				for range passes {
					shard.Poll(0)
				}
				return nil
			})
			return []float64{cpu / passes, memory}, err
		}),
	}
}
