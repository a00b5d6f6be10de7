package trial

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// holes makes open UDP sockets swallow all packets, as when something between
// two hosts has lost track of them. Sockets opened later work.
type holes struct {
	mu      sync.Mutex
	sockets []*hole
}

// hole hides the socket's other methods, by which QUIC would pass it over.
type hole struct {
	net.PacketConn
	udp  *net.UDPConn
	shut atomic.Bool
}

func (h *holes) wrap(c net.PacketConn) net.PacketConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	udp, ok := c.(*net.UDPConn)
	if !ok {
		return c
	}
	socket := &hole{PacketConn: c, udp: udp}
	h.sockets = append(h.sockets, socket)
	return socket
}

func (h *holes) shutOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, socket := range h.sockets {
		socket.shut.Store(true)
	}
}

// WriteTo drops packets once the hole is shut.
func (h *hole) WriteTo(b []byte, addr net.Addr) (int, error) {
	if h.shut.Load() {
		return len(b), nil
	}
	return h.PacketConn.WriteTo(b, addr)
}

// ReadFrom drops packets once the hole is shut.
func (h *hole) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := h.PacketConn.ReadFrom(b)
		if err != nil || !h.shut.Load() {
			return n, addr, err
		}
	}
}

// SetReadBuffer sets the size of the receive buffer, which QUIC asks for.
func (h *hole) SetReadBuffer(bytes int) error { return h.udp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the send buffer, which QUIC asks for.
func (h *hole) SetWriteBuffer(bytes int) error { return h.udp.SetWriteBuffer(bytes) }

// SyscallConn gives access to the socket's options.
func (h *hole) SyscallConn() (syscall.RawConn, error) { return h.udp.SyscallConn() }
