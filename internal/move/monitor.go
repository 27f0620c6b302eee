package move

import (
	"maps"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxSeries = 4096
	// alarmDuration is how long calls to a suspected version are refused while the deciders judge it.
	alarmDuration = time.Second
)

// MonitorConfig configures a Monitor.
type MonitorConfig struct {
	Now   func() time.Time
	State func() *tree.State
	// OnAlarm is called when calls to local upstreams are evidence of a fault in a service's new version.
	OnAlarm func(service string)
}

// Monitor counts the calls to local upstreams by route and version and raises alarms on a suspected new version.
type Monitor struct {
	cfg MonitorConfig

	mu       sync.Mutex
	services map[string]*serviceMonitor
}

// serviceMonitor holds the counts of one service; those of the new version are for one declared move.
type serviceMonitor struct {
	declaredRevision uint64
	alarmedAt        time.Time
	series           map[seriesKey]*series
	baselines        map[string]*wirepb.RouteBaseline
}

type seriesKey struct {
	route   string
	version string
	// control means that the calls belong to the control group.
	control bool
}

type series struct {
	window    *window
	failing   cusum
	slow      cusum
	shedding  cusum
	coldStart coldStartEstimator
	running   map[*runningCall]bool
}

// runningCall is a call that has not ended.
type runningCall struct {
	local.Observation
	startedAt time.Time
	// countedSlow means that the call was counted as slow while it ran.
	countedSlow bool
}

// NewMonitor returns a monitor without counts.
func NewMonitor(cfg MonitorConfig) *Monitor {
	return &Monitor{cfg: cfg, services: map[string]*serviceMonitor{}}
}

// Observe counts a call as running until the returned function is called with its result; that calls OnAlarm if the result
// raises an alarm.
func (m *Monitor) Observe(started local.Observation) (end func(ended local.Observation)) {
	call := &runningCall{Observation: started, startedAt: m.cfg.Now()}
	if service, found := m.cfg.State().Services[started.Service]; found {
		m.start(service, call)
	}
	return func(ended local.Observation) {
		service, found := m.cfg.State().Services[ended.Service]
		if found && m.end(service, call, ended) {
			m.cfg.OnAlarm(ended.Service)
		}
	}
}

func (m *Monitor) start(service *tree.Service, call *runningCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.monitorFor(service).seriesFor(keyOf(call.Observation)); s != nil {
		s.running[call] = true
	}
}

func keyOf(o local.Observation) seriesKey {
	return seriesKey{route: o.Route, version: o.Version, control: o.Control}
}

// end counts a call that ended and reports whether that raised an alarm.
func (m *Monitor) end(service *tree.Service, call *runningCall, o local.Observation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	monitor := m.monitorFor(service)
	s := monitor.seriesFor(keyOf(o))
	if s == nil {
		return false
	}
	delete(s.running, call)
	if o.Result == local.ResultInconclusive {
		return false
	}
	baseline := monitor.baselines[o.Route]
	c := classify(o, baseline, allowedColdStart(service, baseline))
	if call.countedSlow {
		c = counts{failures: c.failures}
	}
	if o.Result == local.ResultOK {
		s.window.sample(o.Latency)
		s.coldStart.add(o)
	}
	return m.count(service, o, c)
}

// count adds the counts of one call to its series and reports whether that raised an alarm.
func (m *Monitor) count(service *tree.Service, o local.Observation, c counts) bool {
	now, monitor := m.cfg.Now(), m.monitorFor(service)
	s := monitor.seriesFor(keyOf(o))
	s.window.add(now, c)
	if c.calls == 0 || !service.MoveActive() || o.Version != service.MoveRecord.GetTo() || !s.faultSuspected(c, monitor.baselines[o.Route]) {
		return false
	}
	first := now.Sub(monitor.alarmedAt) > alarmDuration
	monitor.alarmedAt = now
	s.failing, s.slow, s.shedding = 0, 0, 0
	return first
}

// countRunning counts the running calls that have been slow for some time already: the slowest calls end last, and a step may be
// decided before.
func (m *Monitor) countRunning(service *tree.Service, s *series) {
	for call := range s.running {
		o := call.Observation
		o.Result, o.Latency = local.ResultOK, m.cfg.Now().Sub(call.startedAt)
		baseline := m.monitorFor(service).baselines[o.Route]
		if c := classify(o, baseline, allowedColdStart(service, baseline)); c.slow > 0 && !call.countedSlow {
			call.countedSlow = true
			m.count(service, o, c)
		}
	}
}

func classify(o local.Observation, baseline *wirepb.RouteBaseline, coldStart time.Duration) counts {
	c, cold := counts{calls: 1}, !o.ColdStartOver && o.SinceFirstCall < coldStart
	threshold := baseline.GetSlow()
	if o.Result == local.ResultAbandoned {
		threshold = baseline.GetSlowIfCutOff()
	}
	slow := threshold != nil && o.Latency > threshold.AsDuration()
	switch o.Result {
	case local.ResultFailed:
		c.failures = 1
	case local.ResultShed:
		c.sheds = 1
	case local.ResultAbandoned:
		if !slow || cold {
			return counts{cutOff: 1}
		}
	}
	if baseline.GetSlow() != nil && !cold && c.sheds == 0 {
		c.warm = 1
		if slow {
			c.slow = 1
		}
	}
	c.comparable = c.warm + c.sheds
	if baseline.GetSlow() == nil {
		c.comparable = c.calls
	}
	return c
}

// faultSuspected adds a call to the sums of its series and reports whether one of them exceeds rejectThreshold.
func (s *series) faultSuspected(c counts, baseline *wirepb.RouteBaseline) bool {
	shedding := s.shedding.add(shedHypothesis(baseline.GetShedRate()), c.sheds > 0)
	if c.served() > 0 {
		s.failing.add(failureHypothesis(baseline.GetFailureRate(), float64(baseline.GetCalls())), c.failures > 0)
	}
	if c.warm > 0 {
		s.slow.add(slowHypothesis(baseline.GetSlowRate()), c.slow > 0)
	}
	return shedding > rejectThreshold || s.failing > rejectThreshold || s.slow > rejectThreshold
}

// monitorFor returns the monitor of a service; it drops the new version's counts when a new move of the service is declared.
func (m *Monitor) monitorFor(service *tree.Service) *serviceMonitor {
	monitor, found := m.services[service.Name]
	revision := service.MoveRecord.GetDeclaredRevision()
	if !found {
		monitor = &serviceMonitor{declaredRevision: revision, series: map[seriesKey]*series{}, baselines: map[string]*wirepb.RouteBaseline{}}
		m.services[service.Name] = monitor
	}
	if monitor.declaredRevision != revision {
		monitor.declaredRevision, monitor.alarmedAt = revision, time.Time{}
		maps.DeleteFunc(monitor.series, func(key seriesKey, _ *series) bool {
			return key.version == service.MoveRecord.GetTo()
		})
	}
	return monitor
}

func (m *serviceMonitor) seriesFor(key seriesKey) *series {
	s, found := m.series[key]
	if !found && len(m.series) < maxSeries {
		s = &series{window: newWindow(), running: map[*runningCall]bool{}}
		m.series[key] = s
	}
	return s
}

// Alarmed reports whether an alarm on a service's new version is in force on this node.
func (m *Monitor) Alarmed(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	monitor, found := m.services[service]
	return found && m.cfg.Now().Sub(monitor.alarmedAt) < alarmDuration
}

// Report returns the evidence from a service's calls to local upstreams, ordered by route and version.
func (m *Monitor) Report(node string, service *tree.Service) *wirepb.EvidenceReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	monitor, now := m.monitorFor(service), m.cfg.Now()
	report := &wirepb.EvidenceReport{
		Node: node, Service: service.Name, DeclaredRevision: monitor.declaredRevision,
	}
	for key, s := range monitor.series {
		m.countRunning(service, s)
		slow := monitor.baselines[key.route].GetSlow()
		evidence := s.window.evidence(now, key, slow == nil || service.MoveRecord.GetSharePermille() == 0)
		evidence.Running, evidence.OldestRunning = s.runningCalls(now)
		if coldStart, found := s.coldStart.estimate(slow.AsDuration()); slow != nil && found {
			evidence.ColdStart = durationpb.New(coldStart)
		}
		report.Routes = append(report.Routes, evidence)
	}
	report.Alarmed = now.Sub(monitor.alarmedAt) < alarmDuration
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

// runningCalls returns the number of running calls and for how long the oldest of them has been running.
func (s *series) runningCalls(now time.Time) (uint32, *durationpb.Duration) {
	oldest := time.Duration(0)
	for call := range s.running {
		oldest = max(oldest, now.Sub(call.startedAt))
	}
	return uint32(len(s.running)), durationpb.New(oldest)
}

// UpdateBaselines applies the baselines that a decider sent; one with few calls does not replace one that is known.
func (m *Monitor) UpdateBaselines(service *tree.Service, baselines []*wirepb.RouteBaseline) {
	m.mu.Lock()
	defer m.mu.Unlock()
	monitor := m.monitorFor(service)
	for _, b := range baselines {
		if known := monitor.baselines[b.GetRoute()]; b.GetSlow() == nil && known.GetSlow() != nil {
			// A decider that has just started does not know the thresholds.
			b = proto.CloneOf(b)
			b.Slow, b.SlowIfCutOff = known.GetSlow(), known.GetSlowIfCutOff()
		}
		if b.GetCalls() >= minBaselineCalls || monitor.baselines[b.GetRoute()] == nil {
			monitor.baselines[b.GetRoute()] = b
		}
	}
}
