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
	// maxDeciders is the number of nodes that judge the move of a service; the first of them that responds takes the steps.
	maxDeciders = 3
	// reasonWriteInterval is the least time between two writes if only the reason changed.
	reasonWriteInterval = 5 * time.Second
	writeTimeout        = 4 * time.Second
	// pauseThreshold is the gap between ticks above which the process must have been suspended; it takes no step on
	// such a tick.
	pauseThreshold = 2 * time.Second
	// alarmReportDelay is the time that all nodes have to report after an alarm, before the version is judged.
	alarmReportDelay = 300 * time.Millisecond
	// rankDelay is the time that each decider gives the one before it to record a verdict.
	rankDelay            = 2 * time.Second
	verdictRetryInterval = time.Second
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
	// SendReport sends evidence to another node and returns its reply.
	SendReport func(ctx context.Context, address netip.AddrPort, report *wirepb.EvidenceReport) (*wirepb.EvidenceReply, error)
}

// Controller takes part in the moves of the services that have a local upstream.
type Controller struct {
	cfg Config

	mu             sync.Mutex
	trackers       map[string]*tracker
	reportRequests chan string
}

// New returns a controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, trackers: map[string]*tracker{}, reportRequests: make(chan string, 64)}
}

// ReportNow makes the controller report the evidence on a service without waiting for the next tick.
func (c *Controller) ReportNow(service string) {
	select {
	case c.reportRequests <- service:
	default:
	}
}

// Run takes part in moves until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	previous := c.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case service := <-c.reportRequests:
			wait.Go(func() { c.processService(ctx, service, false) })
			continue
		case <-ticker.C:
		}
		now := c.cfg.Now()
		paused := now.Sub(previous) > pauseThreshold
		previous = now
		for _, service := range c.movingServices() {
			wait.Go(func() { c.processService(ctx, service, !paused) })
		}
	}
}

// movingServices returns the services that have a local upstream and a move that is not done.
func (c *Controller) movingServices() []string {
	var names []string
	state := c.cfg.Log.State()
	for _, u := range c.cfg.Members.Record(c.cfg.Node).GetUpstreams() {
		service, found := state.Services[u.GetService()]
		if found && service.MoveRecord != nil && service.MoveRecord.GetState() != wirepb.MoveState_MOVE_STATE_DONE {
			names = append(names, u.GetService())
		}
	}
	sort.Strings(names)
	return distinct(names)
}

func distinct(sorted []string) []string {
	var result []string
	for _, s := range sorted {
		if len(result) == 0 || result[len(result)-1] != s {
			result = append(result, s)
		}
	}
	return result
}

// processService judges a service by the evidence known to this node, reports the local evidence and, if this node is the
// lead decider, takes the next step. It judges before it reports, so that an unresponsive decider does not delay a verdict.
func (c *Controller) processService(ctx context.Context, name string, mayStep bool) {
	service, found := c.cfg.Log.State().Services[name]
	if !found || service.MoveRecord == nil {
		return
	}
	if c.cfg.Verdicts.Rejected(service.MoveRecord) {
		c.recordVerdict(ctx, service)
		return
	}
	if !service.MoveActive() {
		return
	}
	deciders := c.rankedDeciders(service)
	isDecider := rankOf(deciders, c.cfg.Node) >= 0
	report := c.cfg.Monitor.Report(c.cfg.Node, service)
	c.HandleReport(report)
	if isDecider && c.cfg.Policy != PolicyClock && c.rejectIfFaulty(service) {
		c.recordVerdict(ctx, service)
		return
	}
	c.sendReport(ctx, service, deciders, report)
	if isDecider && mayStep && c.isLeadDecider(service, deciders) {
		c.takeStep(ctx, service)
	}
}

// HandleReport stores a node's evidence and returns the reply to it.
func (c *Controller) HandleReport(report *wirepb.EvidenceReport) *wirepb.EvidenceReply {
	service, found := c.cfg.Log.State().Services[report.GetService()]
	if !found || service.MoveRecord.GetDeclaredRevision() != report.GetDeclaredRevision() {
		return &wirepb.EvidenceReply{Verdicts: c.cfg.Verdicts.List(report.GetService())}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, report.GetDeclaredRevision())
	now := c.cfg.Now()
	tracker.addReport(report, now)
	if report.GetAlarmed() && now.Sub(tracker.alarmedAt) > alarmDuration {
		tracker.alarmedAt = now
	}
	baselines := tracker.view(service.MoveRecord, now).baselines(service.MoveRecord, tracker.baselines)
	for _, b := range baselines {
		tracker.baselines[b.GetRoute()] = b
	}
	c.cfg.Monitor.UpdateBaselines(service, baselines)
	return &wirepb.EvidenceReply{Baselines: baselines, Verdicts: c.cfg.Verdicts.List(service.Name)}
}

// rejectIfFaulty rejects the new version if there is enough evidence of a fault; after an alarm it first gives all nodes
// time to report.
func (c *Controller) rejectIfFaulty(service *tree.Service) bool {
	c.mu.Lock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	now := c.cfg.Now()
	if now.Sub(tracker.alarmedAt) < alarmReportDelay {
		c.mu.Unlock()
		return false
	}
	current := tracker.view(service.MoveRecord, now)
	worst := current.worstFinding(tracker.baselines)
	var routes []routeSummary
	if worst.evidence >= rejectThreshold {
		routes = current.summary(tracker.baselines)
	}
	c.mu.Unlock()
	if worst.evidence < rejectThreshold {
		return false
	}
	added := c.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: service.Name, Version: service.MoveRecord.GetTo(), Reason: worst.reason,
		DeclaredRevision: service.MoveRecord.GetDeclaredRevision(),
	})
	if added {
		c.cfg.Logger.Warn("new version rejected", zap.String("service", service.Name), zap.String("version", service.MoveRecord.GetTo()),
			zap.String("reason", worst.reason), zap.Any("routes", routes))
	}
	return true
}

func (c *Controller) takeStep(ctx context.Context, service *tree.Service) {
	next, routes := c.startStepWrite(service)
	if next == nil {
		return
	}
	err := c.writeRecord(ctx, service.MoveRecord, next)
	c.cfg.Logger.Info("move step decided", zap.String("service", service.Name), zap.Stringer("state", next.GetState()),
		zap.Uint32("share_permille", next.GetSharePermille()), zap.String("reason", next.GetReason()), zap.Uint32("step", next.GetStep()), zap.Any("routes", routes), zap.Error(err))
	c.finishWrite(service)
}

// startStepWrite decides on the next record and returns it, with the evidence for it, if it is to be written now. It returns nil
// if nothing changes, another write is under way or, within reasonWriteInterval of the last write, only the reason changed.
func (c *Controller) startStepWrite(service *tree.Service) (*wirepb.MoveRecord, []routeSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	now := c.cfg.Now()
	current := tracker.view(service.MoveRecord, now)
	tracker.recordStepStart(service.MoveRecord, current)
	d := decision{
		service: service, now: now, view: current, baselines: tracker.baselines,
		callsAtStepStart: tracker.callsAtStepStart, newUpstreams: c.newUpstreamCount(service),
	}
	decide := d.nextRecord
	if c.cfg.Policy == PolicyClock {
		decide = d.nextRecordByClock
	}
	next := decide()
	if next == nil || tracker.writing || onlyReasonChanged(service.MoveRecord, next) && now.Sub(tracker.wroteAt) < reasonWriteInterval {
		return nil, nil
	}
	tracker.writing, tracker.wroteAt = true, now
	return next, current.summary(tracker.baselines)
}

func (c *Controller) finishWrite(service *tree.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision()).writing = false
}

func (c *Controller) newUpstreamCount(service *tree.Service) int {
	count := 0
	for _, u := range c.cfg.Members.Upstreams(service.Name) {
		if u.Version == service.MoveRecord.GetTo() {
			count++
		}
	}
	return count
}

func onlyReasonChanged(before, after *wirepb.MoveRecord) bool {
	same := proto.CloneOf(after)
	same.Reason = before.GetReason()
	return proto.Equal(before, same)
}

// writeRecord replaces a move's record if it has not changed since it was read and, unless the move is taken back, its version has not been
// rejected; otherwise it returns *ConflictError.
func (c *Controller) writeRecord(ctx context.Context, before, after *wirepb.MoveRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	put, err := tree.MoveRecordPut(after)
	if err != nil {
		return err
	}
	_, err = c.cfg.Log.Submit(ctx, uuid.NewString(), func(state *tree.State) (*wirepb.Change, error) {
		service, found := state.Services[before.GetService()]
		rejected := after.GetState() != wirepb.MoveState_MOVE_STATE_TAKEN_BACK && c.cfg.Verdicts.Rejected(before)
		if !found || rejected || !proto.Equal(service.MoveRecord, before) {
			return nil, &ConflictError{Service: before.GetService()}
		}
		return &wirepb.Change{
			Revision: state.Revision + 1, Author: "node " + c.cfg.Node,
			Time: timestamppb.New(c.cfg.Now()), Puts: []*wirepb.Put{put},
		}, nil
	})
	return err
}
