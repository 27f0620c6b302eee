package local

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against an upstream that receives the workspace that a caller made up, because the caller's node did not know yet that workspaces
// are declared.
func TestUpstreamReceivesWorkspaceFromNodesOnly(t *testing.T) {
	var received http.Header
	headers := DefaultHeaders()
	headers.Workspace = "X-Tenant"
	declared := false
	f := newFixture(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			received = r.Header
		}
	}))
	u := f.leastLoaded(newHead())
	u.headers, u.workspacesDeclared = headers, func() bool { return declared }
	tests := []struct {
		name      string
		declared  bool
		workspace string
		tenant    []string
		key       []string
	}{
		{"with a workspace", true, "acme", []string{"acme"}, nil},
		{"with a workspace that this node does not know", false, "acme", []string{"acme"}, nil},
		{"without a workspace", true, "", nil, nil},
		{"without declared workspaces", false, "", []string{"forged", "forged", "forged"}, []string{"Token key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head := newHead()
			declared, head.Workspace, received = tt.declared, tt.workspace, nil
			for _, name := range []string{"X-Tenant", "x-tenant", "X-TENANT", "X-Tenant ", "X Tenant"} {
				head.Headers = append(head.Headers, &wirepb.Header{Name: name, Value: []byte("forged")})
			}
			head.Headers = append(head.Headers, &wirepb.Header{Name: "authorization", Value: []byte("Token key")})
			require.Equal(t, wirepb.Outcome_OUTCOME_ANSWERED, f.Call(t.Context(), head).GetOutcome())
			require.Equal(t, tt.tenant, received["X-Tenant"])
			require.Equal(t, tt.key, received["Authorization"])
			for name := range received {
				require.NotContains(t, name, " ")
			}
		})
	}
}
