package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
)

func hostObject(name, state string) object.Object {
	return object.Object{
		Key:   object.Key("hosts/" + name),
		Value: fmt.Appendf(nil, `{"name":%q,"address":"127.0.0.1:22000","state":%q}`, name, state),
	}
}

// firstTargetLeaving reports whether the router of a service knows that its first target
// is leaving.
func firstTargetLeaving(t *testing.T, e *Entry, service string) bool {
	t.Helper()
	state, err := e.State(t.Context())
	require.NoError(t, err)
	for _, r := range state.Routers {
		if r.Service == service {
			return len(r.Targets) > 0 && r.Targets[0].Leaving.Left
		}
	}
	return false
}

// The document names a host that the platform lists as leaving or gone, and the report of
// its sidecar does not arrive. The target gets no new requests, whether the list or the
// document came first. A host that is listed as live gets requests.
func TestListSaysThatAHostLeaves(t *testing.T) {
	const sidecar = "mtl-a-agenda-0"
	tests := []struct {
		name string
		list object.Object
		want bool
	}{
		{"live", hostObject(sidecar, "live"), false},
		{"leaving", hostObject(sidecar, "leaving"), true},
		{"gone", hostObject(sidecar, "gone"), true},
		{"another host", hostObject("mtl-a-agenda-1", "gone"), false},
		{"not readable", object.Object{Key: "hosts/" + sidecar, Value: []byte("{")}, false},
		{"under another name", object.Object{Key: "hosts/x", Value: hostObject(sidecar, "gone").Value}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, listFirst := range []bool{true, false} {
				e := newEntry(t)
				if listFirst {
					e.hostsChanged([]object.Object{test.list})
				}
				e.Install("agenda", 1, agenda())
				if !listFirst {
					e.hostsChanged([]object.Object{test.list})
				}
				require.Equal(t, test.want, firstTargetLeaving(t, e, "agenda"), "list first: %t", listFirst)
			}
		})
	}
}

// Three entries register in the platform, and each learns of the others. Then the host of
// one is gone for good: the others stop counting that entry, and its record is deleted.
// Otherwise records would accumulate with each host that is replaced.
func TestEntriesLearnOfEachOther(t *testing.T) {
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	ctx, stop := context.WithCancel(t.Context())
	var all []*Entry
	ended := make(chan error, 6)
	for _, name := range []host.Name{"mtl-a-entry-0", "mtl-b-entry-0", "mtl-c-entry-0"} {
		e := newEntryAt(t, name, server.URL)
		all = append(all, e)
		go func() { ended <- e.followEntries(ctx) }()
		go func() { ended <- e.followHosts(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range 6 {
			<-ended
		}
	})
	requireEntries := func(e *Entry, want ...host.Name) {
		t.Helper()
		require.Eventually(t, func() bool {
			state, err := e.State(t.Context())
			return err == nil && fmt.Sprint(state.Entries) == fmt.Sprint(want)
		}, 20*time.Second, 10*time.Millisecond)
	}
	for _, e := range all {
		requireEntries(e, "mtl-a-entry-0", "mtl-b-entry-0", "mtl-c-entry-0")
	}
	p.Put("hosts/mtl-c-entry-0", hostObject("mtl-c-entry-0", "gone").Value)
	requireEntries(all[0], "mtl-a-entry-0", "mtl-b-entry-0")
	requireEntries(all[1], "mtl-a-entry-0", "mtl-b-entry-0")
	require.Eventually(t, func() bool {
		_, found := p.Get("entries/mtl-c-entry-0")
		return !found
	}, 20*time.Second, 10*time.Millisecond)
}
