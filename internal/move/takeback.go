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
