package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
)

// A caller that repeats a refused request has less time left; what is missing counts as waited, for each route by itself.
func TestWaitEstimator(t *testing.T) {
	w, browse, order := newWaitEstimator(), &tree.Route{Name: "browse"}, &tree.Route{Name: "order"}
	require.Zero(t, w.estimate(browse, 2*time.Second))
	require.Zero(t, w.estimate(order, 5*time.Second))
	require.Equal(t, 500*time.Millisecond, w.estimate(browse, 1500*time.Millisecond), "a repeated request")
	require.Zero(t, w.estimate(browse, 2*time.Second))
}
