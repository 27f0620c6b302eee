package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headerAuthorization = "Authorization"
	// keyScheme is the authentication scheme of requests with the key of a workspace.
	keyScheme = "Token"
)

// The reasons why a request is not authenticated, as they are logged.
const (
	reasonKeyMissing   = "missing"
	reasonKeyMalformed = "malformed"
	reasonKeyUnknown   = "unknown"
)

// Counters counts the requests that were refused for lack of a valid key.
type Counters struct {
	// Unauthenticated counts those with status 401.
	Unauthenticated atomic.Int64
	// OutOfTouch counts those with status 503, since this node may lack a newer configuration with the key.
	OutOfTouch atomic.Int64
	// Revoked counts those with status 503, since a key may have been revoked in a newer configuration.
	Revoked atomic.Int64
}

const (
	// quotaWaitDivisor and maxQuotaWait bound the time that a call waits for the decision on its quota: a part of its latency objective, and
	// the time that an owner on a sixth of a core may need beside other work. A call that is refused for lack of an answer returns later still.
	quotaWaitDivisor = 2
	maxQuotaWait     = 250 * time.Millisecond
)

// QuotaDecision says whether a call of a workspace is within its quota.
type QuotaDecision struct {
	Admitted bool
	// Unavailable says that the call was not admitted because the quota cannot be checked now.
	Unavailable bool
	// RetryAfter is the time until a call may be admitted, or 0 if it is unknown.
	RetryAfter time.Duration
	// Release gives an admission back whose call certainly did not run; it may be nil.
	Release func()
}

// match is what one state says about a request.
type match struct {
	// route is nil if no route matches.
	route *tree.Route
	// workspace is the workspace that the request's key identifies, or nil.
	workspace *tree.Workspace
	// declared says that the state declares workspaces; denial is why a key that the route needs is not valid, or empty.
	declared bool
	denial   string
}

// matchRequest decides on route and key by the same state.
func matchRequest(state *tree.State, r *http.Request) match {
	m := match{route: state.MatchRoute(requestHost(r), requestPath(r)), declared: len(state.Workspaces) > 0}
	if m.route == nil || !m.declared {
		return m
	}
	key, denial := requestKey(r.Header)
	if denial == "" {
		if m.workspace = state.WorkspaceByKey(tree.HashKey(key)); m.workspace == nil {
			denial = reasonKeyUnknown
		}
	}
	if !m.route.Public {
		m.denial = denial
	}
	return m
}

// needsKey reports whether the route may be called only with a key.
func (m match) needsKey() bool { return m.declared && m.route != nil && !m.route.Public }

func (m match) isDenied() bool { return m.route == nil || m.denial != "" }

// requestKey returns the key of a request, or why it has none. Of several headers none counts, since it is not known which one the caller
// means.
func requestKey(header http.Header) (key, denial string) {
	values := header[headerAuthorization]
	if len(values) == 0 {
		return "", reasonKeyMissing
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if len(values) > 1 || key == "" || !strings.EqualFold(scheme, keyScheme) {
		return "", reasonKeyMalformed
	}
	return key, ""
}

// refuseUnauthenticated refuses a request without a valid key: with status 401 unless the state is so old that a newer one may have the key.
func (p *Proxy) refuseUnauthenticated(w http.ResponseWriter, r *http.Request, m match, state *tree.State, age time.Duration) {
	p.logUnauthenticated("request has no valid key", r, m, state, age)
	if age > maxDenialAge {
		p.Counters.OutOfTouch.Add(1)
		p.refuseRequest(w, &RequestError{Status: http.StatusServiceUnavailable, Kind: "out_of_touch", Detail: "this node may lack a newer configuration with this key"})
		return
	}
	p.Counters.Unauthenticated.Add(1)
	w.Header().Set("WWW-Authenticate", keyScheme)
	p.refuseRequest(w, &RequestError{Status: http.StatusUnauthorized, Kind: "unauthenticated", Detail: "this route needs a valid key in the header Authorization"})
}

// refuseRevocable refuses a request with a valid key because the configuration is so old that the key may have been revoked.
func (p *Proxy) refuseRevocable(w http.ResponseWriter, r *http.Request, m match, state *tree.State, age time.Duration) {
	p.logUnauthenticated("request with a key refused: configuration is too old", r, m, state, age)
	p.Counters.Revoked.Add(1)
	p.refuseRequest(w, &RequestError{Status: http.StatusServiceUnavailable, Kind: "out_of_touch", Detail: "this node may lack a newer configuration that revokes keys"})
}

func (p *Proxy) logUnauthenticated(message string, r *http.Request, m match, state *tree.State, age time.Duration) {
	p.cfg.Logger.Info(message, zap.String("id", r.Header.Get(p.cfg.Headers.GetRequestId())), zap.String("route", m.route.Name), zap.String("key", m.denial),
		zap.Uint64("revision", state.Revision), zap.Uint64("operator_config_version", state.OperatorConfigVersion), zap.Duration("age", age))
}

// serveWithinQuota serves a call if the quota of its workspace allows it.
func (p *Proxy) serveWithinQuota(ctx context.Context, c *call) *wirepb.AnswerHead {
	if p.cfg.Quota == nil || c.workspace == nil {
		return p.serve(ctx, c)
	}
	decision := p.cfg.Quota(ctx, c.workspace, min(c.route.LatencyObjective/quotaWaitDivisor, maxQuotaWait))
	if !decision.Admitted {
		return quotaAnswer(c.head, decision)
	}
	answer := p.serve(ctx, c)
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && decision.Release != nil {
		decision.Release()
	}
	return answer
}

// quotaAnswer refuses a call with status 429, or with 503 if the quota cannot be checked.
func quotaAnswer(head *wirepb.CallHead, decision QuotaDecision) *wirepb.AnswerHead {
	answer := &wirepb.AnswerHead{
		CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_QUOTA, Status: http.StatusTooManyRequests,
		Detail: "the calls of the workspace exceed its quota", AvailableIn: durationpb.New(decision.RetryAfter),
	}
	if decision.Unavailable {
		answer.Status, answer.Detail = http.StatusServiceUnavailable, "the quota of the workspace cannot be checked now"
	}
	return answer
}

// quotaRetryAfter returns the Retry-After header for a call that its workspace's quota did not admit: not before tokens are available, and
// spread, since all calls beyond the quota are told the same time.
func quotaRetryAfter(answer *wirepb.AnswerHead) string {
	return formatSeconds(answer.GetAvailableIn().AsDuration() + shortRetryDelay/2 + rand.N(shortRetryDelay))
}

// refusalStatus returns the status of the response for a call that was not run.
func refusalStatus(answer *wirepb.AnswerHead) int {
	if answer.GetRefusal() == wirepb.Refusal_REFUSAL_QUOTA && answer.GetStatus() != 0 {
		return int(answer.GetStatus())
	}
	return http.StatusServiceUnavailable
}
