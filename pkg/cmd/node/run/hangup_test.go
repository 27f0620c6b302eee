package run

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startTimeout is how long a process may take to start and read its settings.
const startTimeout = time.Minute

// Guards against a node that is ended by a SIGHUP during its start. The settings file is a pipe, so that the process waits for its
// settings while the signal arrives.
func TestHangupDuringStart(t *testing.T) {
	directory := t.TempDir()
	binary, settingsPipe := filepath.Join(directory, "turmericdale"), filepath.Join(directory, "node.jsonc")
	output, err := exec.Command("go", "build", "-o", binary, "../../../../cmd/turmericdale").CombinedOutput()
	require.NoError(t, err, string(output))
	require.NoError(t, syscall.Mkfifo(settingsPipe, 0o600))
	var failures bytes.Buffer
	cmd := exec.Command(binary, "node", "run", "--settings", settingsPipe)
	cmd.Stderr = &failures
	require.NoError(t, cmd.Start())
	kill := time.AfterFunc(startTimeout, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	pipe, err := os.OpenFile(settingsPipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("{")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	_ = cmd.Wait()
	require.True(t, cmd.ProcessState.Exited(), "ended by %s", cmd.ProcessState)
	require.Contains(t, failures.String(), settingsPipe, "the settings are invalid")
}
