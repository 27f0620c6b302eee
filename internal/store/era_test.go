package store

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against a client that believes a response of an older era, or one whose era cannot be read.
func TestEras(t *testing.T) {
	era := ""
	status := http.StatusOK
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if era != "" {
			w.Header().Set("Store-Era", era)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"rows":[]}`))
	}))
	var notified []uint64
	c.OnEra(func(era uint64) { notified = append(notified, era) })
	tests := []struct {
		name     string
		era      string
		status   int
		ignored  bool
		newest   uint64
		notified []uint64
	}{
		{"without the header", "", http.StatusOK, false, 0, nil},
		{"era 0", "0", http.StatusOK, false, 0, nil},
		{"first era", "1", http.StatusOK, false, 1, []uint64{1}},
		{"same era", "1", http.StatusOK, false, 1, []uint64{1}},
		{"malformed", "2x", http.StatusOK, false, 1, []uint64{1}},
		{"several eras on", "4", http.StatusOK, false, 4, []uint64{1, 4}},
		{"older", "3", http.StatusOK, true, 4, []uint64{1, 4}},
		{"no header any more", "", http.StatusOK, true, 4, []uint64{1, 4}},
		{"unavailable and without the header", "", http.StatusServiceUnavailable, true, 4, []uint64{1, 4}},
		{"back", "4", http.StatusOK, false, 4, []uint64{1, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			era, status = tt.era, tt.status
			_, err := c.Range(t.Context(), "a", "", 1)
			require.Equal(t, tt.ignored, err != nil)
			require.Equal(t, !tt.ignored, c.IsReachable())
			require.Equal(t, tt.newest, c.Era())
			require.Equal(t, tt.notified, notified)
		})
	}
	require.Equal(t, uint64(1), c.Counters.MalformedEras.Load())
	require.Equal(t, uint64(2), c.Counters.OlderEras.Load())
}

// Guards against a transaction that takes effect in, or is acknowledged by, another era than it is meant for.
func TestTransactionsOfAnEra(t *testing.T) {
	era, requests := "1", 0
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.Header().Set("Store-Era", era)
	}))
	committed, err := c.Transact(t.Context(), &wirepb.Transaction{})
	require.NoError(t, err)
	require.True(t, committed)
	committed, err = c.TransactIn(t.Context(), 1, &wirepb.Transaction{})
	require.NoError(t, err)
	require.True(t, committed)
	era = "2"
	var unknown *UnknownOutcomeError
	_, err = c.TransactIn(t.Context(), 1, &wirepb.Transaction{})
	require.ErrorAs(t, err, &unknown)
	require.True(t, IsOtherEra(err))
	var unavailable *UnavailableError
	_, err = c.TransactIn(t.Context(), 1, &wirepb.Transaction{})
	require.ErrorAs(t, err, &unavailable)
	require.True(t, IsOtherEra(err))
	require.Equal(t, 3, requests)
}
