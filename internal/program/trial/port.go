package trial

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"

	"wagtailshelf.example/wagtailshelf/internal/program/sidecar"
)

// The ports of sidecars lie below those that the system gives to sockets that do
// not ask for one. A sidecar that starts again needs its port, and one of the
// latter could be held by any other socket by then.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 200
)

// openSidecar opens a sidecar's socket, at a free port if none is given.
func openSidecar(cfg sidecar.Config) (*sidecar.Sidecar, error) {
	if cfg.Listen.Port() != 0 {
		return sidecar.New(cfg)
	}
	address := cfg.Listen.Addr()
	var err error
	for range portTries {
		var s *sidecar.Sidecar
		cfg.Listen = netip.AddrPortFrom(address, firstPort+uint16(rand.IntN(lastPort-firstPort)))
		if s, err = sidecar.New(cfg); err == nil {
			return s, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, err
}
