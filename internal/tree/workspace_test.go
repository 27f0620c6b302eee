package tree

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

func putWorkspace(name string, keys ...string) *wirepb.Put {
	hashes := ""
	for i, key := range keys {
		if i > 0 {
			hashes += ", "
		}
		hash := HashKey(key)
		hashes += fmt.Sprintf("%q", hex.EncodeToString(hash[:]))
	}
	return &wirepb.Put{Path: "/teams/mesh/workspaces/" + name, Value: `{"key_sha256": [` + hashes + `], "rate": 2.5, "burst": 7}`}
}

func applyPuts(t *testing.T, s *State, puts ...*wirepb.Put) *State {
	t.Helper()
	next, err := s.Apply(&wirepb.Change{Revision: s.Revision + 1, Puts: puts})
	require.NoError(t, err)
	return next
}

// Guards against a key that identifies the wrong workspace after keys were added, removed or taken over by another one.
func TestWorkspaceByKey(t *testing.T) {
	requireOwners := func(s *State, owners map[string]string) {
		t.Helper()
		for key, owner := range owners {
			name := ""
			if w := s.WorkspaceByKey(HashKey(key)); w != nil {
				name = w.Name
			}
			require.Equal(t, owner, name, key)
		}
	}
	s := applyPuts(t, EmptyState(), putWorkspace("a", "1", "2", "2"), putWorkspace("b", "3"), putWorkspace("none"))
	requireOwners(s, map[string]string{"1": "a", "2": "a", "3": "b", "4": "", "": ""})
	require.Equal(t, Workspace{Name: "a", Team: "mesh", Rate: 2.5, Burst: 7, keys: s.Workspaces["a"].keys}, *s.Workspaces["a"])
	shared := applyPuts(t, s, putWorkspace("b", "2", "3"))
	requireOwners(shared, map[string]string{"1": "a", "2": "", "3": "b"})
	requireOwners(s, map[string]string{"2": "a"})
	requireOwners(applyPuts(t, shared, putWorkspace("a", "1")), map[string]string{"1": "a", "2": "b", "3": "b"})
	removed := applyPuts(t, shared, &wirepb.Put{Path: "/teams/mesh/workspaces/b", Delete: true})
	requireOwners(removed, map[string]string{"1": "a", "2": "a", "3": ""})
	require.NotContains(t, removed.Workspaces, "b")
}

// Guards against nodes with little processor time that decode all routes, or all other workspaces, for each change of a key or a service.
func TestChangeOfAWorkspaceCostsNoMoreWithMoreEntries(t *testing.T) {
	allocations := func(entries int, change *wirepb.Put) float64 {
		state, _ := newState(t, entries), 0
		for n := range entries / 10 {
			state = applyPuts(t, state, putWorkspace(fmt.Sprintf("w-%d", n), fmt.Sprint(n)))
		}
		return testing.AllocsPerRun(5, func() {
			_, err := state.Apply(&wirepb.Change{Revision: state.Revision + 1, Puts: []*wirepb.Put{change}})
			require.NoError(t, err)
		})
	}
	workspace := putWorkspace("w-1", "new")
	require.Less(t, allocations(2000, workspace), 2*allocations(200, workspace))
	service := &wirepb.Put{Path: "/teams/mesh/services/more", Value: "{}"}
	withWorkspaces, withoutWorkspaces := allocations(200, service), 0.0
	state := newState(t, 200)
	withoutWorkspaces = testing.AllocsPerRun(5, func() {
		_, err := state.Apply(&wirepb.Change{Revision: state.Revision + 1, Puts: []*wirepb.Put{service}})
		require.NoError(t, err)
	})
	require.Less(t, withWorkspaces, withoutWorkspaces+20)
}

// Guards against values that grant access or break the tree.
func TestInvalidWorkspaces(t *testing.T) {
	for _, value := range []string{
		`{"key_sha256": ["short"]}`, `{"rate": -1}`, `{"rate": "NaN"}`, `{"rate": 1e7}`, `{"burst": -1}`, `{"priority": "high"}`, `[]`,
	} {
		_, _, err := Decode("/teams/mesh/workspaces/a", value)
		var invalid *ValueError
		require.ErrorAs(t, err, &invalid, value)
	}
	s := applyPuts(t, EmptyState(), putWorkspace("a", "1"))
	_, err := s.Apply(&wirepb.Change{Revision: 2, Puts: []*wirepb.Put{{Path: "/teams/other/workspaces/a", Value: "{}"}}})
	var conflict *ValueError
	require.ErrorAs(t, err, &conflict)
}
