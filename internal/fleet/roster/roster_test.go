package roster

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

var sharedAddress = netip.MustParseAddrPort("10.1.0.4:8501")

func idsOf(list []Target) []string {
	var got []string
	for _, t := range list {
		got = append(got, t.ID)
	}
	return got
}

// A server is killed and restarts at its address with a new id. The store lists the earlier
// id for three more heartbeats; the new server would refuse each request for it.
func TestLaterIncarnationAtAnAddress(t *testing.T) {
	first := Target{ID: "first", Service: "svc", Address: sharedAddress, ListedAt: position.Position{Revision: 4}}
	second := Target{ID: "second", Service: "svc", Address: sharedAddress, ListedAt: position.Position{Revision: 9}}
	t.Run("in order of listing", func(t *testing.T) {
		r := New()
		r.Put(first)
		require.Equal(t, []string{"first"}, r.Put(second))
		require.Equal(t, []string{"second"}, idsOf(r.Serving("svc")))
		require.Empty(t, r.Put(first), "a late heartbeat")
		require.Equal(t, []string{"second"}, idsOf(r.Serving("svc")))
	})
	t.Run("listed in another order", func(t *testing.T) {
		r := New()
		r.Put(second)
		r.Put(first)
		require.Equal(t, []string{"second"}, idsOf(r.Serving("svc")))
		require.Equal(t, []string{"second"}, idsOf(WithoutDisplaced([]Target{first, second})))
	})
	t.Run("of another service", func(t *testing.T) {
		r := New()
		r.Put(first)
		r.Put(Target{ID: "third", Service: "other", Address: sharedAddress, ListedAt: position.Position{Revision: 12}})
		require.Empty(t, r.Serving("svc"))
	})
	t.Run("other addresses", func(t *testing.T) {
		r := New()
		r.Put(first)
		r.Put(Target{ID: "beside", Service: "svc", Address: netip.AddrPortFrom(sharedAddress.Addr(), 1), ListedAt: position.Position{Revision: 12}})
		require.Len(t, r.Serving("svc"), 2)
	})
}
