package route

import (
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	// confirmCalls is the number of calls that follow a failed one to the new version.
	confirmCalls = 3
	confirmTime  = 1500 * time.Millisecond
	// confirmRest is the time between two confirmations of a route.
	confirmRest = 10 * time.Second
)

// confirms sends the next few calls of an idempotent route to the new version after that failed one, so that a doubt is
// settled at once: at a small share the next call of a scarce route would come seconds later.
type confirms struct {
	mu     sync.Mutex
	routes map[string]*confirmation
}

type confirmation struct {
	declared uint64
	left     int
	began    time.Time
}

func newConfirms() *confirms { return &confirms{routes: map[string]*confirmation{}} }

func confirmKey(route *tree.Route) string { return route.Team + "/" + route.Name }

// begin starts a confirmation, unless the route had one for the same declaration a short time ago.
func (c *confirms) begin(route *tree.Route, now time.Time) {
	declared := route.Service.MoveRecord.GetDeclaredRevision()
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.routes[confirmKey(route)]
	if found && known.declared == declared && now.Sub(known.began) < confirmRest {
		return
	}
	c.routes[confirmKey(route)] = &confirmation{declared: declared, left: confirmCalls, began: now}
}

// take reports whether a call is one of those that confirm.
func (c *confirms) take(route *tree.Route, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.routes[confirmKey(route)]
	if !found || known.declared != route.Service.MoveRecord.GetDeclaredRevision() || known.left == 0 || now.Sub(known.began) > confirmTime {
		return false
	}
	known.left--
	return true
}
