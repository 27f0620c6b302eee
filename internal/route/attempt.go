package route

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// maxTries bounds the number of nodes that one call is sent to. The setting attempts of a route does not bound it, since
	// most refused calls did not reach an upstream and do not count as attempts.
	maxTries = 8
	// frameOverheadBytes is the size that an answer may have for headers and verdicts in addition to its body.
	frameOverheadBytes = 128 << 10
)

// run sends a call to upstreams until one answers or no further try is allowed.
func (p *Proxy) run(ctx context.Context, c *call) *wirepb.AnswerHead {
	p.retryBudget.deposit(c.service.Name)
	if c.head.GetRepeated() {
		p.retryBudget.charge(c.service.Name)
	}
	t := newTries(c)
	throttled := throttleKey{service: c.service.Name, class: c.head.GetClass()}
	overloadTries := p.throttle.admit(throttled)
	if overloadTries == 0 {
		t.refused.Refusal = wirepb.Refusal_REFUSAL_OVERLOADED
		return t.refused
	}
	group := p.assignGroup(c)
	toNew := group == move.GroupNew
	c.head.Control = group == move.GroupControl
	for i := 1; ; i++ {
		answer := t.refused
		chosen := p.chooseUpstream(c, toNew)
		if chosen != nil {
			c.tried[chosen.stats] = true
			answer = p.attempt(ctx, c, chosen, toNew && t.arrived+1 < c.route.Attempts)
		} else if delay := p.limitDelay(c); delay > 0 {
			answer = limitedAnswer(c.head, delay)
		} else if p.cfg.Picker.isEvacuated(subsetKeyOf(c)) {
			answer = &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_EVACUATED}
		}
		if toNew {
			p.confirmFailure(c, answer)
		}
		answer = t.record(c, answer)
		last := chosen == nil || i == maxTries || t.overloaded == overloadTries || t.arrived >= c.route.Attempts || p.expired(ctx, c)
		if last || !p.allowRetry(c, answer, toNew) {
			if t.overloaded == 0 || answer.GetOutcome() != wirepb.Outcome_OUTCOME_NOT_RUN {
				p.throttle.accept(throttled)
			}
			return t.toReport(answer)
		}
		toNew, c.head.Control = false, false
		p.cfg.OnRetry()
	}
}

// limitDelay returns how long it takes until an upstream that the call was last meant for takes a call, or zero if no limit is the
// reason that there is none.
func (p *Proxy) limitDelay(c *call) time.Duration {
	return p.cfg.Picker.limitDelay(subsetKeyOf(c), c.tried)
}

// limitedAnswer refuses a call because the limits of all upstreams allow none now.
func limitedAnswer(head *wirepb.CallHead, delay time.Duration) *wirepb.AnswerHead {
	return &wirepb.AnswerHead{
		CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED,
		AvailableIn: durationpb.New(delay),
	}
}

// tries is what the tries of one call have shown.
type tries struct {
	// refused is the refusal to report if no try ran, ran the newest answer of one that may have run, or nil.
	refused *wirepb.AnswerHead
	ran     *wirepb.AnswerHead
	// arrived and overloaded are the numbers of tries that reached an upstream, and that its node refused for overload.
	arrived    int
	overloaded int
}

func newTries(c *call) *tries {
	return &tries{refused: &wirepb.AnswerHead{
		CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_NO_UPSTREAM,
	}}
}

// record adds the answer of a try and returns what is known of the call: when a retry is refused, an earlier try may still
// have run.
func (t *tries) record(c *call, answer *wirepb.AnswerHead) *wirepb.AnswerHead {
	notRun := answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN
	if answer.GetArrived() || !notRun {
		t.arrived++
		c.head.Repeated = true
	}
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_OVERLOADED && !answer.GetArrived() {
		t.overloaded++
	}
	t.refused = refusalToReport(t.refused, answer)
	if notRun && t.ran != nil {
		return t.ran
	}
	if !notRun {
		t.ran = answer
	}
	return answer
}

// toReport returns the answer for the caller, given the last one.
func (t *tries) toReport(answer *wirepb.AnswerHead) *wirepb.AnswerHead {
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		return t.refused
	}
	return answer
}

// confirmFailure starts a confirmation when a call of an idempotent route to the new version failed with a 5xx status.
func (p *Proxy) confirmFailure(c *call, answer *wirepb.AnswerHead) {
	if c.route.Idempotent && answer.GetStatus() >= http.StatusInternalServerError {
		p.confirmations.start(c.route, p.cfg.Now())
	}
}

// refusalToReport returns the refusal to report to the caller after a further try. Overload takes precedence, since only
// then Retry-After is spread over the time that the caller has left.
func refusalToReport(before, after *wirepb.AnswerHead) *wirepb.AnswerHead {
	if after.GetOutcome() != wirepb.Outcome_OUTCOME_NOT_RUN || before.GetRefusal() == wirepb.Refusal_REFUSAL_OVERLOADED {
		return before
	}
	return after
}

// expired reports whether no time is left for another try.
func (p *Proxy) expired(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || !p.cfg.Now().Before(c.deadline)
}

// assignGroup returns the group of a call; confirmations go to the new version as long as it has a share.
func (p *Proxy) assignGroup(c *call) move.Group {
	now := p.cfg.Now()
	group := p.cfg.Verdicts.AssignGroup(c.service, now)
	if group != move.GroupNew && c.route.Idempotent && p.cfg.Verdicts.SharePermille(c.service) > 0 && p.confirmations.takeCall(c.route, now) {
		return move.GroupNew
	}
	return group
}

// chooseUpstream picks an upstream of the new version, if the call goes there and it has one, or of the stable version, or of
// all versions but the new one and the withdrawn ones if there is no stable one. If the version of a finished move has no upstream, the one before
// it serves the call.
func (p *Proxy) chooseUpstream(c *call, toNew bool) *candidate {
	service := c.service
	if toNew {
		if chosen := p.pickVersion(c, service.MoveRecord.GetTo()); chosen != nil {
			return chosen
		}
	}
	chosen := p.pickVersion(c, p.cfg.Verdicts.StableVersion(service))
	if chosen == nil && service.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_DONE {
		chosen = p.pickVersion(c, service.MoveRecord.GetFrom())
	}
	return chosen
}

// pickVersion picks an upstream of one version, or, if it is empty, of all versions but the new one of the service's move and those
// that were withdrawn, and records the choice in the call.
func (p *Proxy) pickVersion(c *call, version string) *candidate {
	c.head.Version, c.head.ExceptVersion, c.head.Withdrawn = version, "", nil
	if version == "" {
		c.head.ExceptVersion, c.head.Withdrawn = c.service.MoveRecord.GetTo(), c.service.MoveRecord.GetWithdrawn()
	}
	return p.cfg.Picker.pick(subsetKeyOf(c), c.tried)
}

// subsetKeyOf returns the key of the upstreams that a call was last meant for.
func subsetKeyOf(c *call) subsetKey {
	key := subsetKey{service: c.service.Name, version: c.head.GetVersion(), exceptVersions: c.head.GetExceptVersion()}
	if len(c.head.GetWithdrawn()) > 0 {
		key.exceptVersions += "," + strings.Join(c.head.GetWithdrawn(), ",")
	}
	return key
}

// allowRetry reports whether a call may be sent to another upstream: if it has certainly not run, or if it is idempotent and
// failed. Failures are retried by the outermost of nested calls only, so that retries do not multiply with the depth. A failure
// that came from a failed call of the upstream is not retried: that call has been retried already, and another upstream would
// have to make all of them again. The first retry after an attempt at the new version is exempt from this and charged to the
// retry budget in any case; calls that did not reach an upstream are exempt from the budget.
func (p *Proxy) allowRetry(c *call, answer *wirepb.AnswerHead, toNew bool) bool {
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && !answer.GetArrived() {
		return true
	}
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		return p.takeFallback(c, toNew) || p.retryBudget.withdraw(c.service.Name)
	}
	failed := answer.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN || answer.GetStatus() >= http.StatusInternalServerError
	if !failed || !c.route.Idempotent {
		return false
	}
	dependencyFailed := answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED && answer.GetDependencyFailed()
	return p.takeFallback(c, toNew) || c.depth == 0 && !dependencyFailed && p.retryBudget.withdraw(c.service.Name)
}

// takeFallback allows one retry, whatever the retry budget holds, for a call that was sent to the new version.
func (p *Proxy) takeFallback(c *call, toNew bool) bool {
	first := toNew && !c.fallbackUsed
	c.fallbackUsed = c.fallbackUsed || toNew
	if first {
		p.retryBudget.charge(c.service.Name)
	}
	return first
}

// attempt sends the call to one upstream and records the result.
func (p *Proxy) attempt(ctx context.Context, c *call, chosen *candidate, shortTimeout bool) *wirepb.AnswerHead {
	started := p.cfg.Now()
	c.setTimeLeft(started)
	ctx, end := p.withAttemptTimeout(ctx, c, shortTimeout, c.deadline.Sub(started))
	defer end()
	answer, err := p.dispatch(ctx, c, chosen)
	took := p.cfg.Now().Sub(started)
	p.cfg.Picker.recordResult(chosen, tryResult{
		answer: answer, took: took, transportFailed: err != nil && ctx.Err() == nil,
		abandoned: errors.Is(context.Cause(ctx), context.Canceled),
	})
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED && chosen.upstream.Version != c.service.MoveRecord.GetTo() {
		p.latencies.add(c.route, took)
	}
	p.logAttempt(c, chosen, answer, took)
	return answer
}

// dispatch sends the call to the local upstream or to the node of a remote one.
func (p *Proxy) dispatch(ctx context.Context, c *call, chosen *candidate) (*wirepb.AnswerHead, error) {
	if chosen.upstream.Node == p.cfg.Node {
		return p.cfg.Local.Call(ctx, c.head), nil
	}
	c.head.Foreign = p.cfg.Picker.isForeign(chosen.upstream)
	return p.callRemote(ctx, chosen, c.head)
}

// withAttemptTimeout bounds an attempt. With shortTimeout, an idempotent call is cancelled early enough for a retry to
// follow, unless the node is stopping by then: the upstream may then finish its work.
func (p *Proxy) withAttemptTimeout(ctx context.Context, c *call, shortTimeout bool, left time.Duration) (context.Context, func()) {
	ctx, end := context.WithTimeout(ctx, left+answerGraceDuration)
	if !c.route.Idempotent || !shortTimeout {
		return ctx, end
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(p.latencies.newVersionTimeout(c.route, left), func() {
		if !p.cfg.Stopping() {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
		end()
	}
}

// callRemote sends the call to the node of a remote upstream. The outcome is unknown unless the call has certainly not run.
func (p *Proxy) callRemote(ctx context.Context, chosen *candidate, head *wirepb.CallHead) (*wirepb.AnswerHead, error) {
	stream, err := p.cfg.Pool.OpenCallStream(ctx, chosen.upstream.PeerAddress)
	if err != nil {
		return failedAnswer(head, wirepb.Outcome_OUTCOME_NOT_RUN, err), err
	}
	if ctx.Err() != nil {
		stream.Release()
		return failedAnswer(head, wirepb.Outcome_OUTCOME_NOT_RUN, readError(ctx, ctx.Err())), ctx.Err()
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.Send(ctx, &wirepb.StreamHead{Kind: &wirepb.StreamHead_Call{Call: head}}); err != nil {
		var encode *frame.EncodeError
		if errors.As(err, &encode) {
			return failedAnswer(head, wirepb.Outcome_OUTCOME_NOT_RUN, err), err
		}
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, readError(ctx, err)), err
	}
	if err := awaitMemory(ctx, stream.Reader, p.cfg.MaxBodyBytes+frameOverheadBytes); err != nil {
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, readError(ctx, err)), err
	}
	answer := &wirepb.AnswerHead{}
	if err := frame.Read(stream.Reader, answer, p.cfg.MaxBodyBytes+frameOverheadBytes); err != nil {
		return failedAnswer(head, wirepb.Outcome_OUTCOME_UNKNOWN, readError(ctx, err)), err
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

// readError returns why a call could not be sent or its answer be read: the stream is closed when the context ends, which hides that the caller
// disconnected or that the timeout passed.
func readError(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return &CallerDisconnectedError{}
	case cause != nil:
		return cause
	default:
		return err
	}
}

func failedAnswer(head *wirepb.CallHead, outcome wirepb.Outcome, err error) *wirepb.AnswerHead {
	answer := &wirepb.AnswerHead{CallId: head.GetCallId(), Outcome: outcome, Detail: err.Error()}
	if outcome == wirepb.Outcome_OUTCOME_NOT_RUN {
		answer.Refusal = wirepb.Refusal_REFUSAL_UNREACHABLE
	}
	return answer
}
