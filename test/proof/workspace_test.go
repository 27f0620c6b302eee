package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

const workspaceConfig = `{"version":%d,"resources":[
 {"resource_kind":"tenants","metadata":{"name":"Acme_Co"},"specification":{"api_keys":[%q],"priority":0}},
 {"resource_kind":"tenants","metadata":{"name":"broken"},"specification":{"api_keys":"proof-key-broken"}},
 {"resource_kind":"colours","metadata":{"name":"red"},"specification":{}},
 {"resource_kind":"services","metadata":{"name":"shop"},"specification":{}},
 {"resource_kind":"routes","metadata":{"name":"shop"},"specification":{"prefix":"/shop","kind":"safe","timeout":"2s","service":"shop"}},
 {"resource_kind":"routes","metadata":{"name":"open"},"specification":{"prefix":"/open","kind":"safe","timeout":"2s","service":"shop","public":true}}]}`

// recorder is an upstream that keeps the headers of requests by their paths.
type recorder struct {
	mu      sync.Mutex
	headers map[string]http.Header
}

func (r *recorder) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headers[request.URL.Path] = request.Header.Clone()
}

func (r *recorder) received(path string) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[path]
}

// startWorkspaceDeployment starts a deployment that imports operator rows, with more settings, whose upstreams of the shop are the recorder.
func startWorkspaceDeployment(t *testing.T, upstream *recorder, settings string) *deployment {
	t.Helper()
	d := newDeployment(t)
	for _, v := range d.vms {
		file := filepath.Join(d.directory, v.Node+".jsonc")
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		changed := strings.Replace(string(text), `"headers": {`, settings+`"operator_rows": true, "headers": {"workspace": "X-Tenant", `, 1)
		require.NotEqual(t, string(text), changed)
		require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
	}
	d.serve(d.platformAddress, d.platform.Handler())
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	for _, v := range d.vms {
		d.startNode(v)
	}
	d.awaitMembers()
	for _, v := range d.vms {
		if v.Service == "shop" {
			d.startUpstream(v, emul.UpstreamConfig{AnnouncedAddress: netip.MustParseAddrPort(server.Listener.Addr().String())})
		}
	}
	return d
}

// send sends a request as it is written and returns the status of the response, or 0 if there is none.
func send(v emul.VM, request string) int {
	conn, err := net.Dial("tcp", v.CallerAddress().String())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if _, err = io.WriteString(conn, request); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func get(path string, headerLines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: proof\r\n" + strings.Join(append(headerLines, "", ""), "\r\n")
}

const key = "Authorization: Token proof-key-"

// awaitStatus waits until all nodes answer a request with a status.
func (d *deployment) awaitStatus(status int, request string) {
	d.t.Helper()
	for _, v := range d.vms {
		d.await(inForceTimeout, fmt.Sprintf("status %d from %s", status, v.Node), func() bool { return send(v, request) == status })
	}
}

// Guards against callers that get through a real node without a valid key, against upstreams that receive a workspace which the caller made
// up, in whatever form it is written, and against keys in logs, metrics, status and tree.
func TestWorkspacesEndToEnd(t *testing.T) {
	t.Parallel()
	upstream := &recorder{headers: map[string]http.Header{}}
	d := startWorkspaceDeployment(t, upstream, "")
	putKey := func(version int, key string) {
		d.platform.PutRow("op", "config", fmt.Appendf(nil, workspaceConfig, version, key))
	}
	putKey(1, "proof-key-1")
	d.awaitStatus(http.StatusOK, get("/shop", key+"1"))
	d.awaitStatus(http.StatusOK, get("/open"))
	for _, v := range d.vms {
		for _, lines := range [][]string{nil, {key + "2"}, {key + "broken"}, {"Authorization: Bearer proof-key-1"}, {key + "1", key + "1"}} {
			require.Equal(t, http.StatusUnauthorized, send(v, get("/shop/denied", lines...)), "%s: %v", v.Node, lines)
		}
		require.Equal(t, http.StatusNotFound, send(v, get("/nowhere")), v.Node)
	}
	require.Nil(t, upstream.received("/shop/denied"))

	forged := map[string][]string{
		"case": {"x-TENANT: forged"}, "repeated": {"X-Tenant: forged", "X-Tenant: forged"}, "folded": {"X-Tenant:", " forged", "\tforged"},
		"connection": {"Connection: X-Tenant, Authorization", "X-Tenant: forged"}, "space": {"X-Tenant : forged"}, "none": nil,
	}
	for name, lines := range forged {
		t.Run("workspace header, "+name, func(t *testing.T) {
			for _, v := range d.vms {
				path := "/" + name + "/" + v.Node
				for route, want := range map[string][]string{"/shop": {"Acme_Co"}, "/open": nil} {
					header := lines
					if want != nil {
						header = append([]string{key + "1"}, lines...)
					}
					status := send(v, get(route+path, header...))
					received := upstream.received(route + path)
					if status == http.StatusBadRequest {
						require.Nil(t, received)
						continue
					}
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, want, received["X-Tenant"])
					require.NotContains(t, fmt.Sprint(received), "forged")
					require.NotContains(t, fmt.Sprint(received), "proof-key")
				}
			}
		})
	}
	t.Run("a key is replaced", func(*testing.T) {
		putKey(2, "proof-key-2")
		d.awaitStatus(http.StatusOK, get("/shop", key+"2"))
		d.awaitStatus(http.StatusUnauthorized, get("/shop", key+"1"))
	})
	t.Run("ignored entries and no keys are shown", func(t *testing.T) {
		for _, v := range d.vms {
			status := d.status(v)
			require.Len(t, status.GetIgnoredEntries(), 2, v.Node)
			shown, err := os.ReadFile(filepath.Join(d.directory, v.Node+".log"))
			require.NoError(t, err)
			require.NotContains(t, string(shown)+status.String(), "proof-key")
			for _, path := range []string{"/metrics", "/v1/settings?prefix=/"} {
				request, err := http.NewRequest(http.MethodGet, "http://"+v.AdminAddress().String()+path, http.NoBody)
				require.NoError(t, err)
				request.Header.Set("Authorization", "Bearer "+adminToken)
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.NotContains(t, string(body), "proof-key")
			}
		}
	})
	t.Run("without workspaces no key is needed", func(*testing.T) {
		text := fmt.Sprintf(workspaceConfig, 3, "")
		d.platform.PutRow("op", "config", []byte(strings.ReplaceAll(text, `"tenants"`, `"colours"`)))
		d.awaitStatus(http.StatusOK, get("/shop"))
	})
}

// Guards against keys that are denied for good, or accepted although they may have been revoked, by nodes whose relays are cut off from the
// platform.
func TestKeysWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, settings string
		valid          int
	}{
		{"strict revocation", `"strict_revocation": true, `, http.StatusServiceUnavailable},
		{"otherwise", "", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startWorkspaceDeployment(t, &recorder{headers: map[string]http.Header{}}, tt.settings)
			d.platform.PutRow("op", "config", fmt.Appendf(nil, workspaceConfig, 1, "proof-key-1"))
			d.awaitStatus(http.StatusOK, get("/shop", key+"1"))
			d.awaitStatus(http.StatusUnauthorized, get("/shop", key+"2"))
			d.platform.SetFaults(emul.PlatformFaults{Down: true})
			d.awaitStatus(http.StatusServiceUnavailable, get("/shop", key+"2"))
			d.awaitStatus(tt.valid, get("/shop", key+"1"))
			d.awaitStatus(http.StatusOK, get("/open"))
			d.platform.SetFaults(emul.PlatformFaults{})
			d.awaitStatus(http.StatusOK, get("/shop", key+"1"))
			d.awaitStatus(http.StatusUnauthorized, get("/shop", key+"2"))
		})
	}
}
