package program

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// The ports that FreeAddress chooses from lie below those that the system gives to clients, which would have one for a
// moment as its process starts.
const (
	firstPort = 20000
	lastPort  = 32000
)

// addresses are the addresses that FreeAddress has returned.
var addresses struct {
	mu   sync.Mutex
	used map[netip.AddrPort]bool
}

// FreeAddress returns an address on loopback that nobody listens on, over TCP or UDP, another one each time.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	addresses.mu.Lock()
	defer addresses.mu.Unlock()
	for range lastPort - firstPort {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if addresses.used[at] || !IsFree("tcp", at) || !IsFree("udp", at) {
			continue
		}
		if addresses.used == nil {
			addresses.used = make(map[netip.AddrPort]bool)
		}
		addresses.used[at] = true
		return at
	}
	t.Fatal("no address is free")
	return netip.AddrPort{}
}

// IsFree reports whether nobody listens on an address. The network is tcp or udp.
func IsFree(network string, at netip.AddrPort) bool {
	release, err := Take(network, at)
	if err != nil {
		return false
	}
	release()
	return true
}

// Take listens on an address until the returned function is called. The network is tcp or udp.
func Take(network string, at netip.AddrPort) (release func(), err error) {
	if network == "udp" {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return nil, err
		}
		return func() { _ = c.Close() }, nil // nothing is sent
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	return func() { _ = l.Close() }, nil // nobody has to be served
}
