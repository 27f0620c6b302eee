package route

import (
	"sync"
	"time"

	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	newVersionTimeoutFactor = 10
	minNewVersionTimeout    = 150 * time.Millisecond
)

// routeLatencies holds the average latency of each route's attempts at upstreams that do not run the new version of a move. Routes
// of one service may differ by far, so that an average over all of them says little about any.
type routeLatencies struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newRouteLatencies() *routeLatencies { return &routeLatencies{means: map[string]time.Duration{}} }

// add counts an attempt that was answered.
func (l *routeLatencies) add(route *tree.Route, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := routeKey(route)
	mean, found := l.means[key]
	switch {
	case found:
		l.means[key] = mean + time.Duration(latencyWeight*float64(took-mean))
	case len(l.means) < maxEstimatedRoutes:
		l.means[key] = took
	}
}

// newVersionTimeout returns how long an attempt at a new version may take: several times the latency of the others on the route,
// and no more than half of the time left, so that a retry can follow. Without a known latency, only the latter applies.
func (l *routeLatencies) newVersionTimeout(route *tree.Route, left time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, found := l.means[routeKey(route)]
	if !found {
		return left / 2
	}
	return min(max(newVersionTimeoutFactor*mean, minNewVersionTimeout), left/2)
}
