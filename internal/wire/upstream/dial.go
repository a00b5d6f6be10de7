package upstream

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long written bytes may stay unacknowledged. Without
// it a request that was written to a host without power waits for minutes.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
