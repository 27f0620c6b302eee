package move

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// movement is what this node knows of one declaration of a service.
type movement struct {
	declared uint64
	nodes    map[string]*nodeEvidence
	known    map[string]*wirepb.RouteBaseline
	// step is the step for which began holds the new version's calls by route.
	step    uint32
	began   map[string]uint64
	alarm   time.Time
	wrote   time.Time
	writing bool
	// condemned is when this node first saw the verdict, verdictTried when it last tried to record it.
	condemned    time.Time
	verdictTried time.Time
	// silent holds the deciders that did not answer the newest report.
	silent map[string]bool
}

func (m *Controller) movementOf(service string, declared uint64) *movement {
	known, found := m.services[service]
	if found && known.declared == declared {
		return known
	}
	fresh := &movement{
		declared: declared, nodes: map[string]*nodeEvidence{}, known: map[string]*wirepb.RouteBaseline{},
		began: map[string]uint64{}, silent: map[string]bool{},
	}
	m.services[service] = fresh
	return fresh
}

func (m *movement) view(record *wirepb.MoveRecord, now time.Time) view {
	for name, n := range m.nodes {
		if n.trim(now) {
			delete(m.nodes, name)
		}
	}
	return newView(record, m.nodes)
}

func (m *movement) take(report *wirepb.EvidenceReport, now time.Time) {
	n, found := m.nodes[report.GetNode()]
	if !found {
		n = &nodeEvidence{series: map[seriesKey]*nodeSeries{}}
		m.nodes[report.GetNode()] = n
	}
	n.take(report, now)
}

// enterStep notes the new version's calls when a step begins, as far as this node saw it begin.
func (m *movement) enterStep(record *wirepb.MoveRecord, current view) {
	if m.step == record.GetStep() {
		return
	}
	m.step = record.GetStep()
	for name, r := range current {
		m.began[name] = r.toTotal
	}
}
