package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
)

// Guards against calls to a new version being cut off in less than the usual time of their route, because the node has seen no
// call of the service yet or only those of a much faster route.
func TestNewVersionTimeoutFollowsTheRoute(t *testing.T) {
	const left = 4 * time.Second
	slow, fast := &tree.Route{Team: "a", Name: "slow"}, &tree.Route{Team: "a", Name: "fast"}
	tests := []struct {
		name  string
		slow  []time.Duration
		fast  []time.Duration
		route *tree.Route
		want  time.Duration
	}{
		{"no latency known", nil, nil, slow, left / 2},
		{"only the fast route known", nil, []time.Duration{20 * time.Millisecond}, slow, left / 2},
		{"one call of the slow route", []time.Duration{180 * time.Millisecond}, []time.Duration{time.Millisecond}, slow, 1800 * time.Millisecond},
		{"a slow route, for which half of the time is less", []time.Duration{time.Second}, nil, slow, left / 2},
		{"a fast route beside a slow one", []time.Duration{time.Second}, []time.Duration{time.Millisecond}, fast, minNewVersionTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			latencies := newRouteLatencies()
			for _, took := range tt.slow {
				latencies.add(slow, took)
			}
			for _, took := range tt.fast {
				latencies.add(fast, took)
			}
			require.Equal(t, tt.want, latencies.newVersionTimeout(tt.route, left))
		})
	}
}
