package move

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	fullSharePermille = 1000
	minStepDuration   = time.Second
	// marginFraction is the fraction of the time up to the deadline that the planned steps leave free, between
	// minDeadlineMargin and maxDeadlineMargin.
	marginFraction        = 0.2
	maxDeadlineMargin     = 30 * time.Second
	minDeadlineMargin     = time.Second
	maxFirstSharePermille = 200
	firstShareFactor      = 1.5
)

// stepSharesPermille are the shares of the steps.
var stepSharesPermille = [...]uint32{10, 50, 150, fullLoadSharePermille, fullSharePermille}

// stepTimeFractions are the fractions of the time before the deadline that the steps before the last one take. Small shares
// take most of it, so that a version whose fault shows only at the full share has had less than a tenth of the calls by then.
var stepTimeFractions = [...]float64{0.375, 0.325, 0.15, 0.15}

// Plan is the schedule of a move's steps, computed from its deadline.
type Plan struct {
	// StepDeadlines holds the time by which each step before the last must end.
	StepDeadlines [len(stepTimeFractions)]time.Time
}

// NewPlan returns the plan of a declared move.
func NewPlan(record *wirepb.MoveRecord) Plan {
	declared, deadline := record.GetDeclaredAt().AsTime(), record.GetDeadline().AsTime()
	available := deadline.Sub(declared)
	margin := min(max(time.Duration(marginFraction*float64(available)), minDeadlineMargin), maxDeadlineMargin)
	if record.GetOrder() != 0 {
		// An operator who ordered the move waits for its end, which comes after the watch (the bake time).
		margin += min(record.GetWatch().AsDuration(), available/4)
	}
	usable := max(available-margin, 0)
	plan := Plan{}
	sum := 0.0
	for i, f := range stepTimeFractions {
		sum += f
		plan.StepDeadlines[i] = declared.Add(time.Duration(sum * float64(usable)))
	}
	return plan
}

// StepDuration returns how long a step entered at a given time lasts, which is until its deadline but at least a second.
func (p Plan) StepDuration(step uint32, entered time.Time) time.Duration {
	if int(step) >= len(p.StepDeadlines) {
		return 0
	}
	return max(p.StepDeadlines[step].Sub(entered), minStepDuration)
}

// Late reports whether a move missed its deadline, or can no longer meet it because the steps that are left take too long.
func Late(record *wirepb.MoveRecord, now time.Time) bool {
	if record.GetMovedAt() != nil {
		return record.GetMovedAt().AsTime().After(record.GetDeadline().AsTime())
	}
	left := len(stepTimeFractions) - int(record.GetStep())
	return now.Add(time.Duration(left) * minStepDuration).After(record.GetDeadline().AsTime())
}

// firstSharePermille returns the share of the first step, raised if the traffic would give the step too few calls. A scarce
// route raises it to the share of the second step at most.
func firstSharePermille(stepCalls uint32, current view, stepDuration time.Duration) uint32 {
	share := sharePermilleFor(float64(stepCalls), current.peakCallsPerSecond(), stepDuration, maxFirstSharePermille)
	for _, r := range current {
		if rate := r.callsPerSecond(); rate > 0 {
			share = max(share, sharePermilleFor(minRouteCalls, rate, stepDuration, stepSharesPermille[1]))
		}
	}
	return share
}

// sharePermilleFor returns the share, up to a maximum, that gives the new version enough calls in a step.
func sharePermilleFor(stepCalls, callsPerSecond float64, stepDuration time.Duration, maxPermille uint32) uint32 {
	expected := callsPerSecond * stepDuration.Seconds()
	if expected <= 0 {
		return stepSharesPermille[0]
	}
	needed := uint32(min(firstShareFactor*stepCalls/expected*fullSharePermille, float64(maxPermille)))
	return max(stepSharesPermille[0], needed)
}
