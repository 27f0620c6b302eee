package admin

import (
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// TokenError reports a request without a valid token of a team or the administrator.
type TokenError struct{}

func (e *TokenError) Error() string {
	return "the token is missing or unknown: send a token of your team as Authorization: Bearer TOKEN"
}

// InvalidRequestError reports a request body that cannot be read or is not valid JSON for the API.
type InvalidRequestError struct {
	Cause error
}

func (e *InvalidRequestError) Error() string { return "invalid request: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidRequestError) Unwrap() error { return e.Cause }

// failureOf maps an error to the status and the body of the response.
func failureOf(err error) (int, *wirepb.Failure) {
	var (
		token          *TokenError
		invalidRequest *InvalidRequestError
		access         *tree.AccessError
		conflict       *tree.ConflictError
		entryNotFound  *tree.NotFoundError
		path           *tree.PathError
		value          *tree.ValueError
		limit          *tree.LimitError
		moveNotFound   *move.NotFoundError
		moveEnded      *move.EndedError
		moveConflict   *move.ConflictError
		queueFull      *oplog.QueueFullError
		contention     *oplog.ContentionError
		stopped        *oplog.StoppedError
		reestablishing *oplog.ReestablishingError
		unavailable    *store.UnavailableError
	)
	notRun := func(status int, kind string) (int, *wirepb.Failure) {
		return status, &wirepb.Failure{Kind: kind, Message: err.Error(), NotRun: true}
	}
	switch {
	case errors.As(err, &token):
		return notRun(http.StatusUnauthorized, "token")
	case errors.As(err, &access):
		return notRun(http.StatusForbidden, "access")
	case errors.As(err, &conflict), errors.As(err, &moveConflict), errors.As(err, &moveEnded):
		return notRun(http.StatusConflict, "conflict")
	case errors.As(err, &entryNotFound), errors.As(err, &moveNotFound):
		return notRun(http.StatusNotFound, "missing")
	case errors.As(err, &invalidRequest), errors.As(err, &path), errors.As(err, &value), errors.As(err, &limit):
		return notRun(http.StatusUnprocessableEntity, "refused")
	case errors.As(err, &queueFull), errors.As(err, &contention), errors.As(err, &stopped), errors.As(err, &reestablishing):
		return notRun(http.StatusServiceUnavailable, "busy")
	case errors.As(err, &unavailable):
		return notRun(http.StatusServiceUnavailable, "platform_unavailable")
	default:
		return http.StatusGatewayTimeout, &wirepb.Failure{Kind: "outcome_unknown", Message: err.Error()}
	}
}

func writeError(w http.ResponseWriter, err error) {
	status, failure := failureOf(err)
	writeMessage(w, status, failure)
}

func writeMessage(w http.ResponseWriter, status int, message proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
