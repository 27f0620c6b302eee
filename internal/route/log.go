package route

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// logAttempt logs an attempt that failed or was refused.
func (p *Proxy) logAttempt(c *call, chosen *candidate, answer *wirepb.AnswerHead, took time.Duration) {
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED && answer.GetStatus() < http.StatusInternalServerError {
		return
	}
	p.cfg.Logger.Info("attempt ended", zap.String("id", c.head.GetCallId()), zap.String("service", c.service.Name),
		zap.String("node", chosen.upstream.Node), zap.String("version", chosen.upstream.Version),
		zap.Stringer("outcome", answer.GetOutcome()), zap.Stringer("refusal", answer.GetRefusal()),
		zap.Uint32("status", answer.GetStatus()), zap.Uint32("load_permille", answer.GetLoadPermille()),
		zap.Bool("arrived", answer.GetArrived()), zap.Duration("took", took), zap.String("detail", answer.GetDetail()))
}

// logCall logs the outcome of a call at the caller's node.
func (p *Proxy) logCall(c *call, state *tree.State, answer *wirepb.AnswerHead) {
	p.cfg.Logger.Info("call ended", zap.String("id", c.head.GetCallId()), zap.String("route", c.route.Name),
		zap.String("service", c.service.Name), zap.Int("nodes_tried", len(c.tried)), zap.Uint64("revision", state.Revision),
		zap.Stringer("outcome", answer.GetOutcome()), zap.Stringer("refusal", answer.GetRefusal()),
		zap.Uint32("status", answer.GetStatus()), zap.Duration("took", p.cfg.Now().Sub(c.started)),
		zap.Duration("time_left", c.deadline.Sub(p.cfg.Now())))
}

// waitedSince returns the time from the receipt of a request to now, or zero if the receipt is unknown.
func waitedSince(received, now time.Time) time.Duration {
	if received.IsZero() {
		return 0
	}
	return now.Sub(received)
}
