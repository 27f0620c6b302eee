package source

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

func evacuated(s *tree.State) []string { return slices.Sorted(maps.Keys(s.Evacuated)) }

func (f *fixture) evacuate(dataCentre string) {
	f.platform.PutRow(platform.OperatorTable, platform.EvacuationKey(dataCentre), []byte("{}"))
}

func (f *fixture) endEvacuation(dataCentre string) {
	f.platform.DeleteRow(platform.OperatorTable, platform.EvacuationKey(dataCentre))
}

// Guards against an evacuation that is not started or ended when the operator orders it.
func TestEvacuationsAreImported(t *testing.T) {
	f := newFixture(t)
	f.evacuate("west-1")
	log := f.start(0)
	requireEvacuated := func(t *testing.T, want ...string) {
		t.Helper()
		f.waitFor(log, "evacuations", func(s *tree.State) bool { return slices.Equal(want, evacuated(s)) })
	}
	time.Sleep(2 * batchDelay)
	require.Zero(t, log.State().Revision, "an evacuation must not be the first configuration of the nodes")
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 1, 1))
	requireEvacuated(t, "west-1")
	t.Run("a second one adds to the first", func(t *testing.T) {
		f.evacuate("nowhere")
		requireEvacuated(t, "nowhere", "west-1")
	})
	t.Run("a configuration leaves them in force", func(t *testing.T) {
		f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 2, 1))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		requireEvacuated(t, "nowhere", "west-1")
	})
	t.Run("a deleted row ends one", func(t *testing.T) {
		f.endEvacuation("nowhere")
		requireEvacuated(t, "west-1")
	})
	t.Run("a missing row ends one when the history has expired", func(t *testing.T) {
		f.platform.SetFaults(emul.PlatformFaults{Down: true})
		f.endEvacuation("west-1")
		f.evacuate("west-2")
		f.platform.ExpireHistory()
		f.platform.SetFaults(emul.PlatformFaults{})
		requireEvacuated(t, "west-2")
	})
	t.Run("one that was ended starts again", func(t *testing.T) {
		f.evacuate("west-1")
		requireEvacuated(t, "west-1", "west-2")
	})
	t.Run("malformed rows are counted and ignored", func(t *testing.T) {
		require.Zero(t, f.invalidRows.Load())
		for _, key := range []string{"evacuate/", "evacuate/West", "evacuate/a/b"} {
			f.platform.PutRow(platform.OperatorTable, key, []byte("{}"))
		}
		for _, value := range []string{"", "null", "[]", "true", "{"} {
			before := f.invalidRows.Load()
			f.platform.PutRow(platform.OperatorTable, "evacuate/west-1", []byte(value))
			require.Eventually(t, func() bool { return f.invalidRows.Load() > before }, waitTimeout, pollInterval, value)
		}
		require.Eventually(t, func() bool { return f.invalidRows.Load() == 8 }, waitTimeout, pollInterval)
		requireEvacuated(t, "west-1", "west-2")
	})
}

// An importer that starts finds the evacuation in the tree but no row of it. One that an administrator ordered stays in force.
func TestEvacuationWhoseRowIsGoneWhenTheImporterStarts(t *testing.T) {
	f := newFixture(t)
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 1, 1))
	f.evacuate("west-1")
	first := f.start(0)
	f.waitFor(first, "evacuation", func(s *tree.State) bool { return s.Evacuated["west-1"] })
	_, err := first.Submit(t.Context(), "by hand", func(s *tree.State) (*wirepb.Change, error) {
		return s.NewChange(tree.Administrator, []*wirepb.Edit{{Path: tree.EvacuationPath("west-2"), Value: "{}"}}, time.Now())
	})
	require.NoError(t, err)
	i := New(Config{Logger: zap.NewNop(), Now: time.Now, Log: first, Rank: func() int { return 0 }, OnInvalidRow: func() {}})
	version := f.configRowVersion() + 100
	i.fullRead = &fullRead{present: map[string]bool{"config": true}, version: version}
	i.importAll(t.Context())
	require.Equal(t, []string{"west-2"}, evacuated(first.State()))
	require.Equal(t, version, first.State().MoveOrderVersions["evacuate/west-1"])
}

// Guards against an importer that lags behind and restores an evacuation that has been ended, or ends one that was ordered again.
func TestLaggingImporterRestoresNoOlderEvacuation(t *testing.T) {
	f := newFixture(t)
	f.platform.PutRow(platform.OperatorTable, "config", encodeConfig(t, 1, 1))
	log := f.start(0)
	f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion > 0 })
	lagging := New(Config{Logger: zap.NewNop(), Now: time.Now, Log: log, Rank: func() int { return 0 }, OnInvalidRow: func() {}})
	steps := []struct {
		name    string
		version uint64
		deleted bool
		want    []string
	}{
		{"ordered", 50, false, []string{"west-1"}},
		{"ended", 52, true, nil},
		{"ordered earlier", 51, false, nil},
		{"ordered again", 54, false, []string{"west-1"}},
		{"ended earlier", 53, true, []string{"west-1"}},
		{"ended", 55, true, nil},
	}
	for _, s := range steps {
		row := &wirepb.Row{Table: platform.OperatorTable, Key: platform.EvacuationKey("west-1"), Value: []byte("{}"), Version: s.version, Deleted: s.deleted}
		lagging.rows = map[string]*wirepb.Row{row.GetKey(): row}
		lagging.importAll(t.Context())
		require.Equal(t, s.want, evacuated(log.State()), "%s at version %d", s.name, s.version)
	}
}
