package depart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/emul"
)

// Guards against an acknowledged departure that is forgotten because the store came back from a copy without it.
func TestDeparturesAreWrittenAgain(t *testing.T) {
	f := newFixtureFor(t, emul.PlatformConfig{Seed: 1, NamesEra: true})
	l := f.ledger("a")
	old := departure("i-0", noon, noon)
	l.Record(old)
	f.now = noon.Add(recentDuration + time.Second)
	copied := f.platform.Copy()
	first, second := departure("i-1", noon, noon), departure("i-2", noon, noon)
	l.Record(first)
	l.Record(second)
	require.True(t, l.HasRecent())
	require.Len(t, l.recent, 2, "the old departure is remembered")
	f.platform.Restore(copied)
	requireLoaded(t, l, old)
	require.Eventually(t, func() bool {
		have, err := l.Load()
		return err == nil && len(have) == 3
	}, 5*time.Second, 50*time.Millisecond)
	requireLoaded(t, l, old, first, second)
}
