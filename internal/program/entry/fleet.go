package entry

import (
	"slices"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/program/fleet"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// newMembership returns the entry's part in the fleet.
func (e *Entry) newMembership() *fleet.Fleet {
	return fleet.New(fleet.Config{
		Peers:    e.peers,
		Seeds:    e.cfg.Seeds,
		Platform: e.cfg.Platform,
		Log:      e.log,
		Metrics:  e.cfg.Metrics,
		InForce:  e.accepted,
		Changed:  e.MemberChanged,
	})
}

// accepted puts a document in force that the fleet has accepted, and makes the
// sidecars of its targets known: they may have started before any entry.
func (e *Entry) accepted(d acceptance.Document) {
	e.Install(d.Service, uint64(d.Number), d.Text)
	e.membership.Listed(e.listings())
}

// sidecars lists the hosts of all targets in force.
func (e *Entry) sidecars() []member.Listing {
	view := e.inForce.Load()
	if view == nil {
		return nil
	}
	var out []member.Listing
	for _, d := range view.documents {
		for _, t := range d.Targets {
			out = append(out, member.Listing{Name: t.Host, Address: t.Address})
		}
	}
	slices.SortFunc(out, compareListings)
	return slices.CompactFunc(out, func(a, b member.Listing) bool { return a.Name == b.Name })
}

func compareListings(a, b member.Listing) int {
	return strings.Compare(string(a.Name), string(b.Name))
}

// onControl hands a message to the duty that it is for.
func (e *Entry) onControl(from *peer.Conn, m frame.Control) {
	if e.membership != nil {
		e.membership.OnControl(from, m)
	}
	if e.cfg.OnControl != nil {
		e.cfg.OnControl(from, m)
	}
}
