package route

import "sync"

const (
	budgetShare = 0.1
	budgetCap   = 10
)

// budget bounds retries to a share of a service's calls, so that retries cannot multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudget() *budget { return &budget{tokens: map[string]float64{}} }

// earn credits one call of a service.
func (b *budget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, found := b.tokens[service]
	if !found {
		tokens = budgetCap
	}
	b.tokens[service] = min(tokens+budgetShare, budgetCap)
}

// spend reports whether a retry is within the budget.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
