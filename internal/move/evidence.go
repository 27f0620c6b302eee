package move

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// nodeEvidence is the evidence that one node reported, kept for the whole window.
type nodeEvidence struct {
	reportedAt time.Time
	series     map[seriesKey]*nodeSeries
}

type nodeSeries struct {
	seconds       history
	samplesMicros []uint32
	totalCalls    uint64
	// coldStart is nil when the node has no estimate.
	coldStart *durationpb.Duration
	// running and oldestRunning are as of the newest report.
	running       uint32
	oldestRunning time.Duration
}

// addReport replaces the counts of the seconds in a report, so that a report received twice is not counted twice.
func (n *nodeEvidence) addReport(report *wirepb.EvidenceReport, now time.Time) {
	n.reportedAt = now
	for _, evidence := range report.GetRoutes() {
		key := seriesKey{route: evidence.GetRoute(), version: evidence.GetVersion(), control: evidence.GetControl()}
		s, found := n.series[key]
		if !found {
			s = &nodeSeries{seconds: history{}}
			n.series[key] = s
		}
		s.totalCalls = max(s.totalCalls, evidence.GetTotalCalls())
		if len(evidence.GetSamplesMicros()) > 0 {
			s.samplesMicros = evidence.GetSamplesMicros()
		}
		s.running, s.oldestRunning = evidence.GetRunning(), evidence.GetOldestRunning().AsDuration()
		s.coldStart = longerDuration(s.coldStart, evidence.GetColdStart())
		for _, c := range evidence.GetSeconds() {
			s.seconds[c.GetSecond()] = decodeCounts(c)
		}
	}
}

// trim drops seconds outside the window and reports whether the node has sent no report in the window.
func (n *nodeEvidence) trim(now time.Time) bool {
	for _, s := range n.series {
		s.seconds.trim(now)
	}
	return now.Sub(n.reportedAt) > windowSeconds*time.Second
}
