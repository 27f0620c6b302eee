package source

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/tree"
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
		{"name that the tree refuses", fmt.Sprintf(routeEntry, strings.Repeat("Long", 12), "/b/", `"1s"`, "shop"), "path"},
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
