package lifetime

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that ends because nobody reads its log any more.
func TestReaderOfTheLogIsGone(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			output, input, err := os.Pipe()
			require.NoError(t, err)
			p := r.start(t, func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = input, input })
			require.NoError(t, input.Close())
			require.NoError(t, output.Close())
			r.requireServes(t, p)
			p.Signal(syscall.SIGHUP) // is logged
			p.Signal(syscall.SIGHUP)
			r.requireServes(t, p)
		})
	}
}

// Guards against a process that waits for the reader of its log.
func TestLogIsNotRead(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			output, input, err := os.Pipe()
			require.NoError(t, err)
			defer output.Close()
			fill(t, input)
			p := r.start(t, func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = input, input })
			require.NoError(t, input.Close())
			r.requireServes(t, p)
			p.Signal(syscall.SIGTERM)
			require.True(t, p.Await(limit))
			require.Empty(t, p.EndedByItself())
		})
	}
}

// fill writes to a pipe until it is full.
func fill(t *testing.T, input *os.File) {
	t.Helper()
	fd := int(input.Fd())
	require.NoError(t, syscall.SetNonblock(fd, true))
	for {
		if _, err := syscall.Write(fd, make([]byte, os.Getpagesize())); err != nil {
			require.ErrorIs(t, err, syscall.EAGAIN)
			break
		}
	}
	require.NoError(t, syscall.SetNonblock(fd, false))
}

// Guards against a process that can't end because nobody reads why.
func TestErrorIsNotRead(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(r.settings(), []byte("role: none\n"), 0o600))
			output, input, err := os.Pipe()
			require.NoError(t, err)
			defer output.Close()
			fill(t, input)
			p := r.start(t, func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = input, input })
			require.NoError(t, input.Close())
			require.True(t, p.Await(limit))
			require.Equal(t, "exit status 1", p.End())
		})
	}
}
