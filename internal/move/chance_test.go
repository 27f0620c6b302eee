package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Some calls of every version are slow. Guards against one of them, met by chance in a small sample of the stable version, hiding
// the fault of the new version or delaying a step.
func TestSingleSlowCallOfTheStableVersion(t *testing.T) {
	usual := callCounts{calls: 40, slow: 2}
	t.Run("in the control group does not hide a slow version", func(t *testing.T) {
		r := newRouteView(seconds(10, usual), append(seconds(9, callCounts{}), callCounts{calls: 12, slow: 10}))
		r.control[9] = callCounts{calls: 4, slow: 1}.counts()
		found := r.compareVersions("r", nil)
		require.GreaterOrEqual(t, found.evidence, rejectThreshold, found.reason)
	})
	t.Run("in the second before does not hide a slow version", func(t *testing.T) {
		r := newRouteView(append(seconds(8, usual), callCounts{calls: 3, slow: 1}, usual), append(seconds(9, callCounts{}), callCounts{calls: 12, slow: 10}))
		found := r.compareVersions("r", nil)
		require.GreaterOrEqual(t, found.evidence, rejectThreshold, found.reason)
	})
	t.Run("is no disturbance", func(t *testing.T) {
		v := view{"r": newRouteView(append(seconds(9, usual), callCounts{calls: 3, slow: 1}), nil)}
		require.Empty(t, v.disturbedRoute(time.Unix(9, 0)))
	})
	t.Run("beside others is a disturbance", func(t *testing.T) {
		v := view{"r": newRouteView(append(seconds(9, usual), callCounts{calls: 6, slow: 2}), nil)}
		require.Equal(t, "r", v.disturbedRoute(time.Unix(9, 0)))
	})
}
