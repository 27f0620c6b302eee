package run

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/conf"
)

// machineBytes returns the memory of the machine as the kernel reports it.
func machineBytes(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile("/proc/meminfo")
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if total, found := strings.CutPrefix(line, "MemTotal:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(total), " kB"), 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "no line MemTotal")
	return 0
}

// Guards against a process that callers may end by the memory they take because its settings name no limit.
func TestMemoryIsLimitedByDefault(t *testing.T) {
	memory, err := machineMemory()
	require.NoError(t, err)
	require.Positive(t, memory)
	require.LessOrEqual(t, memory, machineBytes(t))
	file := filepath.Join(t.TempDir(), "node.jsonc")
	for _, tt := range []struct {
		name  string
		text  string
		limit int64
	}{
		{"not set", settings, memory},
		{"set", strings.Replace(settings, `"region"`, `"memory_limit_bytes": 100000000, "region"`, 1), 100000000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(file, []byte(tt.text), 0o600))
			loaded, err := conf.Load(file)
			require.NoError(t, err)
			limited := loaded.WithMachineMemory(memory)
			require.Equal(t, tt.limit, limited.MemoryLimitBytes)
			require.Positive(t, limited.SoftMemoryLimit())
			require.Less(t, limited.SoftMemoryLimit(), tt.limit)
			require.Equal(t, loaded.MemoryLimitBytes, loaded.WithMachineMemory(0).MemoryLimitBytes)
		})
	}
}
