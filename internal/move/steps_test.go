package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against a move that is to finish by its deadline reaching the full share by the clock, without calls that could have shown
// a fault. The deadline is after a minute.
func TestStepsNeedEvidenceUnderTheFinishPolicy(t *testing.T) {
	stable := seconds(10, callCounts{calls: 40, slow: 1})
	good := view{"r": newRouteView(stable, seconds(10, callCounts{calls: 4}))}
	undecided := view{"r": newRouteView(stable, seconds(2, callCounts{calls: 4, slow: 1}))}
	none := view{"r": newRouteView(stable, nil)}
	sparse := view{"r": good["r"], "rare": newRouteView(seconds(10, callCounts{calls: 1}), nil)}
	tests := []struct {
		name      string
		view      view
		at        time.Duration
		step      uint32
		share     uint32
		wantStep  uint32
		wantShare uint32
	}{
		{"enough calls", good, 50 * time.Second, 3, 250, 4, 1000},
		{"no calls", none, 50 * time.Second, 1, 50, 1, 100},
		{"no calls, and only time left for the steps", none, 57 * time.Second, 3, 250, 3, 250},
		{"no calls, and only time left for the last step", none, 58 * time.Second, 3, 250, 4, 1000},
		{"calls that do not tell whether it is slow", undecided, 50 * time.Second, 3, 250, 3, 250},
		{"calls that do not tell, and no time left", undecided, 58 * time.Second, 3, 250, 4, 1000},
		{"a route that can hardly have calls in a step", sparse, 50 * time.Second, 3, 250, 4, 1000},
		{"a share beyond that of the next step", good, 50 * time.Second, 0, 200, 3, 250},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			record := &wirepb.MoveRecord{Step: tt.step, SharePermille: tt.share, AtDeadline: wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH}
			d := decision{
				service: newService(record), now: declaredAt.Add(tt.at), view: tt.view, newUpstreams: 3, callsAtStepStart: map[string]uint64{},
				baselines: map[string]*wirepb.RouteBaseline{"r": {Route: "r", Calls: 400, Slow: durationpb.New(time.Second)}},
			}
			d.service.MoveRecord.StepCalls = 5
			next := d.nextRecord()
			if next == nil {
				next = record
			}
			require.Equal(t, tt.wantStep, next.GetStep(), next.GetReason())
			require.Equal(t, tt.wantShare, next.GetSharePermille(), next.GetReason())
		})
	}
}

// Guards against a move that holds at its deadline waiting for ever for evidence on a route of which the window holds few calls.
func TestRouteWithLittleTrafficDoesNotBlockTheFullShare(t *testing.T) {
	rare := newRouteView(seconds(10, callCounts{calls: 1}), []callCounts{{calls: 1}})
	rare.newTotalCalls = 2 * minRouteCalls
	d := decision{
		service: newService(&wirepb.MoveRecord{Step: 3, SharePermille: 250, AtDeadline: wirepb.DeadlinePolicy_DEADLINE_POLICY_HOLD}),
		now:     declaredAt.Add(50 * time.Second), newUpstreams: 3, callsAtStepStart: map[string]uint64{},
		view:      view{"r": newRouteView(seconds(10, callCounts{calls: 40, slow: 1}), seconds(10, callCounts{calls: 4})), "rare": rare},
		baselines: map[string]*wirepb.RouteBaseline{"rare": {Route: "rare", Calls: 400, Slow: durationpb.New(time.Second)}},
	}
	require.Equal(t, uint32(fullSharePermille), d.nextRecord().GetSharePermille())
}

// Guards against steps that are taken on calls which cannot show a fault: those in a cold start cannot count as slow.
func TestOnlyComparableCallsCountForAStep(t *testing.T) {
	known := &wirepb.RouteBaseline{Slow: durationpb.New(time.Second), SlowIfCutOff: durationpb.New(time.Second)}
	tests := []struct {
		name        string
		observation local.Observation
		baseline    *wirepb.RouteBaseline
		want        float64
	}{
		{"warm", local.Observation{SinceFirstCall: time.Minute}, known, 1},
		{"cold", local.Observation{}, known, 0},
		{"cut off", local.Observation{Result: local.ResultAbandoned, SinceFirstCall: time.Minute}, known, 0},
		{"shed", local.Observation{Result: local.ResultShed}, known, 1},
		{"no threshold known", local.Observation{}, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.InDelta(t, tt.want, classify(tt.observation, tt.baseline, minAllowedColdStart).comparable, 0)
		})
	}
}
