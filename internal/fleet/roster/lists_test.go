package roster

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// listedServices are the services of the targets in these tests.
var listedServices = []string{"app", "desk", "gen"}

// Guards against a list that keeps a copy of a target that has changed its service, left or gone:
// its server would get requests until it exits.
func TestListsHoldWhatTheRosterHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := New()
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			changeAnyTarget(rt, r)
			requireListsMatch(rt, r)
			requireDisplacedByLater(rt, r)
		}
	})
}

// changeAnyTarget makes one change of one target, whichever is drawn.
func changeAnyTarget(rt *rapid.T, r *Roster) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
	switch rapid.SampledFrom([]string{"put", "put", "remove", "leaving", "missing", "unreadable", "replaced", "services"}).Draw(rt, "change") {
	case "put":
		r.Put(Target{
			ID: id, Service: rapid.SampledFrom(listedServices).Draw(rt, "service"),
			Address:  netip.AddrPortFrom(sharedAddress.Addr(), rapid.Uint16Range(1, 2).Draw(rt, "port")),
			ListedAt: position.Position{Revision: rapid.Int64Range(1, 5).Draw(rt, "revision")},
		})
	case "remove":
		r.Remove(id)
	case "leaving":
		r.MarkLeaving(id, time.Unix(1, 0))
	case "missing":
		r.MarkMissing(id)
	case "unreadable":
		r.MarkUnreadable(id)
	case "replaced":
		r.MarkReplaced(id)
	case "services":
		named := rapid.SliceOfDistinct(rapid.SampledFrom(listedServices), rapid.ID[string]).Draw(rt, "named")
		r.SetServices(func(service string) bool { return slices.Contains(named, service) })
	}
}

// requireListsMatch requires that each list has exactly the targets that accept requests.
func requireListsMatch(t require.TestingT, r *Roster) {
	want := make(map[string][]Target)
	ids := r.IDs()
	slices.Sort(ids)
	for _, id := range ids {
		target, _ := r.Get(id)
		if !target.Leaving && !target.Displaced && !target.Missing && !target.Unreadable {
			want[target.Service] = append(want[target.Service], target)
		}
	}
	for _, service := range listedServices {
		require.Equal(t, want[service], r.Serving(service), fmt.Sprint("the list of ", service))
	}
}

// requireDisplacedByLater requires that exactly those targets are displaced at whose address a later one
// is listed that may run there.
func requireDisplacedByLater(t require.TestingT, r *Roster) {
	for _, id := range r.IDs() {
		target, _ := r.Get(id)
		later := slices.ContainsFunc(r.IDs(), func(other string) bool {
			o, _ := r.Get(other)
			return o.Address == target.Address && target.ListedAt.Before(o.ListedAt) && !o.Replaced && (r.named == nil || r.named(o.Service))
		})
		require.Equal(t, later, target.Displaced, id)
	}
}
