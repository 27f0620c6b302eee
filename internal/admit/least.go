package admit

import (
	"context"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// usesLeastLoss reports whether waiting calls are ordered by PolicyLeastLoss. PolicyAuto changes to it while no call waits.
func (l *Limiter) usesLeastLoss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loss == nil && l.cfg.Policy == PolicyAuto && l.queued == 0 && (l.pace.IsReported() || l.cfg.HasWorkspaces()) {
		l.loss = newLossQueue(l.cfg.Slots)
	}
	return l.loss != nil
}

// acquireLeastLoss is Acquire with PolicyLeastLoss.
func (l *Limiter) acquireLeastLoss(ctx context.Context, request Request) error {
	c, refusal := l.acquireOrWait(ctx, request)
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	if c == nil {
		return nil
	}
	timer := time.NewTimer(c.latestStart(0).Sub(l.cfg.Now()))
	defer timer.Stop()
	select {
	case refusal = <-c.decision:
	case <-timer.C:
		// The response would be late: other calls went first, or took longer than expected.
		refusal = l.leaveWaiting(c, wirepb.Refusal_REFUSAL_OVERLOADED)
	case <-ctx.Done():
		refusal = l.leaveWaiting(c, wirepb.Refusal_REFUSAL_EXPIRED)
	}
	if refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return &RefusedError{Refusal: refusal}
	}
	return nil
}

// acquireOrWait takes a free slot, lets the call wait or refuses it. It may give up other calls for it.
func (l *Limiter) acquireOrWait(ctx context.Context, request Request) (*waitingCall, wirepb.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if l.closed {
		return nil, wirepb.Refusal_REFUSAL_LEAVING
	}
	l.loss.countOffered(request, now)
	if l.running < l.cfg.Slots && l.queued == 0 {
		l.running++
		l.loss.countAdmitted(request, now)
		return nil, wirepb.Refusal_REFUSAL_UNSPECIFIED
	}
	c := &waitingCall{
		waiter: waiter{decision: make(chan wirepb.Refusal, 1)}, request: request,
		respondBy: respondBy(ctx, request, now), work: l.pace.Scale(l.loss.work[request.Route], now),
	}
	l.loss.add(c, now)
	l.queued++
	nextSlot := now.Add(l.pace.Scale(l.serviceTime, now) / time.Duration(l.cfg.Slots))
	refusal := wirepb.Refusal_REFUSAL_UNSPECIFIED
	for _, given := range l.loss.giveUp(nextSlot, l.cfg.QueueSize) {
		l.queued--
		given.decision <- wirepb.Refusal_REFUSAL_OVERLOADED
		if given == c {
			refusal = wirepb.Refusal_REFUSAL_OVERLOADED
		}
	}
	return c, refusal
}

// respondBy returns when the response to a call is due: at RespondBy, or else at its deadline.
func respondBy(ctx context.Context, request Request, now time.Time) time.Time {
	if !request.RespondBy.IsZero() {
		return request.RespondBy
	}
	if deadline, found := ctx.Deadline(); found {
		return deadline
	}
	return now.Add(maxQueueTimeout)
}

// leaveWaiting removes a call and returns the given refusal; a slot that the call has just been given goes to the next call.
func (l *Limiter) leaveWaiting(c *waitingCall, refusal wirepb.Refusal) wirepb.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loss.remove(c) {
		l.queued--
		return refusal
	}
	if <-c.decision == wirepb.Refusal_REFUSAL_UNSPECIFIED {
		l.running--
		l.admitNext()
	}
	return refusal
}

func (l *Limiter) admitNextLeastLoss() {
	if l.running >= l.cfg.Slots {
		return
	}
	if next := l.loss.takeFirst(); next != nil {
		l.queued--
		l.running++
		l.loss.countAdmitted(next.request, l.cfg.Now())
		next.decision <- wirepb.Refusal_REFUSAL_UNSPECIFIED
	}
}
