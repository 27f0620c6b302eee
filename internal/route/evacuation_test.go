package route

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against calls that are sent to an evacuated data centre, the own one included, whatever the load elsewhere.
func TestEvacuatedDataCentresAreNotPicked(t *testing.T) {
	now := time.Now()
	evacuated := map[string]bool{}
	for _, policy := range []string{PolicyLeastLoaded, PolicyRoundRobin} {
		p := newPicker(upstreams("r-1", "r-2", "s-1"), &now)
		p.cfg.Policy, p.cfg.Evacuated = policy, func() map[string]bool { return evacuated }
		key := subsetKey{service: "shop", version: "v1"}
		for _, tt := range []struct {
			evacuated map[string]bool
			want      []string
		}{
			{nil, []string{"r-1", "r-2", "s-1"}},
			{map[string]bool{"r-1": true, "unknown": true}, []string{"r-2", "s-1"}},
			{map[string]bool{"r-1": true, "r-2": true}, []string{"s-1"}},
			{map[string]bool{"r-1": true, "r-2": true, "s-1": true}, nil},
			{map[string]bool{}, []string{"r-1", "r-2", "s-1"}},
		} {
			evacuated = tt.evacuated
			picked := map[string]bool{}
			for range 6 {
				if c := p.pick(key, nil); c != nil {
					picked[c.upstream.DataCentre] = true
				}
			}
			for _, s := range p.stats {
				s.inFlight = 0
			}
			require.Len(t, picked, len(tt.want), "%v", tt.evacuated)
			for _, c := range tt.want {
				require.Contains(t, picked, c)
			}
			require.Equal(t, len(tt.want) == 0, p.isEvacuated(key))
		}
		require.False(t, newPicker(nil, &now).isEvacuated(key), "no upstream at all")
	}
}

// While all data centres are evacuated, callers are told truly that their call has not run, and not to return at once.
func TestCallsAreRefusedWhileAllDataCentresAreEvacuated(t *testing.T) {
	f := newFixture(t)
	f.proxy.cfg.Picker.cfg.Evacuated = func() map[string]bool { return map[string]bool{"dc": true} }
	response := httptest.NewRecorder()
	f.proxy.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/write", nil))
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Equal(t, OutcomeNotRun, response.Header().Get(HeaderOutcome))
	require.Contains(t, response.Body.String(), refusalKind(wirepb.Refusal_REFUSAL_EVACUATED))
	seconds, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, evacuatedRetryDelay.Seconds())
	require.Zero(t, f.calls.Load())
}
