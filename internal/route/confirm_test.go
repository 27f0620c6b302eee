package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func movingRoute(name string, declared uint64) *tree.Route {
	service := &tree.Service{Name: "shop", MoveRecord: &wirepb.MoveRecord{DeclaredRevision: declared}}
	return &tree.Route{Name: name, Team: "shop", Service: service}
}

// countConfirming returns how many of the next calls belong to a confirmation.
func countConfirming(c *confirmations, route *tree.Route, now time.Time) int {
	count := 0
	for c.takeCall(route, now) {
		count++
	}
	return count
}

// A failed call to the new version must be followed by a few more calls to it, but only of the same route and declaration,
// only for a short time and not again within confirmationInterval.
func TestConfirmations(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	c, route := newConfirmations(), movingRoute("browse", 7)
	require.Zero(t, countConfirming(c, route, start), "no failure yet")
	c.start(route, start)
	require.Zero(t, countConfirming(c, movingRoute("detail", 7), start), "another route")
	require.Zero(t, countConfirming(c, movingRoute("browse", 8), start), "another declaration")
	require.Equal(t, confirmationCalls, countConfirming(c, route, start))
	c.start(route, start.Add(time.Second))
	require.Zero(t, countConfirming(c, route, start.Add(time.Second)), "within the interval")
	c.start(route, start.Add(confirmationInterval))
	require.Zero(t, countConfirming(c, route, start.Add(confirmationInterval+2*confirmationTTL)), "expired")
}
