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
	drained := make(chan struct{})
	t.Cleanup(func() {
		<-drained
		_ = output.Close() // it was read
	})
	return p, func() {
		go func() {
			defer close(drained)
			_, _ = io.Copy(io.Discard, output) // ends when the process has
		}()
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
