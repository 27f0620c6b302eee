package route

import (
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const maxWaitedRoutes = 10_000

// waited tells how long a caller has waited before: callers that were refused come back with less time left than those
// that come for the first time.
type waited struct {
	mu    sync.Mutex
	whole map[string]time.Duration
}

func newWaited() *waited { return &waited{whole: map[string]time.Duration{}} }

// since returns the time since a caller's first try, as the time that it has left tells.
func (w *waited) since(route *tree.Route, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := confirmKey(route)
	whole, found := w.whole[name]
	if left <= whole || !found && len(w.whole) >= maxWaitedRoutes {
		return max(whole-left, 0)
	}
	w.whole[name] = left
	return 0
}
