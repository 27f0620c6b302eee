package route

import "sync"

// The defaults of RetryBudgetConfig.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
)

// RetryBudgetConfig bounds the retries of one node; zero values stand for the defaults.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each call adds to the budget.
	Ratio float64
	// Reserve is the initial and the largest number of retries in the budget of a service.
	Reserve float64
}

// retryBudget bounds retries to a fraction of a service's calls, so that they cannot multiply an overload.
type retryBudget struct {
	cfg    RetryBudgetConfig
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryBudget(cfg RetryBudgetConfig) *retryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRetryRatio
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = DefaultRetryReserve
	}
	return &retryBudget{cfg: cfg, tokens: map[string]float64{}}
}

// deposit adds the retries that one call of a service allows.
func (b *retryBudget) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, found := b.tokens[service]
	if !found {
		tokens = b.cfg.Reserve
	}
	b.tokens[service] = min(tokens+b.cfg.Ratio, b.cfg.Reserve)
}

// withdraw takes one retry from the budget and reports whether the budget allowed it.
func (b *retryBudget) withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
