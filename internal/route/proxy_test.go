package route

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/claim"
	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/peer"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// fixture is the proxy of a node with a local upstream.
type fixture struct {
	proxy    *Proxy
	platform *emul.Platform
	members  *member.Table
	calls    atomic.Int32
	handler  http.HandlerFunc
}

const routeSetting = `{"path_prefix": "/%s", "service": "shop", "timeout": "1s", %s}`

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithHeaders(t, nil)
}

func newFixtureWithHeaders(t *testing.T, headers *wirepb.HeaderNames) *fixture {
	t.Helper()
	f := &fixture{platform: emul.NewPlatform(emul.PlatformConfig{Seed: 1})}
	f.handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }
	state := newState(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			f.calls.Add(1)
			f.handler(w, r)
		}
	}))
	t.Cleanup(upstream.Close)
	table := newServer(t, f.platform.Handler())
	members := member.New(member.Config{Now: time.Now, Self: memberRecord("self")})
	f.members = members
	pool := peer.NewPool(peer.PoolConfig{Now: time.Now})
	t.Cleanup(pool.Close)
	registry := local.New(local.Config{
		Logger: zap.NewNop(), Now: time.Now, QueueFactor: 1, MaxBodyBytes: 1 << 16, Headers: headers,
		CheckExposure: func(local.Exposure) wirepb.Refusal { return wirepb.Refusal_REFUSAL_UNSPECIFIED },
		Observe:       func(local.Observation) func(local.Observation) { return func(local.Observation) {} }, OnUpstreamsChange: func([]*wirepb.MemberUpstream) {},
	})
	require.NoError(t, registry.Announce(&wirepb.Announcement{
		Service: "shop", Version: "v1", Address: upstream.Listener.Addr().String(), Slots: 4, Connections: 4,
	}))
	f.proxy = New(Config{
		Node: "self", Headers: headers, MaxBodyBytes: 1 << 16, Now: time.Now, State: func() *tree.State { return state },
		Verdicts: move.NewVerdicts(), Pool: pool, Local: registry,
		Claims: claim.New(claim.Config{Store: store.New(store.Config{Address: table}), Now: time.Now}),
		Picker: NewPicker(PickerConfig{
			Node: "self", DataCentre: "dc", Region: "r", SubsetSize: 8, Now: time.Now,
			Upstreams: members.Upstreams, Preconnect: func(netip.AddrPort) {},
		}),
		Observe: func(*tree.Route, wirepb.Outcome, time.Duration) {}, OnInvalidRequest: func() {}, OnRetry: func() {},
	})
	return f
}

func newServer(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func memberRecord(node string) *wirepb.MemberRecord {
	return &wirepb.MemberRecord{
		Node: node, Life: 1, Sequence: 1, DataCentre: "dc", Region: "r", PeerAddress: "127.0.0.1:1",
		Upstreams: []*wirepb.MemberUpstream{{Service: "shop", Version: "v1", Slots: 4}},
	}
}

func newState(t *testing.T) *tree.State {
	t.Helper()
	edits := []*wirepb.Edit{{Path: "/teams/a/services/shop", Value: `{"version": "v1"}`}}
	for name, more := range map[string]string{
		"read": `"idempotent": true`, "write": `"class": "CLASS_NORMAL"`, "once": `"at_most_once": true`,
		"anyway": `"at_most_once": true, "claim_policy": "CLAIM_POLICY_RUN"`,
	} {
		edits = append(edits, &wirepb.Edit{Path: "/teams/a/routes/" + name, Value: fmt.Sprintf(routeSetting, name, more)})
	}
	change, err := tree.EmptyState().NewChange(tree.Administrator, edits, time.Now())
	require.NoError(t, err)
	state, err := tree.EmptyState().Apply(change)
	require.NoError(t, err)
	return state
}

func (f *fixture) send(path, key string) *http.Response {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("dial"))
	if key != "" {
		request.Header.Set(HeaderIdempotencyKey, key)
	}
	recorder := httptest.NewRecorder()
	f.proxy.ServeHTTP(recorder, request)
	return recorder.Result()
}

func requireOutcome(t *testing.T, response *http.Response, status int, outcome string) {
	t.Helper()
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, outcome, response.Header.Get(HeaderOutcome))
}

func TestRetries(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	t.Run("a call with unknown outcome is not sent again", func(t *testing.T) {
		f := newFixture(t)
		f.handler = abort
		requireOutcome(t, f.send("/write", ""), http.StatusBadGateway, OutcomeUnknown)
		require.Equal(t, int32(1), f.calls.Load())
	})
	t.Run("a call that ran is not reported as not run when its retry is refused", func(t *testing.T) {
		f := newFixture(t)
		f.members.Merge([]*wirepb.MemberRecord{memberRecord("dead")})
		f.handler = abort
		for range 20 {
			f.calls.Store(0)
			response := f.send("/read", "")
			ran := f.calls.Load() > 0
			require.Equal(t, !ran, response.Header.Get(HeaderOutcome) == OutcomeNotRun)
		}
	})
	t.Run("a failed nested call is not retried", func(t *testing.T) {
		f := newFixture(t)
		f.handler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		request := httptest.NewRequest(http.MethodGet, "/read", nil)
		request.Header.Set(HeaderDepth, "3")
		f.proxy.ServeHTTP(httptest.NewRecorder(), request)
		require.Equal(t, int32(1), f.calls.Load())
	})
}

// A failure that came from a failed call of the upstream is not retried: in the shed of a service that others call, each such
// retry would add calls to it.
func TestFailureOfDependencyIsNotRetried(t *testing.T) {
	tests := []struct {
		name             string
		dependencyFailed bool
		wantRepeated     []bool
	}{
		{"upstream failed", false, []bool{false, true}},
		{"a call of the upstream failed", true, []bool{false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			repeated := make(chan bool, 2)
			f.members.UpdateSelf(func(own *wirepb.MemberRecord) { own.Upstreams = nil })
			for _, name := range []string{"b", "c"} {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				server := peer.NewServer(peer.ServerConfig{
					Listener: listener, MaxHeadBytes: 1 << 16,
					ServeCall: func(_ context.Context, conn net.Conn, head *wirepb.CallHead) {
						repeated <- head.GetRepeated()
						_ = frame.Write(conn, &wirepb.AnswerHead{
							CallId: head.GetCallId(), Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: http.StatusInternalServerError,
							Arrived: true, DependencyFailed: tt.dependencyFailed,
						})
					},
				})
				go func() { _ = server.Serve(t.Context()) }()
				record := memberRecord(name)
				record.PeerAddress = listener.Addr().String()
				f.members.Merge([]*wirepb.MemberRecord{record})
			}
			f.send("/read", "")
			close(repeated)
			var got []bool
			for r := range repeated {
				got = append(got, r)
			}
			require.Equal(t, tt.wantRepeated, got)
		})
	}
}

// While the local upstream runs repeated calls only, the calls that it makes are repeats for the services that it calls.
func TestRepeatedCallIsChargedToBudget(t *testing.T) {
	f := newFixture(t)
	f.proxy.retryBudget = newRetryBudget(RetryBudgetConfig{Ratio: boundRatio, Slack: 100, CountNodes: func() int { return 1 }})
	finish := make(chan struct{})
	t.Cleanup(func() { close(finish) })
	f.handler = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/parent" {
			<-finish
		}
	}
	go func() {
		f.proxy.cfg.Local.Call(t.Context(), &wirepb.CallHead{
			CallId: "parent", Service: "shop", Version: "v1", Method: http.MethodGet, Target: []byte("/parent"),
			TimeLeft: durationpb.New(time.Minute), Repeated: true,
		})
	}()
	require.Eventually(t, func() bool { return f.proxy.cfg.Local.RepeatedFraction() == 1 }, 5*time.Second, time.Millisecond)
	requireOutcome(t, f.send("/read", ""), http.StatusOK, OutcomeAnswered)
	require.InDelta(t, ratioFraction*boundRatio-1, f.proxy.retryBudget.services["shop"].tokens, 1e-9)
}

// An answer with the id of another call must not reach the caller: the outcome of the call is unknown.
func TestAnswerOfAnotherCallIsNotDelivered(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(peer.ServerConfig{
		Listener: listener, MaxHeadBytes: 1 << 16,
		ServeCall: func(_ context.Context, conn net.Conn, _ *wirepb.CallHead) {
			_ = frame.Write(conn, &wirepb.AnswerHead{CallId: "other", Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: http.StatusOK})
		},
	})
	go func() { _ = server.Serve(t.Context()) }()
	other := memberRecord("self")
	other.Node, other.PeerAddress, other.Life = "other", listener.Addr().String(), 2
	f.members.UpdateSelf(func(own *wirepb.MemberRecord) { own.Upstreams = nil })
	f.members.Merge([]*wirepb.MemberRecord{other})
	requireOutcome(t, f.send("/write", ""), http.StatusBadGateway, OutcomeUnknown)
}

func TestRefusedRequests(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(r *http.Request)
		status int
	}{
		{"no route", "/other", func(*http.Request) {}, http.StatusNotFound},
		{"no key", "/once", func(*http.Request) {}, http.StatusBadRequest},
		{"key too long", "/once", func(r *http.Request) { r.Header.Set(HeaderIdempotencyKey, strings.Repeat("k", 300)) }, http.StatusBadRequest},
		{"too deep", "/read", func(r *http.Request) { r.Header.Set(HeaderDepth, "33") }, http.StatusLoopDetected},
		{"depth is not a number", "/read", func(r *http.Request) { r.Header.Set(HeaderDepth, "x") }, http.StatusLoopDetected},
	}
	f := newFixture(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader("dial"))
			tt.change(request)
			recorder := httptest.NewRecorder()
			f.proxy.ServeHTTP(recorder, request)
			requireOutcome(t, recorder.Result(), tt.status, OutcomeNotRun)
		})
	}
	t.Run("body too large", func(t *testing.T) {
		recorder := httptest.NewRecorder()
		f.proxy.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/read", strings.NewReader(strings.Repeat("x", 1<<17))))
		requireOutcome(t, recorder.Result(), http.StatusRequestEntityTooLarge, OutcomeNotRun)
	})
	require.Zero(t, f.calls.Load())
}

func TestAtMostOnce(t *testing.T) {
	t.Run("a repeated key is not executed again", func(t *testing.T) {
		f := newFixture(t)
		requireOutcome(t, f.send("/once", "k"), http.StatusOK, OutcomeAnswered)
		requireOutcome(t, f.send("/once", "k"), http.StatusConflict, OutcomeUnknown)
		require.Equal(t, int32(1), f.calls.Load())
	})
	t.Run("a call is refused while its key cannot be recorded", func(t *testing.T) {
		f := newFixture(t)
		f.platform.SetFaults(emul.PlatformFaults{Down: true})
		requireOutcome(t, f.send("/once", "k"), http.StatusServiceUnavailable, OutcomeNotRun)
		require.Zero(t, f.calls.Load())
	})
	t.Run("a team may have the call run without a recorded key", func(t *testing.T) {
		f := newFixture(t)
		f.platform.SetFaults(emul.PlatformFaults{Down: true})
		requireOutcome(t, f.send("/anyway", "k"), http.StatusOK, OutcomeAnswered)
	})
}

// An attempt at the new version is cancelled early so that a retry can follow, but not while the node is stopping: that would
// cancel work that the upstream has begun.
func TestNewVersionTimeoutIsIgnoredWhileStopping(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping %t", stopping), func(t *testing.T) {
			f := newFixture(t)
			var stopped atomic.Bool
			f.proxy.cfg.Stopping = stopped.Load
			service := &tree.Service{Name: "shop", StableVersion: "v0", MoveRecord: &wirepb.MoveRecord{Service: "shop", From: "v0", To: "v1"}}
			c := &call{service: service, route: &tree.Route{Name: "read", Idempotent: true, Service: service, Timeout: time.Second}}
			f.proxy.latencies.add(c.route, time.Millisecond)
			ctx, end := f.proxy.withAttemptTimeout(t.Context(), c, true, time.Second)
			defer end()
			stopped.Store(stopping)
			select {
			case <-ctx.Done():
				require.False(t, stopping, "the attempt was cancelled")
				require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			case <-time.After(2 * minNewVersionTimeout):
				require.True(t, stopping, "the attempt was not cancelled")
			}
		})
	}
}

// Once an upstream refused a call for overload, this refusal must be reported to the caller, whatever later upstreams
// respond: otherwise its Retry-After is not spread.
func TestRefusalToReport(t *testing.T) {
	refusal := func(r wirepb.Refusal) *wirepb.AnswerHead {
		return &wirepb.AnswerHead{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: r}
	}
	const none, overloaded, unreachable = wirepb.Refusal_REFUSAL_NO_UPSTREAM, wirepb.Refusal_REFUSAL_OVERLOADED, wirepb.Refusal_REFUSAL_UNREACHABLE
	tests := []struct {
		name  string
		given []wirepb.Refusal
		want  wirepb.Refusal
	}{
		{"no upstream", []wirepb.Refusal{none}, none},
		{"all were overloaded", []wirepb.Refusal{overloaded, overloaded}, overloaded},
		{"the last was unreachable", []wirepb.Refusal{overloaded, unreachable}, overloaded},
		{"the first was unreachable", []wirepb.Refusal{unreachable, overloaded}, overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reported := refusal(none)
			for _, r := range tt.given {
				reported = refusalToReport(reported, refusal(r))
			}
			require.Equal(t, tt.want, reported.GetRefusal())
		})
	}
}

func TestRetryAfter(t *testing.T) {
	const left = 3 * time.Second
	tests := []struct {
		name          string
		refusal       wirepb.Refusal
		objectiveLeft time.Duration
		least, most   time.Duration
	}{
		{"no upstream: once nodes have received a change", wirepb.Refusal_REFUSAL_NO_UPSTREAM, 0, shortRetryDelay / 2, 3 * shortRetryDelay / 2},
		{"overload, while the objective can be met", wirepb.Refusal_REFUSAL_OVERLOADED, time.Second, shortRetryDelay / 2, 3 * shortRetryDelay / 2},
		{"overload, past the objective", wirepb.Refusal_REFUSAL_OVERLOADED, 0, 600 * time.Millisecond, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 100 {
				seconds, err := strconv.ParseFloat(retryAfter(&wirepb.AnswerHead{Refusal: tt.refusal}, left, tt.objectiveLeft), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seconds, tt.least.Seconds()-0.001)
				require.LessOrEqual(t, seconds, tt.most.Seconds()+0.001)
			}
		})
	}
}

// Retries must not multiply an overload: beyond the reserve, they are a fraction of the calls.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := newRetryBudget(RetryBudgetConfig{})
	spent := 0
	for range 1000 {
		b.deposit("shop")
		if b.withdraw("shop") {
			spent++
		}
	}
	require.LessOrEqual(t, float64(spent), 1000*DefaultRetryRatio+DefaultRetryReserve)
	require.Positive(t, spent)
}

// Guards against a 404 for a route that was added while no changes reached the node (CONFIG).
func TestNodeOutOfTouchDeniesNoRoute(t *testing.T) {
	f := newFixture(t)
	get := func(age time.Duration) *httptest.ResponseRecorder {
		f.proxy.cfg.ConfigurationAge = func() time.Duration { return age }
		w := httptest.NewRecorder()
		f.proxy.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/unknown", http.NoBody))
		return w
	}
	require.Equal(t, http.StatusNotFound, get(maxDenialAge).Code)
	refused := get(maxDenialAge + 1)
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.NotEmpty(t, refused.Header().Get("Retry-After"))
	require.Equal(t, OutcomeNotRun, refused.Header().Get(HeaderOutcome))
}

// Guards against a 404 by a configuration that was read before its age: the change with the route came in between (CONFIG).
func TestRouteThatComesWithTheAgeIsServed(t *testing.T) {
	f := newFixture(t)
	current, later := f.proxy.cfg.State(), tree.EmptyState()
	later.Revision = current.Revision
	f.proxy.cfg.State = func() *tree.State { return later }
	f.proxy.cfg.ConfigurationAge = func() time.Duration {
		later = current
		return 0
	}
	w := httptest.NewRecorder()
	f.proxy.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/read", http.NoBody))
	require.Equal(t, http.StatusOK, w.Code)
}
