package response

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns a connection and its other side.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(accepted) // the test has ended
			return
		}
		accepted <- c
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	other := (<-accepted).(*net.TCPConn)
	t.Cleanup(func() { _ = other.Close() }) // it may be closed already
	return NewConn(c), other
}

// Guards against a reset that a write has received, so that the body before it seems to have ended.
func TestResetThatAWriteReceives(t *testing.T) {
	c, other := pair(t)
	require.NoError(t, other.SetLinger(0))
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool {
		_, err := c.Conn.Write([]byte("x")) // the wrapper must not depend on having seen it
		return err != nil
	}, 5*time.Second, time.Millisecond)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrReset)
	require.False(t, c.Delivered())
}

// Guards against the end of a connection that is taken for a reset, though its peer closed it.
func TestEndThatThePeerMakes(t *testing.T) {
	c, other := pair(t)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = other.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, other.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "unchanged, as readers compare it")
	require.True(t, c.Delivered())
	require.NoError(t, c.Close())
	require.False(t, c.Delivered(), "what this side has closed proves nothing")
}

// Guards against the end of a connection that its peer closes while a request is on its way. The reset follows later.
func TestEndBeforeTheRequestIsReceived(t *testing.T) {
	c, other := pair(t)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 24<<20)) // more than two sockets hold
		written <- err
	}()
	_, err := other.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, other.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrReset)
	require.NoError(t, c.Close())
	require.Error(t, <-written)
}
