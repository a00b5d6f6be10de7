package address

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// opener fails some times with an error before it opens a socket.
type opener struct {
	failures int
	err      error
	attempts int
}

func (o *opener) open() (string, error) {
	o.attempts++
	if o.attempts <= o.failures {
		return "", &net.OpError{Op: "listen", Err: fmt.Errorf("bind: %w", o.err)}
	}
	return "open", nil
}

func TestOpen(t *testing.T) {
	other := errors.New("no permission")
	for name, test := range map[string]struct {
		opener
		lines int
		err   error
	}{
		"free":                    {opener{}, 0, nil},
		"another's for a moment":  {opener{failures: 2, err: syscall.EADDRINUSE}, 2, nil},
		"not there for a moment":  {opener{failures: 1, err: syscall.EADDRNOTAVAIL}, 2, nil},
		"no descriptors":          {opener{failures: 1, err: syscall.EMFILE}, 2, nil},
		"an error that will last": {opener{failures: 1, err: other}, 0, other},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			s := Socket{Name: "peers", Log: &log.Logger{Writer: &log.IOWriter{Writer: &out}}}
			opened, err := Open(t.Context(), s, test.open)
			require.ErrorIs(t, err, test.err)
			require.Equal(t, test.lines, strings.Count(out.String(), `"listener":"peers"`), out.String())
			if err == nil {
				require.Equal(t, "open", opened)
			}
		})
	}
}

// Guards against a process that can't be stopped while it waits for an address.
func TestOpenEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	o := opener{failures: 1 << 30, err: syscall.EADDRINUSE}
	_, err := Open(ctx, Socket{}, o.open)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, 1, o.attempts)
}
