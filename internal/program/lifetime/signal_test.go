package lifetime

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
)

// startHalfway starts a process that stands still while its packages are initialised: the runtime traces them to a pipe
// that nobody reads yet. The returned function lets it go on.
func (r role) startHalfway(t *testing.T) (p *program.Process, goOn func()) {
	t.Helper()
	output, input, err := os.Pipe()
	require.NoError(t, err)
	_, err = unix.FcntlInt(output.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	require.NoError(t, err)
	require.NoError(t, unix.SetNonblock(int(output.Fd()), false))
	p = r.start(t, func(cmd *exec.Cmd) {
		cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		cmd.Stderr = input
	})
	require.NoError(t, input.Close())
	require.Eventually(t, func() bool {
		n, err := unix.IoctlGetInt(int(output.Fd()), unix.TIOCINQ)
		return err == nil && n > 0
	}, limit, 100*time.Microsecond)
	return p, func() {
		go func() { _, _ = io.Copy(io.Discard, output) }() // ends when the process has
	}
}

// Guards against SIGHUP that ends a process whose packages are still being initialised.
func TestHangupAtAStart(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			p, goOn := r.startHalfway(t)
			p.Signal(syscall.SIGHUP)
			goOn()
			r.requireServes(t, p)
		})
	}
}

// Guards against SIGHUP that ends a process that is about to read its settings, or that has read them and hears of no
// change.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			file := r.settings()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			require.NoError(t, os.Remove(file))
			require.NoError(t, syscall.Mkfifo(file, 0o600))
			p := r.start(t)
			pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process reads
			require.NoError(t, err)
			p.Signal(syscall.SIGHUP)
			_, err = pipe.Write(text)
			require.NoError(t, err)
			require.NoError(t, os.Remove(file))
			require.NoError(t, os.WriteFile(file, text, 0o600))
			require.NoError(t, pipe.Close())
			r.requireServes(t, p)
			require.Eventually(t, func() bool { return r.hasLogged(t, "reload") }, limit, time.Millisecond)
		})
	}
}

// Guards against SIGTERM that a process does not end by while its packages are initialised, or that it fails by.
func TestStopAtAStart(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			p, goOn := r.startHalfway(t)
			p.Signal(syscall.SIGTERM)
			goOn()
			require.True(t, p.Await(limit))
			require.Empty(t, p.EndedByItself())
		})
	}
}

// Guards against signals in a row that end a process as if it had failed, or of which SIGTERM is lost.
func TestStopAmongOtherSignals(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			p := r.start(t)
			r.requireServes(t, p)
			for range 20 {
				p.Signal(syscall.SIGHUP)
			}
			p.Signal(syscall.SIGTERM)
			p.Signal(syscall.SIGHUP)
			p.Signal(syscall.SIGTERM)
			require.True(t, p.Await(limit))
			require.Equal(t, "exit status 0", p.End())
		})
	}
}
