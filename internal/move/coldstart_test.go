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
	usualTime = 8 * time.Millisecond
	slowTime  = 20 * time.Millisecond
)

// showEarly shows calls for some seconds from an upstream's first one, each slow until a time.
func showEarly(fresh bool, seen, slowUntil time.Duration) *early {
	const interval = 50 * time.Millisecond
	e := &early{}
	for age := time.Duration(0); age < seen; age += interval {
		o := local.Observation{SinceFirstCall: age, FirstCallSeen: fresh, Latency: usualTime}
		if age < slowUntil {
			o.Latency = usualTime + slowTime
		}
		e.add(o)
	}
	return e
}

func TestColdStartIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		early *early
		known bool
		want  time.Duration
	}{
		{"none", showEarly(true, 2*time.Second, 0), true, 0},
		{"one of two seconds", showEarly(true, 4*time.Second, 2*time.Second), true, 2 * time.Second},
		{"one that still lasts", showEarly(true, 2*time.Second, 3*time.Second), false, 0},
		{"an upstream that may have been warm", showEarly(false, 4*time.Second, 0), false, 0},
		{"too few calls", showEarly(true, 100*time.Millisecond, 0), false, 0},
		{"calls after the early time only", &early{}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, known := tt.early.coldStart(slowTime)
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
	require.Equal(t, 6*time.Second, allowedColdStart(&tree.Service{ColdStart: -1}, seen), "seen, with a margin")
	require.Equal(t, minColdStart, allowedColdStart(&tree.Service{ColdStart: -1}, nil), "neither")
	none := &wirepb.RouteBaseline{ColdStart: durationpb.New(0)}
	require.Equal(t, minColdStart, allowedColdStart(&tree.Service{ColdStart: -1}, none), "a new version may have one that the old one had not")
}

// What one node saw reaches the others by way of the decider, the longest cold start first.
func TestColdStartIsShared(t *testing.T) {
	v := view{}
	record := &wirepb.MoveRecord{From: "v1", To: "v2"}
	for _, seen := range []*durationpb.Duration{nil, durationpb.New(time.Second), durationpb.New(0)} {
		v.add(record, seriesKey{route: "r", version: "v1"}, &nodeSeries{seconds: history{}, coldStart: seen})
	}
	require.Equal(t, time.Second, v.baselines(nil)[0].GetColdStart().AsDuration())
}
