package move

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/chain"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	tickInterval  = 250 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// deciders is the number of nodes of a service that judge its move; the first that answers takes the steps.
	deciders = 3
	// reasonInterval bounds how often a record is written only to change its reason.
	reasonInterval = 5 * time.Second
	writeTimeout   = 4 * time.Second
	// pausedAfter is the gap between ticks after which this process must have been stopped.
	pausedAfter = 2 * time.Second
	// judgeDelay gives all nodes time to report once an alarm is heard.
	judgeDelay = 300 * time.Millisecond
	// rankDelay is how long each decider leaves the record of a verdict to the one before it.
	rankDelay       = 2 * time.Second
	verdictInterval = time.Second
)

// Config configures a Mover.
type Config struct {
	Node     string
	Policy   string
	Logger   *zap.Logger
	Now      func() time.Time
	Log      *chain.Log
	Members  *member.Table
	Verdicts *Verdicts
	Meter    *Meter
	// Report sends evidence to another node and returns its answer.
	Report func(ctx context.Context, address netip.AddrPort, report *wirepb.EvidenceReport) (*wirepb.EvidenceReply, error)
}

// Mover takes part in the moves of the services beside this node.
type Mover struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*movement
	alarms   chan string
}

// movement is what this node knows of one declaration of a service.
type movement struct {
	declared uint64
	nodes    map[string]*nodeEvidence
	known    map[string]*wirepb.RouteBaseline
	// step is the step for which began holds the new version's calls by route.
	step    uint32
	share   uint32
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

// New returns a mover.
func New(cfg Config) *Mover {
	return &Mover{cfg: cfg, services: map[string]*movement{}, alarms: make(chan string, 64)}
}

// Alarm makes the mover report a service at once.
func (m *Mover) Alarm(service string) {
	select {
	case m.alarms <- service:
	default:
	}
}

// Run takes part in moves until the context ends.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	previous := m.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case service := <-m.alarms:
			wait.Go(func() { m.visit(ctx, service, false) })
			continue
		case <-ticker.C:
		}
		now := m.cfg.Now()
		paused := now.Sub(previous) > pausedAfter
		previous = now
		for _, service := range m.moving() {
			wait.Go(func() { m.visit(ctx, service, !paused) })
		}
	}
}

// moving returns the moving services that have an upstream beside this node.
func (m *Mover) moving() []string {
	var names []string
	state := m.cfg.Log.State()
	for _, u := range m.cfg.Members.Record(m.cfg.Node).GetUpstreams() {
		service, found := state.Services[u.GetService()]
		if found && service.Record != nil && service.Record.GetState() != wirepb.MoveState_MOVE_STATE_DONE {
			names = append(names, u.GetService())
		}
	}
	sort.Strings(names)
	return compact(names)
}

func compact(sorted []string) []string {
	var distinct []string
	for _, s := range sorted {
		if len(distinct) == 0 || distinct[len(distinct)-1] != s {
			distinct = append(distinct, s)
		}
	}
	return distinct
}

// visit reports a service's evidence, judges it and, if this node is the first decider that answers, takes the next step.
func (m *Mover) visit(ctx context.Context, name string, mayStep bool) {
	service, found := m.cfg.Log.State().Services[name]
	if !found || service.Record == nil {
		return
	}
	if m.cfg.Verdicts.Condemned(service.Record) {
		m.recordVerdict(ctx, service)
		return
	}
	if !service.Moving() {
		return
	}
	ranks := m.ranks(service)
	report := m.cfg.Meter.Report(m.cfg.Node, service)
	m.Take(report)
	m.send(ctx, service, ranks, report)
	if rankOf(ranks, m.cfg.Node) < 0 {
		return
	}
	if m.cfg.Policy != PolicyClock && m.condemn(service) {
		m.recordVerdict(ctx, service)
		return
	}
	if mayStep && m.leads(service, ranks) {
		m.step(ctx, service)
	}
}

// ranks returns the deciders of a service, the same on all nodes with the same members.
func (m *Mover) ranks(service *tree.Service) []*member.Upstream {
	byNode := map[string]*member.Upstream{}
	for _, u := range m.cfg.Members.Upstreams(service.Name) {
		byNode[u.Node] = u
	}
	list := make([]*member.Upstream, 0, len(byNode))
	for _, u := range byNode {
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := xxhash.Sum64String(service.Name+"/"+list[i].Node), xxhash.Sum64String(service.Name+"/"+list[j].Node)
		if a != b {
			return a < b
		}
		return list[i].Node < list[j].Node
	})
	return list[:min(len(list), deciders)]
}

func rankOf(ranks []*member.Upstream, node string) int {
	for i, u := range ranks {
		if u.Node == node {
			return i
		}
	}
	return -1
}

// send reports to the other deciders and learns from their answers.
func (m *Mover) send(ctx context.Context, service *tree.Service, ranks []*member.Upstream, report *wirepb.EvidenceReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range ranks {
		if u.Node == m.cfg.Node {
			continue
		}
		wait.Go(func() {
			reply, err := m.cfg.Report(ctx, u.PeerAddress, report)
			m.noteAnswer(service, u.Node, err == nil)
			for _, v := range reply.GetVerdicts() {
				m.cfg.Verdicts.Merge(v)
			}
			m.cfg.Meter.Learn(service, reply.GetBaselines())
		})
	}
	wait.Wait()
}

func (m *Mover) noteAnswer(service *tree.Service, node string, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.Record.GetDeclaredRevision())
	if answered {
		delete(movement.silent, node)
	} else {
		movement.silent[node] = true
	}
}

// leads reports whether all deciders before this node are silent.
func (m *Mover) leads(service *tree.Service, ranks []*member.Upstream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.Record.GetDeclaredRevision())
	for _, u := range ranks {
		if u.Node == m.cfg.Node {
			return true
		}
		if !movement.silent[u.Node] {
			return false
		}
	}
	return false
}

// Take takes in a node's evidence and returns the answer to it.
func (m *Mover) Take(report *wirepb.EvidenceReport) *wirepb.EvidenceReply {
	service, found := m.cfg.Log.State().Services[report.GetService()]
	if !found || service.Record.GetDeclaredRevision() != report.GetDeclaredRevision() {
		return &wirepb.EvidenceReply{Verdicts: m.cfg.Verdicts.List(report.GetService())}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, report.GetDeclaredRevision())
	now := m.cfg.Now()
	movement.take(report, now)
	if report.GetAlarmed() && now.Sub(movement.alarm) > alarmTime {
		movement.alarm = now
	}
	baselines := movement.view(service.Record, now).baselines(movement.known)
	for _, b := range baselines {
		movement.known[b.GetRoute()] = b
	}
	m.cfg.Meter.Learn(service, baselines)
	return &wirepb.EvidenceReply{Baselines: baselines, Verdicts: m.cfg.Verdicts.List(service.Name)}
}

func (m *Mover) movementOf(service string, declared uint64) *movement {
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

// condemn finds a version bad when the evidence suffices; after an alarm it waits until all nodes could report.
func (m *Mover) condemn(service *tree.Service) bool {
	m.mu.Lock()
	movement := m.movementOf(service.Name, service.Record.GetDeclaredRevision())
	now := m.cfg.Now()
	if now.Sub(movement.alarm) < judgeDelay {
		m.mu.Unlock()
		return false
	}
	worst := movement.view(service.Record, now).judge(movement.known)
	m.mu.Unlock()
	if worst.weight < condemnAt {
		return false
	}
	news := m.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: service.Name, Version: service.Record.GetTo(), Reason: worst.reason,
		DeclaredRevision: service.Record.GetDeclaredRevision(),
	})
	if news {
		m.cfg.Logger.Warn("version condemned", zap.String("service", service.Name), zap.String("version", service.Record.GetTo()), zap.String("reason", worst.reason))
	}
	return true
}

func (m *Mover) step(ctx context.Context, service *tree.Service) {
	next := m.decide(service)
	if next == nil {
		return
	}
	err := m.write(ctx, service.Record, next)
	m.cfg.Logger.Info("move step", zap.String("service", service.Name), zap.Stringer("state", next.GetState()),
		zap.Uint32("share_permille", next.GetSharePermille()), zap.String("reason", next.GetReason()), zap.Error(err))
	m.finishWrite(service)
}

// decide returns the record to write, or nil; a write that is under way is waited for.
func (m *Mover) decide(service *tree.Service) *wirepb.MoveRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.Record.GetDeclaredRevision())
	now := m.cfg.Now()
	current := movement.view(service.Record, now)
	movement.enterStep(service.Record, current)
	d := decision{
		service: service, now: now, view: current, known: movement.known,
		began: movement.began, candidates: m.candidates(service),
	}
	next := d.next()
	if m.cfg.Policy == PolicyClock {
		next = d.nextByClock()
	}
	if next == nil || movement.writing || onlyReason(service.Record, next) && now.Sub(movement.wrote) < reasonInterval {
		return nil
	}
	movement.writing, movement.wrote = true, now
	return next
}

func (m *Mover) finishWrite(service *tree.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movementOf(service.Name, service.Record.GetDeclaredRevision()).writing = false
}

// enterStep notes the new version's calls when a step begins, as far as this node saw it begin.
func (m *movement) enterStep(record *wirepb.MoveRecord, current view) {
	if m.step == record.GetStep() && m.share == record.GetSharePermille() {
		return
	}
	m.step, m.share = record.GetStep(), record.GetSharePermille()
	for name, r := range current {
		m.began[name] = r.toTotal
	}
}

func (m *Mover) candidates(service *tree.Service) int {
	count := 0
	for _, u := range m.cfg.Members.Upstreams(service.Name) {
		if u.Version == service.Record.GetTo() {
			count++
		}
	}
	return count
}

func onlyReason(before, after *wirepb.MoveRecord) bool {
	same := proto.CloneOf(after)
	same.Reason = before.GetReason()
	return proto.Equal(before, same)
}

// recordVerdict writes a verdict into the move's record; the verdict is in force without it.
func (m *Mover) recordVerdict(ctx context.Context, service *tree.Service) {
	if service.Record.GetState() == wirepb.MoveState_MOVE_STATE_TAKEN_BACK || !m.startVerdictWrite(service) {
		return
	}
	defer m.finishWrite(service)
	next := TakenBack(service.Record, m.cfg.Verdicts.Get(service.Name).GetReason(), m.cfg.Now())
	if err := m.write(ctx, service.Record, next); err != nil {
		m.cfg.Logger.Info("taking back not recorded yet", zap.String("service", service.Name), zap.Error(err))
	}
}

// startVerdictWrite lets the first decider write at once and the others later, should the record not have followed.
func (m *Mover) startVerdictWrite(service *tree.Service) bool {
	rank := rankOf(m.ranks(service), m.cfg.Node)
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.Record.GetDeclaredRevision())
	now := m.cfg.Now()
	if movement.condemned.IsZero() {
		movement.condemned = now
	}
	early := now.Sub(movement.condemned) < time.Duration(rank)*rankDelay
	if rank < 0 || early || movement.writing || now.Sub(movement.verdictTried) < verdictInterval {
		return false
	}
	movement.writing, movement.verdictTried = true, now
	return true
}

// TakenBack returns the record of a move that is taken back.
func TakenBack(record *wirepb.MoveRecord, reason string, now time.Time) *wirepb.MoveRecord {
	next := proto.CloneOf(record)
	next.State, next.SharePermille, next.Reason = wirepb.MoveState_MOVE_STATE_TAKEN_BACK, 0, reason
	next.StepAt = timestamppb.New(now)
	return next
}

// TakeBack takes a running or watched move back at an operator's word; it returns *MissingError, *EndedError or the
// errors of a commit, after which the calls stay away from the version all the same.
func (m *Mover) TakeBack(ctx context.Context, name, reason string) error {
	service, found := m.cfg.Log.State().Services[name]
	if !found || service.Record == nil {
		return &MissingError{Service: name}
	}
	if !service.Moving() {
		return &EndedError{Service: name, State: service.Record.GetState().String()}
	}
	m.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: name, Version: service.Record.GetTo(), Reason: reason,
		DeclaredRevision: service.Record.GetDeclaredRevision(),
	})
	err := m.write(ctx, service.Record, TakenBack(service.Record, reason, m.cfg.Now()))
	var overtaken *OvertakenError
	if errors.As(err, &overtaken) {
		return nil
	}
	return err
}

// write commits a record that follows one that was read; it returns *OvertakenError when another decision was first.
func (m *Mover) write(ctx context.Context, before, after *wirepb.MoveRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	put, err := tree.RecordPut(after)
	if err != nil {
		return err
	}
	_, err = m.cfg.Log.Submit(ctx, uuid.NewString(), func(state *tree.State) (*wirepb.Change, error) {
		service, found := state.Services[before.GetService()]
		if !found || !proto.Equal(service.Record, before) {
			return nil, &OvertakenError{Service: before.GetService()}
		}
		return &wirepb.Change{
			Revision: state.Revision + 1, Author: "node " + m.cfg.Node,
			Time: timestamppb.New(m.cfg.Now()), Puts: []*wirepb.Put{put},
		}, nil
	})
	return err
}
