// Package rawserver is a stand-in of a server that is faulty below HTTP: its responses are bytes.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Start starts a server that passes each connection to serve, with the reader of its requests. Connections that are
// still open are closed when the test ends. It returns the server's address.
func Start(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // this fails only if it is closed already
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			t.Cleanup(func() { _ = c.Close() }) // either side may have closed it
			go serve(c.(*net.TCPConn), bufio.NewReader(c))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// StartOnce starts a server that reads the head of the first request of each connection, calls answer, and closes the
// connection.
func StartOnce(t testing.TB, answer func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	return Start(t, func(c *net.TCPConn, r *bufio.Reader) {
		defer c.Close()
		if _, err := http.ReadRequest(r); err == nil {
			answer(c)
		}
	})
}
