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

func hash(token string) string {
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
		AdminTokenSHA256: hash("admin"), Now: time.Now, Log: log, Verdicts: move.NewVerdicts(),
		TakeBack: func(context.Context, string, string) error { return &move.NotFoundError{} },
		Status:   func() *wirepb.NodeStatus { return &wirepb.NodeStatus{} },
		IsReady:  func() bool { return true }, Metrics: http.NotFoundHandler(), OnInvalidRequest: func() {},
	}).Handler()}
	for _, team := range []string{"shop", "rival"} {
		f.require("admin", http.MethodPost, "/v1/settings/changes", edit("/teams/"+team+"/access", `{\"token_sha256\": [\"`+hash(team)+`\"]}`), http.StatusOK, "")
	}
	f.require("shop", http.MethodPost, "/v1/settings/changes", edit("/teams/shop/services/shop", `{\"version\": \"v1\"}`), http.StatusOK, "")
	return f
}

func edit(path, value string) string {
	return fmt.Sprintf(`{"edits": [{"path": "%s", "value": "%s"}]}`, path, value)
}

// require sends a request and checks its status and the kind of its failure.
func (f *fixture) require(token, method, target, body string, status int, kind string) {
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

func TestRequests(t *testing.T) {
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
		{"endless token", strings.Repeat("x", 4096), http.MethodGet, "/v1/status", "", http.StatusUnauthorized, "token"},
		{"own path", "shop", http.MethodGet, entry + "/teams/shop/services/shop", "", http.StatusOK, ""},
		{"a rival's path", "rival", http.MethodGet, entry + "/teams/shop/services/shop", "", http.StatusForbidden, "access"},
		{"a rival's history", "rival", http.MethodGet, "/v1/settings/history?path=/teams/shop/services/shop", "", http.StatusForbidden, "access"},
		{"a rival's change", "rival", http.MethodPost, changes, edit("/teams/shop/services/shop", `{\"version\": \"v1\"}`), http.StatusForbidden, "access"},
		{"missing path", "shop", http.MethodGet, entry + "/teams/shop/services/gone", "", http.StatusNotFound, "missing"},
		{"garbage", "shop", http.MethodPost, changes, "\x00\xff", http.StatusUnprocessableEntity, "refused"},
		{"truncated", "shop", http.MethodPost, changes, `{"edits": [`, http.StatusUnprocessableEntity, "refused"},
		{"oversized", "shop", http.MethodPost, changes, strings.Repeat(" ", maxRequestBytes+1), http.StatusUnprocessableEntity, "refused"},
		{"bad value", "shop", http.MethodPost, changes, edit("/teams/shop/services/shop", `{}`), http.StatusUnprocessableEntity, "refused"},
		{"no move", "shop", http.MethodGet, "/v1/moves/shop", "", http.StatusNotFound, "missing"},
	}
	f := newFixture(t)
	for _, tt := range tests {
		t.Run(tt.name, func(*testing.T) {
			f.require(tt.token, tt.method, tt.target, tt.body, tt.status, tt.kind)
		})
	}
	t.Run("platform down", func(*testing.T) {
		f.platform.SetFaults(emul.PlatformFaults{Down: true})
		f.require("shop", http.MethodGet, entry+"/teams/shop/services/shop", "", http.StatusServiceUnavailable, "platform_unavailable")
		f.require("shop", http.MethodGet, entry+"/teams/shop/services/shop&in_force=true", "", http.StatusOK, "")
	})
}
