package route

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

const (
	// shortRetry is about the time in which nodes learn of upstreams that came or went.
	shortRetry = 150 * time.Millisecond
	// Callers wait a third of their time at most.
	maxRetryPart = 0.33
	minRetryPart = 0.2
	maxStatus    = 599
)

// retryAfter tells a caller that was refused when to come back. In an overload those whose answer can still be in time
// come back soon; the others are spread over the time that they are ready to wait. Other refusals end as soon as the nodes
// have learned of the change behind them.
func retryAfter(refusal wirepb.Refusal, left, objectiveLeft time.Duration) string {
	if refusal == wirepb.Refusal_REFUSAL_OVERLOADED {
		if objectiveLeft >= 2*shortRetry {
			return formatWait(shortRetry/2 + rand.N(shortRetry))
		}
		part := minRetryPart + rand.Float64()*(maxRetryPart-minRetryPart)
		return formatWait(time.Duration(part * float64(max(left, 0))))
	}
	return formatWait(shortRetry/2 + rand.N(shortRetry))
}

func formatWait(wait time.Duration) string { return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) }

// writeAnswer gives a caller the whole answer of its call, or what is known of it.
func (p *Proxy) writeAnswer(w http.ResponseWriter, answer *wirepb.AnswerHead, left, objectiveLeft time.Duration) {
	w.Header().Set(p.cfg.Headers.GetRequestId(), answer.GetCallId())
	switch answer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		if answer.GetStatus() < http.StatusOK || answer.GetStatus() > maxStatus {
			writeFailure(w, http.StatusBadGateway, &wirepb.Failure{Kind: "outcome_unknown", Message: "the answer has no status"})
			return
		}
		p.writeAnswered(w, answer)
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		w.Header().Set("Retry-After", retryAfter(answer.GetRefusal(), left, objectiveLeft))
		writeFailure(w, http.StatusServiceUnavailable, &wirepb.Failure{
			Kind: refusalKind(answer.GetRefusal()), Message: answer.GetDetail(), NotRun: true,
		})
	default:
		status := int(answer.GetStatus())
		if status == 0 {
			status = http.StatusBadGateway
		}
		if status == http.StatusBadGateway && left <= 0 {
			status = http.StatusGatewayTimeout
		}
		writeFailure(w, status, &wirepb.Failure{Kind: "outcome_unknown", Message: answer.GetDetail()})
	}
}

func (p *Proxy) writeAnswered(w http.ResponseWriter, answer *wirepb.AnswerHead) {
	hop := p.hopHeaders(http.Header{})
	for _, h := range answer.GetHeaders() {
		if !hop[h.GetName()] {
			w.Header().Add(h.GetName(), string(h.GetValue()))
		}
	}
	w.Header().Set(HeaderOutcome, OutcomeAnswered)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	w.WriteHeader(int(answer.GetStatus()))
	_, _ = w.Write(answer.GetBody())
}

func refusalKind(refusal wirepb.Refusal) string {
	if refusal == wirepb.Refusal_REFUSAL_UNSPECIFIED {
		return "not_recorded"
	}
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}

func writeFailure(w http.ResponseWriter, status int, failure *wirepb.Failure) {
	outcome := OutcomeUnknown
	if failure.GetNotRun() {
		outcome = OutcomeNotRun
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(failure)
	if err != nil {
		data = nil
	}
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
