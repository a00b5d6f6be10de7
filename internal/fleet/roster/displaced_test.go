package roster

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// Guards against a server that gets no requests for good, because an entry once named its address.
func TestDisplacedTargetGetsItsPlaceBack(t *testing.T) {
	first := Target{ID: "first", Service: "svc", Address: sharedAddress, ListedAt: position.Position{Revision: 4}}
	later := Target{ID: "later", Service: "other", Address: sharedAddress, ListedAt: position.Position{Revision: 9}}
	elsewhere := later
	elsewhere.Address = netip.AddrPortFrom(sharedAddress.Addr(), 1)
	naming := func(services ...string) func(string) bool {
		return func(service string) bool { return slices.Contains(services, service) }
	}
	for name, c := range map[string]struct {
		end  func(*Roster)
		back bool
	}{
		"the later one is unchanged":            {func(r *Roster) { r.Put(later) }, false},
		"the later one announces its shutdown":  {func(r *Roster) { r.MarkLeaving("later", time.Unix(1, 0)) }, false},
		"the later one can't be read any more":  {func(r *Roster) { r.MarkUnreadable("later") }, false},
		"the later one is gone":                 {func(r *Roster) { r.Remove("later") }, true},
		"the later one is at another address":   {func(r *Roster) { r.Put(elsewhere) }, true},
		"another server answers there":          {func(r *Roster) { r.MarkReplaced("later") }, true},
		"its service is named":                  {func(r *Roster) { r.SetServices(naming("svc", "other")) }, false},
		"its service is not named":              {func(r *Roster) { r.SetServices(naming("svc")) }, true},
		"its service is named again":            {func(r *Roster) { r.SetServices(naming("svc")); r.SetServices(naming("svc", "other")) }, false},
		"its service is not named, and written": {func(r *Roster) { r.SetServices(naming("svc")); r.Put(later) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			var regained []string
			r.OnRegained = func(id string) { regained = append(regained, id) }
			r.Put(first)
			require.Equal(t, []string{"first"}, r.Put(later))
			c.end(r)
			if !c.back {
				require.Empty(t, r.Serving("svc"))
				return
			}
			require.Equal(t, []string{"first"}, idsOf(r.Serving("svc")))
			require.Equal(t, []string{"first"}, regained)
		})
	}
}

// Guards against taking a server for one of another service, because another writer named its address.
func TestServiceAtAnAddress(t *testing.T) {
	r := New()
	r.SetServices(func(service string) bool { return service == "svc" })
	r.Put(Target{ID: "live", Service: "svc", Address: sharedAddress, ListedAt: position.Position{Revision: 4}})
	r.Put(Target{ID: "foreign", Service: "inventory", Address: sharedAddress, ListedAt: position.Position{Revision: 9}})
	for range 100 { // the order of a map is random
		require.Equal(t, "svc", r.ServiceAt(sharedAddress))
	}
}
