package tree

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Evacuations must survive changes of other entries and a snapshot, or a node that restarts would send calls to an evacuated data centre.
func TestEvacuations(t *testing.T) {
	requireEvacuated := func(s *State, want map[string]bool) {
		t.Helper()
		require.Equal(t, want, s.Evacuated)
		again, err := FromSnapshot(s.Snapshot())
		require.NoError(t, err)
		require.Equal(t, want, again.Evacuated)
		require.Equal(t, s.MoveOrderVersions, again.MoveOrderVersions)
	}
	s := applyEdits(t, shopState(t), Administrator, set(EvacuationPath("west-1"), `{}`))
	requireEvacuated(s, map[string]bool{"west-1": true})
	s = applyEdits(t, s, Administrator, set(EvacuationPath("unknown"), `{}`))
	s = applyEdits(t, s, Administrator, set(LimitsPath, `{"header_bytes": 1000}`))
	s = applyEdits(t, s, "shop", set(shopService, `{"version": "v1", "cold_rate": 13}`))
	requireEvacuated(s, map[string]bool{"west-1": true, "unknown": true})
	require.InDelta(t, 13, s.Services["shop"].ColdRate, 0)
	s = applyEdits(t, s, Administrator, &wirepb.Edit{Path: EvacuationPath("unknown"), Delete: true})
	requireEvacuated(s, map[string]bool{"west-1": true})
	require.Equal(t, 1000, s.Limits.MaxHeaderBytes)
	change := &wirepb.Change{
		Revision: s.Revision + 1, Puts: []*wirepb.Put{{Path: EvacuationPath("west-1"), Delete: true}},
		Order: &wirepb.OrderMark{Row: "evacuate/west-1", Version: 7},
	}
	s, err := s.Apply(change)
	require.NoError(t, err)
	requireEvacuated(s, map[string]bool{})
	require.Equal(t, map[string]uint64{"evacuate/west-1": 7}, s.MoveOrderVersions)

	for _, name := range []string{"", "West", "a/b", "-a", strings.Repeat("a", 64)} {
		_, err := ParsePath(EvacuationPath(name))
		var failure *PathError
		require.ErrorAs(t, err, &failure, name)
	}
	_, err = s.NewChange("shop", []*wirepb.Edit{set(EvacuationPath("west-1"), `{}`)}, now)
	var access *AccessError
	require.ErrorAs(t, err, &access, "only an administrator evacuates")
}
