package roster

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

var at = netip.MustParseAddrPort("10.1.0.4:8501")

func ids(list []Target) []string {
	var got []string
	for _, t := range list {
		got = append(got, t.ID)
	}
	return got
}

// A server is killed and starts again at its address, under a new id. The store lists the
// earlier one for three heartbeats yet; each request for it is refused by the new one.
func TestLaterLifeAtAnAddress(t *testing.T) {
	first := Target{ID: "first", Service: "svc", Address: at, Since: position.Position{Revision: 4}}
	second := Target{ID: "second", Service: "svc", Address: at, Since: position.Position{Revision: 9}}
	t.Run("as it comes", func(t *testing.T) {
		r := New()
		r.Put(first)
		require.Equal(t, []string{"first"}, r.Put(second))
		require.Equal(t, []string{"second"}, ids(r.Serving("svc")))
		require.Empty(t, r.Put(first), "a heartbeat that was under way")
		require.Equal(t, []string{"second"}, ids(r.Serving("svc")))
	})
	t.Run("listed in another order", func(t *testing.T) {
		r := New()
		r.Put(second)
		r.Put(first)
		require.Equal(t, []string{"second"}, ids(r.Serving("svc")))
		require.Equal(t, []string{"second"}, ids(Living([]Target{first, second})))
	})
	t.Run("of another service", func(t *testing.T) {
		r := New()
		r.Put(first)
		r.Put(Target{ID: "third", Service: "other", Address: at, Since: position.Position{Revision: 12}})
		require.Empty(t, r.Serving("svc"))
	})
	t.Run("other addresses", func(t *testing.T) {
		r := New()
		r.Put(first)
		r.Put(Target{ID: "beside", Service: "svc", Address: netip.AddrPortFrom(at.Addr(), 1), Since: position.Position{Revision: 12}})
		require.Len(t, r.Serving("svc"), 2)
	})
}
