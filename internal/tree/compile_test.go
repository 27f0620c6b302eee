package tree

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const routeValue = `{"host": "h%d.example", "path_prefix": "/%s/", "idempotent": true, "timeout": "1.500s", "objective": "0.6s", "service": "shop"}`

func newState(tb testing.TB, routes int) *State {
	tb.Helper()
	change := &wirepb.Change{Revision: 1, Puts: []*wirepb.Put{{Path: "/teams/mesh/services/shop", Value: "{}"}}}
	for i := range routes {
		change.Puts = append(change.Puts, putRoute(i, "a"))
	}
	state, err := EmptyState().Apply(change)
	require.NoError(tb, err)
	return state
}

func putRoute(number int, prefix string) *wirepb.Put {
	return &wirepb.Put{Path: fmt.Sprintf("/teams/mesh/routes/r-%d", number), Value: fmt.Sprintf(routeValue, number, prefix)}
}

// Guards against nodes with little processor time that fall behind in a series of configurations, since each change of a route
// decodes all routes (CONFIG).
func TestChangeOfARouteDecodesThatRouteOnly(t *testing.T) {
	allocations := func(routes int) float64 {
		state, change := newState(t, routes), &wirepb.Change{Revision: 2, Puts: []*wirepb.Put{putRoute(0, "b")}}
		return testing.AllocsPerRun(5, func() {
			_, err := state.Apply(change)
			require.NoError(t, err)
		})
	}
	require.Less(t, allocations(2000), 2*allocations(200))
}

func BenchmarkChangeOfARoute(b *testing.B) {
	for _, routes := range []int{600, 2000} {
		b.Run(fmt.Sprintf("%d routes", routes), func(b *testing.B) {
			state, change := newState(b, routes), &wirepb.Change{Revision: 2, Puts: []*wirepb.Put{putRoute(0, "b")}}
			for b.Loop() {
				_, err := state.Apply(change)
				require.NoError(b, err)
			}
		})
	}
}
