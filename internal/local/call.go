package local

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/admit"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The headers that the nodes add to the calls of upstreams.
const (
	HeaderCallID   = "Turmericdale-Call-Id"
	HeaderTimeLeft = "Turmericdale-Time-Left-Ms"
)

// crashInterval joins the cuts of one crash of an upstream into one failure.
const crashInterval = time.Second

// Call runs a call on an upstream beside this node; an answer with outcome not_run is certain.
func (r *Registry) Call(ctx context.Context, head *wirepb.CallHead) *wirepb.AnswerHead {
	ctx, cancel := context.WithTimeout(ctx, head.GetTimeLeft().AsDuration())
	defer cancel()
	u := r.find(head.GetService(), head.GetVersion())
	if u == nil {
		return notRun(head, wirepb.Refusal_REFUSAL_NO_UPSTREAM)
	}
	if refusal := r.cfg.Forbid(u.exposure()); refusal != wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return notRun(head, refusal)
	}
	if err := u.gate.Acquire(ctx, head.GetClass()); err != nil {
		return refused(head, u, err)
	}
	started := r.cfg.Now()
	age := u.age(started)
	answer, result := u.run(ctx, head, r.cfg.MaxBodyBytes)
	took := r.cfg.Now().Sub(started)
	u.gate.Release(took)
	if result == ResultFailed && answer.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN && r.silent(u) {
		result = ResultUnjudged
	}
	r.observe(u, head, result, took, age)
	answer.CallId = head.GetCallId()
	answer.LoadPermille = u.gate.LoadPermille()
	return answer
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
	if result == ResultUnjudged {
		return
	}
	r.cfg.Observe(Observation{
		Service: u.service, Version: u.version, Route: head.GetRoute(),
		Result: result, Took: took, Age: age, Fresh: u.fresh, Control: head.GetControl(),
	})
}

// run hands the call to the upstream and judges what came back.
func (u *upstream) run(ctx context.Context, head *wirepb.CallHead, limit int64) (*wirepb.AnswerHead, Result) {
	request, err := u.newRequest(ctx, head)
	if err != nil {
		return notRun(head, wirepb.Refusal_REFUSAL_EXPIRED), ResultUnjudged
	}
	response, err := u.transport.RoundTrip(request)
	if err != nil {
		return u.failed(ctx, head, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, limit)
	if err != nil {
		return u.failed(ctx, head, err)
	}
	answer := &wirepb.AnswerHead{
		Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: uint32(response.StatusCode),
		Headers: encodeHeaders(response.Header), Body: body,
	}
	return answer, judge(response)
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
		return nil, &SizeError{Limit: limit}
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(response.ContentLength+bytes.MinRead, bytes.MinRead)))
	if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1)); err != nil {
		return nil, &CutError{Cause: err}
	}
	if int64(buffer.Len()) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return buffer.Bytes(), nil
}

// failed says what is known after an error: a refused connection proves that the call did not run.
func (u *upstream) failed(ctx context.Context, head *wirepb.CallHead, err error) (*wirepb.AnswerHead, Result) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notRun(head, wirepb.Refusal_REFUSAL_UNREACHABLE), ResultUnjudged
	}
	answer := &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answer, ResultAbandoned
	case u.countsAgainstVersion():
		return answer, ResultFailed
	default:
		return answer, ResultUnjudged
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
	request.Header.Set(HeaderCallID, head.GetCallId())
	if deadline, found := ctx.Deadline(); found {
		request.Header.Set(HeaderTimeLeft, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	setBody(request, head)
	return request, nil
}

// setBody gives calls a body that cannot be rewound: net/http would otherwise send a request again by itself, on
// every idle connection in turn, when its method or an Idempotency-Key header makes it look repeatable.
func setBody(request *http.Request, head *wirepb.CallHead) {
	body := head.GetBody()
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
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
