package move

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a slow version that shows too little on each of its routes by itself, or of which too few calls are slow for a test
// that asks for half of them.
func TestSlowOnAllRoutesTogether(t *testing.T) {
	stable := seconds(10, callCounts{calls: 40, slow: 2})
	routeWith := func(perSecond callCounts) *routeView {
		return newRouteView(stable, append(seconds(8, callCounts{}), seconds(2, perSecond)...))
	}
	partly, good := callCounts{calls: 20, slow: 7}, callCounts{calls: 20, slow: 2}
	slow := callCounts{calls: 4, slow: 2}
	tests := []struct {
		name string
		view view
		bad  bool
	}{
		{"little on one route", view{"r": routeWith(slow)}, false},
		{"little on each of three routes", view{"r": routeWith(slow), "s": routeWith(slow), "t": routeWith(slow)}, true},
		{"a third of the calls", view{"r": routeWith(partly)}, true},
		{"a tenth of the calls on each of three routes", view{"r": routeWith(good), "s": routeWith(good), "t": routeWith(good)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := tt.view.worstFinding(nil)
			require.Equal(t, tt.bad, found.evidence >= rejectThreshold, "evidence %.1f: %s", found.evidence, found.reason)
		})
	}
}
