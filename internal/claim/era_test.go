package claim

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

const rewriteLimit = 3 * time.Second

// Guards against a call that runs a second time because the copy from which the store came back lacks its key.
func TestKeysAreWrittenAgain(t *testing.T) {
	now := noon
	platform, registries := newRegistriesFor(t, emul.PlatformConfig{Seed: 3, NamesEra: true}, func() time.Time { return now }, 2)
	acquire := func(r *Registry, key string) error {
		_, err := r.Acquire(t.Context(), "team", "route", key, "some")
		return err
	}
	_, err := registries[0].Acquire(t.Context(), "team", "route", "before", "other")
	require.NoError(t, err)
	copied := platform.Copy()
	const keys = rewriteBatchSize + 5
	for k := range keys {
		require.NoError(t, acquire(registries[0], strconv.Itoa(k)))
	}
	released, err := registries[0].Acquire(t.Context(), "team", "route", "released", "one")
	require.NoError(t, err)
	released.Release()
	platform.Restore(copied)
	// The response that names the new era belongs to a key that another node may have recorded.
	var hold *EraHoldError
	require.ErrorAs(t, acquire(registries[1], "0"), &hold)
	require.ErrorAs(t, acquire(registries[1], "1"), &hold)
	require.ErrorAs(t, acquire(registries[0], "new"), &hold)
	count := func() int {
		rows, err := registries[1].cfg.Store.Range(t.Context(), keyPrefix, "", 2*keys)
		require.NoError(t, err)
		return len(rows)
	}
	require.Eventually(t, func() bool { return count() == keys+1 }, rewriteLimit, 10*time.Millisecond, "keys were not written again")
	now = now.Add(holdDuration)
	for k := range keys {
		requireDuplicate(t, registries[1], strconv.Itoa(k))
	}
	requireDuplicate(t, registries[1], "before")
	require.NoError(t, acquire(registries[1], "released"))
	require.NoError(t, acquire(registries[0], "new"))
}

// Guards against memory of keys that grows, or that is kept although the store never comes back older.
func TestOldKeysAreForgotten(t *testing.T) {
	now := noon
	_, registries := newRegistriesFor(t, emul.PlatformConfig{NamesEra: true}, func() time.Time { return now }, 1)
	for k := range 3 * pruneInterval {
		_, err := registries[0].Acquire(t.Context(), "team", "route", strconv.Itoa(k), "one")
		require.NoError(t, err)
		now = now.Add(recentDuration / pruneInterval)
	}
	require.LessOrEqual(t, len(registries[0].recent.claims), 2*pruneInterval)
	_, registries = newRegistries(t, noon)
	_, err := registries[0].Acquire(t.Context(), "team", "route", "key", "one")
	require.NoError(t, err)
	require.Empty(t, registries[0].recent.claims)
}
