package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against thresholds that rest on the upstream of the first node to report, which may be much faster or slower than the
// others: good calls then count as slow, or slow ones as good.
func TestThresholdsFollowAllNodesUntilTheFirstShare(t *testing.T) {
	nodes, record := map[string]*nodeEvidence{}, &wirepb.MoveRecord{From: "v1", To: "v2"}
	report := func(node string, latency time.Duration) {
		samples := make([]uint32, sampleCount)
		for i := range samples {
			samples[i] = uint32(latency.Microseconds())
		}
		nodes[node] = &nodeEvidence{series: map[seriesKey]*nodeSeries{
			{route: "r", version: "v1"}: {seconds: history{0: counts{calls: 100}}, samplesMicros: samples},
		}}
	}
	known := map[string]*wirepb.RouteBaseline{}
	threshold := func() time.Duration {
		known["r"] = newView(record, nodes).baselines(record, known)[0]
		return known["r"].GetSlow().AsDuration()
	}
	report("fast", 50*time.Millisecond)
	require.Less(t, threshold(), 150*time.Millisecond)
	report("slow", 200*time.Millisecond)
	require.GreaterOrEqual(t, threshold(), 200*time.Millisecond, "a node that reports before the first share")
	opened := threshold()
	record.SharePermille = 10
	report("late", time.Second)
	require.Equal(t, opened, threshold(), "a node that reports after the first share")
}

// Guards against nodes that lose their thresholds to a decider that has just started.
func TestNodesKeepThresholdsThatADeciderDoesNotKnow(t *testing.T) {
	service := newService(&wirepb.MoveRecord{})
	m := NewMonitor(MonitorConfig{Now: func() time.Time { return declaredAt }, State: func() *tree.State { return nil }})
	m.UpdateBaselines(service, []*wirepb.RouteBaseline{{Route: "r", Calls: 100, Slow: durationpb.New(time.Second)}})
	m.UpdateBaselines(service, []*wirepb.RouteBaseline{{Route: "r", Calls: 200}})
	require.Equal(t, time.Second, m.services["shop"].baselines["r"].GetSlow().AsDuration())
	require.Equal(t, uint32(200), m.services["shop"].baselines["r"].GetCalls())
}
