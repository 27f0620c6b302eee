package move

import (
	"maps"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxSeries = 4096
	// alarmTime is how long calls to a suspected version stop while the deciders judge it.
	alarmTime = time.Second
)

// MonitorConfig configures a Monitor.
type MonitorConfig struct {
	Now   func() time.Time
	State func() *tree.State
	// OnAlarm is called when calls beside this node speak against the version that a service moves to.
	OnAlarm func(service string)
}

// Monitor measures the calls beside this node by route and version and stops calls to a suspected version.
type Monitor struct {
	cfg MonitorConfig

	mu       sync.Mutex
	services map[string]*serviceMeter
}

// serviceMeter holds the calls of one service, for one declaration.
type serviceMeter struct {
	declared  uint64
	alarmed   time.Time
	series    map[seriesKey]*series
	baselines map[string]*wirepb.RouteBaseline
}

type seriesKey struct {
	route   string
	version string
	// control says that the calls went to the old version by lot.
	control bool
}

type series struct {
	window   *window
	failing  cumulative
	slow     cumulative
	shedding cumulative
	early    early
}

// NewMonitor returns an empty meter.
func NewMonitor(cfg MonitorConfig) *Monitor {
	return &Monitor{cfg: cfg, services: map[string]*serviceMeter{}}
}

// Observe takes in what one call showed.
func (m *Monitor) Observe(o local.Observation) {
	service, found := m.cfg.State().Services[o.Service]
	if found && m.record(service, o) {
		m.cfg.OnAlarm(o.Service)
	}
}

// record reports whether the call raised an alarm.
func (m *Monitor) record(service *tree.Service, o local.Observation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter := m.meterOf(service)
	s := meter.seriesOf(seriesKey{route: o.Route, version: o.Version, control: o.Control})
	if s == nil {
		return false
	}
	baseline := meter.baselines[o.Route]
	c := classify(o, baseline, allowedColdStart(service, baseline))
	if c.calls == 0 {
		return false
	}
	now := m.cfg.Now()
	s.window.add(now, c)
	if o.Result == local.ResultOK {
		s.window.sample(o.Latency)
		s.early.add(o)
	}
	if !service.MoveActive() || o.Version != service.MoveRecord.GetTo() || !s.suspicious(c, baseline) {
		return false
	}
	first := now.Sub(meter.alarmed) > alarmTime
	meter.alarmed = now
	s.failing, s.slow, s.shedding = 0, 0, 0
	return first
}

func classify(o local.Observation, baseline *wirepb.RouteBaseline, coldStart time.Duration) counts {
	c, cold := counts{calls: 1}, o.SinceFirstCall < coldStart
	late := baseline.GetSlow() != nil && o.Latency > baseline.GetSlow().AsDuration()
	switch o.Result {
	case local.ResultFailed:
		c.failures = 1
	case local.ResultShed:
		c.sheds = 1
	case local.ResultAbandoned:
		if !late || cold {
			return counts{}
		}
	}
	if baseline.GetSlow() != nil && !cold && c.sheds == 0 {
		c.warm = 1
		if late {
			c.slow = 1
		}
	}
	return c
}

func (s *series) suspicious(c counts, baseline *wirepb.RouteBaseline) bool {
	shedding := s.shedding.add(shedHypothesis(baseline.GetShedRate()), c.sheds > 0)
	if c.served() > 0 {
		s.failing.add(failureHypothesis(baseline.GetFailureRate(), float64(baseline.GetCalls())), c.failures > 0)
	}
	if c.warm > 0 {
		s.slow.add(slowHypothesis(baseline.GetSlowRate()), c.slow > 0)
	}
	return shedding > condemnAt || s.failing > condemnAt || s.slow > condemnAt
}

// meterOf forgets the new version's calls when a new declaration is in force.
func (m *Monitor) meterOf(service *tree.Service) *serviceMeter {
	meter, found := m.services[service.Name]
	declared := service.MoveRecord.GetDeclaredRevision()
	if !found {
		meter = &serviceMeter{declared: declared, series: map[seriesKey]*series{}, baselines: map[string]*wirepb.RouteBaseline{}}
		m.services[service.Name] = meter
	}
	if meter.declared != declared {
		meter.declared, meter.alarmed = declared, time.Time{}
		maps.DeleteFunc(meter.series, func(key seriesKey, _ *series) bool {
			return key.version == service.MoveRecord.GetTo()
		})
	}
	return meter
}

func (m *serviceMeter) seriesOf(key seriesKey) *series {
	s, found := m.series[key]
	if !found && len(m.series) < maxSeries {
		s = &series{window: newWindow()}
		m.series[key] = s
	}
	return s
}

// Alarmed reports whether calls to the version that a service moves to are stopped beside this node.
func (m *Monitor) Alarmed(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter, found := m.services[service]
	return found && m.cfg.Now().Sub(meter.alarmed) < alarmTime
}

// Report returns the evidence of a service's calls beside this node, ordered by route and version.
func (m *Monitor) Report(node string, service *tree.Service) *wirepb.EvidenceReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter, now := m.meterOf(service), m.cfg.Now()
	report := &wirepb.EvidenceReport{
		Node: node, Service: service.Name, DeclaredRevision: meter.declared,
		Alarmed: now.Sub(meter.alarmed) < alarmTime,
	}
	for key, s := range meter.series {
		slow := meter.baselines[key.route].GetSlow()
		evidence := s.window.evidence(now, key, slow == nil)
		if coldStart, found := s.early.coldStart(slow.AsDuration()); slow != nil && found {
			evidence.ColdStart = durationpb.New(coldStart)
		}
		report.Routes = append(report.Routes, evidence)
	}
	sort.Slice(report.Routes, func(i, j int) bool {
		a, b := report.Routes[i], report.Routes[j]
		if a.GetRoute() != b.GetRoute() {
			return a.GetRoute() < b.GetRoute()
		}
		if a.GetVersion() != b.GetVersion() {
			return a.GetVersion() < b.GetVersion()
		}
		return !a.GetControl() && b.GetControl()
	})
	return report
}

// UpdateBaselines takes in what a decider tells of the old version; a route without calls keeps what was known.
func (m *Monitor) UpdateBaselines(service *tree.Service, baselines []*wirepb.RouteBaseline) {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter := m.meterOf(service)
	for _, b := range baselines {
		if b.GetCalls() >= minBaselineCalls || meter.baselines[b.GetRoute()] == nil {
			meter.baselines[b.GetRoute()] = b
		}
	}
}
