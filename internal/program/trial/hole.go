package trial

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// blackholes makes the open UDP sockets drop all packets, as when a network
// device between two hosts has lost their connection state. Sockets opened later
// work.
type blackholes struct {
	mu      sync.Mutex
	sockets []*blackhole
}

// blackhole is a UDP socket that can drop all packets. It hides the socket's
// other methods, as QUIC would use them to bypass WriteTo and ReadFrom.
type blackhole struct {
	net.PacketConn
	udp      *net.UDPConn
	dropping atomic.Bool
}

// wrap returns c with a switch that makes it drop packets. A connection that is
// no UDP socket is returned as it is.
func (h *blackholes) wrap(c net.PacketConn) net.PacketConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	udp, ok := c.(*net.UDPConn)
	if !ok {
		return c
	}
	socket := &blackhole{PacketConn: c, udp: udp}
	h.sockets = append(h.sockets, socket)
	return socket
}

// dropPackets makes all sockets that have been opened so far drop packets.
func (h *blackholes) dropPackets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, socket := range h.sockets {
		socket.dropping.Store(true)
	}
}

// WriteTo sends a packet, or drops it once dropping is set.
func (h *blackhole) WriteTo(b []byte, addr net.Addr) (int, error) {
	if h.dropping.Load() {
		return len(b), nil
	}
	return h.PacketConn.WriteTo(b, addr)
}

// ReadFrom receives a packet. It drops what arrives once dropping is set.
func (h *blackhole) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := h.PacketConn.ReadFrom(b)
		if err != nil || !h.dropping.Load() {
			return n, addr, err
		}
	}
}

// SetReadBuffer sets the size of the receive buffer. QUIC calls it.
func (h *blackhole) SetReadBuffer(bytes int) error { return h.udp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the send buffer. QUIC calls it.
func (h *blackhole) SetWriteBuffer(bytes int) error { return h.udp.SetWriteBuffer(bytes) }

// SyscallConn gives access to the socket's options.
func (h *blackhole) SyscallConn() (syscall.RawConn, error) { return h.udp.SyscallConn() }
