package move

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	fullShare    = 1000
	minStepTime  = time.Second
	marginPart   = 0.2
	maxMargin    = 30 * time.Second
	minMargin    = time.Second
	maxScarce    = 200
	scarceFactor = 1.5
)

// stepShares are the thousandths of calls that go to the new version in each step.
var stepShares = [...]uint32{10, 50, 150, fullLoadShare, fullShare}

// stepWeights are the parts of the time before the deadline that the steps before the last one take: most of it at small
// shares, so that a version whose fault shows at full share only has had less than a tenth of the calls by then.
var stepWeights = [...]float64{0.375, 0.325, 0.15, 0.15}

// Plan holds the times of a move's steps, worked back from its deadline.
type Plan struct {
	// StepDeadlines is the time at which each step must be left to be in time.
	StepDeadlines [len(stepWeights)]time.Time
}

// NewPlan returns the plan of a declared move.
func NewPlan(record *wirepb.MoveRecord) Plan {
	declared, deadline := record.GetDeclaredAt().AsTime(), record.GetDeadline().AsTime()
	available := deadline.Sub(declared)
	margin := min(max(time.Duration(marginPart*float64(available)), minMargin), maxMargin)
	if record.GetOrder() != 0 {
		// Whoever orders a move waits for its end, which comes after the watch.
		margin += min(record.GetWatch().AsDuration(), available/4)
	}
	usable := max(available-margin, 0)
	plan := Plan{}
	sum := 0.0
	for i, w := range stepWeights {
		sum += w
		plan.StepDeadlines[i] = declared.Add(time.Duration(sum * float64(usable)))
	}
	return plan
}

// StepDuration returns how long a step that was entered at a time lasts: until its planned end, but at least a second.
func (p Plan) StepDuration(step uint32, entered time.Time) time.Duration {
	if int(step) >= len(p.StepDeadlines) {
		return 0
	}
	return max(p.StepDeadlines[step].Sub(entered), minStepTime)
}

// Late reports whether the deadline was missed, or cannot be met any more from a step.
func Late(record *wirepb.MoveRecord, now time.Time) bool {
	if record.GetMovedAt() != nil {
		return record.GetMovedAt().AsTime().After(record.GetDeadline().AsTime())
	}
	left := len(stepWeights) - int(record.GetStep())
	return now.Add(time.Duration(left) * minStepTime).After(record.GetDeadline().AsTime())
}

// firstShare raises the share of the first step when traffic is so scarce that the step would show too few calls.
func firstShare(stepCalls uint32, callsPerSecond float64, stepTime time.Duration) uint32 {
	expected := callsPerSecond * stepTime.Seconds()
	if expected <= 0 {
		return stepShares[0]
	}
	needed := uint32(min(scarceFactor*float64(stepCalls)/expected*fullShare, maxScarce))
	return max(stepShares[0], needed)
}
