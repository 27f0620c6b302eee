package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	usualLatency = 8 * time.Millisecond
	slowLatency  = 20 * time.Millisecond
)

// simulateColdStart adds regular calls from an upstream's first one until seen, those before slowUntil with a slow latency.
func simulateColdStart(firstCallSeen bool, seen, slowUntil time.Duration) *coldStartEstimator {
	const interval = 50 * time.Millisecond
	e := &coldStartEstimator{}
	for sinceFirstCall := time.Duration(0); sinceFirstCall < seen; sinceFirstCall += interval {
		o := local.Observation{SinceFirstCall: sinceFirstCall, FirstCallSeen: firstCallSeen, Latency: usualLatency}
		if sinceFirstCall < slowUntil {
			o.Latency = usualLatency + slowLatency
		}
		e.add(o)
	}
	return e
}

func TestColdStartEstimate(t *testing.T) {
	tests := []struct {
		name      string
		estimator *coldStartEstimator
		known     bool
		want      time.Duration
	}{
		{"no cold start", simulateColdStart(true, 2*time.Second, 0), true, 0},
		{"a cold start of two seconds", simulateColdStart(true, 4*time.Second, 2*time.Second), true, 2 * time.Second},
		{"a cold start that still lasts", simulateColdStart(true, 2*time.Second, 3*time.Second), false, 0},
		{"first call not seen", simulateColdStart(false, 4*time.Second, 0), false, 0},
		{"too few calls", simulateColdStart(true, 100*time.Millisecond, 0), false, 0},
		{"no calls", &coldStartEstimator{}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, known := tt.estimator.estimate(slowLatency)
			require.Equal(t, tt.known, known)
			if known {
				require.Equal(t, tt.want, got)
			}
		})
	}
}

func TestAllowedColdStart(t *testing.T) {
	seen := &wirepb.RouteBaseline{ColdStart: durationpb.New(4 * time.Second)}
	require.Equal(t, time.Minute, allowedColdStart(&tree.Service{ColdStart: time.Minute}, seen), "declared")
	require.Zero(t, allowedColdStart(&tree.Service{}, seen), "declared to be none")
	require.Equal(t, 6*time.Second, allowedColdStart(&tree.Service{ColdStart: -1}, seen), "estimated, times the factor")
	require.Equal(t, minAllowedColdStart, allowedColdStart(&tree.Service{ColdStart: -1}, nil), "neither declared nor estimated")
	none := &wirepb.RouteBaseline{ColdStart: durationpb.New(0)}
	require.Equal(t, minAllowedColdStart, allowedColdStart(&tree.Service{ColdStart: -1}, none), "a new version may have a cold start that the stable one has not")
}

// Each node estimates the cold start from its own upstreams; the baseline that all nodes get has the longest.
func TestBaselineReportsLongestColdStart(t *testing.T) {
	v := view{}
	record := &wirepb.MoveRecord{From: "v1", To: "v2"}
	for _, seen := range []*durationpb.Duration{nil, durationpb.New(time.Second), durationpb.New(0)} {
		v.add(record, seriesKey{route: "r", version: "v1"}, &nodeSeries{seconds: history{}, coldStart: seen})
	}
	require.Equal(t, time.Second, v.baselines(record, nil)[0].GetColdStart().AsDuration())
}
