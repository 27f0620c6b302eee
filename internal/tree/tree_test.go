package tree

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

var now = time.Date(2027, 1, 1, 12, 0, 0, 0, time.UTC)

const (
	shopService = "/teams/shop/services/shop"
	browseRoute = "/teams/shop/routes/browse"
	shopMove    = "/teams/shop/moves/shop"
)

func set(path, value string) *wirepb.Edit { return &wirepb.Edit{Path: path, Value: value} }

func applyEdits(t *testing.T, s *State, author string, edits ...*wirepb.Edit) *State {
	t.Helper()
	change, err := s.NewChange(author, edits, now)
	require.NoError(t, err)
	next, err := s.Apply(change)
	require.NoError(t, err)
	return next
}

func shopState(t *testing.T) *State {
	t.Helper()
	return applyEdits(t, EmptyState(), Administrator,
		set(browseRoute, `{"path_prefix": "/shop", "service": "shop", "idempotent": true}`),
		set(shopService, `{"version": "v1"}`),
		set("/teams/rival/services/dials", `{"version": "v1"}`),
		set("/teams/rival/routes/dials", `{"path_prefix": "/dials", "service": "dials"}`))
}

func TestInvalidEditsChangeNothing(t *testing.T) {
	var (
		value    *ValueError
		path     *PathError
		access   *AccessError
		limit    *LimitError
		conflict *ConflictError
		missing  *NotFoundError
	)
	tests := []struct {
		name   string
		author string
		edit   *wirepb.Edit
		want   any
	}{
		{"unknown field", "shop", set(shopService, `{"version": "v1", "colour": "red"}`), &value},
		{"wrong type", "shop", set(shopService, `{"version": 5}`), &value},
		{"truncated", "shop", set(shopService, `{"version": "v1"`), &value},
		{"oversized", "shop", set(shopService, strings.Repeat("x", maxValueBytes+1)), &value},
		{"not UTF-8", "shop", set(shopService, "{\"version\": \"\xff\"}"), &value},
		{"no version", "shop", set(shopService, `{}`), &value},
		{"version changed without a move", "shop", set(shopService, `{"version": "v2"}`), &value},
		{"cold start too long", "shop", set(shopService, `{"version": "v1", "cold_start": "660s"}`), &value},
		{"cold rate below zero", "shop", set(shopService, `{"version": "v1", "cold_rate": -1}`), &value},
		{"cold rate not a number", "shop", set(shopService, `{"version": "v1", "cold_rate": "NaN"}`), &value},
		{"route to a missing service", "shop", set(browseRoute, `{"path_prefix": "/shop", "service": "gone"}`), &value},
		{"route to another team's service", "shop", set(browseRoute, `{"path_prefix": "/shop", "service": "dials"}`), &value},
		{"route under another team's prefix", "shop", set(browseRoute, `{"path_prefix": "/dials/mine", "service": "shop"}`), &value},
		{"route with another team's prefix", "shop", set(browseRoute, `{"path_prefix": "/dials", "service": "shop"}`), &value},
		{"idempotent and at most once", "shop", set(browseRoute, `{"path_prefix": "/shop", "service": "shop", "idempotent": true, "at_most_once": true}`), &value},
		{"timeout too short", "shop", set(browseRoute, `{"path_prefix": "/shop", "service": "shop", "timeout": "0.001s"}`), &value},
		{"service name of another team", "shop", set("/teams/shop/services/dials", `{"version": "v1"}`), &value},
		{"move with a deadline in the past", "shop", set(shopMove, `{"version": "v2", "deadline": "2026-01-01T00:00:00Z"}`), &value},
		{"move to the same version", "shop", set(shopMove, `{"version": "v1", "deadline": "2028-01-01T00:00:00Z"}`), &value},
		{"move of a missing service", "shop", set("/teams/shop/moves/gone", `{"version": "v2", "deadline": "2028-01-01T00:00:00Z"}`), &value},
		{"move of another team's service", "shop", set("/teams/shop/moves/dials", `{"version": "v2", "deadline": "2028-01-01T00:00:00Z"}`), &value},
		{"service in use deleted", "shop", &wirepb.Edit{Path: shopService, Delete: true}, &value},
		{"token hash too short", "shop", set("/teams/shop/access", `{"token_sha256": ["abcd"]}`), &value},
		{"subtree of another team", "rival", set(shopService, `{"version": "v1"}`), &access},
		{"system path", Administrator, set(MoveRecordPath("shop"), `{"service": "shop"}`), &access},
		{"unknown path", "shop", set("/teams/shop/colours/red", `{}`), &path},
		{"path with dots", "shop", set("/teams/../services/shop", `{}`), &path},
		{"path too long", "shop", set("/teams/shop/services/"+strings.Repeat("x", maxPathBytes), `{}`), &path},
		{"stale compare", "shop", &wirepb.Edit{Path: shopService, Value: `{"version": "v1"}`, Compare: true, IfRevision: 9}, &conflict},
		{"missing path deleted", "shop", &wirepb.Edit{Path: shopMove, Delete: true}, &missing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := shopState(t)
			good := set("/teams/"+tt.author+"/routes/good", `{"path_prefix": "/good", "service": "shop"}`)
			if tt.author != "shop" {
				good = set("/teams/rival/routes/good", `{"path_prefix": "/good", "service": "dials"}`)
			}
			_, err := s.NewChange(tt.author, []*wirepb.Edit{good, tt.edit}, now)
			require.ErrorAs(t, err, tt.want)
			require.Nil(t, s.MatchRoute("", "/good"), "a part of an invalid change is in the state")
		})
	}
	t.Run("too many edits", func(t *testing.T) {
		_, err := shopState(t).NewChange("shop", make([]*wirepb.Edit, maxEdits+1), now)
		require.ErrorAs(t, err, &limit)
	})
}

func TestLongestPrefixWins(t *testing.T) {
	s := applyEdits(t, shopState(t), "shop", set("/teams/shop/routes/detail", `{"path_prefix": "/shop/detail", "service": "shop"}`))
	for path, want := range map[string]string{"/shop": "browse", "/shop/x": "browse", "/shop/detail/7": "detail", "/shop/details": "browse"} {
		require.Equal(t, want, s.MatchRoute("", path).Name, path)
	}
	require.Nil(t, s.MatchRoute("", "/shopping"))
}

// MatchRoute must find the same route as a search through all prefixes, also for prefixes that end in a slash.
func TestMatchRouteFindsLongestPrefix(t *testing.T) {
	prefixes := []string{"/", "/a", "/a/", "/a/b", "/ab", "/a/b/c"}
	rapid.Check(t, func(r *rapid.T) {
		s := EmptyState()
		s.routesByMatchKey = map[string]*Route{}
		for _, p := range rapid.SliceOfDistinct(rapid.SampledFrom(prefixes), func(p string) string { return p }).Draw(r, "prefixes") {
			s.routesByMatchKey[p] = &Route{PathPrefix: p}
		}
		path := "/" + rapid.StringOfN(rapid.SampledFrom([]rune("ab/c")), 0, 6, -1).Draw(r, "path")
		want := ""
		for p := range s.routesByMatchKey {
			if underPrefix(p, path) && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if match := s.MatchRoute("", path); match != nil {
			got = match.PathPrefix
		}
		require.Equal(r, want, got, path)
	})
}

func BenchmarkMatch(b *testing.B) {
	s := EmptyState()
	s.routesByMatchKey = map[string]*Route{}
	for i := range 12600 {
		prefix := fmt.Sprintf("/s%d/r%d", i/3, i%3)
		s.routesByMatchKey[prefix] = &Route{PathPrefix: prefix}
	}
	for b.Loop() {
		s.MatchRoute("", "/s4199/r1/dials/52")
	}
}

func TestDeclaredMoves(t *testing.T) {
	t.Run("to a version with build metadata", func(t *testing.T) {
		_, _, err := Decode(shopService, `{"version": "1.4.2+build.7"}`)
		require.NoError(t, err)
		_, _, err = Decode(shopMove, `{"version": "1.4.2-rc.1+build.7", "deadline": "2027-01-01T13:00:00Z"}`)
		require.NoError(t, err)
		_, _, err = Decode(shopService, `{"version": "1.4.2 build"}`)
		require.Error(t, err)
	})
	const declaration = `{"version": "v2", "deadline": "2027-01-01T13:00:00Z"}`
	t.Run("start with no share", func(t *testing.T) {
		service := applyEdits(t, shopState(t), "shop", set(shopMove, declaration)).Services["shop"]
		require.True(t, service.MoveActive())
		require.Equal(t, "v1", service.StableVersion)
		require.Zero(t, service.MoveRecord.GetSharePermille())
		require.Equal(t, uint64(2), service.MoveRecord.GetDeclaredRevision())
	})
	t.Run("make the new version the stable version when done", func(t *testing.T) {
		service := stateWithMove(t, wirepb.MoveState_MOVE_STATE_DONE).Services["shop"]
		require.Equal(t, "v2", service.StableVersion)
	})
	t.Run("keep the stable version when taken back", func(t *testing.T) {
		service := stateWithMove(t, wirepb.MoveState_MOVE_STATE_TAKEN_BACK).Services["shop"]
		require.Equal(t, "v1", service.StableVersion)
	})
	t.Run("start again after being taken back", func(t *testing.T) {
		s := applyEdits(t, stateWithMove(t, wirepb.MoveState_MOVE_STATE_TAKEN_BACK), "shop", set(shopMove, declaration))
		require.True(t, s.Services["shop"].MoveActive())
		require.Equal(t, s.Revision, s.Services["shop"].MoveRecord.GetDeclaredRevision())
	})
	t.Run("cannot be deleted while they run", func(t *testing.T) {
		s := applyEdits(t, shopState(t), "shop", set(shopMove, declaration))
		_, err := s.NewChange("shop", []*wirepb.Edit{{Path: shopMove, Delete: true}}, now)
		var value *ValueError
		require.ErrorAs(t, err, &value)
	})
}

func stateWithMove(t *testing.T, state wirepb.MoveState) *State {
	t.Helper()
	s := applyEdits(t, shopState(t), "shop", set(shopMove, `{"version": "v2", "deadline": "2027-01-01T13:00:00Z"}`))
	record := proto.CloneOf(s.Services["shop"].MoveRecord)
	record.State = state
	put, err := MoveRecordPut(record)
	require.NoError(t, err)
	next, err := s.Apply(&wirepb.Change{Revision: s.Revision + 1, Puts: []*wirepb.Put{put}})
	require.NoError(t, err)
	return next
}

func TestChangesApplyOnlyInOrder(t *testing.T) {
	s := shopState(t)
	for _, revision := range []uint64{0, 1, 3} {
		_, err := s.Apply(&wirepb.Change{Revision: revision})
		var gap *OutOfOrderError
		require.ErrorAs(t, err, &gap)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := applyEdits(t, shopState(t), "shop", set(shopMove, `{"version": "v2", "deadline": "2027-01-01T13:00:00Z"}`))
	again, err := FromSnapshot(s.Snapshot())
	require.NoError(t, err)
	require.Equal(t, protojson.Format(s.Snapshot()), protojson.Format(again.Snapshot()))
	require.Equal(t, s.MatchRoute("", "/shop/x").Name, again.MatchRoute("", "/shop/x").Name)
}

// In every state that accepted edits lead to, each route points to an existing service of its team.
func TestAcceptedStatesHaveNoDanglingRoutes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := EmptyState()
		for range rapid.IntRange(1, 30).Draw(r, "edits") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name")
			team := rapid.SampledFrom([]string{"x", "y"}).Draw(r, "team")
			edit := rapid.SampledFrom([]*wirepb.Edit{
				set(fmt.Sprintf("/teams/%s/services/%s", team, name), `{"version": "v1"}`),
				set(fmt.Sprintf("/teams/%s/routes/%s", team, name), fmt.Sprintf(`{"path_prefix": "/%s", "service": %q}`, name, name)),
				{Path: fmt.Sprintf("/teams/%s/services/%s", team, name), Delete: true},
				{Path: fmt.Sprintf("/teams/%s/routes/%s", team, name), Delete: true},
			}).Draw(r, "edit")
			change, err := s.NewChange(team, []*wirepb.Edit{edit}, now)
			if err != nil {
				continue
			}
			if s, err = s.Apply(change); err != nil {
				r.Fatalf("an accepted change does not apply: %v", err)
			}
			for _, route := range s.routesByMatchKey {
				if s.Services[route.Service.Name] != route.Service || route.Service.Team != route.Team {
					r.Fatalf("route %s points to a service that is not in the state", route.Name)
				}
			}
		}
	})
}

// A change compiles only what it changes. The state must equal the one that FromSnapshot compiles from the whole
// tree, and a change must fail in both or in neither.
func TestApplyEqualsFullCompilation(t *testing.T) {
	draw := func(r *rapid.T) *wirepb.Put {
		team := rapid.SampledFrom([]string{"x", "y"}).Draw(r, "team")
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "name")
		prefix := rapid.SampledFrom([]string{"/", "/a", "/a/b", "/a/b/c"}).Draw(r, "prefix")
		version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(r, "version")
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
		return rapid.SampledFrom([]*wirepb.Put{
			{Path: "/teams/" + team + "/access", Value: fmt.Sprintf(`{"token_sha256": [%q]}`, strings.Repeat(name, 64))},
			{Path: "/teams/" + team + "/services/" + name, Value: fmt.Sprintf(`{"version": %q}`, version)},
			{Path: "/teams/" + team + "/routes/" + name, Value: fmt.Sprintf(`{"path_prefix": %q, "service": %q}`, prefix, name)},
			{Path: MoveRecordPath(name), Value: fmt.Sprintf(`{"service": %q, "team": %q, "state": "MOVE_STATE_DONE", "from": "v0", "to": %q}`, name, team, version)},
			{Path: "/teams/" + team + "/services/" + name, Delete: true},
			{Path: "/teams/" + team + "/routes/" + name, Delete: true},
			{Path: MoveRecordPath(name), Delete: true},
			{Path: "/teams/" + team + "/workspaces/" + name, Value: fmt.Sprintf(`{"key_sha256": [%q], "priority": 2}`, strings.Repeat(key, 64))},
			{Path: "/teams/" + team + "/workspaces/" + name, Delete: true},
		}).Draw(r, "put")
	}
	rapid.Check(t, func(r *rapid.T) {
		s := EmptyState()
		for range rapid.IntRange(1, 40).Draw(r, "changes") {
			change := &wirepb.Change{Revision: s.Revision + 1}
			for range rapid.IntRange(1, 4).Draw(r, "puts") {
				change.Puts = append(change.Puts, draw(r))
			}
			whole, wholeErr := FromSnapshot(snapshotAfter(s, change))
			next, err := s.Apply(change)
			require.Equal(r, wholeErr == nil, err == nil, "apply: %v, whole: %v", err, wholeErr)
			if err == nil {
				requireSameState(r, whole, next)
				s = next
			}
		}
	})
}

// When one change moves a prefix to another team, it must be checked again: it may lie under a prefix of the first team.
func TestPrefixTakenOverByAnotherTeam(t *testing.T) {
	s := applyEdits(t, shopState(t), "shop", set("/teams/shop/routes/detail", `{"path_prefix": "/shop/detail", "service": "shop"}`))
	_, err := s.Apply(&wirepb.Change{Revision: s.Revision + 1, Puts: []*wirepb.Put{
		{Path: "/teams/shop/routes/detail", Delete: true},
		{Path: "/teams/rival/routes/detail", Value: `{"path_prefix": "/shop/detail", "service": "dials"}`},
	}})
	var value *ValueError
	require.ErrorAs(t, err, &value)
}

// snapshotAfter returns the snapshot of a state after a change, made without compiling it.
func snapshotAfter(s *State, change *wirepb.Change) *wirepb.Snapshot {
	entries := map[string]*wirepb.Entry{}
	for _, stored := range s.Entries("/") {
		entries[stored.GetPath()] = stored
	}
	for _, p := range change.GetPuts() {
		if delete(entries, p.GetPath()); !p.GetDelete() {
			entries[p.GetPath()] = &wirepb.Entry{Path: p.GetPath(), Value: p.GetValue(), Revision: change.GetRevision()}
		}
	}
	snapshot := &wirepb.Snapshot{Revision: change.GetRevision()}
	for _, stored := range entries {
		snapshot.Entries = append(snapshot.Entries, stored)
	}
	return snapshot
}

func requireSameState(t require.TestingT, want, got *State) {
	require.Equal(t, protojson.Format(want.Snapshot()), protojson.Format(got.Snapshot()))
	require.Equal(t, want.entryCount, got.entryCount)
	require.Equal(t, want.TeamsWithTokens(), got.TeamsWithTokens())
	require.Equal(t, want.Workspaces, got.Workspaces)
	require.Equal(t, want.workspacesByKey, got.workspacesByKey)
	require.Len(t, got.Services, len(want.Services))
	for name, service := range want.Services {
		require.Equal(t, service.Team, got.Services[name].Team)
		require.Equal(t, service.StableVersion, got.Services[name].StableVersion)
		require.True(t, proto.Equal(service.MoveRecord, got.Services[name].MoveRecord))
	}
	require.Len(t, got.routesByMatchKey, len(want.routesByMatchKey))
	for prefix, route := range want.routesByMatchKey {
		require.Equal(t, route.Name, got.routesByMatchKey[prefix].Name)
		require.Same(t, got.Services[route.Service.Name], got.routesByMatchKey[prefix].Service)
	}
}
