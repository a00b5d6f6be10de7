package entry

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

func hostObject(name, address, state string) object.Object {
	return object.Object{
		Key:   object.Key("hosts/" + name),
		Value: fmt.Appendf(nil, `{"name":%q,"address":%q,"state":%q}`, name, address, state),
	}
}

// The document names a host that the platform's list says is leaving, or gone.
// The list counts: a host that is gone must not be waited for when the next
// document is accepted.
func TestListings(t *testing.T) {
	const sidecar, address = "mtl-a-agenda-0", "127.0.0.1:22000"
	at := netip.MustParseAddrPort(address)
	tests := []struct {
		name string
		list []object.Object
		want []member.Listing
	}{
		{"not on the list", nil, []member.Listing{{Name: sidecar, Address: at}}},
		{"live", []object.Object{hostObject(sidecar, address, "live")}, []member.Listing{{Name: sidecar, Address: at}}},
		{"leaving", []object.Object{hostObject(sidecar, address, "leaving")}, []member.Listing{{Name: sidecar, Address: at, Leaving: true}}},
		{"gone", []object.Object{hostObject(sidecar, address, "gone")}, nil},
		{"another host", []object.Object{hostObject("mtl-a-entry-1", "127.0.0.1:7401", "live")}, []member.Listing{
			{Name: sidecar, Address: at}, {Name: "mtl-a-entry-1", Address: netip.MustParseAddrPort("127.0.0.1:7401")},
		}},
		{"not readable", []object.Object{{Key: "hosts/" + sidecar, Value: []byte("{")}}, []member.Listing{{Name: sidecar, Address: at}}},
		{"under another name", []object.Object{{Key: "hosts/x", Value: hostObject(sidecar, address, "gone").Value}}, []member.Listing{{Name: sidecar, Address: at}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t)
			e.Install("agenda", 1, agenda())
			for _, o := range test.list {
				if h, ok := decodeHost(o); ok {
					e.hosts[h.Name] = h
				}
			}
			require.Equal(t, test.want, append([]member.Listing(nil), e.listings()...))
		})
	}
}
