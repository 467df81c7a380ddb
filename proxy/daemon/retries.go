package daemon

import (
	"math/rand/v2"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/retry"
)

// retryBudgets holds one retry budget per route.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: make(map[string]*retry.Budget)}
}

// allow takes one retry from the route's budget.
func (r *retryBudgets) allow(route string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(route).Allow()
}

func (r *retryBudgets) budget(route string) *retry.Budget {
	b, ok := r.budgets[route]
	if !ok {
		b = retry.NewBudget(retry.DefaultConfig(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		r.budgets[route] = b
	}
	return b
}

// recordRequest counts a statement, which adds a fraction of a retry to the route's budget.
func (r *retryBudgets) recordRequest(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(route).RecordRequest()
}
