package route

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const headerWorkspace = "X-Tenant"

// withWorkspaces returns a state in which workspaces are declared and the route open is public.
func withWorkspaces(t *testing.T, s *tree.State, workspaces map[string]string) *tree.State {
	t.Helper()
	change := &wirepb.Change{Revision: s.Revision + 1, Puts: []*wirepb.Put{
		{Path: "/teams/a/routes/open", Value: `{"path_prefix": "/open", "service": "shop", "public": true}`},
	}}
	for name, more := range workspaces {
		hash := tree.HashKey(name + "-key")
		value := fmt.Sprintf(`{"key_sha256": [%q]%s}`, hex.EncodeToString(hash[:]), more)
		change.Puts = append(change.Puts, &wirepb.Put{Path: "/teams/a/workspaces/" + name, Value: value})
	}
	next, err := s.Apply(change)
	require.NoError(t, err)
	return next
}

// authFixture is a proxy with two workspaces whose upstream keeps the headers of the last request.
type authFixture struct {
	*fixture
	state    *tree.State
	received http.Header
}

func newAuthFixture(t *testing.T) *authFixture {
	t.Helper()
	headers := local.DefaultHeaders()
	headers.Workspace = headerWorkspace
	f := &authFixture{fixture: newFixtureWithHeaders(t, headers)}
	f.state = withWorkspaces(t, f.proxy.cfg.State(), map[string]string{"acme": "", "first": `, "priority": 0`, "last": `, "priority": 9`})
	f.proxy.cfg.State = func() *tree.State { return f.state }
	f.handler = func(_ http.ResponseWriter, r *http.Request) { f.received = r.Header }
	return f
}

func (f *authFixture) get(path string, header http.Header) *http.Response {
	request := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	for name, values := range header {
		request.Header[name] = values
	}
	recorder := httptest.NewRecorder()
	f.received = nil
	f.proxy.ServeHTTP(recorder, request)
	return recorder.Result()
}

func withKey(values ...string) http.Header { return http.Header{"Authorization": values} }

// Guards against requests that run without a valid key, and against valid ones that are refused.
func TestKeysOfWorkspaces(t *testing.T) {
	f := newAuthFixture(t)
	tests := []struct {
		name   string
		path   string
		header http.Header
		status int
	}{
		{"valid key", "/read", withKey("Token acme-key"), 200},
		{"scheme in another case and more spaces", "/read", withKey("token   acme-key "), 200},
		{"no key", "/read", nil, 401},
		{"unknown key", "/read", withKey("Token other-key"), 401},
		{"key in another case", "/read", withKey("Token ACME-KEY"), 401},
		{"empty key", "/read", withKey("Token "), 401},
		{"scheme only", "/read", withKey("Token"), 401},
		{"another scheme", "/read", withKey("Bearer acme-key"), 401},
		{"no scheme", "/read", withKey("acme-key"), 401},
		{"hash of the key", "/read", withKey(fmt.Sprintf("Token %x", tree.HashKey("acme-key"))), 401},
		{"two headers", "/read", withKey("Token acme-key", "Token acme-key"), 401},
		{"public route without a key", "/open", nil, 200},
		{"public route with an unknown key", "/open", withKey("Token other-key"), 200},
		{"no route without a key", "/unknown", nil, 404},
		{"no route with a key", "/unknown", withKey("Token acme-key"), 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response := f.get(tt.path, tt.header)
			require.Equal(t, tt.status, response.StatusCode)
			require.Equal(t, tt.status == http.StatusOK, f.received != nil, "the request reached the upstream")
			if tt.status == http.StatusUnauthorized {
				requireOutcome(t, response, http.StatusUnauthorized, OutcomeNotRun)
				require.Equal(t, "Token", response.Header.Get("WWW-Authenticate"))
			}
		})
	}
	require.EqualValues(t, 9, f.proxy.Counters.Unauthenticated.Load())
}

// Guards against upstreams that receive a workspace which the caller made up, or a key.
func TestHeadersOfWorkspaces(t *testing.T) {
	f := newAuthFixture(t)
	forged := func(header http.Header) http.Header {
		header[headerWorkspace] = []string{"forged", "forged again"}
		return header
	}
	t.Run("the caller's header is replaced", func(t *testing.T) {
		f.get("/read", forged(withKey("Token acme-key")))
		require.Equal(t, []string{"acme"}, f.received.Values(headerWorkspace))
		require.Empty(t, f.received.Values("Authorization"))
	})
	t.Run("also if the caller names it in Connection", func(t *testing.T) {
		header := forged(withKey("Token acme-key"))
		header.Set("Connection", "x-tenant, authorization")
		f.get("/read", header)
		require.Equal(t, []string{"acme"}, f.received.Values(headerWorkspace))
	})
	t.Run("removed on a public route", func(t *testing.T) {
		f.get("/open", forged(withKey("Bearer other")))
		require.NotNil(t, f.received)
		require.Empty(t, f.received.Values(headerWorkspace))
		require.Empty(t, f.received.Values("Authorization"))
	})
	t.Run("forwarded while no workspaces are declared", func(t *testing.T) {
		f.state = newState(t)
		f.get("/read", forged(withKey("Bearer other")))
		require.Equal(t, []string{"forged", "forged again"}, f.received.Values(headerWorkspace))
		require.Equal(t, "Bearer other", f.received.Get("Authorization"))
	})
}

// Guards against calls that are admitted by the class of their route although their workspace has a priority.
func TestPriorityOfWorkspaceTakesPrecedence(t *testing.T) {
	f := newAuthFixture(t)
	for key, want := range map[string]*wirepb.CallHead{
		"acme-key":  {Class: wirepb.Class_CLASS_NORMAL, Priority: 1, Workspace: "acme"},
		"first-key": {Class: wirepb.Class_CLASS_CRITICAL, Workspace: "first"},
		"last-key":  {Class: wirepb.Class_CLASS_BROWSE, Priority: 9, Workspace: "last"},
	} {
		request := httptest.NewRequest(http.MethodGet, "/read", http.NoBody)
		request.Header = withKey("Token " + key)
		c, err := f.proxy.newCall(httptest.NewRecorder(), request, matchRequest(f.state, request), time.Now())
		require.Nil(t, err)
		require.Equal(t, want.GetClass(), c.head.GetClass(), key)
		require.Equal(t, want.GetPriority(), c.head.GetPriority(), key)
		require.Equal(t, want.GetWorkspace(), c.head.GetWorkspace(), key)
	}
}

// Guards against a final 401 from a node that lacks the configuration with the key (CONFIG).
func TestNodeOutOfTouchDeniesNoKey(t *testing.T) {
	f := newAuthFixture(t)
	age := maxDenialAge
	f.proxy.cfg.ConfigurationAge = func() time.Duration { return age }
	require.Equal(t, http.StatusUnauthorized, f.get("/read", withKey("Token new-key")).StatusCode)
	age++
	refused := f.get("/read", withKey("Token new-key"))
	requireOutcome(t, refused, http.StatusServiceUnavailable, OutcomeNotRun)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, f.get("/read", withKey("Token acme-key")).StatusCode)
	require.EqualValues(t, 1, f.proxy.Counters.OutOfTouch.Load())
}

// Guards against a 401 or 404 that is decided by two states: the change with the key, or that takes the route away, comes in between.
func TestRouteAndKeyAreDecidedByOneState(t *testing.T) {
	f := newAuthFixture(t)
	first := f.state
	tests := []struct {
		name   string
		put    *wirepb.Put
		status int
	}{
		{"the key comes", &wirepb.Put{Path: "/teams/a/workspaces/new", Value: fmt.Sprintf(`{"key_sha256": ["%x"]}`, tree.HashKey("new-key"))}, 200},
		{"the route becomes public", &wirepb.Put{Path: "/teams/a/routes/read", Value: `{"path_prefix": "/read", "service": "shop", "public": true}`}, 200},
		{"the route goes", &wirepb.Put{Path: "/teams/a/routes/read", Delete: true}, 404},
		{"neither", &wirepb.Put{Path: "/teams/a/workspaces/new", Value: "{}"}, 401},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.state = first
			later, err := first.Apply(&wirepb.Change{Revision: first.Revision + 1, Puts: []*wirepb.Put{tt.put}})
			require.NoError(t, err)
			f.proxy.cfg.ConfigurationAge = func() time.Duration {
				f.state = later
				return 0
			}
			require.Equal(t, tt.status, f.get("/read", withKey("Token new-key")).StatusCode)
		})
	}
}

// Guards against a revoked key that a node without newer configurations accepts, and against refusals where none is needed.
func TestStrictRevocation(t *testing.T) {
	const revoke = 5 * time.Second
	tests := []struct {
		name        string
		revoke, age time.Duration
		path        string
		status      int
	}{
		{"not strict", 0, time.Hour, "/read", 200},
		{"current", revoke, revoke, "/read", 200},
		{"too old", revoke, revoke + 1, "/read", 503},
		{"too old, public route", revoke, revoke + 1, "/open", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newAuthFixture(t)
			f.proxy.cfg.Revoke, f.proxy.cfg.ConfigurationAge = tt.revoke, func() time.Duration { return tt.age }
			response := f.get(tt.path, withKey("Token acme-key"))
			require.Equal(t, tt.status, response.StatusCode)
			if tt.status == http.StatusServiceUnavailable {
				requireOutcome(t, response, tt.status, OutcomeNotRun)
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		})
	}
	t.Run("without workspaces the age does not matter", func(t *testing.T) {
		f := newAuthFixture(t)
		f.state = newState(t)
		f.proxy.cfg.Revoke, f.proxy.cfg.ConfigurationAge = revoke, func() time.Duration { return time.Hour }
		require.Equal(t, http.StatusOK, f.get("/read", nil).StatusCode)
	})
}

// Guards against a quota that is not asked, is asked for calls without a workspace, or loses the admissions of calls that did not run.
func TestQuota(t *testing.T) {
	f := newAuthFixture(t)
	decision, asked, released := QuotaDecision{}, "", 0
	f.proxy.cfg.Quota = func(_ context.Context, w *tree.Workspace, _ time.Duration) QuotaDecision {
		asked = w.Name
		return decision
	}
	release := func() { released++ }
	tests := []struct {
		name     string
		decision QuotaDecision
		handler  http.HandlerFunc
		status   int
		released int
	}{
		{"admitted", QuotaDecision{Admitted: true, Release: release}, f.handler, 200, 0},
		{"over the quota", QuotaDecision{RetryAfter: 2 * time.Second, Release: release}, f.handler, 429, 0},
		{"unavailable", QuotaDecision{Unavailable: true, RetryAfter: 2 * time.Second}, f.handler, 503, 0},
		{"upstream failed", QuotaDecision{Admitted: true, Release: release}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 500, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			decision, asked, released, f.handler = tt.decision, "", 0, tt.handler
			before := f.calls.Load()
			response := f.get("/write", withKey("Token acme-key"))
			require.Equal(t, tt.status, response.StatusCode)
			require.Equal(t, "acme", asked)
			require.Equal(t, tt.released, released)
			if !tt.decision.Admitted {
				requireOutcome(t, response, tt.status, OutcomeNotRun)
				require.Equal(t, before, f.calls.Load())
				require.Regexp(t, `^2\.[0-9]{3}$`, response.Header.Get("Retry-After"))
			}
		})
	}
	t.Run("a call that did not run", func(t *testing.T) {
		decision, released = QuotaDecision{Admitted: true, Release: release}, 0
		f.proxy.cfg.Local.Deregister("")
		f.members.UpdateSelf(func(r *wirepb.MemberRecord) { r.Upstreams = nil })
		require.Equal(t, http.StatusServiceUnavailable, f.get("/write", withKey("Token acme-key")).StatusCode)
		require.Equal(t, 1, released)
	})
	t.Run("without a key", func(t *testing.T) {
		asked = ""
		f.get("/open", nil)
		f.get("/read", withKey("Token other-key"))
		require.Empty(t, asked)
	})
}

// Guards against keys in log lines and responses.
func TestKeysAreNotShown(t *testing.T) {
	f := newAuthFixture(t)
	core, lines := observer.New(zap.DebugLevel)
	f.proxy.cfg.Logger = zap.New(core)
	for _, header := range []http.Header{withKey("Token acme-key"), withKey("Token secret-key"), withKey("Bearer secret-key"), withKey("secret-key", "secret-key")} {
		for _, path := range []string{"/read", "/open", "/unknown"} {
			response := f.get(path, header)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NotContains(t, string(body)+fmt.Sprint(response.Header), "-key")
		}
	}
	require.NotEmpty(t, lines.All())
	require.NotContains(t, fmt.Sprint(lines.All()), "-key")
}

// Guards against requests that cost more than before although no workspaces are declared.
func TestRequestWithoutWorkspacesIsNotHashed(t *testing.T) {
	s := newState(t)
	request := httptest.NewRequest(http.MethodGet, "/read", http.NoBody)
	request.Header = withKey("Token acme-key")
	before := testing.AllocsPerRun(100, func() { s.MatchRoute(requestHost(request), requestPath(request)) })
	after := testing.AllocsPerRun(100, func() {
		if m := matchRequest(s, request); m.declared || m.isDenied() {
			t.Error("the request is denied")
		}
	})
	require.LessOrEqual(t, after, before)
}
