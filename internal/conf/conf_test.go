package conf

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `{
  // comments and trailing commas are allowed
  "name": "a", "region": "r", "data_centre": "dc",
  "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
  "announce_address": "127.0.0.1:4", "platform_address": "127.0.0.1:5",
}`

func TestDefaults(t *testing.T) {
	settings, err := Parse("f", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, settings.StopTimeout)
	require.Equal(t, 16, settings.MaxChildren)
	require.Equal(t, "evidence", settings.MovePolicy)
}

// Guards against nodes that do not start: a platform that scales a deployment's bounds may give fractions.
func TestFractionalSlack(t *testing.T) {
	settings, err := Parse("f", []byte(strings.Replace(validSettings, `"region"`, `"retry_slack": 37.25, "quota_slack": 4.5, "region"`, 1)))
	require.NoError(t, err)
	require.InDelta(t, 37.25, settings.RetrySlack, 0)
	require.InDelta(t, 4.5, settings.QuotaSlack, 0)
}

func TestInvalidSettingsNameFileAndField(t *testing.T) {
	tests := []struct {
		name  string
		from  string
		to    string
		field string
	}{
		{"name", `"name": "a"`, `"name": "A B"`, "name"},
		{"address", "127.0.0.1:2", "localhost:2", "peer_address"},
		{"port", "127.0.0.1:3", "127.0.0.1:0", "admin_address"},
		{"number", `"region"`, `"max_children": 999, "region"`, "max_children"},
		{"duration", `"region"`, `"stop_timeout": "660s", "region"`, "stop_timeout"},
		{"policy", `"region"`, `"move_policy": "dice", "region"`, "move_policy"},
		{"hash", `"region"`, `"admin_token_sha256": "12", "region"`, "admin_token_sha256"},
		{"cold overage", `"region"`, `"cold_overage": 0.5, "region"`, "cold_overage"},
		{"quota window", `"region"`, `"quota_window": "1ms", "region"`, "quota_window"},
		{"memory limit", `"region"`, `"memory_limit_bytes": 1000, "region"`, "memory_limit_bytes"},
		{"admission policy", `"region"`, `"admission_policy": "random", "region"`, "admission_policy"},
		{"seeds", `"region"`, `"seeds": ["nowhere"], "region"`, "seeds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("file.jsonc", []byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			var failure *ValueError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, tt.field, failure.Field)
			require.Contains(t, err.Error(), "file.jsonc")
		})
	}
	for _, text := range []string{"", "{", `{"colour": 1}`, `{"name": 5}`, "\xff"} {
		_, err := Parse("f", []byte(text))
		var failure *FileError
		require.ErrorAs(t, err, &failure, text)
	}
}
