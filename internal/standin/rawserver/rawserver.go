// Package rawserver is a stand-in of a server that is faulty below HTTP: its responses are bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
)

// Start starts a server that passes each connection to serve, with the reader of its requests. When the test ends, the
// connections are closed, and serve has returned for each of them: it may use the test. Start returns the server's
// address.
func Start(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	return StartProcess(t, serve).Address
}

// Process is a server that can end, as a process does, and run again at its address.
type Process struct {
	Address netip.AddrPort

	serve   func(c *net.TCPConn, r *bufio.Reader)
	running sync.WaitGroup

	mu       sync.Mutex
	listener *net.TCPListener // nil while it doesn't run
	conns    []*net.TCPConn
}

// StartProcess starts a server as [Start] does.
func StartProcess(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) *Process {
	t.Helper()
	p := &Process{Address: netip.MustParseAddrPort("127.0.0.1:0"), serve: serve}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.End()
		p.running.Wait()
	})
	return p
}

// Run lets the server listen at its address. It must have ended.
func (p *Process) Run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(p.Address))
	if err != nil {
		return err
	}
	p.Address, p.listener = netip.MustParseAddrPort(l.Addr().String()), l
	p.running.Go(func() { p.accept(l) })
	return nil
}

// End closes all that the server has open. Either side may have closed a connection already.
func (p *Process) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.listener, p.conns = nil, nil
}

// accept serves the connections of a listener until it is closed.
func (p *Process) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return // it has ended
		}
		if !p.add(l, c) {
			_ = c.Close() // nobody uses it
			return
		}
		p.running.Go(func() { p.serve(c, bufio.NewReader(c)) })
	}
}

// add notes a connection of a listener, unless that is closed.
func (p *Process) add(l *net.TCPListener, c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != l {
		return false
	}
	p.conns = append(p.conns, c)
	return true
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

// Heads are complete heads of responses, in the forms in which a body may follow or be absent.
var Heads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n",
	"no bytes":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: application/json\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither":       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
	"HTTP/1.0":      "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n",
	"stream":        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	"bare feeds":    "HTTP/1.1 200 OK\nContent-Type: application/json\nContent-Length: 0\n\n",
	"interim first": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"no content":    "HTTP/1.1 204 No Content\r\nContent-Type: application/json\r\n\r\n",
	"not modified":  "HTTP/1.1 304 Not Modified\r\nContent-Type: application/json\r\n\r\n",
}

// wholeResponse is a complete response after which a connection can be used again.
const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

// RequireHeadsWhole checks that a call fails whose response ends in the middle of its head, after any of its bytes, as the
// server closes or resets the connection. With reused, the call before it on the connection gets a whole response; else
// it is the first one.
func RequireHeadsWhole(t *testing.T, reused bool, call func(to netip.AddrPort) error) {
	t.Helper()
	for form, head := range Heads {
		t.Run(form, func(t *testing.T) {
			for length := 1; length < len(head); length++ {
				for _, reset := range []bool{false, true} {
					at := Start(t, func(c *net.TCPConn, r *bufio.Reader) { cutHead(c, r, reused, head[:length], reset) })
					if reused {
						_ = call(at) // what follows is checked
					}
					if err := call(at); err == nil {
						t.Errorf("reset %t: %q was taken for a response", reset, head[:length])
					}
				}
			}
		})
	}
}

// cutHead answers the request of a connection with the beginning of a head. With reused, the first one gets a whole
// response.
func cutHead(c *net.TCPConn, r *bufio.Reader, reused bool, beginning string, reset bool) {
	defer c.Close()
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body) // the client may have gone
		if !reused {
			break
		}
		reused = false
		_, _ = io.WriteString(c, wholeResponse)
	}
	_, _ = io.WriteString(c, beginning)
	if reset {
		_ = c.SetLinger(0) // Close then resets the connection
	}
}
