package oplog

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
)

const (
	eraTimeout      = 10 * time.Second
	eraPollInterval = 10 * time.Millisecond
)

func namedPath(name string) string { return "/teams/shop/services/" + name }

// setNamed sets one service, so that each change leaves an entry of its own.
func setNamed(name string) BuildFunc { return setValue(name, `{"version": "v1"}`) }

func requireEntries(t *testing.T, state *tree.State, names ...string) {
	t.Helper()
	for _, n := range names {
		require.NotNil(t, state.Entry(namedPath(n)), "accepted change %s is not in force at revision %d", n, state.Revision)
	}
}

func requireEventuallySynced(t *testing.T, l *Log, names ...string) {
	t.Helper()
	require.Eventually(t, func() bool { return l.Sync(t.Context()) == nil }, eraTimeout, eraPollInterval)
	requireEntries(t, l.State(), names...)
}

// Guards against a store that comes back at revision N-2 and makes a node that committed N lose it, or give N out again for another change.
func TestStoreThatComesBackOlder(t *testing.T) {
	platform, address := newEraPlatform(t)
	l := newLog(t, address)
	var copied *emul.StoreCopy
	for i := range 6 {
		if i == 4 {
			copied = platform.Copy()
		}
		_, err := l.Submit(t.Context(), strconv.Itoa(i), setNamed("s"+strconv.Itoa(i)))
		require.NoError(t, err)
	}
	platform.Restore(copied)
	revision, err := l.Submit(t.Context(), "after", setNamed("after"))
	require.NoError(t, err)
	require.Greater(t, revision, uint64(6), "the revision was given out before")
	all := []string{"s0", "s1", "s2", "s3", "s4", "s5", "after"}
	requireEntries(t, l.State(), all...)
	fresh := newLog(t, address)
	requireEventuallySynced(t, fresh, all...)
	require.Equal(t, l.State().Revision, fresh.State().Revision)
}

// Guards against a head or a revision that repeats when the store comes back once more before all nodes know the first return.
func TestEraRevisions(t *testing.T) {
	tests := []struct {
		known, eras uint64
		jitter      float64
		revision    uint64
	}{
		{10, 1, 0, 10 + 1024},
		{10, 1, 1, 10 + 1024 + 1<<20 - 1},
		{10, 2, 0, 10 + 1024 + 1024 + 1<<20},
		{10, 0, 0, 10 + 1024},
	}
	for _, tt := range tests {
		require.Equal(t, tt.revision, eraRevision(tt.known, tt.eras, tt.jitter))
	}
	// A node that knows only era 0 stays above one that wrote 1,000 changes in era 1.
	require.Greater(t, eraRevision(10, 2, 0), eraRevision(10, 1, 1)+1000)
}

// Guards against a store that names no era and gets other or more requests than before eras were known.
func TestNoEraCostsNothing(t *testing.T) {
	platform, address := newPlatform(t)
	l := newLog(t, address)
	for i := range 5 {
		_, err := l.Submit(t.Context(), strconv.Itoa(i), setService(i))
		require.NoError(t, err)
	}
	reads, writes := platform.OperationCounts()
	require.Equal(t, []uint64{5, 5}, []uint64{reads, writes})
	require.Equal(t, uint64(5), l.State().Revision)
	row := platform.SystemRow("", headKey)
	require.Equal(t, []byte{8, 5}, row.GetValue())
}

// gossip brings the newest state to all logs, as links do.
func gossip(logs ...*Log) {
	newest := logs[0]
	for _, l := range logs {
		if l.State().Revision > newest.State().Revision {
			newest = l
		}
	}
	for _, l := range logs {
		if changes, complete := newest.ChangesSince(l.State().Revision); complete {
			l.ApplyChanges(changes, Origin{Node: "other"})
		} else {
			l.ApplySnapshot(newest.State().Snapshot())
		}
	}
}

// Guards against a node that committed a change, which no other node knows, and takes over a log without it.
func TestLostChangesAreSubmittedAgain(t *testing.T) {
	platform, address := newEraPlatform(t)
	first, second := newLog(t, address), newLog(t, address)
	submit := func(l *Log, name string, build BuildFunc) {
		_, err := l.Submit(t.Context(), name, build)
		require.NoError(t, err)
	}
	submit(first, "a", setNamed("a"))
	require.NoError(t, second.Sync(t.Context()))
	copied := platform.Copy()
	for _, n := range []string{"b", "c", "d"} {
		submit(first, n, setNamed(n))
	}
	submit(first, "b again", setValue("b", `{"version": "v1", "cold_start": "2s"}`))
	platform.Restore(copied)
	// The second node establishes the log without what the first one committed, and changes one of the paths.
	var reestablishing *ReestablishingError
	require.ErrorAs(t, second.Sync(t.Context()), &reestablishing)
	require.NoError(t, second.establish(t.Context()))
	submit(second, "c, other", setValue("c", `{"version": "v1", "cold_start": "1s"}`))
	gossip(first, second)
	names := []string{"a", "b", "c", "d"}
	require.Eventually(t, func() bool {
		return first.Sync(t.Context()) == nil && first.State().Entry(namedPath("d")) != nil && !first.hasEraWork() && !first.era.following.Load()
	}, eraTimeout, eraPollInterval)
	requireEventuallySynced(t, second, names...)
	require.Contains(t, second.State().Entry(namedPath("b")).GetValue(), "2s")
	require.Contains(t, second.State().Entry(namedPath("c")).GetValue(), "1s", "a later change was taken back")
	require.Equal(t, first.State().Revision, second.State().Revision)
	t.Run("a repeated operation is not committed again", func(t *testing.T) {
		before := first.State().Revision
		submit(first, "b", setNamed("b"))
		submit(first, "a", setNamed("a"))
		require.Equal(t, before, first.State().Revision)
	})
}

// Guards against a node that restarts during a drill and at once goes back to the older configuration of the copy, although links are about
// to bring the newer one, and against one that never starts since there are no others.
func TestRestartDuringADrill(t *testing.T) {
	platform, address := newEraPlatform(t)
	l := newLog(t, address)
	_, err := l.Submit(t.Context(), "a", setNamed("a"))
	require.NoError(t, err)
	copied := platform.Copy()
	platform.Restore(copied)
	now := time.Now()
	restarted := New(Config{Store: store.New(store.Config{Address: address}), Logger: zap.NewNop(), Now: func() time.Time { return now }})
	var reestablishing *ReestablishingError
	require.ErrorAs(t, restarted.Sync(t.Context()), &reestablishing)
	require.Zero(t, restarted.State().Revision)
	at, pending := restarted.establishAt()
	require.True(t, pending)
	require.GreaterOrEqual(t, at.Sub(now), incompleteFactor*establishDelay)
	now = now.Add(bootstrapDelay)
	require.ErrorAs(t, restarted.Sync(t.Context()), &reestablishing)
	requireEntries(t, restarted.State(), "a")
	gossip(restarted, l)
	restarted.noteLinked()
	at, _ = restarted.establishAt()
	require.Less(t, at.Sub(now), incompleteFactor*establishDelay)
}
