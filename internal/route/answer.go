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
	// shortRetryDelay is about the time after which all nodes have received a change of the upstreams.
	shortRetryDelay = 150 * time.Millisecond
	// evacuatedRetryDelay applies while all data centres with upstreams of a service are evacuated, which an operator has to end.
	evacuatedRetryDelay = time.Second
	// maxRetryFraction keeps two thirds of a caller's remaining time for the repeated call.
	maxRetryFraction = 0.33
	minRetryFraction = 0.2
	maxStatus        = 599
)

// retryAfter returns the Retry-After header for a refused call. In an overload, callers that can still meet their latency
// objective retry soon; the retries of others are spread over a fraction of their remaining time. Neither is worth its while before
// the limit of an upstream allows another call, if that is the reason. Any other refusal no longer applies once the nodes have
// received the change that caused it.
func retryAfter(answer *wirepb.AnswerHead, left, objectiveLeft time.Duration) string {
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_EVACUATED {
		return formatSeconds(evacuatedRetryDelay + rand.N(evacuatedRetryDelay))
	}
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_QUOTA {
		return quotaRetryAfter(answer)
	}
	soon := shortRetryDelay/2 + rand.N(shortRetryDelay)
	if answer.GetRefusal() != wirepb.Refusal_REFUSAL_OVERLOADED {
		return formatSeconds(soon)
	}
	longest := time.Duration(maxRetryFraction * float64(max(left, 0)))
	available := min(answer.GetAvailableIn().AsDuration(), longest)
	if objectiveLeft >= 2*shortRetryDelay {
		return formatSeconds(max(soon, available))
	}
	fraction := minRetryFraction + rand.Float64()*(maxRetryFraction-minRetryFraction)
	return formatSeconds(max(time.Duration(fraction*float64(max(left, 0))), available))
}

func formatSeconds(wait time.Duration) string { return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) }

// writeResponse sends the upstream's response to the caller, or what is known of the outcome.
func (p *Proxy) writeResponse(w http.ResponseWriter, answer *wirepb.AnswerHead, left, objectiveLeft time.Duration) {
	w.Header().Set(p.cfg.Headers.GetRequestId(), answer.GetCallId())
	switch answer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		if answer.GetStatus() < http.StatusOK || answer.GetStatus() > maxStatus {
			writeFailure(w, http.StatusBadGateway, &wirepb.Failure{Kind: "outcome_unknown", Message: "the answer has no status"})
			return
		}
		p.writeUpstreamResponse(w, answer)
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		w.Header().Set("Retry-After", retryAfter(answer, left, objectiveLeft))
		writeFailure(w, refusalStatus(answer), &wirepb.Failure{
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

func (p *Proxy) writeUpstreamResponse(w http.ResponseWriter, answer *wirepb.AnswerHead) {
	hopByHop := p.hopByHopHeaders(http.Header{})
	for _, h := range answer.GetHeaders() {
		if !hopByHop[h.GetName()] {
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
