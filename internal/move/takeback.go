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

// recordVerdict writes a verdict into the move's record; the verdict is in force without it.
func (m *Controller) recordVerdict(ctx context.Context, service *tree.Service) {
	if service.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_TAKEN_BACK || !m.startVerdictWrite(service) {
		return
	}
	defer m.finishWrite(service)
	next := TakenBackRecord(service.MoveRecord, m.cfg.Verdicts.Get(service.Name).GetReason(), m.cfg.Now())
	if err := m.write(ctx, service.MoveRecord, next); err != nil {
		m.cfg.Logger.Info("taking back not recorded yet", zap.String("service", service.Name), zap.Error(err))
	}
}

// startVerdictWrite lets the first decider write at once and the others later, should the record not have followed.
func (m *Controller) startVerdictWrite(service *tree.Service) bool {
	rank := rankOf(m.ranks(service), m.cfg.Node)
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision())
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

// TakenBackRecord returns the record of a move that is taken back.
func TakenBackRecord(record *wirepb.MoveRecord, reason string, now time.Time) *wirepb.MoveRecord {
	next := proto.CloneOf(record)
	next.State, next.SharePermille, next.Reason = wirepb.MoveState_MOVE_STATE_TAKEN_BACK, 0, reason
	next.StepAt = timestamppb.New(now)
	return next
}

// TakeBack takes a running or watched move back at an operator's word; it returns *NotFoundError, *EndedError or the
// errors of a commit, after which the calls stay away from the version all the same.
func (m *Controller) TakeBack(ctx context.Context, name, reason string) error {
	service, found := m.cfg.Log.State().Services[name]
	if !found || service.MoveRecord == nil {
		return &NotFoundError{Service: name}
	}
	if !service.MoveActive() {
		return &EndedError{Service: name, State: service.MoveRecord.GetState().String()}
	}
	m.cfg.Verdicts.Merge(&wirepb.Verdict{
		Service: name, Version: service.MoveRecord.GetTo(), Reason: reason,
		DeclaredRevision: service.MoveRecord.GetDeclaredRevision(),
	})
	err := m.write(ctx, service.MoveRecord, TakenBackRecord(service.MoveRecord, reason, m.cfg.Now()))
	var overtaken *ConflictError
	if errors.As(err, &overtaken) {
		return nil
	}
	return err
}
