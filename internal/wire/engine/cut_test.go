package engine_test

import (
	"net/netip"
	"testing"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// Guards against a sidecar that takes the beginning of a target's head for an answer.
func TestCutHeadsAreNoAnswer(t *testing.T) {
	for name, repeatable := range map[string]bool{"once": false, "repeatable": true} {
		t.Run(name, func(t *testing.T) {
			rawserver.RequireHeadsWhole(t, false, func(to netip.AddrPort) error {
				c := engine.New(engine.Config{Target: to})
				defer c.Close()
				_, err := read(t, c, "{}", repeatable)
				return err
			})
		})
	}
}
