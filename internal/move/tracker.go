package move

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// tracker holds what this node knows of one declared move of a service.
type tracker struct {
	declaredRevision uint64
	nodes            map[string]*nodeEvidence
	baselines        map[string]*wirepb.RouteBaseline
	// step is the step that this node saw last; callsAtStepStart holds the number of the new version's calls by route when it
	// began.
	step             uint32
	callsAtStepStart map[string]uint64
	alarmedAt        time.Time
	wroteAt          time.Time
	writing          bool
	// rejectedAt is when this node first saw the verdict, verdictTriedAt when it last tried to record it.
	rejectedAt     time.Time
	verdictTriedAt time.Time
	// unresponsive holds the deciders that did not reply to the newest report.
	unresponsive map[string]bool
}

func (c *Controller) trackerFor(service string, declaredRevision uint64) *tracker {
	known, found := c.trackers[service]
	if found && known.declaredRevision == declaredRevision {
		return known
	}
	added := &tracker{
		declaredRevision: declaredRevision, nodes: map[string]*nodeEvidence{}, baselines: map[string]*wirepb.RouteBaseline{},
		callsAtStepStart: map[string]uint64{}, unresponsive: map[string]bool{},
	}
	c.trackers[service] = added
	return added
}

func (t *tracker) view(record *wirepb.MoveRecord, now time.Time) view {
	for name, n := range t.nodes {
		if n.trim(now) {
			delete(t.nodes, name)
		}
	}
	return newView(record, t.nodes)
}

func (t *tracker) addReport(report *wirepb.EvidenceReport, now time.Time) {
	n, found := t.nodes[report.GetNode()]
	if !found {
		n = &nodeEvidence{series: map[seriesKey]*nodeSeries{}}
		t.nodes[report.GetNode()] = n
	}
	n.addReport(report, now)
}

// recordStepStart stores the new version's total calls when this node first sees a step.
func (t *tracker) recordStepStart(record *wirepb.MoveRecord, current view) {
	if t.step == record.GetStep() {
		return
	}
	t.step = record.GetStep()
	for name, r := range current {
		t.callsAtStepStart[name] = r.newTotalCalls
	}
}
