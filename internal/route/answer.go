package route

import (
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

const (
	retryAfterSeconds = "1"
	maxStatus         = 599
)

// writeAnswer gives a caller the whole answer of its call, or what is known of it.
func writeAnswer(w http.ResponseWriter, answer *wirepb.AnswerHead) {
	w.Header().Set(local.HeaderCallID, answer.GetCallId())
	switch answer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		if answer.GetStatus() < http.StatusOK || answer.GetStatus() > maxStatus {
			writeFailure(w, http.StatusBadGateway, &wirepb.Failure{Kind: "outcome_unknown", Message: "the answer has no status"})
			return
		}
		writeAnswered(w, answer)
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeFailure(w, http.StatusServiceUnavailable, &wirepb.Failure{
			Kind: refusalKind(answer.GetRefusal()), Message: answer.GetDetail(), NotRun: true,
		})
	default:
		status := int(answer.GetStatus())
		if status == 0 {
			status = http.StatusBadGateway
		}
		writeFailure(w, status, &wirepb.Failure{Kind: "outcome_unknown", Message: answer.GetDetail()})
	}
}

func writeAnswered(w http.ResponseWriter, answer *wirepb.AnswerHead) {
	hop := hopHeaders(http.Header{})
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
