package member

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

const (
	// probed is how many neighbours are probed while all of them answer.
	probed = 3
	// reach is how many neighbours are probed at most. With eight, a member
	// keeps contact with a chance above 99% when a rack with a quarter of its
	// data centre fails, and a rack that is cut off loses contact within a few
	// timeouts because few of its members find three of the eight among themselves.
	reach = 8
	// relayCount is how many relays a data centre has for a key; the second
	// one stands in for a first one whose failure is not yet known.
	relayCount = 2
)

// Quorum returns how many neighbours with contact, or else without, have to
// answer, for a member with n neighbours.
func Quorum(n int) (full, weak int) {
	n = min(n, reach)
	return min(probed, n), (3*n + 3) / 4
}

// neighbours returns the members that name may probe, in the order in which it
// takes them: its successors in its own data centre and, where that is too
// small, members of others, those of its own region first.
func (t *table) neighbours(name host.Name) []*entry {
	e, ok := t.records[name]
	if !ok || e.State == Left {
		return nil
	}
	out := successors(nil, t.centres[e.Identity.DataCentre], e)
	for _, same := range []bool{true, false} {
		for _, dc := range t.names {
			ring := t.centres[dc]
			if len(out) >= reach {
				return out
			}
			if dc == e.Identity.DataCentre || (ring[0].Identity.Region == e.Identity.Region) != same {
				continue
			}
			out = successors(out, ring, e)
		}
	}
	return out
}

// successors appends the members that follow e on a ring, up to the reach.
func successors(out []*entry, ring []*entry, e *entry) []*entry {
	at, _ := slices.BinarySearchFunc(ring, e, compareOnRing)
	for i := range ring {
		next := ring[(at+i)%len(ring)]
		if next == e {
			continue
		}
		if len(out) >= reach {
			return out
		}
		out = append(out, next)
	}
	return out
}

// relays returns the members of a data centre that pass on what has the given
// key, by rendezvous hash. Members under suspicion are passed over; if two
// members disagree about that, an update is sent twice or repaired a little later.
func (t *table) relays(dc host.DataCentre, keyID uint64) []*entry {
	return rendezvous(t.centres[dc], keyID, relayCount)
}

func rendezvous(ring []*entry, keyID uint64, n int) []*entry {
	var best []*entry
	for _, e := range ring {
		if e.State == Suspect {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, e, func(a, b *entry) int {
			return cmp.Compare(mix(b.nameID, keyID), mix(a.nameID, keyID))
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, e)
		if len(best) > n {
			best = best[:n]
		}
	}
	return best
}
