package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/move"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

type fixture struct {
	t        *testing.T
	handler  http.Handler
	platform *emul.Platform
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	platform := emul.NewPlatform(emul.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	log := oplog.New(oplog.Config{
		Store:  store.New(store.Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}),
		Logger: zap.NewNop(), Now: time.Now,
	})
	go log.RunCommitter(t.Context())
	f := &fixture{t: t, platform: platform, handler: New(Config{
		AdminTokenSHA256: hashToken("admin"), Now: time.Now, Log: log, Verdicts: move.NewVerdicts(),
		TakeBack: func(context.Context, string, string) error { return &move.NotFoundError{} },
		Status:   func() *wirepb.NodeStatus { return &wirepb.NodeStatus{} },
		IsReady:  func() bool { return true }, Metrics: http.NotFoundHandler(), OnInvalidRequest: func() {},
	}).Handler()}
	for _, team := range []string{"shop", "rival"} {
		f.requireResponse("admin", http.MethodPost, "/v1/settings/changes", changeBody("/teams/"+team+"/access", `{\"token_sha256\": [\"`+hashToken(team)+`\"]}`), http.StatusOK, "")
	}
	f.requireResponse("shop", http.MethodPost, "/v1/settings/changes", changeBody("/teams/shop/services/shop", `{\"version\": \"v1\"}`), http.StatusOK, "")
	return f
}

func changeBody(path, value string) string {
	return fmt.Sprintf(`{"edits": [{"path": "%s", "value": "%s"}]}`, path, value)
}

// requireResponse sends a request and checks the status of the response and, unless empty, the kind of its failure.
func (f *fixture) requireResponse(token, method, target, body string, status int, kind string) {
	f.t.Helper()
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	require.Equal(f.t, status, recorder.Code, recorder.Body.String())
	if kind != "" {
		failure := &wirepb.Failure{}
		require.NoError(f.t, protojson.Unmarshal(recorder.Body.Bytes(), failure))
		require.Equal(f.t, kind, failure.GetKind())
	}
}

func TestResponseStatusAndFailureKind(t *testing.T) {
	const changes, entry = "/v1/settings/changes", "/v1/settings/entry?path="
	tests := []struct {
		name   string
		token  string
		method string
		target string
		body   string
		status int
		kind   string
	}{
		{"no token", "", http.MethodGet, "/v1/status", "", http.StatusUnauthorized, "token"},
		{"unknown token", "guess", http.MethodGet, "/v1/status", "", http.StatusUnauthorized, "token"},
		{"oversized token", strings.Repeat("x", 4096), http.MethodGet, "/v1/status", "", http.StatusUnauthorized, "token"},
		{"path of the same team", "shop", http.MethodGet, entry + "/teams/shop/services/shop", "", http.StatusOK, ""},
		{"path of another team", "rival", http.MethodGet, entry + "/teams/shop/services/shop", "", http.StatusForbidden, "access"},
		{"history of another team", "rival", http.MethodGet, "/v1/settings/history?path=/teams/shop/services/shop", "", http.StatusForbidden, "access"},
		{"change of another team's path", "rival", http.MethodPost, changes, changeBody("/teams/shop/services/shop", `{\"version\": \"v1\"}`), http.StatusForbidden, "access"},
		{"missing path", "shop", http.MethodGet, entry + "/teams/shop/services/gone", "", http.StatusNotFound, "missing"},
		{"not JSON", "shop", http.MethodPost, changes, "\x00\xff", http.StatusUnprocessableEntity, "refused"},
		{"truncated JSON", "shop", http.MethodPost, changes, `{"edits": [`, http.StatusUnprocessableEntity, "refused"},
		{"oversized body", "shop", http.MethodPost, changes, strings.Repeat(" ", maxRequestBytes+1), http.StatusUnprocessableEntity, "refused"},
		{"invalid value", "shop", http.MethodPost, changes, changeBody("/teams/shop/services/shop", `{}`), http.StatusUnprocessableEntity, "refused"},
		{"service without a move", "shop", http.MethodGet, "/v1/moves/shop", "", http.StatusNotFound, "missing"},
	}
	f := newFixture(t)
	for _, tt := range tests {
		t.Run(tt.name, func(*testing.T) {
			f.requireResponse(tt.token, tt.method, tt.target, tt.body, tt.status, tt.kind)
		})
	}
	t.Run("platform unavailable", func(*testing.T) {
		f.platform.SetFaults(emul.PlatformFaults{Down: true})
		f.requireResponse("shop", http.MethodGet, entry+"/teams/shop/services/shop", "", http.StatusServiceUnavailable, "platform_unavailable")
		f.requireResponse("shop", http.MethodGet, entry+"/teams/shop/services/shop&in_force=true", "", http.StatusOK, "")
	})
}
