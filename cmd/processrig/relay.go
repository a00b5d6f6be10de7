package main

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const packetBytes = 1 << 16

// relay forwards UDP packets to a sidecar, as a network with state does. It can
// forget the flows that it knows: their packets vanish for good, while new flows
// work.
type relay struct {
	addr netip.AddrPort
	to   *net.UDPAddr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

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
	go r.run()
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

// forget makes the present flows silent and returns their number.
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

func (r *relay) run() {
	buf := make([]byte, packetBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil {
			// A packet that is lost here is lost as on any network.
			_, _ = f.out.Write(buf[:n])
		}
	}
}

// flow returns the flow of a sender; nil if it has been forgotten.
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
		go r.back(f, from)
	}
	if f.forgotten {
		return nil
	}
	return f
}

func (r *relay) back(f *flow, to netip.AddrPort) {
	buf := make([]byte, packetBytes)
	for {
		n, err := f.out.Read(buf)
		if _, ok := err.(*net.OpError); ok && !isClosed(err) {
			continue // nobody listens at the sidecar's port for the moment
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
