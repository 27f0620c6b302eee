package move

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// recordVerdict writes a verdict to the move's record. Nodes follow the verdict even before it is recorded.
func (c *Controller) recordVerdict(ctx context.Context, service *tree.Service) {
	if service.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_TAKEN_BACK || !c.startVerdictWrite(service) {
		return
	}
	defer c.finishWrite(service)
	next := TakenBackRecord(service.MoveRecord, c.cfg.Verdicts.Get(service.Name).GetReason(), c.cfg.Now())
	if err := c.writeRecord(ctx, service.MoveRecord, next); err != nil {
		c.cfg.Logger.Info("could not record that the move was taken back; will retry", zap.String("service", service.Name), zap.Error(err))
	}
}

// startVerdictWrite reports whether this node should write the verdict now: the first decider at once, each further one
// after a delay, in case those before it did not record it.
func (c *Controller) startVerdictWrite(service *tree.Service) bool {
	rank := rankOf(c.rankedDeciders(service), c.cfg.Node)
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	now := c.cfg.Now()
	if tracker.rejectedAt.IsZero() {
		tracker.rejectedAt = now
	}
	tooEarly := now.Sub(tracker.rejectedAt) < time.Duration(rank)*rankDelay
	if rank < 0 || tooEarly || tracker.writing || now.Sub(tracker.verdictTriedAt) < verdictRetryInterval {
		return false
	}
	tracker.writing, tracker.verdictTriedAt = true, now
	return true
}

// TakenBackRecord returns a copy of a move's record in the state taken back, with share 0 and a reason.
func TakenBackRecord(record *wirepb.MoveRecord, reason string, now time.Time) *wirepb.MoveRecord {
	next := proto.CloneOf(record)
	next.State, next.SharePermille, next.Reason = wirepb.MoveState_MOVE_STATE_TAKEN_BACK, 0, reason
	next.StepAt = timestamppb.New(now)
	return next
}

// TakeBack rolls back a running or watched move at an operator's request; it returns *NotFoundError, *EndedError or the error
// of the commit, but the new version gets no more calls even if the commit fails.
func (c *Controller) TakeBack(ctx context.Context, name, reason string) error {
	service, found := c.cfg.Log.State().Services[name]
	if !found || service.MoveRecord == nil {
		return &NotFoundError{Service: name}
	}
	if !service.MoveActive() {
		return &EndedError{Service: name, State: service.MoveRecord.GetState().String()}
	}
	c.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: name, Version: service.MoveRecord.GetTo(), Reason: reason,
		DeclaredRevision: service.MoveRecord.GetDeclaredRevision(),
	})
	err := c.writeRecord(ctx, service.MoveRecord, TakenBackRecord(service.MoveRecord, reason, c.cfg.Now()))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// Unless another node recorded the move as done, the deciders record the verdict.
	if now, found := c.cfg.Log.State().Services[name]; found && now.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		return &EndedError{Service: name, State: now.MoveRecord.GetState().String()}
	}
	return nil
}
