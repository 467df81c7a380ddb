package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// BaselinePolicy replaces the coordinated decisions with simple ones, as a baseline for comparison: all
// reads go to the primary, and each instance admits an equal static share of every account's rate.
type BaselinePolicy struct {
	Instances int // number of instances that share the rates
	// CommonQueue selects a baseline for the fair queue only: reads are placed as without a baseline
	// policy, no rate is enforced, and all accounts wait in one first-in-first-out queue per server.
	CommonQueue bool
}

// readsFromPrimaryOnly reports whether all reads go to the primary.
func (p *BaselinePolicy) readsFromPrimaryOnly() bool {
	return p != nil && !p.CommonQueue
}

// sharesOneQueue reports whether all accounts share one queue per server.
func (p *BaselinePolicy) sharesOneQueue() bool {
	return p != nil && p.CommonQueue
}

// admitAll implements quotaService without enforcing rates.
type admitAll struct {
	noQuotaSharing
}

// SetAccounts implements quotaService.
func (admitAll) SetAccounts([]manifest.Account) {}

// Admit implements engine.Quota.
func (admitAll) Admit(context.Context, string) error { return nil }

// primaryOnlyDatabase implements engine.Database and sends all reads to the primary.
type primaryOnlyDatabase struct {
	engine.Database
}

// Read implements engine.Database.
func (d primaryOnlyDatabase) Read(ctx context.Context, r engine.ReadRequest) (engine.Target, error) {
	return d.Primary(ctx)
}

// staticShares implements quotaService with a fixed share of every account's rate and burst, without
// coordination between instances.
type staticShares struct {
	noQuotaSharing
	instances int

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// SetAccounts sets the accounts of an adopted manifest.
func (s *staticShares) SetAccounts(accounts []manifest.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiters := make(map[string]*rate.Limiter, len(accounts))
	for _, a := range accounts {
		limit := rate.Limit(a.Rate / float64(s.instances))
		burst := max(int(a.Burst)/s.instances, 1)
		limiters[a.Name] = s.limiters[a.Name]
		if limiters[a.Name] == nil {
			limiters[a.Name] = rate.NewLimiter(limit, burst)
		}
		limiters[a.Name].SetLimit(limit)
		limiters[a.Name].SetBurst(burst)
	}
	s.limiters = limiters
}

// Admit implements engine.Quota.
func (s *staticShares) Admit(_ context.Context, account string) error {
	s.mu.Lock()
	l := s.limiters[account]
	s.mu.Unlock()
	if l == nil || l.Allow() {
		return nil
	}
	after := time.Duration(float64(time.Second) / float64(l.Limit()))
	return outcome.New(outcome.NotRun, outcome.CodeTooManyRequests,
		"the account's static share of this instance is used up", "retry later").WithRetryAfter(after)
}
