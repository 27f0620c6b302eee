package check

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Guards against scripts that send a configuration with errors because the exit code does not tell.
func TestCheckRun(t *testing.T) {
	tests := []struct {
		name, text, output string
		errors             int
	}{
		{"valid", `{"version":1,"resources":[]}`, "", 0},
		{"unknown kind", `{"version":1,"resources":[{"resource_kind":"colours"}]}`, "error\t", 1},
		{"unused service", `{"version":1,"resources":[{"resource_kind":"services","metadata":{"name":"s"}}]}`, "warning\t/teams/mesh/services/s\t", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(file, []byte(tt.text), 0o600))
			var out bytes.Buffer
			err := checkRun(&factory.Factory{Out: &out, ErrOut: &out}, &Options{File: file})
			require.Contains(t, out.String(), tt.output)
			if tt.errors == 0 {
				require.NoError(t, err)
				return
			}
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, tt.errors, invalid.Errors)
		})
	}
}
