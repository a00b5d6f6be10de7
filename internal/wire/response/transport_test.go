package response

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
)

// serve starts a server that reads the head of each request and lets answer respond, and returns its URL.
func serve(t *testing.T, answer func(n int, c *net.TCPConn)) string {
	t.Helper()
	at := rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) {
		defer c.Close()
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			answer(n, c)
		}
	})
	return "http://" + at.String() + "/"
}

// newClient returns a client that is closed with the test.
func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// fetch makes a call and returns the body of its response.
func fetch(c *http.Client, url string, upload []byte) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(upload))
	if err != nil {
		return "", err
	}
	w, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	return string(body), err
}

// Guards against a faulty head that the standard library's transport accepts, on a new connection or a reused one.
func TestTransportRefusesFaultyHeads(t *testing.T) {
	const sound = ok + "Content-Length: 5\r\n\r\nhello"
	for name, head := range malformed {
		for sent := range 2 {
			t.Run(name, func(t *testing.T) {
				url := serve(t, func(n int, c *net.TCPConn) {
					if n < sent {
						_, _ = io.WriteString(c, sound) // what arrives is checked
						return
					}
					_, _ = io.WriteString(c, head+"hello")
					_ = c.CloseWrite()
				})
				c := newClient(t)
				for range sent {
					body, err := fetch(c, url, nil)
					require.NoError(t, err)
					require.Equal(t, "hello", body)
				}
				_, err := fetch(c, url, nil)
				require.Error(t, err)
			})
		}
	}
}

// Guards against the part of a body that is taken for all of it, as the server resets the connection while the request
// is being written.
func TestTransportReadsNoEndOfAReset(t *testing.T) {
	url := serve(t, func(_ int, c *net.TCPConn) {
		_, _ = io.WriteString(c, ok+"\r\na part") // what arrives is checked
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range 100 {
		body, err := fetch(newClient(t), url, make([]byte, 8<<20))
		require.Error(t, err, "body %q", body)
	}
}

// Guards against a sound response without a length that is taken for a truncated one.
func TestTransportReadsAnUnframedBody(t *testing.T) {
	url := serve(t, func(_ int, c *net.TCPConn) {
		_, _ = io.WriteString(c, ok+"\r\nhello") // what arrives is checked
		_ = c.CloseWrite()
	})
	for range 100 {
		body, err := fetch(newClient(t), url, []byte("request"))
		require.NoError(t, err)
		require.Equal(t, "hello", body)
	}
}
