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

// newSilentMonitor returns a monitor of one service with a manual clock, whose alarms are ignored.
func newSilentMonitor(service *tree.Service, now *time.Time) *Monitor {
	return NewMonitor(MonitorConfig{
		Now:     func() time.Time { return *now },
		State:   func() *tree.State { return &tree.State{Services: map[string]*tree.Service{service.Name: service}} },
		OnAlarm: func(string) {},
	})
}

// Guards against a step being taken while calls of the new version run that are slow already: the slowest calls end last.
func TestRunningCallCountsAsSlowOnce(t *testing.T) {
	service, now := newService(&wirepb.MoveRecord{}), declaredAt
	m := newSilentMonitor(service, &now)
	m.UpdateBaselines(service, []*wirepb.RouteBaseline{{Route: "r", Calls: 1000, Slow: durationpb.New(time.Second)}})
	requireCounts := func(t *testing.T, calls, slow uint32) {
		t.Helper()
		sum := &wirepb.SecondCounts{}
		for _, second := range m.Report("n", service).GetRoutes()[0].GetSeconds() {
			sum.Calls += second.GetCalls()
			sum.Slow += second.GetSlow()
		}
		require.Equal(t, calls, sum.GetCalls(), "calls")
		require.Equal(t, slow, sum.GetSlow(), "slow calls")
	}
	call := local.Observation{Service: "shop", Version: "v2", Route: "r", SinceFirstCall: time.Minute}
	end := m.Observe(call)
	now = now.Add(900 * time.Millisecond)
	requireCounts(t, 0, 0)
	now = now.Add(200 * time.Millisecond)
	requireCounts(t, 1, 1)
	requireCounts(t, 1, 1)
	now = now.Add(200 * time.Millisecond)
	call.Result, call.Latency = local.ResultOK, 1300*time.Millisecond
	end(call)
	requireCounts(t, 1, 1)
}
