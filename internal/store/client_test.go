package store

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func newClient(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c := New(Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Second})
	t.Cleanup(c.Close)
	return c
}

func putTransaction(keys ...string) *wirepb.Transaction {
	transaction := &wirepb.Transaction{}
	for _, k := range keys {
		transaction.Puts = append(transaction.Puts, &wirepb.Row{Key: k, Value: []byte(k)})
	}
	return transaction
}

func TestRangeReadsAllPages(t *testing.T) {
	c := newClient(t, emul.NewPlatform(emul.PlatformConfig{}).Handler())
	for first := 0; first < 1200; first += 100 {
		var keys []string
		for i := range 100 {
			keys = append(keys, fmt.Sprintf("log/%04d", first+i))
		}
		committed, err := c.Transact(t.Context(), putTransaction(keys...))
		require.NoError(t, err)
		require.True(t, committed)
	}
	_, err := c.Transact(t.Context(), putTransaction("lo", "log", "loh", "other"))
	require.NoError(t, err)
	tests := []struct {
		after string
		limit int
		count int
		first string
	}{
		{"", 5000, 1200, "log/0000"},
		{"", 501, 501, "log/0000"},
		{"log/0099", 500, 500, "log/0100"},
		{"log/1198", 500, 1, "log/1199"},
		{"log/1199", 500, 0, ""},
	}
	for _, tt := range tests {
		rows, err := c.Range(t.Context(), "log/", tt.after, tt.limit)
		require.NoError(t, err)
		require.Len(t, rows, tt.count)
		if tt.count > 0 {
			require.Equal(t, tt.first, rows[0].GetKey())
		}
	}
	row, err := c.Row(t.Context(), "lo")
	require.NoError(t, err)
	require.Equal(t, []byte("lo"), row.GetValue())
	row, err = c.Row(t.Context(), "l")
	require.NoError(t, err)
	require.Nil(t, row)
}

func TestTransactionConditions(t *testing.T) {
	c := newClient(t, emul.NewPlatform(emul.PlatformConfig{}).Handler())
	create := putTransaction("a")
	create.Conditions = []*wirepb.Condition{{Key: "a"}}
	committed, err := c.Transact(t.Context(), create)
	require.NoError(t, err)
	require.True(t, committed)
	committed, err = c.Transact(t.Context(), create)
	require.NoError(t, err)
	require.False(t, committed)
	row, err := c.Row(t.Context(), "a")
	require.NoError(t, err)
	remove := &wirepb.Transaction{Conditions: []*wirepb.Condition{{Key: "a", Version: row.GetVersion()}}, Deletes: []string{"a"}}
	committed, err = c.Transact(t.Context(), remove)
	require.NoError(t, err)
	require.True(t, committed)
	committed, err = c.Transact(t.Context(), create)
	require.NoError(t, err)
	require.True(t, committed, "a deleted row fails the condition that it does not exist")
}

func TestFeed(t *testing.T) {
	platform := emul.NewPlatform(emul.PlatformConfig{})
	c := newClient(t, platform.Handler())
	platform.PutRow("op", "config", []byte("1"))
	rows, err := c.TablePage(t.Context(), "op", "", "", 10)
	require.NoError(t, err)
	require.Len(t, rows.Rows, 1)
	go platform.PutRow("op", "config", []byte("2"))
	changed, err := c.Feed(t.Context(), "op", rows.Version, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []byte("2"), changed.Rows[0].GetValue())
	none, err := c.Feed(t.Context(), "op", changed.Version, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none.Rows)
	platform.PutRow("op", "config", []byte("3"))
	platform.ExpireHistory()
	_, err = c.Feed(t.Context(), "op", rows.Version, time.Minute)
	var expired *HistoryExpiredError
	require.ErrorAs(t, err, &expired)
}

// A write that the platform may have carried out must not end in *UnavailableError, which says that it was not.
func TestWriteErrors(t *testing.T) {
	var unavailable *UnavailableError
	var unknown *UnknownOutcomeError
	tests := []struct {
		name    string
		handler http.HandlerFunc
		target  any
	}{
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, &unavailable},
		{"rate limited", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, &unavailable},
		{"internal server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, &unknown},
		{"connection closed without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, &unknown},
		{"response timeout", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, &unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newClient(t, tt.handler).Transact(t.Context(), putTransaction("a"))
			require.ErrorAs(t, err, tt.target)
		})
	}
}

// Guards against a feed that is never answered and leaves no trace in logs and metrics.
func TestFailedFeedsAreObserved(t *testing.T) {
	for status, observed := range map[int][]string{http.StatusOK: nil, http.StatusInternalServerError: {operationFeed}} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(`{"rows":[]}`))
			}))
			t.Cleanup(server.Close)
			var operations []string
			c := New(Config{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				Observe: func(operation string, _ time.Duration, _ error) { operations = append(operations, operation) },
			})
			t.Cleanup(c.Close)
			_, err := c.Feed(t.Context(), "op", 1, time.Second)
			require.Equal(t, status != http.StatusOK, err != nil)
			require.Equal(t, observed, operations)
		})
	}
}
