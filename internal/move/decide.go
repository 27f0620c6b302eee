package move

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The policies by which moves take their steps, as in the setting move_policy.
const (
	// PolicyEvidence takes a planned step once the new version has shown enough good calls.
	PolicyEvidence = "evidence"
	// PolicyClock takes equal steps by the clock, whatever the calls show; measurements compare PolicyEvidence with it.
	PolicyClock = "clock"
)

const (
	clockSteps = 5
	// minRouteCalls is the number of calls that the new version needs in a step on each route in use.
	minRouteCalls = 3
	// widenFactor is the factor by which a share grows when a step has too few calls.
	widenFactor = 2
	// undecidedSharePermille is the least share of a version on which the evidence is undecided. A fault of one call in ten
	// takes about 11 calls to tell, and at 260 calls per second they arrive within 0.3 s.
	undecidedSharePermille = 150
	// finishReserve is the time before the deadline that a move needs after its last step: the watch of an ordered move, the write
	// of its record, and the operator's read.
	finishReserve = 2 * time.Second
)

// decision holds what a decider knows of a move when it decides on the next step.
type decision struct {
	service   *tree.Service
	now       time.Time
	view      view
	baselines map[string]*wirepb.RouteBaseline
	// callsAtStepStart is the number of the new version's calls by route when the step began.
	callsAtStepStart map[string]uint64
	// newUpstreams is the number of upstreams that run the new version.
	newUpstreams int
}

// nextRecord returns the next record, or nil if nothing changes.
func (d decision) nextRecord() *wirepb.MoveRecord {
	record := proto.CloneOf(d.service.MoveRecord)
	switch record.GetState() {
	case wirepb.MoveState_MOVE_STATE_RUNNING:
		d.advance(record)
	case wirepb.MoveState_MOVE_STATE_WATCHING:
		if d.now.Sub(record.GetMovedAt().AsTime()) >= record.GetWatch().AsDuration() && d.view.worstFinding(d.baselines).evidence < holdThreshold {
			record.State, record.Reason = wirepb.MoveState_MOVE_STATE_DONE, ""
		}
	}
	record.Late = Late(record, d.now)
	if proto.Equal(record, d.service.MoveRecord) {
		return nil
	}
	return record
}

func (d decision) advance(record *wirepb.MoveRecord) {
	if d.newUpstreams == 0 {
		record.Reason = "waits for upstreams of version " + record.GetTo()
		return
	}
	if record.GetSharePermille() == 0 {
		d.openFirstShare(record)
		return
	}
	f := d.view.worstFinding(d.baselines)
	if f.evidence >= holdThreshold {
		d.widenUndecidedShare(record)
	}
	if d.stepUnfinished(record) {
		return
	}
	if f.evidence >= holdThreshold {
		record.Reason = "waits because " + f.reason
		return
	}
	if route := d.view.disturbedRoute(d.now); route != "" && (!d.isForcedAtDeadline(record) || !Late(record, d.now.Add(minStepDuration))) {
		record.Reason = "waits because the earlier version is disturbed, too, on route " + route
		return
	}
	if reason := d.missingCallsReason(record); reason != "" {
		d.widenShare(record)
		record.Reason = reason
		return
	}
	next := nextStep(record)
	if route := d.unclearRoute(record); stepSharesPermille[next] == fullSharePermille && route != "" {
		record.Reason = "waits for evidence that the version is not slow on route " + route
		return
	}
	d.enterStep(record, next, max(stepSharesPermille[next], record.GetSharePermille()))
}

// nextStep returns the next step with a larger share; steps that would not change a share that was raised or widened are skipped.
func nextStep(record *wirepb.MoveRecord) uint32 {
	last := uint32(len(stepSharesPermille) - 1)
	next := min(record.GetStep()+1, last)
	for next < last && stepSharesPermille[next] <= record.GetSharePermille() {
		next++
	}
	return next
}

// openFirstShare enters the first step after a delay that lets the stable version's baseline be measured.
func (d decision) openFirstShare(record *wirepb.MoveRecord) {
	if d.now.Sub(record.GetDeclaredAt().AsTime()) < minStepDuration {
		return
	}
	stepTime := NewPlan(record).StepDuration(0, d.now)
	d.enterStep(record, 0, firstSharePermille(record.GetStepCalls(), d.view, stepTime))
}

func (d decision) enterStep(record *wirepb.MoveRecord, step, share uint32) {
	record.Step, record.SharePermille, record.Reason = step, share, ""
	record.StepAt = timestamppb.New(d.now)
	if share == fullSharePermille {
		record.State = wirepb.MoveState_MOVE_STATE_WATCHING
		record.MovedAt = timestamppb.New(d.now)
	}
}

func (d decision) stepUnfinished(record *wirepb.MoveRecord) bool {
	entered := record.GetStepAt().AsTime()
	return d.now.Sub(entered) < NewPlan(record).StepDuration(record.GetStep(), entered)
}

// missingCallsReason says which calls of the new version this step still lacks; it is empty if none.
func (d decision) missingCallsReason(record *wirepb.MoveRecord) string {
	if d.isForcedAtDeadline(record) {
		return ""
	}
	total := uint64(0)
	for _, name := range d.view.routes() {
		calls := d.view[name].newCallsSince(d.callsAtStepStart[name])
		if calls < minRouteCalls && d.expectsCalls(record, d.view[name]) {
			return "waits for calls on route " + name
		}
		total += calls
	}
	if total < uint64(record.GetStepCalls()) {
		return "waits for calls"
	}
	return ""
}

// unclearRoute returns a busy route on which the evidence does not yet rule out that the new version is slow, or an empty string. The
// full share must not be the first to show it: slow calls are seen late, and by then most calls of the service are affected. On other
// routes the window never holds enough calls to rule it out.
func (d decision) unclearRoute(record *wirepb.MoveRecord) string {
	if d.isForcedAtDeadline(record) {
		return ""
	}
	for _, name := range d.view.routes() {
		route, baseline := d.view[name], d.baselines[name]
		if baseline.GetSlow() != nil && isBusy(record, route) && route.slowEvidence(baseline) > -clearThreshold {
			return name
		}
	}
	return ""
}

// expectsCalls reports whether a route must have calls of the new version before the next step. A move that is to finish by its
// deadline does not wait for a route with so little traffic that it is unlikely to have enough of them in a step.
func (d decision) expectsCalls(record *wirepb.MoveRecord, r *routeView) bool {
	if record.GetAtDeadline() != wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH {
		return r.used()
	}
	return isBusy(record, r)
}

// isBusy reports whether a route has so much traffic that the new version's share gives it enough calls in the shortest step.
func isBusy(record *wirepb.MoveRecord, r *routeView) bool {
	share := float64(record.GetSharePermille()) / fullSharePermille
	return r.callsPerSecond()*share*minStepDuration.Seconds() >= minRouteCalls
}

// widenShare doubles the share of a step that has too few calls, up to the share of the next step and never to the full
// share. The calls so far were good, and waiting on a route with little traffic would use up the time of later steps.
func (d decision) widenShare(record *wirepb.MoveRecord) {
	next := min(int(record.GetStep())+1, len(stepSharesPermille)-2)
	if wider := min(widenFactor*record.GetSharePermille(), stepSharesPermille[next]); wider > record.GetSharePermille() {
		record.SharePermille, record.StepAt = wider, timestamppb.New(d.now)
	}
}

// widenUndecidedShare gives a suspected version more calls when its share is so small that the evidence would stay undecided
// for longer than a bad version may get calls. It needs the same number of calls for a verdict at any share, so only the time
// to the verdict changes.
func (d decision) widenUndecidedShare(record *wirepb.MoveRecord) {
	record.SharePermille = max(record.GetSharePermille(), undecidedSharePermille)
}

// isForcedAtDeadline reports whether the move takes its next step without enough calls, since it is to finish by its deadline and
// there is only time left for the steps and for finishReserve after the last of them.
func (d decision) isForcedAtDeadline(record *wirepb.MoveRecord) bool {
	if record.GetAtDeadline() != wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH {
		return false
	}
	between := time.Duration(len(stepTimeFractions)-1-min(int(record.GetStep()), len(stepTimeFractions)-1)) * minStepDuration
	return !d.now.Add(between + finishReserve).Before(record.GetDeadline().AsTime())
}

// nextRecordByClock returns the next record under PolicyClock: equal steps up to the deadline.
func (d decision) nextRecordByClock() *wirepb.MoveRecord {
	record := proto.CloneOf(d.service.MoveRecord)
	declared, deadline := record.GetDeclaredAt().AsTime(), record.GetDeadline().AsTime()
	step := uint32(clockSteps * d.now.Sub(declared) / max(deadline.Sub(declared), 1))
	switch {
	case record.GetState() == wirepb.MoveState_MOVE_STATE_WATCHING:
		if d.now.Sub(record.GetMovedAt().AsTime()) >= record.GetWatch().AsDuration() {
			record.State = wirepb.MoveState_MOVE_STATE_DONE
		}
	case step+1 > record.GetStep() || record.GetSharePermille() == 0:
		step = min(step+1, clockSteps)
		d.enterStep(record, step, step*fullSharePermille/clockSteps)
	}
	if proto.Equal(record, d.service.MoveRecord) {
		return nil
	}
	return record
}
