package lifetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
)

// takenTime is how long another process has an address, beyond the start of the one under test.
const takenTime = 300 * time.Millisecond

// Guards against a process that ends because one of its addresses is another's for a moment.
func TestAddressIsTaken(t *testing.T) {
	for _, r := range roles(t) {
		for _, a := range r.addresses {
			t.Run(r.name+" "+a.name+" "+a.network, func(t *testing.T) {
				release, err := program.Take(a.network, a.at)
				require.NoError(t, err)
				p := r.start(t)
				ended := p.Await(takenTime)
				release()
				require.False(t, ended, "the process has ended: %s", p.End())
				r.requireServes(t, p)
			})
		}
	}
}

// Guards against a process that can't be stopped while it waits for an address.
func TestStopWhileAnAddressIsTaken(t *testing.T) {
	for _, r := range roles(t) {
		for _, a := range r.addresses {
			t.Run(r.name+" "+a.name+" "+a.network, func(t *testing.T) {
				release, err := program.Take(a.network, a.at)
				require.NoError(t, err)
				defer release()
				p := r.start(t)
				p.Await(takenTime)
				p.Signal(15)
				require.True(t, p.Await(limit))
				require.Empty(t, p.EndedByItself())
			})
		}
	}
}
