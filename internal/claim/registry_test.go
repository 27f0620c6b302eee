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

func newRegistries(t *testing.T, clocks ...time.Time) (*emul.Platform, []*Registry) {
	t.Helper()
	var registries []*Registry
	platform, address := startPlatform(t, emul.PlatformConfig{Seed: 3})
	for _, clock := range clocks {
		registries = append(registries, New(Config{Store: store.New(store.Config{Address: address}), Now: func() time.Time { return clock }}))
	}
	return platform, registries
}

// newRegistriesFor returns registries with one clock and clients of their own.
func newRegistriesFor(t *testing.T, cfg emul.PlatformConfig, now func() time.Time, count int) (*emul.Platform, []*Registry) {
	t.Helper()
	var registries []*Registry
	platform, address := startPlatform(t, cfg)
	for range count {
		registries = append(registries, New(Config{Store: store.New(store.Config{Address: address}), Now: now}))
	}
	return platform, registries
}

func startPlatform(t *testing.T, cfg emul.PlatformConfig) (*emul.Platform, netip.AddrPort) {
	t.Helper()
	platform := emul.NewPlatform(cfg)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

func requireDuplicate(t *testing.T, r *Registry, key string) {
	t.Helper()
	_, err := r.Acquire(t.Context(), "team", "route", key, "other")
	var duplicate *DuplicateError
	require.ErrorAs(t, err, &duplicate)
}

func TestKeyIsAcquiredOnce(t *testing.T) {
	t.Run("by concurrent nodes when responses are lost", func(t *testing.T) {
		platform, registries := newRegistries(t, noon, noon, noon, noon)
		platform.SetFaults(emul.PlatformFaults{ResponseLossRate: 0.4})
		for k := range 20 {
			var winners atomic.Int32
			var group sync.WaitGroup
			for i, r := range registries {
				group.Go(func() {
					if _, err := r.Acquire(t.Context(), "team", "route", strconv.Itoa(k), strconv.Itoa(i)); err == nil {
						winners.Add(1)
					}
				})
			}
			group.Wait()
			require.LessOrEqual(t, winners.Load(), int32(1))
		}
	})
	t.Run("by nodes whose clocks are a day apart", func(t *testing.T) {
		_, registries := newRegistries(t, noon, noon.Add(day), noon.Add(-day))
		_, err := registries[0].Acquire(t.Context(), "team", "route", "key", "one")
		require.NoError(t, err)
		requireDuplicate(t, registries[1], "key")
		requireDuplicate(t, registries[2], "key")
	})
	t.Run("and can be acquired again when its call has not run", func(t *testing.T) {
		_, registries := newRegistries(t, noon)
		claim, err := registries[0].Acquire(t.Context(), "team", "route", "key", "one")
		require.NoError(t, err)
		requireDuplicate(t, registries[0], "key")
		claim.Release()
		_, err = registries[0].Acquire(t.Context(), "team", "route", "key", "two")
		require.NoError(t, err)
	})
	t.Run("never while the platform is down", func(t *testing.T) {
		platform, registries := newRegistries(t, noon)
		platform.SetFaults(emul.PlatformFaults{Down: true})
		_, err := registries[0].Acquire(t.Context(), "team", "route", "key", "one")
		var unrecorded *UnrecordedError
		require.ErrorAs(t, err, &unrecorded)
	})
}

func TestExpiredKeysAreDeleted(t *testing.T) {
	_, registries := newRegistries(t, noon, noon.Add((retentionDays+1)*day))
	_, err := registries[0].Acquire(t.Context(), "team", "route", "old", "one")
	require.NoError(t, err)
	_, err = registries[1].Acquire(t.Context(), "team", "route", "new", "one")
	require.NoError(t, err)
	more, err := registries[1].DeleteExpired(t.Context())
	require.NoError(t, err)
	require.False(t, more)
	requireDuplicate(t, registries[1], "new")
	_, err = registries[0].Acquire(t.Context(), "team", "route", "old", "two")
	require.NoError(t, err)
}
