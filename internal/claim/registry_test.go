package claim

import (
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/store"
)

var noon = time.Date(2027, 1, 1, 12, 0, 0, 0, time.UTC)

func newBooks(t *testing.T, clocks ...time.Time) (*emul.Platform, []*Registry) {
	t.Helper()
	platform := emul.NewPlatform(emul.PlatformConfig{Seed: 3})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	books := make([]*Registry, 0, len(clocks))
	for _, clock := range clocks {
		books = append(books, New(Config{Store: store.New(store.Config{Address: address}), Now: func() time.Time { return clock }}))
	}
	return platform, books
}

func requireDuplicate(t *testing.T, b *Registry, key string) {
	t.Helper()
	_, err := b.Acquire(t.Context(), "team", "route", key, "other")
	var duplicate *DuplicateError
	require.ErrorAs(t, err, &duplicate)
}

func TestKeyIsTakenOnce(t *testing.T) {
	t.Run("by racing nodes with answers lost", func(t *testing.T) {
		platform, books := newBooks(t, noon, noon, noon, noon)
		platform.SetFaults(emul.PlatformFaults{LoseAnswers: 0.4})
		for k := range 20 {
			var winners atomic.Int32
			var wait sync.WaitGroup
			for i, b := range books {
				wait.Go(func() {
					if _, err := b.Acquire(t.Context(), "team", "route", strconv.Itoa(k), strconv.Itoa(i)); err == nil {
						winners.Add(1)
					}
				})
			}
			wait.Wait()
			require.LessOrEqual(t, winners.Load(), int32(1))
		}
	})
	t.Run("by nodes whose clocks are a day apart", func(t *testing.T) {
		_, books := newBooks(t, noon, noon.Add(day), noon.Add(-day))
		_, err := books[0].Acquire(t.Context(), "team", "route", "key", "one")
		require.NoError(t, err)
		requireDuplicate(t, books[1], "key")
		requireDuplicate(t, books[2], "key")
	})
	t.Run("and free again when its call has not run", func(t *testing.T) {
		_, books := newBooks(t, noon)
		claim, err := books[0].Acquire(t.Context(), "team", "route", "key", "one")
		require.NoError(t, err)
		requireDuplicate(t, books[0], "key")
		claim.Release()
		_, err = books[0].Acquire(t.Context(), "team", "route", "key", "two")
		require.NoError(t, err)
	})
	t.Run("never while the platform is down", func(t *testing.T) {
		platform, books := newBooks(t, noon)
		platform.SetFaults(emul.PlatformFaults{Down: true})
		_, err := books[0].Acquire(t.Context(), "team", "route", "key", "one")
		var unrecorded *UnrecordedError
		require.ErrorAs(t, err, &unrecorded)
	})
}

func TestOldKeysAreTrimmed(t *testing.T) {
	_, books := newBooks(t, noon, noon.Add((keptDays+1)*day))
	_, err := books[0].Acquire(t.Context(), "team", "route", "old", "one")
	require.NoError(t, err)
	_, err = books[1].Acquire(t.Context(), "team", "route", "new", "one")
	require.NoError(t, err)
	more, err := books[1].DeleteExpired(t.Context())
	require.NoError(t, err)
	require.False(t, more)
	requireDuplicate(t, books[1], "new")
	_, err = books[0].Acquire(t.Context(), "team", "route", "old", "two")
	require.NoError(t, err)
}
