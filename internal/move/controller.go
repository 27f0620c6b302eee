package move

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/oplog"
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

// Config configures a Controller.
type Config struct {
	Node     string
	Policy   string
	Logger   *zap.Logger
	Now      func() time.Time
	Log      *oplog.Log
	Members  *member.Table
	Verdicts *Verdicts
	Monitor  *Monitor
	// SendReport sends evidence to another node and returns its answer.
	SendReport func(ctx context.Context, address netip.AddrPort, report *wirepb.EvidenceReport) (*wirepb.EvidenceReply, error)
}

// Controller takes part in the moves of the services beside this node.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*movement
	alarms   chan string
}

// New returns a mover.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, services: map[string]*movement{}, alarms: make(chan string, 64)}
}

// ReportNow makes the mover report a service at once.
func (m *Controller) ReportNow(service string) {
	select {
	case m.alarms <- service:
	default:
	}
}

// Run takes part in moves until the context ends.
func (m *Controller) Run(ctx context.Context) {
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
func (m *Controller) moving() []string {
	var names []string
	state := m.cfg.Log.State()
	for _, u := range m.cfg.Members.Record(m.cfg.Node).GetUpstreams() {
		service, found := state.Services[u.GetService()]
		if found && service.MoveRecord != nil && service.MoveRecord.GetState() != wirepb.MoveState_MOVE_STATE_DONE {
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

// visit judges a service by what is known here, reports its evidence and, if this node is the first decider that
// answers, takes the next step. The verdict comes before the report, so that no silent decider delays it.
func (m *Controller) visit(ctx context.Context, name string, mayStep bool) {
	service, found := m.cfg.Log.State().Services[name]
	if !found || service.MoveRecord == nil {
		return
	}
	if m.cfg.Verdicts.Rejected(service.MoveRecord) {
		m.recordVerdict(ctx, service)
		return
	}
	if !service.MoveActive() {
		return
	}
	ranks := m.ranks(service)
	decides := rankOf(ranks, m.cfg.Node) >= 0
	report := m.cfg.Monitor.Report(m.cfg.Node, service)
	m.HandleReport(report)
	if decides && m.cfg.Policy != PolicyClock && m.condemn(service) {
		m.recordVerdict(ctx, service)
		return
	}
	m.send(ctx, service, ranks, report)
	if decides && mayStep && m.leads(service, ranks) {
		m.step(ctx, service)
	}
}

// HandleReport takes in a node's evidence and returns the answer to it.
func (m *Controller) HandleReport(report *wirepb.EvidenceReport) *wirepb.EvidenceReply {
	service, found := m.cfg.Log.State().Services[report.GetService()]
	if !found || service.MoveRecord.GetDeclaredRevision() != report.GetDeclaredRevision() {
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
	baselines := movement.view(service.MoveRecord, now).baselines(movement.known)
	for _, b := range baselines {
		movement.known[b.GetRoute()] = b
	}
	m.cfg.Monitor.UpdateBaselines(service, baselines)
	return &wirepb.EvidenceReply{Baselines: baselines, Verdicts: m.cfg.Verdicts.List(service.Name)}
}

// condemn finds a version bad when the evidence suffices; after an alarm it waits until all nodes could report.
func (m *Controller) condemn(service *tree.Service) bool {
	m.mu.Lock()
	movement := m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision())
	now := m.cfg.Now()
	if now.Sub(movement.alarm) < judgeDelay {
		m.mu.Unlock()
		return false
	}
	worst := movement.view(service.MoveRecord, now).judge(movement.known)
	m.mu.Unlock()
	if worst.weight < condemnAt {
		return false
	}
	news := m.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: service.Name, Version: service.MoveRecord.GetTo(), Reason: worst.reason,
		DeclaredRevision: service.MoveRecord.GetDeclaredRevision(),
	})
	if news {
		m.cfg.Logger.Warn("version condemned", zap.String("service", service.Name), zap.String("version", service.MoveRecord.GetTo()), zap.String("reason", worst.reason))
	}
	return true
}

func (m *Controller) step(ctx context.Context, service *tree.Service) {
	next := m.decide(service)
	if next == nil {
		return
	}
	err := m.write(ctx, service.MoveRecord, next)
	m.cfg.Logger.Info("move step", zap.String("service", service.Name), zap.Stringer("state", next.GetState()),
		zap.Uint32("share_permille", next.GetSharePermille()), zap.String("reason", next.GetReason()), zap.Error(err))
	m.finishWrite(service)
}

// decide returns the record to write, or nil; a write that is under way is waited for.
func (m *Controller) decide(service *tree.Service) *wirepb.MoveRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision())
	now := m.cfg.Now()
	current := movement.view(service.MoveRecord, now)
	movement.enterStep(service.MoveRecord, current)
	d := decision{
		service: service, now: now, view: current, known: movement.known,
		began: movement.began, candidates: m.candidates(service),
	}
	decide := d.next
	if m.cfg.Policy == PolicyClock {
		decide = d.nextByClock
	}
	next := decide()
	if next == nil || movement.writing || onlyReason(service.MoveRecord, next) && now.Sub(movement.wrote) < reasonInterval {
		return nil
	}
	movement.writing, movement.wrote = true, now
	return next
}

func (m *Controller) finishWrite(service *tree.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision()).writing = false
}

func (m *Controller) candidates(service *tree.Service) int {
	count := 0
	for _, u := range m.cfg.Members.Upstreams(service.Name) {
		if u.Version == service.MoveRecord.GetTo() {
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

// write commits a record that follows one that was read; it returns *ConflictError when another decision was first.
func (m *Controller) write(ctx context.Context, before, after *wirepb.MoveRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	put, err := tree.MoveRecordPut(after)
	if err != nil {
		return err
	}
	_, err = m.cfg.Log.Submit(ctx, uuid.NewString(), func(state *tree.State) (*wirepb.Change, error) {
		service, found := state.Services[before.GetService()]
		if !found || !proto.Equal(service.MoveRecord, before) {
			return nil, &ConflictError{Service: before.GetService()}
		}
		return &wirepb.Change{
			Revision: state.Revision + 1, Author: "node " + m.cfg.Node,
			Time: timestamppb.New(m.cfg.Now()), Puts: []*wirepb.Put{put},
		}, nil
	})
	return err
}
