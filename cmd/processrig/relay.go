package main

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const packetBytes = 1 << 16

// relay forwards UDP packets to a sidecar like a stateful network device. It can
// forget its present flows: their packets are dropped from then on, while new flows
// work.
type relay struct {
	addr netip.AddrPort
	to   *net.UDPAddr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow carries the packets between one sender and the sidecar.
type flow struct {
	out       *net.UDPConn
	forgotten bool
}

func newRelay(to netip.AddrPort) (*relay, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &relay{
		addr:  netip.MustParseAddrPort(conn.LocalAddr().String()),
		to:    net.UDPAddrFromAddrPort(to),
		conn:  conn,
		flows: make(map[netip.AddrPort]*flow),
	}
	go r.forward()
	return r, nil
}

func (r *relay) close() {
	r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.out.Close()
	}
}

// forget drops all later packets of the present flows and returns their number.
func (r *relay) forget() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.flows {
		if !f.forgotten {
			n++
		}
		f.forgotten = true
	}
	return n
}

// forward forwards packets to the sidecar until the relay is closed.
func (r *relay) forward() {
	buf := make([]byte, packetBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil {
			// A lost packet does not matter: any network may lose packets.
			_, _ = f.out.Write(buf[:n])
		}
	}
}

// flow returns the flow of a sender, or nil if it has been forgotten.
func (r *relay) flow(from netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[from]
	if !ok {
		out, err := net.DialUDP("udp", nil, r.to)
		if err != nil {
			return nil
		}
		f = &flow{out: out}
		r.flows[from] = f
		go r.forwardBack(f, from)
	}
	if f.forgotten {
		return nil
	}
	return f
}

// forwardBack forwards packets from the sidecar to a flow's sender.
func (r *relay) forwardBack(f *flow, to netip.AddrPort) {
	buf := make([]byte, packetBytes)
	for {
		n, err := f.out.Read(buf)
		if _, ok := err.(*net.OpError); ok && !isClosed(err) {
			continue // no process listens on the sidecar's port at the moment
		}
		if err != nil {
			return
		}
		r.mu.Lock()
		forgotten := f.forgotten
		r.mu.Unlock()
		if !forgotten {
			_, _ = r.conn.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
