package move

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// simulatedRoute is one route of a simulated service. Latencies are log-normal.
type simulatedRoute struct {
	name           string
	callsPerSecond float64
	median         time.Duration
	// timeout is the time that a call has; one to the new version is cut off after half of it if the route is idempotent.
	timeout    time.Duration
	idempotent bool
}

// simulation runs a move of a service with three upstreams of each version, each on a node of its own, in virtual time. The
// upstreams of a version differ in speed by up to a factor of two, those of the versions pairwise by a tenth. One decider gets the
// reports of all nodes.
type simulation struct {
	routes []simulatedRoute
	// slowFactor multiplies the latency of half of the new version's calls; 1 is for a good version.
	slowFactor float64
	// coldDuration is the time after the order in which calls of the new version take twice as long.
	coldDuration time.Duration
	// announcesCold says whether upstreams announce how long they will be cold.
	announcesCold bool
	// restarts is the fraction of the nodes that are killed restartDelay after the order; they are back after restartDuration. The load on
	// the others makes the stable version slower by disturbedFactor meanwhile.
	restarts float64
	seed     uint64
}

// simulationResult is what became of the simulated move at its deadline.
type simulationResult struct {
	record *wirepb.MoveRecord
	// calls and newCalls are the numbers of calls of the service, and of those to the new version, from the order to the deadline.
	calls    int
	newCalls int
	rejected string
}

const (
	simulatedWarmup   = 10 * time.Second
	simulatedDeadline = 12 * time.Second
	latencySpread     = 0.5
	upstreamCount     = 3
	restartDelay      = 500 * time.Millisecond
	restartDuration   = 1500 * time.Millisecond
	disturbedFactor   = 4
)

// simulatedNode is a node with one upstream.
type simulatedNode struct {
	name        string
	version     string
	speed       float64
	monitor     *Monitor
	firstCallAt time.Time
	down        bool
}

type simulatedEvent struct {
	at  time.Time
	run func()
}

type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int           { return len(e) }
func (e simulatedEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simulatedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *simulatedEvents) Push(event any) { *e = append(*e, event.(simulatedEvent)) }

// Pop is part of heap.Interface.
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulator is the state of a simulation that runs.
type simulator struct {
	simulation
	random   *rand.Rand
	now      time.Time
	events   simulatedEvents
	nodes    []*simulatedNode
	service  *tree.Service
	verdicts *Verdicts
	tracker  *tracker
	result   simulationResult
}

func (s simulation) run() simulationResult {
	m := &simulator{simulation: s, random: rand.New(rand.NewPCG(s.seed, 1)), now: declaredAt.Add(-simulatedWarmup), verdicts: NewVerdicts()}
	record := &wirepb.MoveRecord{
		Service: "shop", From: "v1", To: "v2", DeclaredRevision: 7, Order: 1, StepCalls: 10,
		State: wirepb.MoveState_MOVE_STATE_RUNNING, AtDeadline: wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH,
		DeclaredAt: timestamppb.New(declaredAt), StepAt: timestamppb.New(declaredAt), Deadline: timestamppb.New(declaredAt.Add(simulatedDeadline)),
		Watch: durationpb.New(1500 * time.Millisecond),
	}
	m.verdicts.random = m.random.Uint32N
	// Until the order, the service has no move; the monitors keep the counts of the stable version.
	m.service = &tree.Service{Name: "shop", StableVersion: "v1", ColdStart: -1}
	controller := New(Config{})
	for i := range 2 * upstreamCount {
		node := &simulatedNode{name: "n" + strconv.Itoa(i), version: "v1", speed: 0.7 + 0.8*m.random.Float64()}
		if i >= upstreamCount {
			node.version, node.speed = "v2", m.nodes[i-upstreamCount].speed*(0.9+0.2*m.random.Float64())
		}
		node.monitor = m.newMonitor()
		m.nodes = append(m.nodes, node)
	}
	for _, r := range s.routes {
		m.scheduleCall(r)
	}
	m.schedule(declaredAt, func() {
		m.service = &tree.Service{Name: "shop", StableVersion: "v1", ColdStart: -1, MoveRecord: record}
		m.tracker = controller.trackerFor("shop", record.GetDeclaredRevision())
	})
	if s.restarts > 0 {
		m.schedule(declaredAt.Add(restartDelay), func() { m.restart(controller) })
	}
	for at := declaredAt.Add(tickInterval); at.Before(declaredAt.Add(simulatedDeadline)); at = at.Add(tickInterval) {
		m.schedule(at, m.decide)
	}
	for len(m.events) > 0 {
		event, _ := heap.Pop(&m.events).(simulatedEvent)
		if event.at.After(declaredAt.Add(simulatedDeadline)) {
			break
		}
		m.now = event.at
		event.run()
	}
	m.result.record = m.service.MoveRecord
	return m.result
}

func (m *simulator) newMonitor() *Monitor {
	return NewMonitor(MonitorConfig{
		Now: func() time.Time { return m.now }, OnAlarm: func(string) {},
		State: func() *tree.State { return &tree.State{Services: map[string]*tree.Service{"shop": m.service}} },
	})
}

// restart kills nodes, and with the same probability the decider, which then knows nothing of the move.
func (m *simulator) restart(controller *Controller) {
	for _, n := range m.nodes {
		if m.random.Float64() < m.restarts {
			n.down = true
		}
	}
	if m.random.Float64() < m.restarts {
		delete(controller.trackers, "shop")
		m.tracker = controller.trackerFor("shop", m.service.MoveRecord.GetDeclaredRevision())
	}
	m.schedule(m.now.Add(restartDuration), func() {
		for _, n := range m.nodes {
			if n.down {
				n.down, n.monitor, n.firstCallAt = false, m.newMonitor(), time.Time{}
			}
		}
	})
}

// upNode returns a random node of a version that is up, or nil.
func (m *simulator) upNode(version string) *simulatedNode {
	var up []*simulatedNode
	for _, n := range m.nodes {
		if n.version == version && !n.down {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[m.random.IntN(len(up))]
}

// isDisturbed reports whether nodes are down.
func (m *simulator) isDisturbed() bool {
	for _, n := range m.nodes {
		if n.down {
			return true
		}
	}
	return false
}

func (m *simulator) schedule(at time.Time, run func()) {
	heap.Push(&m.events, simulatedEvent{at: at, run: run})
}

func (m *simulator) scheduleCall(r simulatedRoute) {
	wait := time.Duration(m.random.ExpFloat64() / r.callsPerSecond * float64(time.Second))
	m.schedule(m.now.Add(wait), func() {
		m.call(r)
		m.scheduleCall(r)
	})
}

// call runs one call on a random upstream of the version that it is assigned to.
func (m *simulator) call(r simulatedRoute) {
	group := m.verdicts.AssignGroup(m.service, m.now)
	node := m.upNode("v1")
	if m.service.MoveRecord != nil {
		m.result.calls++
		if group == GroupNew {
			node = m.upNode("v2")
		}
	}
	if node == nil {
		return
	}
	if group == GroupNew && CheckExposure(m.service, local.Exposure{Version: "v2"}, m.verdicts, node.monitor.Alarmed("shop")) != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		if node = m.upNode("v1"); node == nil {
			return
		}
	}
	latency, limit := time.Duration(float64(r.median)/node.speed*math.Exp(latencySpread*m.random.NormFloat64())), r.timeout
	if m.isDisturbed() {
		latency *= disturbedFactor
	}
	if node.version == "v2" {
		m.result.newCalls++
		if m.random.IntN(2) == 0 {
			latency = time.Duration(m.slowFactor * float64(latency))
		}
		if m.now.Sub(declaredAt) < m.coldDuration {
			latency *= 2
		}
		if r.idempotent {
			limit /= 2
		}
	}
	if node.firstCallAt.IsZero() {
		node.firstCallAt = m.now
	}
	o := local.Observation{
		Service: "shop", Version: node.version, Route: r.name, Result: local.ResultOK, Latency: min(latency, limit),
		SinceFirstCall: m.now.Sub(node.firstCallAt), Control: group == GroupControl && node.version == "v1",
		ColdStartOver: m.announcesCold && m.now.Sub(declaredAt) >= m.coldDuration,
	}
	if latency > limit {
		o.Result = local.ResultAbandoned
	}
	monitor := node.monitor
	end := monitor.Observe(o)
	m.schedule(m.now.Add(o.Latency), func() {
		if node.monitor == monitor && !node.down {
			end(o)
		}
	})
}

// decide collects the reports of all nodes, rejects the version if the evidence suffices, and takes the next step otherwise.
func (m *simulator) decide() {
	record := m.service.MoveRecord
	if !m.service.MoveActive() || m.verdicts.Rejected(record) {
		return
	}
	for _, n := range m.nodes {
		if !n.down {
			m.tracker.addReport(n.monitor.Report(n.name, m.service), m.now)
		}
	}
	current := m.tracker.view(record, m.now)
	baselines := current.baselines(record, m.tracker.baselines)
	for _, b := range baselines {
		m.tracker.baselines[b.GetRoute()] = b
	}
	for _, n := range m.nodes {
		n.monitor.UpdateBaselines(m.service, baselines)
	}
	if worst := current.worstFinding(m.tracker.baselines); worst.evidence >= rejectThreshold {
		m.result.rejected = worst.reason
		m.verdicts.Merge(&wirepb.Verdict{Service: "shop", Version: "v2", Reason: worst.reason, DeclaredRevision: record.GetDeclaredRevision()})
		return
	}
	m.tracker.recordStepStart(record, current)
	d := decision{
		service: m.service, now: m.now, view: current, baselines: m.tracker.baselines,
		callsAtStepStart: m.tracker.callsAtStepStart, newUpstreams: upstreamCount,
	}
	if next := d.nextRecord(); next != nil {
		m.service = &tree.Service{Name: "shop", StableVersion: "v1", ColdStart: -1, MoveRecord: next}
	}
}
