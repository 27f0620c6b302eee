package route

import "sync"

// The defaults of RetryBudgetConfig.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
)

// RetryBudgetConfig bounds the retries of one node; a zero stands for the default.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each call allows.
	Ratio float64
	// Reserve is the largest number of retries at once.
	Reserve float64
}

// budget bounds retries to a share of a service's calls, so that retries cannot multiply an overload.
type budget struct {
	cfg    RetryBudgetConfig
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudget(cfg RetryBudgetConfig) *budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRetryRatio
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = DefaultRetryReserve
	}
	return &budget{cfg: cfg, tokens: map[string]float64{}}
}

// earn credits one call of a service.
func (b *budget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, found := b.tokens[service]
	if !found {
		tokens = b.cfg.Reserve
	}
	b.tokens[service] = min(tokens+b.cfg.Ratio, b.cfg.Reserve)
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
