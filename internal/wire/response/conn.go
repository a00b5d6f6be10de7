// Package response guards what the process reads as an HTTP client: that the head of a response can be read in one way
// only, and that a body that ends with its connection ends where its sender ended it.
//
// Everything that the process calls over HTTP is read through a [Conn]: targets, engines, the store and peers.
package response

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// ErrReset reports the end of a connection that its peer did not close, or closed before it had received everything.
var ErrReset = merry.New("the connection was reset")

// Conn is a client's connection. Its reads fail on a head that is malformed, and on the end of a connection that was
// reset, or that ends before its peer has received what was written.
type Conn struct {
	net.Conn
	head   headCheck
	failed atomic.Bool // a write has failed
}

// NewConn returns a connection on which no response is expected yet.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.head.done = true
	return conn
}

// Begin expects the response to a request. The bytes that were read of it before are its beginning.
func (c *Conn) Begin(arrived []byte) error { return c.head.begin(arrived) }

// Read reads from the connection. It fails with [ErrMalformed], [ErrHeadTooLong] or [ErrReset].
//
// The system reports a reset only once. If a write has received it, a read that follows finds what looks like
// the end that a peer makes by closing, and a truncated body would be taken for a complete one. A peer that closes the
// connection while a request is on its way resets it when the rest arrives, which may be after the read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.head.arrive(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) && !c.Delivered() {
		return n, merry.Wrap(ErrReset)
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// SetLinger sets what closing the connection does with bytes that were not delivered.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// States of a connection, in the numbers of TCP_INFO.
const (
	tcpOpen         = 1
	tcpClosed       = 7 // it was reset
	tcpClosedByPeer = 8 // the peer has closed it, and this side has not
)

// state is what the system knows of a connection.
type state struct {
	tcp         uint8
	reset       bool
	undelivered bool // bytes that were written have not been acknowledged
}

// state returns the state of the connection; the zero state if the system doesn't tell.
func (c *Conn) state() state {
	raw, err := c.SyscallConn()
	if err != nil {
		return state{}
	}
	var s state
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		s = state{tcp: info.State, reset: info.State == tcpClosed, undelivered: info.Unacked > 0 || info.Notsent_bytes > 0}
	})
	if err != nil {
		return state{reset: true} // this side has closed it, so nothing proves how it would have ended
	}
	return s
}

// Delivered reports whether the peer has received all that was written, and the connection was not reset.
func (c *Conn) Delivered() bool {
	s := c.state()
	return !c.failed.Load() && !s.reset && !s.undelivered
}

// Open reports whether neither side has closed the connection, as far as the system knows. What arrived need not have
// been read.
func (c *Conn) Open() bool { return c.state().tcp == tcpOpen }

// ClosedByPeer reports whether the peer has closed the connection, or ended, and this side has not closed it.
func (c *Conn) ClosedByPeer() bool { return c.state().tcp == tcpClosedByPeer }
