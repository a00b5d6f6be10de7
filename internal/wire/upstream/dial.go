package upstream

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long written bytes may stay
// unacknowledged. Without it a request to a host that has lost power waits for minutes.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
