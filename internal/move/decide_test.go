package move

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

var declaredAt = time.Date(2027, 1, 1, 12, 0, 0, 0, time.UTC)

// callCounts is the numbers of calls in one second.
type callCounts struct {
	calls    float64
	failures float64
	slow     float64
	sheds    float64
}

func (s callCounts) counts() counts {
	return counts{calls: s.calls, failures: s.failures, sheds: s.sheds, warm: s.calls - s.sheds, slow: s.slow}
}

// seconds returns n seconds with the same counts.
func seconds(n int, s callCounts) []callCounts {
	list := make([]callCounts, n)
	for i := range list {
		list[i] = s
	}
	return list
}

func newRouteView(from, to []callCounts) *routeView {
	r := &routeView{from: history{}, to: history{}, control: history{}}
	for i, s := range from {
		r.from[int64(i)] = s.counts()
	}
	for i, s := range to {
		r.to[int64(i)] = s.counts()
		r.newTotalCalls += uint64(s.calls)
	}
	return r
}

func TestCompareVersions(t *testing.T) {
	healthy := seconds(10, callCounts{calls: 100})
	tests := []struct {
		name string
		from []callCounts
		to   []callCounts
		bad  bool
	}{
		{"good", healthy, seconds(10, callCounts{calls: 5}), false},
		{"one failure", healthy, []callCounts{{calls: 5, failures: 1}}, false},
		{"failing at once", healthy, []callCounts{{calls: 3, failures: 3}}, true},
		{"failing in part", healthy, seconds(3, callCounts{calls: 5, failures: 2}), true},
		{"failing after many good calls", healthy, append(seconds(9, callCounts{calls: 500}), callCounts{calls: 20, failures: 12}), true},
		{"failing rarely", healthy, seconds(4, callCounts{calls: 25, failures: 1}), true},
		{"failing as rarely as the stable version", seconds(10, callCounts{calls: 100, failures: 2}), seconds(10, callCounts{calls: 50, failures: 1}), false},
		{"slow", healthy, seconds(2, callCounts{calls: 5, slow: 5}), true},
		{"as slow as the stable version", seconds(10, callCounts{calls: 100, slow: 20}), seconds(10, callCounts{calls: 50, slow: 11}), false},
		{"shedding, unlike the stable version", healthy, seconds(3, callCounts{calls: 6, sheds: 5}), true},
		{"shedding as the stable version does", seconds(10, callCounts{calls: 100, sheds: 20}), seconds(10, callCounts{calls: 50, sheds: 11}), false},
		{"failing as the stable version does", seconds(10, callCounts{calls: 100, failures: 20}), seconds(10, callCounts{calls: 50, failures: 11}), false},
		{
			"a fault of both versions that begins as the share rises",
			append(seconds(8, callCounts{calls: 100}), seconds(2, callCounts{calls: 50, failures: 45})...),
			append(seconds(8, callCounts{calls: 2}), seconds(2, callCounts{calls: 50, failures: 45})...),
			false,
		},
		{
			"a fault of both versions, then one of the new version only",
			append(seconds(5, callCounts{calls: 50, failures: 45}), seconds(5, callCounts{calls: 50})...),
			append(seconds(5, callCounts{calls: 50, failures: 45}), seconds(5, callCounts{calls: 50, failures: 25})...),
			true,
		},
		{"failing with little traffic", seconds(10, callCounts{calls: 2}), []callCounts{{calls: 1, failures: 1}, {}, {}, {calls: 1, failures: 1}, {}, {calls: 1, failures: 1}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := newRouteView(tt.from, tt.to).compareVersions("r", nil)
			require.Equal(t, tt.bad, found.evidence >= rejectThreshold, "evidence %.1f: %s", found.evidence, found.reason)
		})
	}
}

// A short disturbance during a burst shows in the control group, but hardly in the stable version's counts of the second.
// The new version must be compared with the control group, unless that is too small.
func TestCompareVersionsWithControls(t *testing.T) {
	disturbed := callCounts{calls: 100, slow: 10, failures: 10}
	tests := []struct {
		name    string
		control callCounts
		bad     bool
	}{
		{"control group affected too", callCounts{calls: 10, slow: 10, failures: 10}, false},
		{"control group healthy", callCounts{calls: 10}, true},
		{"control group too small", callCounts{calls: 1, slow: 1, failures: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouteView(append(seconds(9, callCounts{calls: 100}), disturbed), append(seconds(9, callCounts{}), callCounts{calls: 10, slow: 10, failures: 10}))
			r.control[9] = tt.control.counts()
			found := r.compareVersions("r", nil)
			require.Equal(t, tt.bad, found.evidence >= rejectThreshold, "evidence %.1f: %s", found.evidence, found.reason)
		})
	}
}

// In a small control group, a fault of both versions may seem rare by chance; the other calls of the same second count too.
func TestSmallControlGroupIsCombinedWithOtherCalls(t *testing.T) {
	tests := []struct {
		name     string
		from     callCounts
		control  callCounts
		to       callCounts
		wantsBad bool
	}{
		{"a fault of both that no call of the control group met", callCounts{calls: 100, failures: 55}, callCounts{calls: 5}, callCounts{calls: 30, failures: 18}, false},
		{"a fault of both that one call of the control group met", callCounts{calls: 100, failures: 10}, callCounts{calls: 5, failures: 1}, callCounts{calls: 30, failures: 18}, false},
		{"a slowdown of both that no call of the control group met", callCounts{calls: 100, slow: 50}, callCounts{calls: 5}, callCounts{calls: 30, slow: 18}, false},
		{"a fault of the new version alone", callCounts{calls: 100}, callCounts{calls: 5}, callCounts{calls: 30, failures: 18}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouteView(append(seconds(9, callCounts{calls: 100}), tt.from), append(seconds(9, callCounts{}), tt.to))
			r.control[9] = tt.control.counts()
			found := r.compareVersions("r", nil)
			require.Equal(t, tt.wantsBad, found.evidence >= rejectThreshold, "evidence %.1f: %s", found.evidence, found.reason)
		})
	}
}

// A disturbance that ends within a second may cover the burst in that second, but hardly show in the rest of it.
// It must not be counted against the new version, which gets its calls in the burst.
func TestShortDisturbanceIsNotCountedAgainstNewVersion(t *testing.T) {
	r := newRouteView(
		append(seconds(8, callCounts{calls: 50}), callCounts{calls: 50, slow: 48}, callCounts{calls: 50, slow: 5}),
		append(seconds(9, callCounts{}), callCounts{calls: 12, slow: 10}),
	)
	found := r.compareVersions("r", nil)
	require.Less(t, found.evidence, rejectThreshold, found.reason)
}

// A fault of both versions that lasts into a second in which the stable version has hardly any calls yet, because a burst
// opened it, is not counted against the new version.
func TestFaultOfBothInSecondWithFewStableCalls(t *testing.T) {
	r := newRouteView(
		append(seconds(8, callCounts{calls: 40}), callCounts{calls: 40, failures: 24}, callCounts{calls: 40, failures: 24}, callCounts{calls: 2, failures: 1}),
		append(seconds(8, callCounts{calls: 10}), callCounts{calls: 14, failures: 9}, callCounts{calls: 14, failures: 9}, callCounts{calls: 14, failures: 10}),
	)
	found := r.compareVersions("r", nil)
	require.Less(t, found.evidence, rejectThreshold, found.reason)
}

func TestLocalAlarm(t *testing.T) {
	baseline := &wirepb.RouteBaseline{Calls: 1000, Slow: durationpb.New(10 * time.Millisecond), SlowIfCutOff: durationpb.New(8 * time.Millisecond)}
	tests := []struct {
		name        string
		observation local.Observation
		calls       int
		alarm       bool
	}{
		{"good calls", local.Observation{Latency: time.Millisecond}, 1000, false},
		{"one failure", local.Observation{Result: local.ResultFailed}, 1, false},
		{"two failures", local.Observation{Result: local.ResultFailed}, 2, true},
		{"slow calls", local.Observation{Latency: time.Second, SinceFirstCall: time.Minute}, 6, true},
		{"slow calls in the cold start", local.Observation{Latency: time.Second, SinceFirstCall: minAllowedColdStart - 1}, 100, false},
		{"slow calls after the announced cold start", local.Observation{Latency: time.Second, SinceFirstCall: minAllowedColdStart - 1, ColdStartOver: true}, 6, true},
		{"abandoned after the slow threshold", local.Observation{Result: local.ResultAbandoned, Latency: time.Second, SinceFirstCall: time.Minute}, 6, true},
		{"cut off before the slow threshold, but after several times the usual latency", local.Observation{Result: local.ResultAbandoned, Latency: 9 * time.Millisecond, SinceFirstCall: time.Minute}, 6, true},
		{"abandoned before the slow threshold", local.Observation{Result: local.ResultAbandoned, Latency: time.Millisecond}, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := newService(&wirepb.MoveRecord{})
			alarms := 0
			m := NewMonitor(MonitorConfig{
				Now:     func() time.Time { return declaredAt },
				State:   func() *tree.State { return &tree.State{Services: map[string]*tree.Service{"shop": service}} },
				OnAlarm: func(string) { alarms++ },
			})
			baseline.Route = "r"
			m.UpdateBaselines(service, []*wirepb.RouteBaseline{baseline})
			tt.observation.Service, tt.observation.Version, tt.observation.Route = "shop", "v2", "r"
			for range tt.calls {
				m.Observe(tt.observation)(tt.observation)
			}
			require.Equal(t, tt.alarm, alarms > 0)
			require.Equal(t, tt.alarm, m.Alarmed("shop"))
		})
	}
}

// newService fills in the missing fields of a move's record and returns its service.
func newService(record *wirepb.MoveRecord) *tree.Service {
	record.Service, record.From, record.To, record.DeclaredRevision = "shop", "v1", "v2", 7
	record.DeclaredAt, record.Deadline = timestamppb.New(declaredAt), timestamppb.New(declaredAt.Add(time.Minute))
	record.StepCalls, record.Watch = 20, durationpb.New(30*time.Second)
	if record.State == wirepb.MoveState_MOVE_STATE_UNSPECIFIED {
		record.State = wirepb.MoveState_MOVE_STATE_RUNNING
	}
	if record.StepAt == nil {
		record.StepAt = record.DeclaredAt
	}
	return &tree.Service{Name: "shop", StableVersion: "v1", ColdStart: minAllowedColdStart, MoveRecord: record}
}

func TestNextRecord(t *testing.T) {
	enough := view{"r": newRouteView(seconds(10, callCounts{calls: 400}), seconds(10, callCounts{calls: 10}))}
	little := view{"r": newRouteView(seconds(10, callCounts{calls: 1}), []callCounts{{calls: 1}})}
	failing := view{"r": newRouteView(seconds(10, callCounts{calls: 100}), append(seconds(9, callCounts{calls: 10}), callCounts{calls: 4, failures: 1}))}
	scarce := view{"r": enough["r"], "s": newRouteView(seconds(10, callCounts{calls: 10}), nil)}
	disturbedAt := func(at time.Duration) view {
		v := view{"r": newRouteView(nil, seconds(10, callCounts{calls: 10}))}
		v["r"].from[declaredAt.Add(at).Unix()] = callCounts{calls: 20, slow: 12}.counts()
		return v
	}
	const hold, finish = wirepb.DeadlinePolicy_DEADLINE_POLICY_HOLD, wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH
	tests := []struct {
		name         string
		view         view
		at           time.Duration
		step         uint32
		share        uint32
		policy       wirepb.DeadlinePolicy
		newUpstreams int
		wantShare    uint32
		wantLate     bool
	}{
		{"waits for the stable version's baseline", enough, 500 * time.Millisecond, 0, 0, hold, 3, 0, false},
		{"opens the first share", enough, 2 * time.Second, 0, 0, hold, 3, stepSharesPermille[0], false},
		{"raises the first share when there is little traffic", little, 2 * time.Second, 0, 0, hold, 3, maxFirstSharePermille, false},
		{"raises the first share for a route with little traffic", scarce, 2 * time.Second, 0, 0, hold, 3, 28, false},
		{"widens a small share when the evidence is undecided", failing, 3 * time.Second, 0, 12, hold, 3, undecidedSharePermille, false},
		{"opens nothing without upstreams", enough, 2 * time.Second, 0, 0, hold, 0, 0, false},
		{"stays in a step that has not ended", enough, 3 * time.Second, 0, 10, hold, 3, 10, false},
		{"takes the next step", enough, 20 * time.Second, 0, 10, hold, 3, 50, false},
		{"accepts a record whose step is beyond the plan", enough, 50 * time.Second, 9, 800, hold, 3, 1000, false},
		{"holds when there is evidence of a failure", failing, 40 * time.Second, 2, undecidedSharePermille, finish, 3, undecidedSharePermille, false},
		{"widens the share, but takes no step, when there is evidence of a failure", failing, 40 * time.Second, 1, 50, finish, 3, undecidedSharePermille, false},
		{"holds during a disturbance", disturbedAt(50 * time.Second), 50 * time.Second, 3, 250, finish, 3, 250, false},
		{"goes on after a disturbance", disturbedAt(48 * time.Second), 50 * time.Second, 3, 250, finish, 3, 1000, false},
		{"goes on during a disturbance if it would otherwise be late", disturbedAt(59 * time.Second), 59 * time.Second, 3, 250, finish, 3, 1000, false},
		{"widens the share when there are too few calls", little, 58 * time.Second, 1, 50, hold, 3, 100, true},
		{"widens the share no further than the next step", little, 58 * time.Second, 1, 150, hold, 3, 150, true},
		{"never widens the share to all calls", little, 58 * time.Second, 3, 250, hold, 3, 250, false},
		{"finishes with too few calls under the finish policy", little, 58 * time.Second, 3, 500, finish, 3, 1000, false},
		{"reports that it will miss the deadline", little, 57*time.Second + 500*time.Millisecond, 1, 50, hold, 3, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := newService(&wirepb.MoveRecord{Step: tt.step, SharePermille: tt.share, AtDeadline: tt.policy})
			d := decision{service: service, now: declaredAt.Add(tt.at), view: tt.view, newUpstreams: tt.newUpstreams, callsAtStepStart: map[string]uint64{}}
			next := d.nextRecord()
			if next == nil {
				next = service.MoveRecord
			}
			require.Equal(t, tt.wantShare, next.GetSharePermille(), next.GetReason())
			require.Equal(t, tt.wantLate, next.GetLate())
			if strings.HasPrefix(next.GetReason(), "waits") {
				require.Equal(t, tt.step, next.GetStep(), "a step was taken without evidence")
			}
		})
	}
}

func TestPlanEndsBeforeTheDeadline(t *testing.T) {
	for _, length := range []time.Duration{8 * time.Second, time.Minute, 24 * time.Hour} {
		record := &wirepb.MoveRecord{DeclaredAt: timestamppb.New(declaredAt), Deadline: timestamppb.New(declaredAt.Add(length))}
		last := declaredAt
		for _, at := range NewPlan(record).StepDeadlines {
			require.True(t, at.After(last))
			last = at
		}
		require.True(t, last.Before(declaredAt.Add(length)))
	}
}

// Guards against a plan that gives a version whose fault shows only at the full share more calls than the users allow
// before it is rejected.
func TestPlanBoundsCallsBeforeFullShare(t *testing.T) {
	const (
		// The users allow a tenth of the calls between order and deadline, and 50 more.
		maxCallFraction = 0.1
		extraCalls      = 50
		// callsPerSecond is the rate of the busiest service of their deployments.
		callsPerSecond = 270
		// detectionDelay is the time from a fault to the verdict on all nodes.
		detectionDelay = 700 * time.Millisecond
	)
	for _, length := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			record := &wirepb.MoveRecord{
				DeclaredAt: timestamppb.New(declaredAt), Deadline: timestamppb.New(declaredAt.Add(length)),
				Watch: durationpb.New(1500 * time.Millisecond), Order: 1,
			}
			exposed, entered := detectionDelay.Seconds()*callsPerSecond, declaredAt
			for i, at := range NewPlan(record).StepDeadlines {
				exposed += float64(stepSharesPermille[i]) / fullSharePermille * at.Sub(entered).Seconds() * callsPerSecond
				entered = at
			}
			require.LessOrEqual(t, exposed, maxCallFraction*length.Seconds()*callsPerSecond+extraCalls)
		})
	}
}

func TestCheckExposure(t *testing.T) {
	const (
		allowed   = wirepb.Refusal_REFUSAL_UNSPECIFIED
		exposure  = wirepb.Refusal_REFUSAL_EXPOSURE
		withdrawn = wirepb.Refusal_REFUSAL_WITHDRAWN
	)
	running := &wirepb.MoveRecord{Step: 1, SharePermille: 50}
	tests := []struct {
		name     string
		record   *wirepb.MoveRecord
		version  string
		inFlight int
		rejected bool
		alarmed  bool
		want     wirepb.Refusal
	}{
		{"the stable version", running, "v1", 9, false, false, allowed},
		{"a version outside the move", running, "v9", 0, false, false, exposure},
		{"the new version", running, "v2", 9, false, false, allowed},
		{"the new version before its share opens", &wirepb.MoveRecord{}, "v2", 0, false, false, exposure},
		{"the new version in the first step", &wirepb.MoveRecord{SharePermille: 10}, "v2", 1, false, false, allowed},
		{"the new version in the first step with too many calls in flight", &wirepb.MoveRecord{SharePermille: 10}, "v2", 2, false, false, exposure},
		{"the new version during an alarm", running, "v2", 0, false, true, exposure},
		{"a rejected version before the verdict is recorded", running, "v2", 0, true, false, withdrawn},
		{"a version taken back", &wirepb.MoveRecord{State: wirepb.MoveState_MOVE_STATE_TAKEN_BACK}, "v2", 0, false, false, withdrawn},
		{"the new version after the move is done", &wirepb.MoveRecord{State: wirepb.MoveState_MOVE_STATE_DONE}, "v2", 9, false, false, allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			verdicts := NewVerdicts()
			service := newService(tt.record)
			if tt.rejected {
				verdicts.Merge(&wirepb.Verdict{Service: "shop", Version: "v2", DeclaredRevision: 7})
			}
			require.Equal(t, tt.want, CheckExposure(service, local.Exposure{Version: tt.version, InFlight: tt.inFlight}, verdicts, tt.alarmed))
		})
	}
}

func TestVerdicts(t *testing.T) {
	v := NewVerdicts()
	require.True(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 7}))
	t.Run("ignore earlier and repeated declarations", func(t *testing.T) {
		require.False(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 6}))
		require.False(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 7}))
	})
	t.Run("set the share to 0 at once", func(t *testing.T) {
		require.Zero(t, v.SharePermille(newService(&wirepb.MoveRecord{SharePermille: 500})))
	})
	t.Run("do not apply to a new declaration", func(t *testing.T) {
		service := newService(&wirepb.MoveRecord{SharePermille: 500})
		service.MoveRecord.DeclaredRevision = 8
		require.Equal(t, uint32(500), v.SharePermille(service))
	})
	t.Run("show a move as taken back before the platform has recorded it", func(t *testing.T) {
		record := v.EffectiveRecord(newService(&wirepb.MoveRecord{SharePermille: 500}).MoveRecord, declaredAt)
		require.Equal(t, wirepb.MoveState_MOVE_STATE_TAKEN_BACK, record.GetState())
	})
}
