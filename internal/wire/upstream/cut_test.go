package upstream

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
)

// Guards against an entry that takes the beginning of a target's head for an answer.
func TestCutHeadsAreNoAnswer(t *testing.T) {
	rawserver.RequireHeadsWhole(t, false, func(to netip.AddrPort) error {
		a, err := send(t, to)
		if err != nil {
			return err
		}
		defer a.Finish(time.Now(), false, 0)
		_, err = io.ReadAll(a.Body)
		return err
	})
}
