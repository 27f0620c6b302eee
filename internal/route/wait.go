package route

import (
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const maxEstimatedRoutes = 10_000

// waitEstimator estimates how long a caller has been waiting since its first request: a caller that repeats a refused
// request has less time left than at first.
type waitEstimator struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newWaitEstimator() *waitEstimator { return &waitEstimator{longest: map[string]time.Duration{}} }

// estimate returns how far a caller's time left is below the longest one seen on the route.
func (w *waitEstimator) estimate(route *tree.Route, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := routeKey(route)
	longest, found := w.longest[key]
	if left <= longest || !found && len(w.longest) >= maxEstimatedRoutes {
		return max(longest-left, 0)
	}
	w.longest[key] = left
	return 0
}
