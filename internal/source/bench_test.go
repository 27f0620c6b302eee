package source

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// BenchmarkConfiguration measures the stages of the import of a configuration of 2,000 routes and 87 workspaces in which one key changes.
func BenchmarkConfiguration(b *testing.B) {
	configs := [2]*wirepb.Row{}
	for version := range configs {
		entries := []string{goodEntries}
		for n := range 2000 {
			entries = append(entries, fmt.Sprintf(routeEntry, fmt.Sprintf("r-%d", n), fmt.Sprintf("/p%d/", n), `"1s"`, "shop"))
		}
		for n := range 87 {
			entries = append(entries, fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":"w-%d"},"specification":{"api_keys":["a-%d","b-%d"]}}`, n, n, n*version))
		}
		configs[version] = &wirepb.Row{Key: "config", Version: uint64(version + 1), Value: configOf(version, entries...)}
	}
	i, state := New(Config{Now: time.Now, Store: store.New(store.Config{})}), tree.EmptyState()
	var config *checkedConfig
	next := func(row *wirepb.Row) {
		build, checked, err := i.buildFunc(row)
		require.NoError(b, err)
		change, err := build(state)
		require.NoError(b, err)
		state, err = state.Apply(change)
		require.NoError(b, err)
		config = checked
	}
	next(configs[0])
	next(configs[1])
	decoded, err := i.decoder.Decode(configs[1])
	require.NoError(b, err)
	change := &wirepb.Change{Revision: state.Revision + 1, Puts: []*wirepb.Put{{Path: "/teams/mesh/workspaces/w-1", Value: "{}"}}}
	stages := []struct {
		name string
		run  func() error
	}{
		{"decode", func() error { _, err := i.decoder.Decode(configs[1]); return err }},
		{"check", func() error { i.checker.check(decoded); return nil }},
		{"leave out", func() error { _, err := config.values(state); return err }},
		{"difference", func() error {
			_, err := i.configChange(state, &wirepb.Row{Key: "config", Version: 9}, config)
			return err
		}},
		{"apply", func() error { _, err := state.Apply(change); return err }},
	}
	for _, s := range stages {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				require.NoError(b, s.run())
			}
		})
	}
}
