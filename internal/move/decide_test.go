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

var declared = time.Date(2027, 1, 1, 12, 0, 0, 0, time.UTC)

// showing is the calls of one second.
type showing struct {
	calls    float64
	failures float64
	slow     float64
	sheds    float64
}

func (s showing) counts() counts {
	return counts{calls: s.calls, failures: s.failures, sheds: s.sheds, warm: s.calls - s.sheds, slow: s.slow}
}

// seconds returns the same second some times.
func seconds(n int, s showing) []showing {
	list := make([]showing, n)
	for i := range list {
		list[i] = s
	}
	return list
}

func newRouteView(from, to []showing) *routeView {
	r := &routeView{from: history{}, to: history{}, control: history{}}
	for i, s := range from {
		r.from[int64(i)] = s.counts()
	}
	for i, s := range to {
		r.to[int64(i)] = s.counts()
		r.toTotal += uint64(s.calls)
	}
	return r
}

func TestJudge(t *testing.T) {
	healthy := seconds(10, showing{calls: 100})
	tests := []struct {
		name string
		from []showing
		to   []showing
		bad  bool
	}{
		{"good", healthy, seconds(10, showing{calls: 5}), false},
		{"one failure", healthy, []showing{{calls: 5, failures: 1}}, false},
		{"failing at once", healthy, []showing{{calls: 3, failures: 3}}, true},
		{"failing in part", healthy, seconds(3, showing{calls: 5, failures: 2}), true},
		{"failing after much good behaviour", healthy, append(seconds(9, showing{calls: 500}), showing{calls: 20, failures: 12}), true},
		{"failing rarely", healthy, seconds(4, showing{calls: 25, failures: 1}), true},
		{"failing as rarely as the old one", seconds(10, showing{calls: 100, failures: 2}), seconds(10, showing{calls: 50, failures: 1}), false},
		{"slow", healthy, seconds(2, showing{calls: 5, slow: 5}), true},
		{"as slow as the old one", seconds(10, showing{calls: 100, slow: 20}), seconds(10, showing{calls: 50, slow: 11}), false},
		{"shedding alone", healthy, seconds(3, showing{calls: 6, sheds: 5}), true},
		{"shedding as the old one does", seconds(10, showing{calls: 100, sheds: 20}), seconds(10, showing{calls: 50, sheds: 11}), false},
		{"failing as the old one does", seconds(10, showing{calls: 100, failures: 20}), seconds(10, showing{calls: 50, failures: 11}), false},
		{
			"a fault of both that begins as the share rises",
			append(seconds(8, showing{calls: 100}), seconds(2, showing{calls: 50, failures: 45})...),
			append(seconds(8, showing{calls: 2}), seconds(2, showing{calls: 50, failures: 45})...),
			false,
		},
		{
			"a fault of both, and one of its own after",
			append(seconds(5, showing{calls: 50, failures: 45}), seconds(5, showing{calls: 50})...),
			append(seconds(5, showing{calls: 50, failures: 45}), seconds(5, showing{calls: 50, failures: 25})...),
			true,
		},
		{"scarce traffic", seconds(10, showing{calls: 2}), []showing{{calls: 1, failures: 1}, {}, {}, {calls: 1, failures: 1}, {}, {calls: 1, failures: 1}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := newRouteView(tt.from, tt.to).judge("r", nil)
			require.Equal(t, tt.bad, found.weight >= condemnAt, "weight %.1f: %s", found.weight, found.reason)
		})
	}
}

// A disturbance of a moment that meets the slice of the second shows in the controls, hardly in the whole second.
func TestJudgeComparesWithControls(t *testing.T) {
	disturbed := showing{calls: 100, slow: 10, failures: 10}
	tests := []struct {
		name    string
		control showing
		bad     bool
	}{
		{"the controls met it too", showing{calls: 10, slow: 10, failures: 10}, false},
		{"the controls were well", showing{calls: 10}, true},
		{"too few controls", showing{calls: 1, slow: 1, failures: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouteView(append(seconds(9, showing{calls: 100}), disturbed), append(seconds(9, showing{}), showing{calls: 10, slow: 10, failures: 10}))
			r.control[9] = tt.control.counts()
			found := r.judge("r", nil)
			require.Equal(t, tt.bad, found.weight >= condemnAt, "weight %.1f: %s", found.weight, found.reason)
		})
	}
}

// Few controls may show a fault of both by chance as rare; the other calls of the same second tell it, too.
func TestFewControlsAreNotTakenAlone(t *testing.T) {
	tests := []struct {
		name     string
		from     showing
		control  showing
		to       showing
		wantsBad bool
	}{
		{"a fault of both that no control met", showing{calls: 100, failures: 55}, showing{calls: 5}, showing{calls: 30, failures: 18}, false},
		{"a fault of both that one control met", showing{calls: 100, failures: 10}, showing{calls: 5, failures: 1}, showing{calls: 30, failures: 18}, false},
		{"a slowness of both that no control met", showing{calls: 100, slow: 50}, showing{calls: 5}, showing{calls: 30, slow: 18}, false},
		{"a fault of the new version alone", showing{calls: 100}, showing{calls: 5}, showing{calls: 30, failures: 18}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouteView(append(seconds(9, showing{calls: 100}), tt.from), append(seconds(9, showing{}), tt.to))
			r.control[9] = tt.control.counts()
			found := r.judge("r", nil)
			require.Equal(t, tt.wantsBad, found.weight >= condemnAt, "weight %.1f: %s", found.weight, found.reason)
		})
	}
}

// A disturbance of both that ends within a second may fill the slice of that second and hardly show in the rest of it.
func TestDisturbanceThatEndsWithinASecondExcuses(t *testing.T) {
	r := newRouteView(
		append(seconds(8, showing{calls: 50}), showing{calls: 50, slow: 48}, showing{calls: 50, slow: 5}),
		append(seconds(9, showing{}), showing{calls: 12, slow: 10}),
	)
	found := r.judge("r", nil)
	require.Less(t, found.weight, condemnAt, found.reason)
}

func TestLocalAlarm(t *testing.T) {
	baseline := &wirepb.RouteBaseline{Calls: 1000, Slow: durationpb.New(10 * time.Millisecond)}
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
		{"slow calls in the cold start", local.Observation{Latency: time.Second, SinceFirstCall: minColdStart - 1}, 100, false},
		{"calls given up late", local.Observation{Result: local.ResultAbandoned, Latency: time.Second, SinceFirstCall: time.Minute}, 6, true},
		{"calls given up early", local.Observation{Result: local.ResultAbandoned, Latency: time.Millisecond}, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := newService(&wirepb.MoveRecord{})
			alarms := 0
			m := NewMonitor(MonitorConfig{
				Now:     func() time.Time { return declared },
				State:   func() *tree.State { return &tree.State{Services: map[string]*tree.Service{"shop": service}} },
				OnAlarm: func(string) { alarms++ },
			})
			baseline.Route = "r"
			m.UpdateBaselines(service, []*wirepb.RouteBaseline{baseline})
			tt.observation.Service, tt.observation.Version, tt.observation.Route = "shop", "v2", "r"
			for range tt.calls {
				m.Observe(tt.observation)
			}
			require.Equal(t, tt.alarm, alarms > 0)
			require.Equal(t, tt.alarm, m.Alarmed("shop"))
		})
	}
}

// newService completes a record of a running move and returns its service.
func newService(record *wirepb.MoveRecord) *tree.Service {
	record.Service, record.From, record.To, record.DeclaredRevision = "shop", "v1", "v2", 7
	record.DeclaredAt, record.Deadline = timestamppb.New(declared), timestamppb.New(declared.Add(time.Minute))
	record.StepCalls, record.Watch = 20, durationpb.New(30*time.Second)
	if record.State == wirepb.MoveState_MOVE_STATE_UNSPECIFIED {
		record.State = wirepb.MoveState_MOVE_STATE_RUNNING
	}
	if record.StepAt == nil {
		record.StepAt = record.DeclaredAt
	}
	return &tree.Service{Name: "shop", StableVersion: "v1", ColdStart: minColdStart, MoveRecord: record}
}

func TestSteps(t *testing.T) {
	enough := view{"r": newRouteView(seconds(10, showing{calls: 400}), seconds(10, showing{calls: 10}))}
	little := view{"r": newRouteView(seconds(10, showing{calls: 1}), []showing{{calls: 1}})}
	failing := view{"r": newRouteView(seconds(10, showing{calls: 100}), append(seconds(9, showing{calls: 10}), showing{calls: 4, failures: 1}))}
	disturbedAt := func(at time.Duration) view {
		v := view{"r": newRouteView(nil, seconds(10, showing{calls: 10}))}
		v["r"].from[declared.Add(at).Unix()] = showing{calls: 20, slow: 12}.counts()
		return v
	}
	const hold, finish = wirepb.DeadlinePolicy_DEADLINE_POLICY_HOLD, wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH
	tests := []struct {
		name       string
		view       view
		at         time.Duration
		step       uint32
		share      uint32
		policy     wirepb.DeadlinePolicy
		candidates int
		wantShare  uint32
		wantLate   bool
	}{
		{"waits for the old version's behaviour", enough, 500 * time.Millisecond, 0, 0, hold, 3, 0, false},
		{"opens the first share", enough, 2 * time.Second, 0, 0, hold, 3, stepShares[0], false},
		{"raises the first share when traffic is scarce", little, 2 * time.Second, 0, 0, hold, 3, maxScarce, false},
		{"opens nothing without upstreams", enough, 2 * time.Second, 0, 0, hold, 0, 0, false},
		{"stays in a step that lasts", enough, 3 * time.Second, 0, 10, hold, 3, 10, false},
		{"takes the next step", enough, 20 * time.Second, 0, 10, hold, 3, 50, false},
		{"survives a record with a step that the plan lacks", enough, 50 * time.Second, 9, 800, hold, 3, 1000, false},
		{"holds with a failure in sight", failing, 40 * time.Second, 1, 50, finish, 3, 50, false},
		{"holds while the old version is disturbed, too", disturbedAt(50 * time.Second), 50 * time.Second, 3, 250, finish, 3, 250, false},
		{"goes on when that is over", disturbedAt(48 * time.Second), 50 * time.Second, 3, 250, finish, 3, 1000, false},
		{"goes on in a disturbance when it would be late", disturbedAt(59 * time.Second), 59 * time.Second, 3, 250, finish, 3, 1000, false},
		{"widens the share for want of evidence", little, 58 * time.Second, 1, 50, hold, 3, 100, true},
		{"widens it no further than the next step", little, 58 * time.Second, 1, 150, hold, 3, 150, true},
		{"never widens it to all calls", little, 58 * time.Second, 3, 250, hold, 3, 250, false},
		{"finishes with little evidence when the team says so", little, 58 * time.Second, 3, 500, finish, 3, 1000, false},
		{"says early that it is late", little, 57*time.Second + 500*time.Millisecond, 1, 50, hold, 3, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := newService(&wirepb.MoveRecord{Step: tt.step, SharePermille: tt.share, AtDeadline: tt.policy})
			d := decision{service: service, now: declared.Add(tt.at), view: tt.view, candidates: tt.candidates, began: map[string]uint64{}}
			next := d.next()
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
		record := &wirepb.MoveRecord{DeclaredAt: timestamppb.New(declared), Deadline: timestamppb.New(declared.Add(length))}
		last := declared
		for _, at := range NewPlan(record).StepDeadlines {
			require.True(t, at.After(last))
			last = at
		}
		require.True(t, last.Before(declared.Add(length)))
	}
}

// A version whose fault shows at full share only must have had no more than the users allow when it is found out.
func TestExposureBeforeFullShareLeavesRoomToFindAFault(t *testing.T) {
	const (
		// The users allow a tenth of the calls between order and deadline and 50 more.
		maxShare = 0.1
		slack    = 50
		// callsPerSecond is the rate of the busiest service of their deployments.
		callsPerSecond = 270
		// findTime is the time from a fault to the verdict on all nodes.
		findTime = 700 * time.Millisecond
	)
	for _, length := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			record := &wirepb.MoveRecord{
				DeclaredAt: timestamppb.New(declared), Deadline: timestamppb.New(declared.Add(length)),
				Watch: durationpb.New(1500 * time.Millisecond), Order: 1,
			}
			exposed, entered := findTime.Seconds()*callsPerSecond, declared
			for i, at := range NewPlan(record).StepDeadlines {
				exposed += float64(stepShares[i]) / fullShare * at.Sub(entered).Seconds() * callsPerSecond
				entered = at
			}
			require.LessOrEqual(t, exposed, maxShare*length.Seconds()*callsPerSecond+slack)
		})
	}
}

func TestForbid(t *testing.T) {
	const (
		allowed   = wirepb.Refusal_REFUSAL_UNSPECIFIED
		exposure  = wirepb.Refusal_REFUSAL_EXPOSURE
		withdrawn = wirepb.Refusal_REFUSAL_WITHDRAWN
	)
	running := &wirepb.MoveRecord{Step: 1, SharePermille: 50}
	tests := []struct {
		name      string
		record    *wirepb.MoveRecord
		version   string
		inFlight  int
		condemned bool
		alarmed   bool
		want      wirepb.Refusal
	}{
		{"the earlier version", running, "v1", 9, false, false, allowed},
		{"a version of no move", running, "v9", 0, false, false, exposure},
		{"the new version", running, "v2", 9, false, false, allowed},
		{"the new version before its share opens", &wirepb.MoveRecord{}, "v2", 0, false, false, exposure},
		{"the new version in the first step", &wirepb.MoveRecord{SharePermille: 10}, "v2", 1, false, false, allowed},
		{"more calls at once than the first exposure", &wirepb.MoveRecord{SharePermille: 10}, "v2", 2, false, false, exposure},
		{"the new version in an alarm", running, "v2", 0, false, true, exposure},
		{"a condemned version before the record says so", running, "v2", 0, true, false, withdrawn},
		{"a version taken back", &wirepb.MoveRecord{State: wirepb.MoveState_MOVE_STATE_TAKEN_BACK}, "v2", 0, false, false, withdrawn},
		{"the new version when done", &wirepb.MoveRecord{State: wirepb.MoveState_MOVE_STATE_DONE}, "v2", 9, false, false, allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			verdicts := NewVerdicts()
			service := newService(tt.record)
			if tt.condemned {
				verdicts.Merge(&wirepb.Verdict{Service: "shop", Version: "v2", DeclaredRevision: 7})
			}
			require.Equal(t, tt.want, CheckExposure(service, local.Exposure{Version: tt.version, InFlight: tt.inFlight}, verdicts, tt.alarmed))
		})
	}
}

func TestVerdicts(t *testing.T) {
	v := NewVerdicts()
	require.True(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 7}))
	t.Run("do not fall back to an earlier declaration", func(t *testing.T) {
		require.False(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 6}))
		require.False(t, v.Merge(&wirepb.Verdict{Service: "shop", DeclaredRevision: 7}))
	})
	t.Run("take the share away at once", func(t *testing.T) {
		require.Zero(t, v.SharePermille(newService(&wirepb.MoveRecord{SharePermille: 500})))
	})
	t.Run("do not count for a new declaration", func(t *testing.T) {
		service := newService(&wirepb.MoveRecord{SharePermille: 500})
		service.MoveRecord.DeclaredRevision = 8
		require.Equal(t, uint32(500), v.SharePermille(service))
	})
	t.Run("show a move as taken back before the platform has recorded it", func(t *testing.T) {
		record := v.EffectiveRecord(newService(&wirepb.MoveRecord{SharePermille: 500}).MoveRecord, declared)
		require.Equal(t, wirepb.MoveState_MOVE_STATE_TAKEN_BACK, record.GetState())
	})
}
