package route

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/claim"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// The headers of calls and answers.
const (
	HeaderDepth          = "Turmericdale-Depth"
	HeaderOutcome        = "Turmericdale-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxDepth    = 32
	maxKeyBytes = 256
)

// Config configures a Proxy.
type Config struct {
	Node         string
	MaxBodyBytes int64
	Now          func() time.Time
	State        func() *tree.State
	Verdicts     *move.Verdicts
	Picker       *Picker
	Pool         *peer.Pool
	Local        *local.Registry
	Claims       *claim.Book
	// Observe takes the outcome of each call for the metrics.
	Observe func(route *tree.Route, outcome wirepb.Outcome, took time.Duration)
	// Garbage is called for each request that is refused for its form.
	Garbage func()
	// Retried is called for each call that is sent again.
	Retried func()
}

// Proxy serves callers.
type Proxy struct {
	cfg      Config
	budget   *budget
	confirms *confirms
	inFlight atomic.Int64
	// prefix and calls make the ids of calls, unique over all lives of all nodes.
	prefix string
	calls  atomic.Uint64
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg, budget: newBudget(), confirms: newConfirms(), prefix: uuid.NewString() + "-"}
}

// InFlight returns the number of callers' requests that are being served.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// ServeHTTP answers one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	started := p.cfg.Now()
	state := p.cfg.State()
	if state.Revision == 0 {
		p.refuse(w, &RequestError{Status: http.StatusServiceUnavailable, Kind: "starting", Detail: "this node has no configuration yet"})
		return
	}
	route := state.Match(r.URL.Path)
	if route == nil {
		p.refuse(w, &RequestError{Status: http.StatusNotFound, Kind: "no_route", Detail: "no route has a prefix of this path"})
		return
	}
	c, err := p.newCall(w, r, route, started)
	if err != nil {
		p.refuse(w, err)
		return
	}
	answer := p.serve(r.Context(), c)
	p.cfg.Observe(route, answer.GetOutcome(), p.cfg.Now().Sub(started))
	writeAnswer(w, answer)
}

func (p *Proxy) refuse(w http.ResponseWriter, failure *RequestError) {
	p.cfg.Garbage()
	writeFailure(w, failure.Status, &wirepb.Failure{Kind: failure.Kind, Message: failure.Detail, NotRun: true})
}

// call is one request of a caller on its way.
type call struct {
	route    *tree.Route
	head     *wirepb.CallHead
	deadline time.Time
	key      string
	depth    int
	tried    map[*stats]bool
	// fellBack says that the call left the version that the service moves to.
	fellBack bool
}

func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, route *tree.Route, started time.Time) (*call, *RequestError) {
	depth, failure := readDepth(r.Header)
	if failure != nil {
		return nil, failure
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if route.AtMostOnce && (key == "" || len(key) > maxKeyBytes) {
		return nil, &RequestError{Status: http.StatusBadRequest, Kind: "key_missing", Detail: "this route needs an Idempotency-Key of 1 to 256 bytes"}
	}
	timeout := min(route.Timeout, timeLeft(r.Header, route.Timeout))
	body, failure := p.readBody(w, r, started.Add(timeout))
	if failure != nil {
		return nil, failure
	}
	return &call{
		route: route, deadline: started.Add(timeout), key: key, depth: depth, tried: map[*stats]bool{},
		head: &wirepb.CallHead{
			CallId: p.prefix + strconv.FormatUint(p.calls.Add(1), 10), Service: route.Service.Name, Route: route.Name, Class: route.Class,
			Method: r.Method, Target: []byte(r.URL.RequestURI()), Host: []byte(r.Host),
			Headers: forwardedHeaders(r.Header, depth), Body: body, Idempotent: route.Idempotent,
		},
	}, nil
}

func readDepth(header http.Header) (int, *RequestError) {
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

func timeLeft(header http.Header, fallback time.Duration) time.Duration {
	millis, err := strconv.ParseInt(header.Get(local.HeaderTimeLeft), 10, 32)
	if err != nil || millis < 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *RequestError) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
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

// hopHeaders belong to one connection and are not forwarded.
func hopHeaders(header http.Header) map[string]bool {
	hop := map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
		"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
		HeaderDepth: true, local.HeaderTimeLeft: true, local.HeaderCallID: true,
	}
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			hop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return hop
}

func forwardedHeaders(header http.Header, depth int) []*wirepb.Header {
	hop := hopHeaders(header)
	list := make([]*wirepb.Header, 0, len(header)+1)
	for name, values := range header {
		if hop[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &wirepb.Header{Name: name, Value: []byte(v)})
		}
	}
	return append(list, &wirepb.Header{Name: HeaderDepth, Value: []byte(strconv.Itoa(depth + 1))})
}

// serve runs a call, with its key claimed first on an at-most-once route.
func (p *Proxy) serve(ctx context.Context, c *call) *wirepb.AnswerHead {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if !c.route.AtMostOnce {
		return p.run(ctx, c)
	}
	taken, err := p.cfg.Claims.Take(ctx, c.route.Team, c.route.Name, c.key, c.head.GetCallId())
	var duplicate *claim.DuplicateError
	switch {
	case errors.As(err, &duplicate):
		return &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Status: http.StatusConflict, Detail: duplicate.Error()}
	case err != nil && c.route.ClaimPolicy != wirepb.ClaimPolicy_CLAIM_POLICY_RUN:
		return &wirepb.AnswerHead{CallId: c.head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Detail: err.Error()}
	}
	answer := p.run(ctx, c)
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN && err == nil {
		taken.Release()
	}
	return answer
}

// setTimeLeft gives an attempt the time that is left of the call.
func (c *call) setTimeLeft(now time.Time) {
	c.head.TimeLeft = durationpb.New(c.deadline.Sub(now))
}
