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
	// quotaSlowRate is the demand of an account at one instance when its callers are spread over
	// very many instances, quotaFastRate when they reach a few (statements/s).
	quotaSlowRate = 0.5
	quotaFastRate = 100

	quotaStep        = time.Millisecond     // of the simulated time
	quotaNearDelay   = time.Millisecond     // one way, when a caller can wait for a grant
	quotaFarDelay    = 4 * time.Millisecond // one way, when tokens have to be kept in stock
	quotaWarmUp      = 2 * time.Second
	quotaMeasureTime = 10 * time.Second
	quotaUsableTime  = time.Hour
	accountRate      = 1000 // statements/s over all instances
	accountBurst     = 1000 // statements
	ownerAddress     = "10.0.0.1:7432"
	callerAddress    = "10.0.0.2:7432"
)

// quotaSim runs the machines of one shard in simulated time: holders that each have some of the 64
// fractions, a pool owner, and one instance with callers.
type quotaSim struct {
	now         time.Duration
	oneWayDelay time.Duration // one way between instances
	caller      *quota.Shard
	owner       *quota.Shard
	holders     map[string]*quota.Shard
	pending     []delivery // by time

	grantCalls, demands, loanCalls int // calls answered and demands in them
	bytes                          int // protobuf messages of requests and answers
	admitted, refused              int
}

// delivery is a message under way.
type delivery struct {
	at     time.Duration
	handle func()
}

func newQuotaSim(accounts, holders int, trip time.Duration) *quotaSim {
	limits := make(map[string]quota.Limits, accounts)
	for i := range accounts {
		limits[accountName(i)] = quota.Limits{Rate: accountRate, Burst: accountBurst}
	}
	s := &quotaSim{oneWayDelay: trip, holders: map[string]*quota.Shard{}}
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

// fractionsOfHolder returns the fractions of holder i of n.
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

// runFor lets the given time pass; each account's callers send rate statements/s.
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

// handleVerdict tries a statement that waits again when an answer may have come.
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
	w := shard.Poll(s.now)
	if len(w.GrantRequest.Demands) > 0 {
		s.requestGrant(w.GrantRequest)
	}
	for _, l := range w.LoanRequests {
		s.requestLoan(l)
	}
}

// requestGrant carries a grant request to the owner and its answer back.
func (s *quotaSim) requestGrant(ask quota.GrantRequest) {
	sent := s.now
	request := &peerpb.GrantRequest{From: callerAddress}
	for _, d := range ask.Demands {
		request.Accounts = append(request.Accounts, demandMessage(d))
	}
	s.send(func() {
		var grants []quota.Grant
		answer := &peerpb.Grants{Epoch: 1}
		for _, d := range ask.Demands {
			g := s.owner.Grant(s.now, d)
			grants = append(grants, g)
			answer.Accounts = append(answer.Accounts, grantMessage(g))
		}
		s.grantCalls++
		s.demands += len(grants)
		s.bytes += proto.Size(request) + proto.Size(answer)
		s.send(func() { s.caller.HandleGrants(s.now, sent, ask, 1, grants) })
	})
}

// demandMessage and grantMessage have the fields that proxy/quota fills.
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

// requestLoan carries a loan request to a holder and its answer back.
func (s *quotaSim) requestLoan(ask quota.OutgoingLoanRequest) {
	sent := s.now
	request := &peerpb.LoanRequest{Owner: ownerAddress, Epoch: 1, Shards: []*peerpb.ShardLoanRequest{{Shard: 1, Serial: ask.Request.Serial}}}
	s.send(func() {
		loan := s.holders[ask.Holder].Lend(s.now, ask.Request)
		answer := &peerpb.ShardLoan{Shard: 1, Serial: ask.Request.Serial, Fractions: uint64(loan.Fractions)}
		for account, n := range loan.Tokens {
			answer.Tokens = append(answer.Tokens, &peerpb.AccountTokens{Account: account, Tokens: n})
		}
		s.loanCalls++
		s.bytes += proto.Size(request) + proto.Size(&peerpb.Loan{Shards: []*peerpb.ShardLoan{answer}})
		s.send(func() { s.owner.HandleLoan(s.now, sent, ask, loan) })
	})
}

// measure runs the warm-up and then the span, and returns the processor time per simulated second.
func (s *quotaSim) measure(accounts int, rate float64) (processor float64, err error) {
	s.runFor(quotaWarmUp, accounts, rate)
	s.grantCalls, s.demands, s.loanCalls, s.bytes, s.admitted, s.refused = 0, 0, 0, 0, 0, 0
	processor, err = cpuCost(func() error { s.runFor(quotaMeasureTime, accounts, rate); return nil })
	return processor / quotaMeasureTime.Seconds(), err
}

func perSecond(values ...int) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = float64(v) / quotaMeasureTime.Seconds()
	}
	return out
}

// quotaRequester measures the grants of one instance with callers of that many accounts in a shard.
func quotaRequester(name string, rate float64, trip time.Duration) measurement {
	per := fmt.Sprintf("account with %g statements/s at an instance, %v from the owner", rate, trip)
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
			s := newQuotaSim(accounts, 1, trip)
			processor, err := s.measure(accounts, rate)
			// The loans of the only holder are measured by quotaLoans.
			values := perSecond(s.grantCalls, s.demands, s.bytes)
			return slices.Concat(values, []float64{processor}, perSecond(s.refused)), err
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
			processor, err := s.measure(accounts, quotaFastRate)
			return append(perSecond(s.loanCalls, s.bytes), processor), err
		}),
	}
}

// quotaPoll measures a pass over accounts without traffic and what they hold in memory.
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
			processor, err := cpuCost(func() error {
				for range passes {
					shard.Poll(0)
				}
				return nil
			})
			return []float64{processor / passes, memory}, err
		}),
	}
}
