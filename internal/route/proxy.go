package route

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/claim"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The headers of requests and responses.
const (
	HeaderDepth          = "Turmericdale-Depth"
	HeaderOutcome        = "Turmericdale-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxDepth    = 32
	maxKeyBytes = 256
	// answerGraceDuration is the time after a call's deadline in which the answer that its upstream gives at the deadline may
	// still arrive.
	answerGraceDuration = 100 * time.Millisecond
	// maxDenialAge is the age of the configuration up to which a node denies that a route exists: the users' shortest bound for a change to
	// come into force.
	maxDenialAge = 2 * time.Second
)

// Config configures a Proxy.
type Config struct {
	// Logger receives a line for each decision on a call; nil disables logging.
	Logger *zap.Logger
	Node   string
	// Service is the service of the local upstream, or empty.
	Service      string
	Headers      *wirepb.HeaderNames
	RetryBudget  RetryBudgetConfig
	MaxBodyBytes int64
	Now          func() time.Time
	State        func() *tree.State
	Verdicts     *move.Verdicts
	Picker       *Picker
	Pool         *peer.Pool
	Local        *local.Registry
	Claims       *claim.Registry
	// Observe receives the outcome of each call for the metrics.
	Observe func(route *tree.Route, outcome wirepb.Outcome, took time.Duration)
	// OnInvalidRequest is called for each request that is refused before it becomes a call.
	OnInvalidRequest func()
	// ReceivedAt returns when a request had been read, or the zero time if that is unknown; nil means that it is.
	ReceivedAt func(r *http.Request) time.Time
	// ConfigurationAge returns a bound of how old the configuration is; nil means that it is current.
	ConfigurationAge func() time.Duration
	// Revoke is the age of the configuration from which requests that need a key are refused, since it may have been revoked; zero means
	// that they are served whatever the age.
	Revoke time.Duration
	// WorkspaceName returns the name by which upstreams know a workspace of the tree; nil means that names are the same.
	WorkspaceName func(name string) string
	// Quota decides on a call of a workspace after its authentication, before it runs, and may wait for a time; nil means that there is no
	// limit.
	Quota func(ctx context.Context, w *tree.Workspace, wait time.Duration) QuotaDecision
	// Stopping reports whether the node is stopping: running calls are then left to finish.
	Stopping func() bool
	// OnRetry is called for each retry.
	OnRetry func()
}

// Proxy serves callers' requests.
type Proxy struct {
	Counters Counters

	cfg           Config
	retryBudget   *retryBudget
	throttle      *throttle
	confirmations *confirmations
	waits         *waitEstimator
	latencies     *routeLatencies
	inFlight      atomic.Int64
	// idPrefix and lastID form call ids that are unique over all incarnations of all nodes.
	idPrefix string
	lastID   atomic.Uint64
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	if cfg.Headers == nil {
		cfg.Headers = local.DefaultHeaders()
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.ReceivedAt == nil {
		cfg.ReceivedAt = func(*http.Request) time.Time { return time.Time{} }
	}
	if cfg.ConfigurationAge == nil {
		cfg.ConfigurationAge = func() time.Duration { return 0 }
	}
	if cfg.WorkspaceName == nil {
		cfg.WorkspaceName = func(name string) string { return name }
	}
	if cfg.Stopping == nil {
		cfg.Stopping = func() bool { return false }
	}
	return &Proxy{cfg: cfg, retryBudget: newRetryBudget(cfg.RetryBudget), throttle: newThrottle(cfg.Now), confirmations: newConfirmations(), waits: newWaitEstimator(), latencies: newRouteLatencies(), idPrefix: uuid.NewString() + "-"}
}

// InFlight returns the number of callers' requests that are being served.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// ServeHTTP serves one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	started := p.cfg.Now()
	age := time.Duration(0)
	if p.cfg.Revoke > 0 {
		age = p.cfg.ConfigurationAge()
	}
	// A state that is read after its age is no older than that.
	state := p.cfg.State()
	if state.Revision == 0 {
		p.refuseRequest(w, &RequestError{Status: http.StatusServiceUnavailable, Kind: "starting", Detail: "this node has no configuration yet"})
		return
	}
	m := matchRequest(state, r)
	if m.isDenied() {
		age = p.cfg.ConfigurationAge()
		state = p.cfg.State()
		m = matchRequest(state, r)
	}
	switch {
	case m.route == nil:
		p.refuseWithoutRoute(w, r, state, age, started)
		return
	case m.denial != "":
		p.refuseUnauthenticated(w, r, m, state, age)
		return
	case p.cfg.Revoke > 0 && age > p.cfg.Revoke && m.needsKey():
		p.refuseRevocable(w, r, m, state, age)
		return
	}
	c, err := p.newCall(w, r, m, started)
	if err != nil {
		p.refuseRequest(w, err)
		return
	}
	answer := p.serveWithinQuota(r.Context(), c)
	p.cfg.Observe(c.route, answer.GetOutcome(), p.cfg.Now().Sub(started))
	failed := answer.GetOutcome() != wirepb.Outcome_OUTCOME_ANSWERED || answer.GetStatus() >= http.StatusInternalServerError
	if failed && answer.GetRefusal() != wirepb.Refusal_REFUSAL_QUOTA {
		p.cfg.Local.RecordOutboundFailure(c.service.Name)
	}
	p.logCall(c, state, answer)
	p.writeResponse(w, answer, c.deadline.Sub(p.cfg.Now()), c.objectiveEnd.Sub(p.cfg.Now()))
}

// RefuseWhileStopping refuses a request that arrives while the node is stopping.
func (p *Proxy) RefuseWhileStopping(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(p.cfg.Headers.GetRequestId())
	p.cfg.Logger.Info("request refused: node is stopping", zap.String("id", id), zap.String("path", requestPath(r)))
	w.Header().Set("Retry-After", formatSeconds(shortRetryDelay/2+rand.N(shortRetryDelay)))
	writeFailure(w, http.StatusServiceUnavailable, &wirepb.Failure{Kind: "stopping", Message: "this node stops", NotRun: true})
}

// refuseWithoutRoute refuses a request that matches no route of a state: with status 404 unless the state is so old that a newer one may
// have a route for it.
func (p *Proxy) refuseWithoutRoute(w http.ResponseWriter, r *http.Request, state *tree.State, age time.Duration, started time.Time) {
	p.cfg.Logger.Info("request matches no route", zap.String("id", r.Header.Get(p.cfg.Headers.GetRequestId())), zap.String("host", requestHost(r)),
		zap.String("path", requestPath(r)), zap.Uint64("revision", state.Revision), zap.Uint64("operator_config_version", state.OperatorConfigVersion),
		zap.Duration("waited", waitedSince(p.cfg.ReceivedAt(r), started)), zap.Duration("age", age))
	if age > maxDenialAge {
		p.refuseRequest(w, &RequestError{Status: http.StatusServiceUnavailable, Kind: "out_of_touch", Detail: "this node may lack a newer configuration with a route for this path"})
		return
	}
	p.refuseRequest(w, &RequestError{Status: http.StatusNotFound, Kind: "no_route", Detail: "no route has a prefix of this path"})
}

func (p *Proxy) refuseRequest(w http.ResponseWriter, failure *RequestError) {
	p.cfg.OnInvalidRequest()
	if failure.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatSeconds(shortRetryDelay/2+rand.N(shortRetryDelay)))
	}
	writeFailure(w, failure.Status, &wirepb.Failure{Kind: failure.Kind, Message: failure.Detail, NotRun: true})
}

// requestHost returns the host of a request in lower case, without a port.
func requestHost(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// requestPath returns the path in the encoding of the caller: a decoded path could match another route.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// call is the state of one call while it is served.
type call struct {
	route *tree.Route
	// workspace is nil for a call without a key.
	workspace *tree.Workspace
	// service is the route's service, or the one that was drawn at random from a split route.
	service *tree.Service
	head    *wirepb.CallHead
	started time.Time
	// objectiveEnd is when the latency objective ends, counted from the caller's first request if earlier ones were refused.
	objectiveEnd   time.Time
	deadline       time.Time
	idempotencyKey string
	depth          int
	tried          map[*stats]bool
	// fallbackUsed means that the call has used its retry outside the retry budget.
	fallbackUsed bool
}

func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, m match, started time.Time) (*call, *RequestError) {
	route := m.route
	depth, failure := parseDepth(r.Header)
	if failure != nil {
		return nil, failure
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if route.AtMostOnce && (key == "" || len(key) > maxKeyBytes) {
		return nil, &RequestError{Status: http.StatusBadRequest, Kind: "key_missing", Detail: "this route needs an Idempotency-Key of 1 to 256 bytes"}
	}
	id := r.Header.Get(p.cfg.Headers.GetRequestId())
	switch {
	case p.generatesIDs():
		id = p.idPrefix + strconv.FormatUint(p.lastID.Add(1), 10)
	case id == "":
		return nil, &RequestError{Status: http.StatusBadRequest, Kind: "id_missing", Detail: "the request needs a header " + p.cfg.Headers.GetRequestId()}
	}
	left := parseTimeLeft(r.Header, p.cfg.Headers.GetTimeLeft(), route.Timeout)
	timeout := min(route.Timeout, left)
	body, failure := p.readBody(w, r, started.Add(timeout))
	if failure != nil {
		return nil, failure
	}
	service := chooseService(route)
	c := &call{
		route: route, workspace: m.workspace, service: service, started: started, objectiveEnd: started.Add(route.LatencyObjective - p.waits.estimate(route, left)), deadline: started.Add(timeout), idempotencyKey: key, depth: depth, tried: map[*stats]bool{},
		head: &wirepb.CallHead{
			CallId: id, Service: service.Name, Route: route.Name, Class: route.Class, Priority: route.Priority,
			Method: r.Method, Target: []byte(requestTarget(r)), Host: []byte(r.Host),
			Headers: p.forwardedHeaders(r.Header, depth, m.declared), Body: body, Idempotent: route.Idempotent, Origin: p.cfg.Service,
			Repeated: rand.Float64() < p.cfg.Local.RepeatedFraction(),
		},
	}
	if m.workspace != nil {
		c.head.Workspace = p.cfg.WorkspaceName(m.workspace.Name)
		if priority := m.workspace.Priority; priority != nil {
			c.head.Class, c.head.Priority = m.workspace.Class, *priority
		}
	}
	return c, nil
}

// generatesIDs reports whether call ids come from the nodes rather than from the callers.
func (p *Proxy) generatesIDs() bool { return p.cfg.Headers.GetRequestId() == local.HeaderCallID }

// requestTarget returns path and query in the encoding of the caller; those of a target with scheme and host begin after the host.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, rest, found := strings.Cut(r.RequestURI, "://")
	if !found {
		return r.URL.RequestURI()
	}
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	default:
		return rest[begin:]
	}
}

// chooseService returns the service of a call; for a split route, one at random in proportion to the weights.
func chooseService(route *tree.Route) *tree.Service {
	total := uint32(0)
	for _, part := range route.Split {
		total += part.Weight
	}
	if total == 0 {
		return route.Service
	}
	drawn := rand.Uint32N(total)
	for _, part := range route.Split {
		if drawn < part.Weight {
			return part.Service
		}
		drawn -= part.Weight
	}
	return route.Service
}

func parseDepth(header http.Header) (int, *RequestError) {
	text := header.Get(HeaderDepth)
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth > maxDepth {
		return 0, &RequestError{Status: http.StatusLoopDetected, Kind: "too_deep", Detail: HeaderDepth + " must be 0 to 32"}
	}
	return depth, nil
}

func parseTimeLeft(header http.Header, name string, fallback time.Duration) time.Duration {
	millis, err := strconv.ParseInt(header.Get(name), 10, 32)
	if err != nil || millis < 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *RequestError) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if body, found := wholeBody(r); found && int64(len(body)) <= p.cfg.MaxBodyBytes {
		return body, nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Kind: "body_too_large", Detail: "the body exceeds " + strconv.FormatInt(p.cfg.MaxBodyBytes, 10) + " bytes"}
	case err != nil:
		return nil, &RequestError{Status: http.StatusBadRequest, Kind: "body_cut", Detail: "the body ended early"}
	}
	return body, nil
}

// hopByHopHeaders returns the headers that belong to one connection and are not forwarded.
func (p *Proxy) hopByHopHeaders(header http.Header) map[string]bool {
	names := p.cfg.Headers
	hopByHop := map[string]bool{
		http.CanonicalHeaderKey(names.GetTimeLeft()): true, http.CanonicalHeaderKey(names.GetExpectedUpstream()): true,
		http.CanonicalHeaderKey(names.GetCallerService()): true, http.CanonicalHeaderKey(names.GetRequestId()): true,

		"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
		"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
		HeaderDepth: true, local.HeaderTimeLeft: true, local.HeaderCallID: true,
	}
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return hopByHop
}

// forwardedHeaders returns the headers for the upstream. Once workspaces are declared, only nodes may name one, and keys are not forwarded.
func (p *Proxy) forwardedHeaders(header http.Header, depth int, workspacesDeclared bool) []*wirepb.Header {
	hopByHop := p.hopByHopHeaders(header)
	if workspacesDeclared {
		hopByHop[headerAuthorization], hopByHop[http.CanonicalHeaderKey(p.cfg.Headers.GetWorkspace())] = true, true
	}
	list := make([]*wirepb.Header, 0, len(header)+1)
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &wirepb.Header{Name: name, Value: []byte(v)})
		}
	}
	if !p.generatesIDs() {
		return list
	}
	return append(list, &wirepb.Header{Name: HeaderDepth, Value: []byte(strconv.Itoa(depth + 1))})
}

// serve runs a call; on an at-most-once route it first records the idempotency key.
func (p *Proxy) serve(ctx context.Context, c *call) *wirepb.AnswerHead {
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerGraceDuration))
	defer cancel()
	if !c.route.AtMostOnce {
		return p.run(ctx, c)
	}
	claimed, err := p.cfg.Claims.Acquire(ctx, c.route.Team, c.route.Name, c.idempotencyKey, c.head.GetCallId())
	var duplicate *claim.DuplicateError
	switch {
	case errors.As(err, &duplicate):
		return &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Status: http.StatusConflict, Detail: duplicate.Error()}
	case err != nil && c.route.ClaimPolicy != wirepb.ClaimPolicy_CLAIM_POLICY_RUN:
		return &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Detail: err.Error()}
	}
	answer := p.run(ctx, c)
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && err == nil {
		claimed.Release()
	}
	return answer
}

// setTimeLeft sets the time that the next attempt has until the deadline and the latency objective.
func (c *call) setTimeLeft(now time.Time) {
	c.head.TimeLeft = durationpb.New(c.deadline.Sub(now))
	c.head.ObjectiveLeft = durationpb.New(c.objectiveEnd.Sub(now))
}
