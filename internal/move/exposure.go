package move

import (
	"slices"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// maxFirstStepInFlight is the number of calls that an upstream of a new version may run at the same time in the first step.
const maxFirstStepInFlight = 2

// CheckExposure returns why a call to a local upstream is refused, whatever the sending node knows of the move, or
// REFUSAL_UNSPECIFIED if the call may run.
func CheckExposure(service *tree.Service, exposure local.Exposure, verdicts *Verdicts, alarmed bool) wirepb.Refusal {
	if service == nil {
		return wirepb.Refusal_REFUSAL_NO_UPSTREAM
	}
	if service.MoveRecord == nil {
		return refuseUnless(service.AnyVersion || exposure.Version == service.StableVersion)
	}
	record := service.MoveRecord
	if slices.Contains(record.GetWithdrawn(), exposure.Version) {
		return wirepb.Refusal_REFUSAL_WITHDRAWN
	}
	if exposure.Version == record.GetFrom() || service.AnyVersion && exposure.Version != record.GetTo() {
		return wirepb.Refusal_REFUSAL_UNSPECIFIED
	}
	if exposure.Version != record.GetTo() {
		return wirepb.Refusal_REFUSAL_EXPOSURE
	}
	switch {
	case record.GetState() == wirepb.MoveState_MOVE_STATE_TAKEN_BACK, verdicts.Rejected(record):
		return wirepb.Refusal_REFUSAL_WITHDRAWN
	case record.GetState() == wirepb.MoveState_MOVE_STATE_DONE:
		return wirepb.Refusal_REFUSAL_UNSPECIFIED
	case alarmed, record.GetSharePermille() == 0:
		return wirepb.Refusal_REFUSAL_EXPOSURE
	default:
		return refuseUnless(record.GetStep() > 0 || exposure.InFlight < maxFirstStepInFlight)
	}
}

func refuseUnless(allowed bool) wirepb.Refusal {
	if allowed {
		return wirepb.Refusal_REFUSAL_UNSPECIFIED
	}
	return wirepb.Refusal_REFUSAL_EXPOSURE
}
