// Package signals makes a process that serves act on the signals that ask it to stop or to read its settings again.
//
// SIGHUP says that the settings have changed, and may come at any moment. Its default ends the process, and a handler is
// there only once the program is loaded and its packages are initialised, which takes a millisecond on an idle machine
// and twenty on a busy one. So the signal is ignored from the program's first instruction on, until [Hangups] is called.
// A process that calls it before it reads its settings misses nothing. SIGTERM and SIGINT keep their default until then:
// a process that has not begun to serve can end at once.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// UntilStopped returns a context that ends when SIGTERM or SIGINT asks the process to stop. Its cause names the signal.
func UntilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// Stops returns a channel that receives SIGTERM and SIGINT from now on. A second one asks the process to hurry.
func Stops() <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Hangups returns a channel that receives the SIGHUPs from now on. Several of them may be received as one.
func Hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// IgnoreBrokenPipes makes a write to standard output or standard error fail if its reader is gone. By default it ends the
// process, which would stop serving because nobody reads its log.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }
