package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Calls that are no evidence, because they were cut off or are still running, must show in the log lines of a decision.
func TestSummaryShowsCallsWithoutEvidence(t *testing.T) {
	service, now := newService(&wirepb.MoveRecord{}), declaredAt
	m := newSilentMonitor(service, &now)
	baseline := &wirepb.RouteBaseline{Route: "r", Calls: 1000, Slow: durationpb.New(time.Second)}
	m.UpdateBaselines(service, []*wirepb.RouteBaseline{baseline})
	call := local.Observation{Service: "shop", Version: "v2", Route: "r", SinceFirstCall: time.Minute}
	end := m.Observe(call)
	m.Observe(call)
	now = now.Add(100 * time.Millisecond)
	call.Result, call.Latency = local.ResultAbandoned, 100*time.Millisecond
	end(call)

	evidence := &nodeEvidence{series: map[seriesKey]*nodeSeries{}}
	evidence.addReport(m.Report("n", service), now)
	summary := newView(service.MoveRecord, map[string]*nodeEvidence{"n": evidence}).summary(map[string]*wirepb.RouteBaseline{"r": baseline})
	require.Equal(t, []routeSummary{{Route: "r", CutOff: 1, Running: 1, OldestRunning: 100 * time.Millisecond, SlowThreshold: time.Second}}, summary)
}
