package emul

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/platform"
)

// Guards against a drill that leaves newer rows, does not repeat versions, or lets a feed go on from a version that the store does not have.
func TestRestore(t *testing.T) {
	p := NewPlatform(PlatformConfig{NamesEra: true})
	p.PutRow(platform.OperatorTable, "a", []byte("1"))
	p.putObject("o", nil)
	copied := p.Copy()
	p.PutRow(platform.OperatorTable, "a", []byte("2"))
	p.putObject("newer", nil)
	p.DeleteRow(platform.OperatorTable, "b")
	lost := p.Restore(copied)
	require.Equal(t, "1", string(p.Row(platform.OperatorTable, "a").GetValue()))
	require.Equal(t, []string{"o"}, p.ObjectNames())
	get := func(request platform.StoreRequest) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(request.Method, request.Target, nil))
		era, named, err := platform.StoreEra(w.Header())
		require.NoError(t, err)
		require.True(t, named)
		require.Equal(t, uint64(1), era)
		return w
	}
	require.Equal(t, http.StatusGone, get(platform.FeedRequest(platform.OperatorTable, 2, 0)).Code)
	require.Equal(t, http.StatusOK, get(platform.FeedRequest(platform.OperatorTable, 1, 0)).Code)
	p.Rewrite(lost)
	require.Equal(t, uint64(2), p.Row(platform.OperatorTable, "a").GetVersion())
	require.Equal(t, "2", string(p.Row(platform.OperatorTable, "a").GetValue()))
}
