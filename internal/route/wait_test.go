package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
)

func TestWaited(t *testing.T) {
	w, browse, order := newWaited(), &tree.Route{Name: "browse"}, &tree.Route{Name: "order"}
	require.Zero(t, w.since(browse, 2*time.Second))
	require.Zero(t, w.since(order, 5*time.Second))
	require.Equal(t, 500*time.Millisecond, w.since(browse, 1500*time.Millisecond), "a caller that came back")
	require.Zero(t, w.since(browse, 2*time.Second))
}
