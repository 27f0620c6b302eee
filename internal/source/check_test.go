package source

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	goodEntries = `{"resource_kind":"services","metadata":{"name":"shop"},"specification":{}},
		{"resource_kind":"routes","metadata":{"name":"good"},"specification":{"host":"h1.example","prefix":"/a1/","kind":"safe","timeout":"1s","service":"shop"}}`
	routeEntry = `{"resource_kind":"routes","metadata":{"name":%q},"specification":{"host":"h2.example","prefix":%q,"kind":"safe","timeout":%s,"service":%q}}`
)

func configOf(version int, entries ...string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"resources":[%s]}`, version, strings.Join(entries, ","))
}

// Guards against a configuration that is refused whole because of one entry: all its other entries must come into force.
func TestFaultyEntryCostsOnlyItself(t *testing.T) {
	tests := []struct{ name, entry, reason string }{
		{"unknown kind", `{"resource_kind":"colours","metadata":{"name":"red"},"specification":{"x":1}}`, "colours red"},
		{"no object", `17`, ""},
		{"malformed field of a route", fmt.Sprintf(routeEntry, "bad", "/b/", `5`, "shop"), "routes bad"},
		{"malformed duration", fmt.Sprintf(routeEntry, "bad", "/b/", `"soon"`, "shop"), "routes bad"},
		{"value out of range", fmt.Sprintf(routeEntry, "bad", "/b/", `"1h"`, "shop"), "routes/bad"},
		{"prefix that the tree refuses", fmt.Sprintf(routeEntry, "bad", "b?", `"1s"`, "shop"), "routes/bad"},
		{"route to an unknown service", fmt.Sprintf(routeEntry, "bad", "/b/", `"1s"`, "nowhere"), "routes/bad"},
		{"name that the tree refuses", fmt.Sprintf(routeEntry, strings.Repeat("Long", 20), "/b/", `"1s"`, "shop"), "path"},
		{"prefix of another route", `{"resource_kind":"routes","metadata":{"name":"bad"},"specification":{"host":"h1.example","prefix":"/a1/","kind":"safe","service":"shop"}}`, "routes/bad"},
		{"text without end and with control characters", `{"resource_kind":"\u0000` + strings.Repeat(`\u0007\\\"`, 3000) + `"}`, "?"},
	}
	f := newFixture(t)
	log := f.start(0)
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := f.invalidRows.Load()
			for version := range 2 {
				f.platform.PutRow("op", "config", configOf(2*n+version, goodEntries, tt.entry))
				f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
			}
			require.Equal(t, "good", routeName(log.State(), "h1.example"))
			require.Nil(t, log.State().MatchRoute("h2.example", "/b/x"))
			require.Len(t, log.State().IgnoredEntries, 1)
			require.Contains(t, log.State().IgnoredEntries[0], tt.reason)
			require.Equal(t, before+1, f.invalidRows.Load(), "counted once, not with each configuration")
		})
	}
	t.Run("a service whose fields cannot be read keeps its routes", func(t *testing.T) {
		f.platform.PutRow("op", "config", configOf(90, strings.Replace(goodEntries, `{}`, `{"max_connections":"many"}`, 1)))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Equal(t, "good", routeName(log.State(), "h1.example"))
		require.Len(t, log.State().IgnoredEntries, 1)
	})
	t.Run("very many faulty entries", func(t *testing.T) {
		entries := []string{goodEntries}
		for n := range 200 {
			entries = append(entries, fmt.Sprintf(routeEntry, fmt.Sprintf("bad-%d", n), `/\"<&`+strings.Repeat(`\"`, 150), `"1s"`, "nowhere"))
		}
		f.platform.PutRow("op", "config", configOf(91, entries...))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Equal(t, "good", routeName(log.State(), "h1.example"))
		require.Len(t, log.State().IgnoredEntries, 32)
		require.Equal(t, "and 169 more", log.State().IgnoredEntries[31])
	})
	t.Run("without faulty entries the list is empty", func(t *testing.T) {
		f.platform.PutRow("op", "config", configOf(92, goodEntries))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Empty(t, log.State().IgnoredEntries)
	})
}

// Guards against a route that is left out, so that its calls get 404, because its name or that of its service becomes too long when it is
// escaped.
func TestRouteWithALongNameThatHasToBeEscaped(t *testing.T) {
	f := newFixture(t)
	log := f.start(0)
	for n, name := range []string{"restoration_records", strings.Repeat("Long", 19), strings.Repeat("n", 41)} {
		f.platform.PutRow("op", "config", configOf(n, goodEntries, fmt.Sprintf(routeEntry, name, "/a1/", `"1s"`, name),
			fmt.Sprintf(`{"resource_kind":"services","metadata":{"name":%q},"specification":{}}`, name)))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		require.Empty(t, log.State().IgnoredEntries, name)
		require.Equal(t, platform.EscapeName(name), routeName(log.State(), "h2.example"))
	}
}

// ownerOf returns the name of the workspace that a key identifies, or an empty string.
func ownerOf(s *tree.State, key string) string {
	if w := s.WorkspaceByKey(tree.HashKey(key)); w != nil {
		return w.Name
	}
	return ""
}

// Guards against keys that identify the wrong workspace, that outlive their removal, or that appear in the tree.
func TestWorkspacesOfTheConfiguration(t *testing.T) {
	const tenants = `{"resource_kind":"tenants","metadata":{"name":%q},"specification":{"api_keys":[%s]}}`
	f := newFixture(t)
	log := f.start(0)
	put := func(version int, entries ...string) *tree.State {
		t.Helper()
		f.platform.PutRow("op", "config", configOf(version, append([]string{goodEntries}, entries...)...))
		f.waitFor(log, "configuration", func(s *tree.State) bool { return s.OperatorConfigVersion == f.configRowVersion() })
		return log.State()
	}
	s := put(1, fmt.Sprintf(tenants, "a", `"key-1"`), fmt.Sprintf(tenants, "b", `"key-2"`))
	require.Equal(t, []string{"a", "b"}, []string{ownerOf(s, "key-1"), ownerOf(s, "key-2")})
	for _, e := range s.Entries("/") {
		require.NotContains(t, e.GetValue(), "key-")
	}
	t.Run("a key is replaced", func(t *testing.T) {
		s := put(2, fmt.Sprintf(tenants, "a", `"key-3"`), fmt.Sprintf(tenants, "b", `"key-2"`))
		require.Equal(t, []string{"", "a", "b"}, []string{ownerOf(s, "key-1"), ownerOf(s, "key-3"), ownerOf(s, "key-2")})
	})
	t.Run("a key of two workspaces identifies neither", func(t *testing.T) {
		s := put(3, fmt.Sprintf(tenants, "a", `"key-1","key-2"`), fmt.Sprintf(tenants, "b", `"key-2","key-4"`))
		require.Equal(t, []string{"a", "", "b"}, []string{ownerOf(s, "key-1"), ownerOf(s, "key-2"), ownerOf(s, "key-4")})
		require.Len(t, s.IgnoredEntries, 1)
		require.Contains(t, s.IgnoredEntries[0], "workspaces/b")
		require.NotContains(t, s.IgnoredEntries[0], "key-")
	})
	t.Run("none can be read", func(t *testing.T) {
		s := put(4, fmt.Sprintf(tenants, "a", `1`), `{"resource_kind":"tenants"}`)
		require.Len(t, s.Workspaces, 2, "workspaces count as declared")
		require.Empty(t, ownerOf(s, "key-1"))
		require.Len(t, s.IgnoredEntries, 2)
	})
	t.Run("none are declared any more", func(t *testing.T) {
		require.Empty(t, put(5).Workspaces)
	})
}

// Guards against any configuration that the tree refuses whole: every combination of entries must apply, on every state.
func TestEveryConfigurationApplies(t *testing.T) {
	foreign, err := tree.EmptyState().Apply(&wirepb.Change{Revision: 1, Puts: []*wirepb.Put{
		{Path: "/teams/other/services/one", Value: "{}"},
		{Path: "/teams/other/workspaces/w", Value: "{}"},
		{Path: "/teams/other/routes/r", Value: `{"path_prefix": "/a/b", "service": "one"}`},
	}})
	require.NoError(t, err)
	names := rapid.SampledFrom([]string{"", "one", "two", "w", "Odd_Name", strings.Repeat("Long", 30)})
	draw := func(r *rapid.T) string {
		name, other := names.Draw(r, "name"), names.Draw(r, "other")
		prefix := rapid.SampledFrom([]string{"", "a", "/", "/a", "/a/b", "/a/b/c", "/z"}).Draw(r, "prefix")
		timeout := rapid.SampledFrom([]string{`"1s"`, `""`, `"0s"`, `"1h"`, `5`, `"-1s"`}).Draw(r, "timeout")
		field := rapid.SampledFrom([]string{`1`, `-1`, `"k"`, `null`, `["k"]`, `["k","j"]`, `{}`, `1e7`}).Draw(r, "field")
		return rapid.SampledFrom([]string{
			fmt.Sprintf(`{"resource_kind":"services","metadata":{"name":%q},"specification":{"max_connections":%s}}`, name, field),
			fmt.Sprintf(`{"resource_kind":"routes","metadata":{"name":%q},"specification":{"prefix":%q,"kind":"safe","timeout":%s,"service":%q}}`, name, prefix, timeout, other),
			fmt.Sprintf(`{"resource_kind":"routes","metadata":{"name":%q},"specification":{"prefix":%q,"traffic_split":[{"service":%q,"weight":1},{"service":"two","weight":%s}]}}`, name, prefix, other, field),
			fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":%q},"specification":{"api_keys":%s}}`, name, field),
			fmt.Sprintf(`{"resource_kind":"limits","metadata":{},"specification":{"max_header_bytes":%s,"idle_timeout":%s}}`, field, timeout),
			fmt.Sprintf(`{"resource_kind":%s,"metadata":%s,"specification":%s}`, field, field, field),
			field,
		}).Draw(r, "entry")
	}
	rapid.Check(t, func(r *rapid.T) {
		i, state := New(Config{Store: store.New(store.Config{})}), rapid.SampledFrom([]*tree.State{tree.EmptyState(), foreign}).Draw(r, "state")
		i.cfg.Now = func() time.Time { return time.Time{} }
		for version := range rapid.IntRange(1, 6).Draw(r, "configurations") {
			row := &wirepb.Row{Key: "config", Version: uint64(version + 1), Value: configOf(version, rapid.SliceOfN(rapid.Custom(draw), 0, 8).Draw(r, "entries")...)}
			require.True(r, platform.IsConfig(row))
			build, _, err := i.buildFunc(row)
			require.NoError(r, err)
			change, err := build(state)
			require.NoError(r, err)
			next, err := state.Apply(change)
			require.NoError(r, err)
			require.LessOrEqual(r, len(next.IgnoredEntries), 32)
			state = next
		}
	})
}
