package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Headers that nodes add to the requests that they send to upstreams.
const (
	HeaderCallID   = "Turmericdale-Call-Id"
	HeaderTimeLeft = "Turmericdale-Time-Left-Ms"
)

// DefaultHeaders returns the header names that are used unless the settings give others.
func DefaultHeaders() *wirepb.HeaderNames {
	return &wirepb.HeaderNames{RequestId: HeaderCallID, TimeLeft: HeaderTimeLeft}
}

// deadlineGraceDuration is how long after a call's deadline a node still waits for the response, so that one that the
// upstream sends at the deadline arrives.
const deadlineGraceDuration = 50 * time.Millisecond

// pastObjectiveDivisor divides the time left of a call past its objective: the call is admitted only if its response is
// expected within one such part. Callers retry refused calls within a third of their time.
const pastObjectiveDivisor = 2

const (
	// maxBodyBytesBeingRead bounds the bodies that a node reads from its upstreams at the same time.
	maxBodyBytesBeingRead = 32 << 20
)

// crashInterval is the time within which all calls that fail because their upstream crashed count as one failure.
const crashInterval = time.Second

// Call runs a call on a local upstream; after an answer with the outcome NOT_RUN it is certain that the call has not run.
func (r *Registry) Call(ctx context.Context, head *wirepb.CallHead) *wirepb.AnswerHead {
	arrived := r.cfg.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, head.GetTimeLeft().AsDuration()+deadlineGraceDuration, &NoResponseError{TimeLeft: head.GetTimeLeft().AsDuration()})
	defer cancel()
	if refusal := r.refuseEvacuated(head); refusal != nil {
		return refusal
	}
	u := r.leastLoaded(head)
	if u == nil {
		return notRunAnswer(head, wirepb.Refusal_REFUSAL_NO_UPSTREAM)
	}
	if refusal := r.cfg.CheckExposure(u.exposure()); refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return notRunAnswer(head, refusal)
	}
	admission := newAdmitRequest(head, arrived)
	admission.Cold = r.currentColdLimit(u)
	if delay := u.pacer.Delay(admission, u.limiter.Running()); delay > 0 {
		return r.pacedAnswer(head, u, admission, delay)
	}
	if err := u.limiter.Acquire(ctx, admission); err != nil {
		return refusedAnswer(head, u, err)
	}
	if ctx.Err() != nil {
		// A free slot is given without a look at the context.
		u.limiter.Cancel()
		return notRunAnswer(head, wirepb.Refusal_REFUSAL_EXPIRED)
	}
	// The data centre may have been evacuated, or the upstream have become cold, while the call waited.
	if refusal := r.refuseEvacuated(head); refusal != nil {
		u.limiter.Cancel()
		return refusal
	}
	admission.Cold = r.currentColdLimit(u)
	if delay := u.pacer.Take(admission, u.limiter.Running()); delay > 0 {
		u.limiter.Cancel()
		return r.pacedAnswer(head, u, admission, delay)
	}
	started := r.cfg.Now()
	if head.GetTimeLeft() != nil {
		head.TimeLeft = durationpb.New(head.GetTimeLeft().AsDuration() - started.Sub(arrived))
	}
	observation := r.observation(u, head, started)
	endRun, endObservation := r.startRun(head.GetRepeated()), r.cfg.Observe(observation)
	answer, result, header := u.forward(ctx, head, r.cfg.MaxBodyBytes)
	r.applyNotices(u, header, started)
	answer.Load = r.observeLoad(u, header)
	if u.connectionRefused.Swap(false) {
		r.assumeCold(u)
	}
	endRun()
	took := r.cfg.Now().Sub(started)
	answer.DependencyFailed = result == ResultFailed && r.dependencyFailed(u.service, started)
	u.limiter.Release(admission, took)
	switch {
	case result != ResultFailed:
	case answer.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN && r.isSuspect(u), answer.GetDependencyFailed():
		result = ResultInconclusive
	case answer.GetStatus() == http.StatusGatewayTimeout && took+deadlineGraceDuration >= head.GetTimeLeft().AsDuration():
		// The upstream used up the time that it was given: only its latency counts, not the failure.
		result = ResultAbandoned
	}
	observation.Result, observation.Latency = result, took
	endObservation(observation)
	r.cfg.Logger.Info("upstream answered", zap.String("id", head.GetCallId()), zap.String("upstream", u.id),
		zap.String("version", u.version), zap.Duration("waited", started.Sub(arrived)), zap.Duration("took", took),
		zap.Stringer("outcome", answer.GetOutcome()), zap.Uint32("status", answer.GetStatus()),
		zap.Int("calls_running", u.limiter.Running()), zap.String("detail", answer.GetDetail()))
	answer.CallId = head.GetCallId()
	answer.LoadPermille = u.limiter.LoadPermille()
	return answer
}

// RecordOutboundFailure records that a call from this VM to a service failed, since a local upstream that made the call may
// fail as a consequence.
func (r *Registry) RecordOutboundFailure(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outboundFailures[service] = r.cfg.Now()
}

// dependencyFailed reports whether a call from this VM to a service other than the given one has failed since a time.
func (r *Registry) dependencyFailed(service string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.outboundFailures {
		if name != service && !at.Before(since) {
			return true
		}
	}
	return false
}

// RespondBy returns when the response to a call that arrived at a time is due: at the end of its latency objective or, past it,
// of a part of the time left; it is the zero value for a call without a limit.
func RespondBy(head *wirepb.CallHead, arrived time.Time) time.Time {
	objectiveLeft, timeLeft := head.GetObjectiveLeft(), head.GetTimeLeft()
	switch {
	case timeLeft == nil:
		return time.Time{}
	case objectiveLeft == nil || objectiveLeft.AsDuration() >= timeLeft.AsDuration():
		return arrived.Add(timeLeft.AsDuration())
	case objectiveLeft.AsDuration() <= 0:
		return arrived.Add(timeLeft.AsDuration() / pastObjectiveDivisor)
	default:
		return arrived.Add(objectiveLeft.AsDuration())
	}
}

// newAdmitRequest returns the admission request of a call; a call past its objective may use only part of its time left.
func newAdmitRequest(head *wirepb.CallHead, arrived time.Time) admit.Request {
	admission := admit.Request{Class: head.GetClass(), Route: head.GetRoute(), Workspace: head.GetWorkspace()}
	objectiveLeft, timeLeft := head.GetObjectiveLeft(), head.GetTimeLeft()
	switch {
	case objectiveLeft == nil || timeLeft == nil || objectiveLeft.AsDuration() >= timeLeft.AsDuration():
	default:
		admission.PastObjective, admission.RespondBy = objectiveLeft.AsDuration() <= 0, RespondBy(head, arrived)
	}
	return admission
}

func notRunAnswer(head *wirepb.CallHead, refusal wirepb.Refusal) *wirepb.AnswerHead {
	return &wirepb.AnswerHead{CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal}
}

func refusedAnswer(head *wirepb.CallHead, u *upstream, err error) *wirepb.AnswerHead {
	answer := notRunAnswer(head, wirepb.Refusal_REFUSAL_OVERLOADED)
	var refusal *admit.RefusedError
	if errors.As(err, &refusal) {
		answer.Refusal = refusal.Refusal
	}
	answer.LoadPermille = u.limiter.LoadPermille()
	return answer
}

// pacedAnswer refuses a call that the limit of an upstream does not allow now.
func (r *Registry) pacedAnswer(head *wirepb.CallHead, u *upstream, admission admit.Request, delay time.Duration) *wirepb.AnswerHead {
	if admission.Cold.Cold {
		r.ColdRefusals.Add(1)
	}
	answer := notRunAnswer(head, wirepb.Refusal_REFUSAL_OVERLOADED)
	answer.LoadPermille, answer.AvailableIn = u.limiter.LoadPermille(), durationpb.New(delay)
	return answer
}

// observation describes a call that starts on an upstream.
func (r *Registry) observation(u *upstream, head *wirepb.CallHead, started time.Time) Observation {
	r.mu.Lock()
	warmAt := u.warmAt
	r.mu.Unlock()
	return Observation{
		Service: u.service, Version: u.version, Route: head.GetRoute(), SinceFirstCall: u.sinceFirstCall(started),
		FirstCallSeen: u.firstCallSeen, ColdStartOver: !warmAt.IsZero() && !started.Before(warmAt), Control: head.GetControl(),
	}
}

// forward sends the call to the upstream and classifies the response. The header is nil if the upstream itself sent none.
func (u *upstream) forward(ctx context.Context, head *wirepb.CallHead, maxBytes int64) (*wirepb.AnswerHead, Result, http.Header) {
	request, err := u.newRequest(ctx, head)
	if err != nil {
		return notRunAnswer(head, wirepb.Refusal_REFUSAL_EXPIRED), ResultInconclusive, nil
	}
	received, err := u.pool.roundTrip(ctx, request, u.headers.GetRequestId(), head.GetCallId(), maxBytes)
	if err != nil {
		answer, result := u.classifyError(ctx, head, err)
		return answer, result, nil
	}
	header := received.response.Header
	if u.isNotRun(received.response) {
		refusal := notRunAnswer(head, wirepb.Refusal_REFUSAL_OVERLOADED)
		refusal.Arrived = true
		if received.response.StatusCode == http.StatusMisdirectedRequest {
			header = nil
		}
		return refusal, ResultShed, header
	}
	return &wirepb.AnswerHead{
		Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: uint32(received.response.StatusCode), Arrived: true,
		Headers: encodeHeaders(header), Body: received.body,
	}, classify(received.response), header
}

// isNotRun reports whether a response says that the upstream did not run the call: by the header for this, or by status 421
// where requests name the upstream that is to run them.
func (u *upstream) isNotRun(response *http.Response) bool {
	if name := u.headers.GetNotRun(); name != "" && response.Header.Get(name) != "" {
		return true
	}
	return u.headers.GetExpectedUpstream() != "" && response.StatusCode == http.StatusMisdirectedRequest
}

func classify(response *http.Response) Result {
	overload := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	switch {
	case overload && response.Header.Get("Retry-After") != "":
		return ResultShed
	case response.StatusCode >= http.StatusBadRequest:
		return ResultFailed
	default:
		return ResultOK
	}
}

// readBody reads a body into memory that grows with what has arrived, whatever length the response claims to have. The memory is charged to
// the account of the call, which waits if there is none, and while the body is being read to that of all bodies.
func readBody(ctx context.Context, response *http.Response, maxBytes int64, bodies *bodyBudget) ([]byte, error) {
	if response.ContentLength > maxBytes {
		return nil, &ResponseTooLargeError{Limit: maxBytes}
	}
	account, read, fits := budget.FromContext(ctx), int64(0), true
	defer func() { bodies.release(read) }()
	body, err := budget.ReadAll(response.Body, budget.ReadConfig{
		Expected: response.ContentLength, MaxBytes: maxBytes,
		Charge: func(added int64) bool { return fits && account.Await(ctx, added) },
		OnProgress: func(total int64) {
			fits = bodies.take(total-read) && fits
			read = total
		},
	})
	var tooLarge *budget.TooLargeError
	var exhausted *budget.ExhaustedError
	switch {
	case !fits:
		return nil, &ResponseTooLargeError{Limit: maxBodyBytesBeingRead}
	case errors.As(err, &tooLarge):
		return nil, &ResponseTooLargeError{Limit: maxBytes}
	case errors.As(err, &exhausted):
		return nil, err
	case err != nil:
		return nil, &IncompleteResponseError{Cause: err}
	}
	return body, nil
}

// bodyBudget bounds the bytes of all bodies that are being read at the same time, so that upstreams which send without end do
// not use up the memory of the process.
type bodyBudget struct {
	held atomic.Int64
}

// take adds bytes that were read and reports whether there is room for them.
func (b *bodyBudget) take(bytes int64) bool { return b.held.Add(bytes) <= maxBodyBytesBeingRead }

func (b *bodyBudget) release(bytes int64) { b.held.Add(-bytes) }

// classifyError returns the answer and the result of a call without a complete response. Only if no connection could be
// established is it certain that the call did not run.
func (u *upstream) classifyError(ctx context.Context, head *wirepb.CallHead, err error) (*wirepb.AnswerHead, Result) {
	var connectErr *ConnectError
	if errors.As(err, &connectErr) {
		u.connectionRefused.Store(errors.Is(connectErr, syscall.ECONNREFUSED))
		return notRunAnswer(head, wirepb.Refusal_REFUSAL_UNREACHABLE), ResultInconclusive
	}
	var malformed *MalformedResponseError
	if errors.As(err, &malformed) {
		u.onMalformed()
	}
	answer := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error(), Arrived: true}
	var noResponse *NoResponseError
	switch {
	case ctx.Err() != nil && !errors.As(context.Cause(ctx), &noResponse):
		answer.Detail = "the caller's node gave the call up"
		return answer, ResultAbandoned
	case u.countsAgainstVersion():
		return answer, ResultFailed
	default:
		return answer, ResultInconclusive
	}
}

// countsAgainstVersion reports whether a failed call counts against the version. While the upstream accepts connections,
// every failure does; after a crash, only one in each crashInterval does.
func (u *upstream) countsAgainstVersion() bool {
	if u.isListening() {
		return true
	}
	now := time.Now().UnixNano()
	last := u.lastCrashNanos.Load()
	return now-last > int64(crashInterval) && u.lastCrashNanos.CompareAndSwap(last, now)
}

func (u *upstream) newRequest(ctx context.Context, head *wirepb.CallHead) (*http.Request, error) {
	target := string(head.GetTarget())
	if err := checkTarget(target); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, head.GetMethod(), "http://"+u.address.String()+"/", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build upstream request")
	}
	for _, h := range head.GetHeaders() {
		request.Header.Add(h.GetName(), string(h.GetValue()))
	}
	request.Host, request.RequestURI = string(head.GetHost()), target
	u.setProxyHeaders(ctx, request, head)
	body := head.GetBody()
	request.ContentLength = int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request, nil
}

// setProxyHeaders sets the headers that upstreams may rely on, whatever the caller sent.
func (u *upstream) setProxyHeaders(ctx context.Context, request *http.Request, head *wirepb.CallHead) {
	request.Header.Set(u.headers.GetRequestId(), head.GetCallId())
	if timeLeft := head.GetTimeLeft(); timeLeft != nil {
		deadline, found := ctx.Deadline()
		millis := timeLeft.AsDuration().Milliseconds()
		if found {
			millis = min(millis, time.Until(deadline).Milliseconds())
		}
		request.Header.Set(u.headers.GetTimeLeft(), strconv.FormatInt(max(millis, 0), 10))
	}
	if name := u.headers.GetExpectedUpstream(); name != "" && u.id != "" {
		request.Header.Set(name, u.id)
	}
	if name := u.headers.GetCallerService(); name != "" {
		request.Header.Set(name, head.GetOrigin())
	}
	u.setWorkspace(request, head.GetWorkspace())
	if request.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its default User-Agent.
		request.Header.Set("User-Agent", "")
	}
}

// setWorkspace names the caller's workspace. If there is none although workspaces are declared, it removes the header: the caller's node,
// which also does so, may not know yet that they are.
func (u *upstream) setWorkspace(request *http.Request, workspace string) {
	if workspace == "" && !u.workspacesDeclared() {
		return
	}
	request.Header.Del("Authorization")
	name := u.headers.GetWorkspace()
	if name == "" {
		return
	}
	request.Header.Del(name)
	if workspace != "" {
		request.Header.Set(name, workspace)
	}
}

func encodeHeaders(header http.Header) []*wirepb.Header {
	list := make([]*wirepb.Header, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			list = append(list, &wirepb.Header{Name: name, Value: []byte(v)})
		}
	}
	return list
}
