package rankport

import (
	"net/netip"
	"testing"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
)

// Guards against a planner that takes the beginning of a head at a sidecar's address for an answer.
func TestCutHeadsAreNoAnswer(t *testing.T) {
	rawserver.RequireHeadsWhole(t, false, func(to netip.AddrPort) error {
		_, err := NewClient().Poll(t.Context(), to, Poll{})
		return err
	})
}
