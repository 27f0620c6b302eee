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

// confirming returns the number of calls in a row that confirm.
func confirming(c *confirms, route *tree.Route, now time.Time) int {
	count := 0
	for c.take(route, now) {
		count++
	}
	return count
}

func TestConfirms(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	c, route := newConfirms(), movingRoute("browse", 7)
	require.Zero(t, confirming(c, route, start), "no failure yet")
	c.begin(route, start)
	require.Zero(t, confirming(c, movingRoute("detail", 7), start), "another route")
	require.Zero(t, confirming(c, movingRoute("browse", 8), start), "another declaration")
	require.Equal(t, confirmCalls, confirming(c, route, start))
	c.begin(route, start.Add(time.Second))
	require.Zero(t, confirming(c, route, start.Add(time.Second)), "it rests")
	c.begin(route, start.Add(confirmRest))
	require.Zero(t, confirming(c, route, start.Add(confirmRest+2*confirmTime)), "too late")
}
