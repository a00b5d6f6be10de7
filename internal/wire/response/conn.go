// Package response guards what the process reads as an HTTP client: that the head of a response can be read in one way
// only.
//
// Everything that the process calls over HTTP is read through a [Conn]: targets, engines, the store and peers.
package response

import (
	"errors"
	"net"
	"syscall"
)

// Conn is a client's connection. Its reads fail on a head that is malformed.
type Conn struct {
	net.Conn
	head headCheck
}

// NewConn returns a connection on which no response is expected yet.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.head.done = true
	return conn
}

// Begin expects the response to a request. The bytes that were read of it before are its beginning.
func (c *Conn) Begin(arrived []byte) error { return c.head.begin(arrived) }

// Read reads from the connection. It fails with [ErrMalformed] or [ErrHeadTooLong].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.head.arrive(p[:n]); malformed != nil {
		return 0, malformed
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
