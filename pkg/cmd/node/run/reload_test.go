package run

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/turmericdale/turmericdale/internal/conf"
)

const settings = `{"name": "a", "region": "r", "data_centre": "d", "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
 "admin_address": "127.0.0.1:3", "announce_address": "127.0.0.1:4", "platform_address": "127.0.0.1:5", "stop_timeout": "3s"}`

func TestReload(t *testing.T) {
	tests := []struct {
		name string
		next string
		line string
	}{
		{"unchanged", settings, ""},
		{"only a comment changed", settings + " /* same */", `settings reloaded false`},
		{"stop_timeout changed", strings.Replace(settings, "3s", "4s", 1), `settings reloaded true`},
		{"not JSON", "{", "settings file is invalid, keeping the current settings"},
		{"value out of range", strings.Replace(settings, "3s", "-1s", 1), "settings file is invalid, keeping the current settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.jsonc")
			require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
			current, err := conf.Load(file)
			require.NoError(t, err)
			core, lines := observer.New(zap.InfoLevel)
			r := newReloader(file, current, 0, zap.New(core))
			require.NoError(t, os.WriteFile(file, []byte(tt.next), 0o600))
			r.reloadIfChanged()
			r.reloadIfChanged()
			if tt.line == "" {
				require.Empty(t, lines.All())
				return
			}
			require.Len(t, lines.All(), 1, "a change must be logged once")
			line := lines.All()[0]
			if restart, found := line.ContextMap()["restart_needed"].(bool); found {
				require.Equal(t, tt.line, line.Message+map[bool]string{true: " true", false: " false"}[restart])
				return
			}
			require.Equal(t, tt.line, line.Message)
		})
	}
}
