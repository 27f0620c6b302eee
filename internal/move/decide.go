package move

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The policies of moves.
const (
	PolicyEvidence = "evidence"
	// PolicyClock is the baseline of the measurements: equal steps by the clock, whatever the calls show.
	PolicyClock = "clock"
)

const (
	clockSteps = 5
	// minRouteCalls is the number of calls that each route in use must have shown in a step.
	minRouteCalls = 3
	// widenFactor is how much a share grows for want of calls.
	widenFactor = 2
)

// decision is a move's situation at one moment, as one decider sees it.
type decision struct {
	service *tree.Service
	now     time.Time
	view    view
	known   map[string]*wirepb.RouteBaseline
	// began is the new version's calls by route when the step began.
	began map[string]uint64
	// candidates is the number of upstreams that run the new version.
	candidates int
}

// next returns the record that follows, or nil when nothing changes.
func (d decision) next() *wirepb.MoveRecord {
	record := proto.CloneOf(d.service.MoveRecord)
	switch record.GetState() {
	case wirepb.MoveState_MOVE_STATE_RUNNING:
		d.advance(record)
	case wirepb.MoveState_MOVE_STATE_WATCHING:
		if d.now.Sub(record.GetMovedAt().AsTime()) >= record.GetWatch().AsDuration() && d.view.judge(d.known).weight < holdAt {
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
	if d.candidates == 0 {
		record.Reason = "waits for upstreams of version " + record.GetTo()
		return
	}
	if record.GetSharePermille() == 0 {
		d.begin(record)
		return
	}
	if d.stepLasts(record) {
		return
	}
	if f := d.view.judge(d.known); f.weight >= holdAt {
		record.Reason = "waits because " + f.reason
		return
	}
	if route := d.view.disturbed(d.now); route != "" && (!d.mayFinish(record) || !Late(record, d.now.Add(minStepTime))) {
		record.Reason = "waits because the earlier version is disturbed, too, on route " + route
		return
	}
	if reason := d.scarce(record); reason != "" {
		d.widen(record)
		record.Reason = reason
		return
	}
	next := min(record.GetStep()+1, uint32(len(stepShares)-1))
	d.enter(record, next, max(stepShares[next], record.GetSharePermille()))
}

// begin opens the first share as soon as the old version's behaviour is known.
func (d decision) begin(record *wirepb.MoveRecord) {
	if d.now.Sub(record.GetDeclaredAt().AsTime()) < minStepTime {
		return
	}
	stepTime := NewPlan(record).StepDuration(0, d.now)
	d.enter(record, 0, firstShare(record.GetStepCalls(), d.view.callsPerSecond(), stepTime))
}

func (d decision) enter(record *wirepb.MoveRecord, step, share uint32) {
	record.Step, record.SharePermille, record.Reason = step, share, ""
	record.StepAt = timestamppb.New(d.now)
	if share == fullShare {
		record.State = wirepb.MoveState_MOVE_STATE_WATCHING
		record.MovedAt = timestamppb.New(d.now)
	}
}

func (d decision) stepLasts(record *wirepb.MoveRecord) bool {
	entered := record.GetStepAt().AsTime()
	return d.now.Sub(entered) < NewPlan(record).StepDuration(record.GetStep(), entered)
}

// scarce returns which calls of the new version are still missing in this step, or nothing.
func (d decision) scarce(record *wirepb.MoveRecord) string {
	if d.mayFinish(record) {
		return ""
	}
	total := uint64(0)
	for _, name := range d.view.routes() {
		shown := d.view[name].shownSince(d.began[name])
		if d.view[name].used() && shown < minRouteCalls {
			return "waits for calls on route " + name
		}
		total += shown
	}
	if total < uint64(record.GetStepCalls()) {
		return "waits for calls"
	}
	return ""
}

// widen doubles the share of a step that has too few calls, up to that of the next step before the full share: what was
// seen speaks for the version, and a scarce route would else use up the time of the later steps.
func (d decision) widen(record *wirepb.MoveRecord) {
	next := min(int(record.GetStep())+1, len(stepShares)-2)
	if wider := min(widenFactor*record.GetSharePermille(), stepShares[next]); wider > record.GetSharePermille() {
		record.SharePermille, record.StepAt = wider, timestamppb.New(d.now)
	}
}

// mayFinish reports whether the deadline forces the step although the evidence is small.
func (d decision) mayFinish(record *wirepb.MoveRecord) bool {
	return record.GetAtDeadline() == wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH
}

// nextByClock is the baseline's decision: equal steps up to the deadline.
func (d decision) nextByClock() *wirepb.MoveRecord {
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
		d.enter(record, step, step*fullShare/clockSteps)
	}
	if proto.Equal(record, d.service.MoveRecord) {
		return nil
	}
	return record
}
