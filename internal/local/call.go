package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The headers that the nodes add to the calls of upstreams.
const (
	HeaderCallID   = "Turmericdale-Call-Id"
	HeaderTimeLeft = "Turmericdale-Time-Left-Ms"
)

// DefaultHeaders returns the product's own names.
func DefaultHeaders() *wirepb.HeaderNames {
	return &wirepb.HeaderNames{RequestId: HeaderCallID, TimeLeft: HeaderTimeLeft}
}

// answerGrace is the time after a call's deadline in which the upstream's own answer at the deadline may arrive.
const answerGrace = 50 * time.Millisecond

// lateParts is the part of its time within which a call must expect its answer whose objective has passed: callers that
// are refused come back within a third of theirs.
const lateParts = 2

// crashInterval joins the cuts of one crash of an upstream into one failure.
const crashInterval = time.Second

// Call runs a call on an upstream beside this node; an answer with outcome not_run is certain.
func (r *Registry) Call(ctx context.Context, head *wirepb.CallHead) *wirepb.AnswerHead {
	arrived := r.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, head.GetTimeLeft().AsDuration()+answerGrace)
	defer cancel()
	u := r.find(head)
	if u == nil {
		return notRun(head, wirepb.Refusal_REFUSAL_NO_UPSTREAM)
	}
	if refusal := r.cfg.CheckExposure(u.exposure()); refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return notRun(head, refusal)
	}
	ask := newAsk(head, arrived)
	if err := u.gate.Acquire(ctx, ask); err != nil {
		return refused(head, u, err)
	}
	started := r.cfg.Now()
	if head.GetTimeLeft() != nil {
		head.TimeLeft = durationpb.New(head.GetTimeLeft().AsDuration() - started.Sub(arrived))
	}
	age := u.age(started)
	answer, result := u.run(ctx, head, r.cfg.MaxBodyBytes)
	took := r.cfg.Now().Sub(started)
	u.gate.Release(ask, took)
	switch {
	case result != ResultFailed:
	case answer.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN && r.silent(u), r.dependencyFailed(u.service, started):
		result = ResultInconclusive
	case answer.GetStatus() == http.StatusGatewayTimeout && took+answerGrace >= head.GetTimeLeft().AsDuration():
		// The upstream ran out of the time that it was given: that says no more than how long it took.
		result = ResultAbandoned
	}
	r.observe(u, head, result, took, age)
	r.cfg.Logger.Info("upstream answered", zap.String("id", head.GetCallId()), zap.String("upstream", u.id),
		zap.String("version", u.version), zap.Duration("waited", started.Sub(arrived)), zap.Duration("took", took),
		zap.Stringer("outcome", answer.GetOutcome()), zap.Uint32("status", answer.GetStatus()),
		zap.Int("running", u.gate.Running()), zap.String("detail", answer.GetDetail()))
	answer.CallId = head.GetCallId()
	answer.LoadPermille = u.gate.LoadPermille()
	return answer
}

// RecordOutboundFailure notes that a call that began at this VM failed: an upstream that made it may fail for it in turn.
func (r *Registry) RecordOutboundFailure(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[service] = r.cfg.Now()
}

// dependencyFailed reports whether a call to another service failed at this VM since a time.
func (r *Registry) dependencyFailed(service string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.failures {
		if name != service && !at.Before(since) {
			return true
		}
	}
	return false
}

// newAsk returns what a call asks of the gate: one whose objective has passed is content with part of its time.
func newAsk(head *wirepb.CallHead, arrived time.Time) admit.Request {
	ask := admit.Request{Class: head.GetClass()}
	left, whole := head.GetObjectiveLeft(), head.GetTimeLeft()
	switch {
	case left == nil || whole == nil || left.AsDuration() >= whole.AsDuration():
	case left.AsDuration() <= 0:
		ask.PastObjective, ask.AnswerBy = true, arrived.Add(whole.AsDuration()/lateParts)
	default:
		ask.AnswerBy = arrived.Add(left.AsDuration())
	}
	return ask
}

func notRun(head *wirepb.CallHead, refusal wirepb.Refusal) *wirepb.AnswerHead {
	return &wirepb.AnswerHead{CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal}
}

func refused(head *wirepb.CallHead, u *upstream, err error) *wirepb.AnswerHead {
	answer := notRun(head, wirepb.Refusal_REFUSAL_OVERLOADED)
	var refusal *admit.RefusedError
	if errors.As(err, &refusal) {
		answer.Refusal = refusal.Refusal
	}
	answer.LoadPermille = u.gate.LoadPermille()
	return answer
}

func (r *Registry) observe(u *upstream, head *wirepb.CallHead, result Result, took, age time.Duration) {
	if result == ResultInconclusive {
		return
	}
	r.cfg.Observe(Observation{
		Service: u.service, Version: u.version, Route: head.GetRoute(),
		Result: result, Latency: took, SinceFirstCall: age, FirstCallSeen: u.fresh, Control: head.GetControl(),
	})
}

// run hands the call to the upstream and judges what came back.
func (u *upstream) run(ctx context.Context, head *wirepb.CallHead, limit int64) (*wirepb.AnswerHead, Result) {
	request, err := u.newRequest(ctx, head)
	if err != nil {
		return notRun(head, wirepb.Refusal_REFUSAL_EXPIRED), ResultInconclusive
	}
	read, err := u.conns.exchange(ctx, request, u.headers.GetRequestId(), head.GetCallId(), limit)
	if err != nil {
		return u.failed(ctx, head, err)
	}
	if u.refused(read.response) {
		refusal := notRun(head, wirepb.Refusal_REFUSAL_OVERLOADED)
		refusal.Arrived = true
		return refusal, ResultShed
	}
	return &wirepb.AnswerHead{
		Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: uint32(read.response.StatusCode), Arrived: true,
		Headers: encodeHeaders(read.response.Header), Body: read.body,
	}, judge(read.response)
}

// refused reports whether an upstream says that it did not run the call.
func (u *upstream) refused(response *http.Response) bool {
	if name := u.headers.GetNotRun(); name != "" && response.Header.Get(name) != "" {
		return true
	}
	return u.headers.GetExpectedUpstream() != "" && response.StatusCode == http.StatusMisdirectedRequest
}

func judge(response *http.Response) Result {
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

func readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(response.ContentLength+bytes.MinRead, bytes.MinRead)))
	if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1)); err != nil {
		return nil, &IncompleteResponseError{Cause: err}
	}
	if int64(buffer.Len()) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return buffer.Bytes(), nil
}

// failed says what is known after an error: a connection that was not had proves that the call did not run.
func (u *upstream) failed(ctx context.Context, head *wirepb.CallHead, err error) (*wirepb.AnswerHead, Result) {
	var unsent *ConnectError
	if errors.As(err, &unsent) {
		return notRun(head, wirepb.Refusal_REFUSAL_UNREACHABLE), ResultInconclusive
	}
	answer := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error(), Arrived: true}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		answer.Detail = "the caller's node gave the call up"
		return answer, ResultAbandoned
	case u.countsAgainstVersion():
		return answer, ResultFailed
	default:
		return answer, ResultInconclusive
	}
}

// countsAgainstVersion counts every failure of a live upstream, but the cuts of one crash only once.
func (u *upstream) countsAgainstVersion() bool {
	if u.accepts() {
		return true
	}
	now := time.Now().UnixNano()
	last := u.lastCrash.Load()
	return now-last > int64(crashInterval) && u.lastCrash.CompareAndSwap(last, now)
}

func (u *upstream) newRequest(ctx context.Context, head *wirepb.CallHead) (*http.Request, error) {
	target := "http://" + u.address.String() + string(head.GetTarget())
	request, err := http.NewRequestWithContext(ctx, head.GetMethod(), target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build upstream request")
	}
	for _, h := range head.GetHeaders() {
		request.Header.Add(h.GetName(), string(h.GetValue()))
	}
	request.Host = string(head.GetHost())
	u.setOwnHeaders(ctx, request, head)
	body := head.GetBody()
	request.ContentLength = int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request, nil
}

// setOwnHeaders sets what upstreams may rely on, whatever the caller sent.
func (u *upstream) setOwnHeaders(ctx context.Context, request *http.Request, head *wirepb.CallHead) {
	request.Header.Set(u.headers.GetRequestId(), head.GetCallId())
	if left := head.GetTimeLeft(); left != nil {
		deadline, found := ctx.Deadline()
		millis := left.AsDuration().Milliseconds()
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
	if request.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding one of its own.
		request.Header.Set("User-Agent", "")
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
