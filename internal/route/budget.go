package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// The defaults of RetryBudgetConfig.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
)

const (
	// slackFraction and ratioFraction of a deployment's slack and ratio are given out. The rest covers repeats that no node
	// can attribute, and nodes that are not known to all others yet.
	slackFraction = 0.8
	ratioFraction = 0.9
	// recentFraction of the ratio is given out for the calls of the last window, so that a node may save up for a moment of
	// failures even where its part of the slack is small.
	recentFraction = 0.05
	recentWindow   = 10 * time.Second
	// maxBudgetDebt bounds how many repeats that could not be refused are taken off later retries.
	maxBudgetDebt = 50
	// nodeCountTTL is the time for which a count of the nodes is used.
	nodeCountTTL = time.Second
)

// RetryBudgetConfig bounds the retries of one node; zero values stand for the defaults.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each call adds to the budget. With Slack, it bounds the repeats of the whole
	// deployment, and each call adds ratioFraction of it.
	Ratio float64
	// Reserve is the largest number of retries in the budget of a service, and the initial one unless Slack is set.
	Reserve float64
	// Slack is the number of retries beyond Ratio that all nodes together may make; each node may save up an equal part of it.
	Slack float64
	// CountNodes returns the number of nodes of the deployment; it is needed if Slack is set.
	CountNodes func() int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// retryBudget bounds the repeats of a service's calls to a fraction of the calls, so that they cannot multiply an overload.
// A repeat is every send of a call after its first one, and every call that a repeated call makes: all of them are load that
// the service would not have without retries.
type retryBudget struct {
	cfg      RetryBudgetConfig
	mu       sync.Mutex
	services map[string]*serviceBudget
	// nodes is the number of nodes at countedAt.
	nodes     int
	countedAt time.Time
}

type serviceBudget struct {
	tokens float64
	// recentCalls is about the number of calls in the last recentWindow, as of countedAt.
	recentCalls float64
	countedAt   time.Time
}

// countCall adds a call to the recent ones, whose number decays with time.
func (s *serviceBudget) countCall(now time.Time) {
	elapsed := now.Sub(s.countedAt)
	s.recentCalls = s.recentCalls*math.Exp(-elapsed.Seconds()/recentWindow.Seconds()) + 1
	s.countedAt = now
}

func newRetryBudget(cfg RetryBudgetConfig) *retryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRetryRatio
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = DefaultRetryReserve
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &retryBudget{cfg: cfg, services: map[string]*serviceBudget{}}
}

// deposit adds the retries that one call of a service allows.
func (b *retryBudget) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	s, found := b.services[service]
	if !found {
		s = &serviceBudget{countedAt: now}
		if b.cfg.Slack == 0 {
			s.tokens = b.cfg.Reserve
		}
		b.services[service] = s
	}
	s.countCall(now)
	s.tokens = min(s.tokens+b.ratio(), b.reserve(s, now))
}

// ratio returns the number of retries that each call adds.
func (b *retryBudget) ratio() float64 {
	if b.cfg.Slack == 0 {
		return b.cfg.Ratio
	}
	return ratioFraction * b.cfg.Ratio
}

// reserve returns the largest number of retries in the budget of a service.
func (b *retryBudget) reserve(s *serviceBudget, now time.Time) float64 {
	if b.cfg.Slack == 0 {
		return b.cfg.Reserve
	}
	if b.nodes == 0 || now.Sub(b.countedAt) >= nodeCountTTL {
		b.nodes, b.countedAt = max(b.cfg.CountNodes(), 1), now
	}
	return min(b.cfg.Reserve, slackFraction*b.cfg.Slack/float64(b.nodes)+recentFraction*b.cfg.Ratio*s.recentCalls)
}

// withdraw takes one retry from the budget and reports whether the budget allowed it. A part of a retry allows one with that
// probability, so that a reserve below one retry a node is used, too.
func (b *retryBudget) withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, found := b.services[service]
	if !found || s.tokens < 1 && s.tokens <= rand.Float64() {
		return false
	}
	s.tokens--
	return true
}

// charge takes a repeat from the budget that is made in any case.
func (b *retryBudget) charge(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, found := b.services[service]; found {
		s.tokens = max(s.tokens-1, -maxBudgetDebt)
	}
}
