package move

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// nodeEvidence is what one node reported, kept for the whole window.
type nodeEvidence struct {
	at     time.Time
	series map[seriesKey]*nodeSeries
}

type nodeSeries struct {
	seconds history
	samples []uint32
	total   uint64
	// coldStart is nil when the node saw none.
	coldStart *durationpb.Duration
}

// take replaces the seconds that a report carries: a report that comes twice or late does no harm.
func (n *nodeEvidence) take(report *wirepb.EvidenceReport, now time.Time) {
	n.at = now
	for _, evidence := range report.GetRoutes() {
		key := seriesKey{route: evidence.GetRoute(), version: evidence.GetVersion(), control: evidence.GetControl()}
		s, found := n.series[key]
		if !found {
			s = &nodeSeries{seconds: history{}}
			n.series[key] = s
		}
		s.total = max(s.total, evidence.GetTotalCalls())
		if len(evidence.GetSamplesMicros()) > 0 {
			s.samples = evidence.GetSamplesMicros()
		}
		s.coldStart = longer(s.coldStart, evidence.GetColdStart())
		for _, c := range evidence.GetSeconds() {
			s.seconds[c.GetSecond()] = decodeCounts(c)
		}
	}
}

// trim reports whether the node has shown nothing in the window.
func (n *nodeEvidence) trim(now time.Time) bool {
	for _, s := range n.series {
		s.seconds.trim(now)
	}
	return now.Sub(n.at) > windowSeconds*time.Second
}
