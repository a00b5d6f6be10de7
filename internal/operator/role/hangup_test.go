package role

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveVariable names the settings file if this process is to serve in place of the test.
const serveVariable = "WAGTAILSHELF_TEST_SERVE"

// SIGHUP ends a process that has not taken it over when it reads its settings. They are a pipe
// here, so the process waits at just that point.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	if file := os.Getenv(serveVariable); file != "" {
		require.NoError(t, serveCommand().Run(context.Background(), []string{"serve", "--settings", file}))
		return
	}
	file := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	var output bytes.Buffer
	p := exec.Command(os.Args[0], "-test.run=^TestHangupWhileSettingsAreRead$", "serve")
	p.Env = append(os.Environ(), serveVariable+"="+file)
	p.Stdout, p.Stderr = &output, &output
	require.NoError(t, p.Start())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process reads
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("role: none\n")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	_ = p.Wait()
	require.True(t, p.ProcessState.Exited(), "%s", p.ProcessState)
	require.Contains(t, output.String(), "role is entry or sidecar")
}
