package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longUpload is longer than what two sockets hold, so that it is still being written when a target answers at once.
	longUpload = 24 << 20
	// unframed is the beginning of a response whose body ends with its connection.
	unframed = "HTTP/1.1 200 OK\r\n\r\n"
)

// upload sends a request with a body of a size, and reads the whole body of its response.
func upload(t *testing.T, to netip.AddrPort, size int) (string, error) {
	t.Helper()
	p := NewPool()
	ctx, cancel := context.WithTimeout(t.Context(), 5*patience)
	defer cancel()
	c, err := p.Get(ctx, time.Now(), to, time.Second)
	require.NoError(t, err)
	a, err := p.Send(ctx, c, Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: make([]byte, size)}, func(http.Header) bool { return true })
	if err != nil {
		return "", err
	}
	defer func() { a.Finish(time.Now(), err == nil, 0) }()
	body, err := a.ReadAll(1<<20, nil)
	return string(body), err
}

// reset ends a connection without delivering what is on its way.
func reset(w io.Writer) {
	c := w.(*net.TCPConn)
	_ = c.SetLinger(0) // an error shows in what the client reads
	_ = c.Close()
}

// Guards against the part of a body that is taken for all of it, as a target resets the connection while its
// request is still being written: the write receives the reset, and the read an end.
func TestUploadThatIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		size, read int
		wait       time.Duration
	}{
		"at once":              {longUpload, 0, 0},
		"after a moment":       {longUpload, 0, time.Millisecond},
		"half of it read":      {longUpload, longUpload / 2, time.Millisecond},
		"of a size in buffers": {1 << 20, 0, 0},
		"small":                {smallBody, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := serve(t, func(w io.Writer) {
				_, _ = io.CopyN(io.Discard, w.(net.Conn), int64(c.read)) // what arrives is checked
				_, _ = io.WriteString(w, unframed+"a part")
				time.Sleep(c.wait)
				reset(w)
			})
			for range 100 {
				body, err := upload(t, to, c.size)
				require.Error(t, err, "body %q", body)
			}
		})
	}
}

// Guards against a target that ends in the middle of its request, and whose connection is closed instead of reset.
func TestUploadThatIsNotReceived(t *testing.T) {
	to := serve(t, func(w io.Writer) {
		_, _ = io.WriteString(w, unframed+"a part") // what arrives is checked
		_ = w.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		reset(w)
	})
	for range 20 {
		body, err := upload(t, to, longUpload)
		require.Error(t, err, "body %q", body)
	}
}

// Guards against sound responses that are taken for truncated ones, since they came before the request was
// read.
func TestSoundResponsesToUploads(t *testing.T) {
	const body = "the whole body"
	for name, answer := range map[string]func(c *net.TCPConn) error{
		"with a length, the rest unread": func(c *net.TCPConn) error {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"+body)
			return err
		},
		"without a length, once all is read": func(c *net.TCPConn) error {
			_, err := io.CopyN(io.Discard, c, longUpload-4<<10) // the rest is in the buffer of the head's reader, or comes
			_, err2 := io.WriteString(c, unframed+body)
			return errors.Join(err, err2, drainAndClose(c))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := serve(t, func(w io.Writer) {
				if err := answer(w.(*net.TCPConn)); err != nil {
					t.Log(err)
				}
			})
			for range 5 {
				got, err := upload(t, to, longUpload)
				require.NoError(t, err)
				require.Equal(t, body, got)
			}
		})
	}
}

// drainAndClose ends a response, reads the rest of the request and closes the connection.
func drainAndClose(c *net.TCPConn) error {
	err := c.CloseWrite()
	_, _ = io.Copy(io.Discard, c) // until the client closes the connection
	return errors.Join(err, c.Close())
}
