package trial

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"

	"wagtailshelf.example/wagtailshelf/internal/program/sidecar"
)

// The ports of sidecars lie below the ephemeral ports. A restarted sidecar needs
// its port again, and an ephemeral one could have been given to another socket
// by then.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 200
)

// openSidecar creates a sidecar, which opens its socket. It chooses a free port
// if none is given.
func openSidecar(cfg sidecar.Config) (*sidecar.Sidecar, error) {
	once, cancel := context.WithCancel(context.Background())
	cancel() // an address that is taken stays so
	if cfg.Listen.Port() != 0 {
		return sidecar.New(once, cfg)
	}
	address := cfg.Listen.Addr()
	var err error
	for range portTries {
		var s *sidecar.Sidecar
		cfg.Listen = netip.AddrPortFrom(address, firstPort+uint16(rand.IntN(lastPort-firstPort)))
		if s, err = sidecar.New(once, cfg); err == nil {
			return s, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, err
}
