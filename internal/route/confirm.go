package route

import (
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	// confirmationCalls is the number of calls that follow a failed one to the new version.
	confirmationCalls = 3
	// confirmationTTL is how long after its start a confirmation may send calls to the new version.
	confirmationTTL = 1500 * time.Millisecond
	// confirmationInterval is the least time between the starts of two confirmations of a route.
	confirmationInterval = 10 * time.Second
)

// confirmations sends the next few calls of an idempotent route to the new version after it failed one, so that the failure
// is confirmed at once: at a small share, a route with few calls would send it the next one only seconds later.
type confirmations struct {
	mu     sync.Mutex
	routes map[string]*confirmation
}

type confirmation struct {
	declaredRevision uint64
	callsLeft        int
	startedAt        time.Time
}

func newConfirmations() *confirmations { return &confirmations{routes: map[string]*confirmation{}} }

func routeKey(route *tree.Route) string { return route.Team + "/" + route.Name }

// start begins a confirmation, unless one for the same declaration started within confirmationInterval.
func (c *confirmations) start(route *tree.Route, now time.Time) {
	declaredRevision := route.Service.MoveRecord.GetDeclaredRevision()
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.routes[routeKey(route)]
	if found && known.declaredRevision == declaredRevision && now.Sub(known.startedAt) < confirmationInterval {
		return
	}
	c.routes[routeKey(route)] = &confirmation{declaredRevision: declaredRevision, callsLeft: confirmationCalls, startedAt: now}
}

// takeCall reports whether the next call belongs to a confirmation, and counts it.
func (c *confirmations) takeCall(route *tree.Route, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.routes[routeKey(route)]
	if !found || known.declaredRevision != route.Service.MoveRecord.GetDeclaredRevision() || known.callsLeft == 0 || now.Sub(known.startedAt) > confirmationTTL {
		return false
	}
	known.callsLeft--
	return true
}
