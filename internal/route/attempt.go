package route

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// maxHops bounds the nodes that one call is offered to: most refusals come from nodes whose upstream did not see it.
	maxHops      = 8
	frameReserve = 128 << 10
	trialFactor  = 10
	minTrialTime = 150 * time.Millisecond
)

// run tries upstreams until one answers or no further try is allowed.
func (p *Proxy) run(ctx context.Context, c *call) *wirepb.AnswerHead {
	p.budget.earn(c.service.Name)
	group := p.draw(c)
	toNew := group == move.GroupNew
	c.head.Control = group == move.GroupControl
	var ran *wirepb.AnswerHead
	refused := &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_NO_UPSTREAM}
	arrived := 0
	for hop := 1; ; hop++ {
		answer := refused
		chosen := p.choose(c, toNew)
		if chosen != nil {
			c.tried[chosen.stats] = true
			answer = p.attempt(ctx, c, chosen, toNew && arrived+1 < c.route.Attempts)
		}
		if toNew {
			p.noteTrial(c, answer)
		}
		if answer.GetArrived() || answer.GetOutcome() != wirepb.Outcome_OUTCOME_NOT_RUN {
			arrived++
		}
		refused = telling(refused, answer)
		// A refusal of the last try says nothing of an earlier one that may have run.
		if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && ran != nil {
			answer = ran
		}
		if chosen == nil || hop == maxHops || arrived >= c.route.Attempts || p.expired(ctx, c) || !p.again(c, answer, toNew) {
			if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
				return refused
			}
			return answer
		}
		if answer.GetOutcome() != wirepb.Outcome_OUTCOME_NOT_RUN {
			ran = answer
		}
		toNew, c.head.Control = false, false
		p.cfg.OnRetry()
	}
}

// noteTrial has the next calls of a route confirm what one to a version on trial showed.
func (p *Proxy) noteTrial(c *call, answer *wirepb.AnswerHead) {
	if c.route.Idempotent && answer.GetStatus() >= http.StatusInternalServerError {
		p.confirms.begin(c.route, p.cfg.Now())
	}
}

// telling returns which of two refusals tells more of why a call was not run: a node that has no room says when to come
// back, one that is left without a reason does not.
func telling(before, after *wirepb.AnswerHead) *wirepb.AnswerHead {
	if after.GetOutcome() != wirepb.Outcome_OUTCOME_NOT_RUN || before.GetRefusal() == wirepb.Refusal_REFUSAL_OVERLOADED {
		return before
	}
	return after
}

// expired reports whether no time is left for another try.
func (p *Proxy) expired(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || !p.cfg.Now().Before(c.deadline)
}

// draw returns the group of a call; those that confirm a failure go to the new version as long as it has a share.
func (p *Proxy) draw(c *call) move.Group {
	now := p.cfg.Now()
	group := p.cfg.Verdicts.AssignGroup(c.service, now)
	if group != move.GroupNew && c.route.Idempotent && p.cfg.Verdicts.SharePermille(c.service) > 0 && p.confirms.take(c.route, now) {
		return move.GroupNew
	}
	return group
}

// choose picks an upstream of the version that the call goes to; the earlier version serves when that has none.
func (p *Proxy) choose(c *call, toNew bool) *choice {
	service := c.service
	if toNew {
		if chosen := p.pick(c, service.MoveRecord.GetTo(), ""); chosen != nil {
			return chosen
		}
	}
	version, except := p.cfg.Verdicts.StableVersion(service), ""
	if version == "" {
		except = service.MoveRecord.GetTo()
	}
	chosen := p.pick(c, version, except)
	if chosen == nil && service.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		chosen = p.pick(c, service.MoveRecord.GetFrom(), "")
	}
	return chosen
}

// pick chooses an upstream of a version, or of all versions but one, and notes them in the call.
func (p *Proxy) pick(c *call, version, except string) *choice {
	c.head.Version, c.head.ExceptVersion = version, except
	return p.cfg.Picker.pick(subsetKey{service: c.service.Name, version: version, except: except}, c.tried)
}

// again reports whether a call may be sent to another upstream: when it has certainly not run, or when it is
// idempotent and this is the outermost of nested calls, so that retries do not multiply with the depth.
func (p *Proxy) again(c *call, answer *wirepb.AnswerHead, toNew bool) bool {
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		return c.fallsBack(toNew) || !answer.GetArrived() || p.budget.spend(c.service.Name)
	}
	failed := answer.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN || answer.GetStatus() >= http.StatusInternalServerError
	if !failed || !c.route.Idempotent {
		return false
	}
	return c.fallsBack(toNew) || c.depth == 0 && p.budget.spend(c.service.Name)
}

// fallsBack allows one try outside the budget for a call that was sent to a version on trial.
func (c *call) fallsBack(toNew bool) bool {
	first := toNew && !c.fellBack
	c.fellBack = c.fellBack || toNew
	return first
}

// attempt sends the call to one upstream.
func (p *Proxy) attempt(ctx context.Context, c *call, chosen *choice, onTrial bool) *wirepb.AnswerHead {
	started := p.cfg.Now()
	c.setTimeLeft(started)
	ctx, end := p.withTryTime(ctx, c, onTrial, c.deadline.Sub(started))
	defer end()
	answer, err := p.offer(ctx, c, chosen)
	took := p.cfg.Now().Sub(started)
	p.cfg.Picker.note(chosen, answer, took, err != nil && ctx.Err() == nil)
	p.logAttempt(c, chosen, answer, took)
	return answer
}

// offer gives the call to the upstream beside this node, or to the node beside another one.
func (p *Proxy) offer(ctx context.Context, c *call, chosen *choice) (*wirepb.AnswerHead, error) {
	if chosen.upstream.Node == p.cfg.Node {
		return p.cfg.Local.Call(ctx, c.head), nil
	}
	return p.exchange(ctx, chosen, c.head)
}

// withTryTime bounds a try. One of a version on trial gets little more than the earlier version takes, as long as another
// try can follow; when this node has begun to stop by then, the upstream's work is not broken off.
func (p *Proxy) withTryTime(ctx context.Context, c *call, onTrial bool, left time.Duration) (context.Context, func()) {
	ctx, end := context.WithTimeout(ctx, left+answerGrace)
	if !c.route.Idempotent || !onTrial {
		return ctx, end
	}
	ctx, cut := context.WithCancelCause(ctx)
	timer := time.AfterFunc(p.trialTime(c, left), func() {
		if !p.cfg.Stopping() {
			cut(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		timer.Stop()
		cut(nil)
		end()
	}
}

func (p *Proxy) trialTime(c *call, left time.Duration) time.Duration {
	usual := p.cfg.Picker.usualTime(c.service.Name, p.cfg.Verdicts.StableVersion(c.service), c.service.MoveRecord.GetTo())
	return min(max(trialFactor*usual, minTrialTime), left/2)
}

// exchange hands the call to the node beside the upstream; what is not proved not to have run is unknown.
func (p *Proxy) exchange(ctx context.Context, chosen *choice, head *wirepb.CallHead) (*wirepb.AnswerHead, error) {
	stream, err := p.cfg.Pool.OpenStream(ctx, chosen.upstream.PeerAddress)
	if err != nil {
		return failedAnswer(head, wirepb.Outcome_OUTCOME_NOT_RUN, err), err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := p.send(stream, head); err != nil {
		var encode *frame.EncodeError
		if errors.As(err, &encode) {
			return failedAnswer(head, wirepb.Outcome_OUTCOME_NOT_RUN, err), err
		}
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, err), err
	}
	answer := &wirepb.AnswerHead{}
	if err := frame.Read(stream.Reader, answer, p.cfg.MaxBodyBytes+frameReserve); err != nil {
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, endOf(ctx, err)), err
	}
	if answer.GetCallId() != head.GetCallId() {
		err := &CallIDMismatchError{Want: head.GetCallId(), Have: answer.GetCallId()}
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, err), err
	}
	if stop() {
		stream.Release()
	}
	for _, v := range answer.GetVerdicts() {
		p.cfg.Verdicts.Merge(v)
	}
	return answer, nil
}

// endOf returns why a conversation ended: its own end hides that the caller left or that the time was up.
func endOf(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return &CallerDisconnectedError{}
	case cause != nil:
		return cause
	default:
		return err
	}
}

func (p *Proxy) send(stream *peer.Stream, head *wirepb.CallHead) error {
	return frame.Write(stream, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: head}})
}

func failedAnswer(head *wirepb.CallHead, outcome wirepb.Outcome, err error) *wirepb.AnswerHead {
	answer := &wirepb.AnswerHead{CallId: head.GetCallId(), Outcome: outcome, Detail: err.Error()}
	if outcome == wirepb.Outcome_OUTCOME_NOT_RUN {
		answer.Refusal = wirepb.Refusal_REFUSAL_UNREACHABLE
	}
	return answer
}
