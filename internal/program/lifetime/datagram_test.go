package lifetime

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
)

// Guards against an odd time in a datagram of another process that panics where it is logged.
func TestOddTimesInDatagrams(t *testing.T) {
	r := roles(t)[0]
	p := r.start(t)
	r.requireServes(t, p)
	socket, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	at := r.address("peers")
	for n, age := range []time.Duration{math.MinInt64, math.MinInt64 + 1, -1, math.MaxInt64} {
		socket.SendUpdate(at, digest.Update{
			Term: int64(n + 1), Poll: 1, Service: "s", Group: "g", Open: n%2 == 0, Age: age, Entries: 1, Index: 1,
			Ranks: []digest.Rank{{Target: "a", Grant: 1}}, Rates: []digest.Rate{{Target: "a", Named: true, Rate: float64(n + 1), Age: age}},
		})
		require.Eventually(t, func() bool {
			return strings.Count(r.logged(t), `"event":"groupState"`) > n || r.hasLogged(t, "taskEnded") || !p.Lives()
		}, limit, time.Millisecond)
	}
	require.Empty(t, p.End())
	require.False(t, r.hasLogged(t, "taskEnded"))
	r.requireServes(t, p)
}
