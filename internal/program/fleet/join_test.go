package fleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/entry"
	"wagtailshelf.example/wagtailshelf/internal/program/sidecar"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

func (d *deployment) keys(name host.Name, role host.Role) *credential.Store {
	material, err := d.authority.Issue(time.Now(), credential.Identity{Name: name, Role: role}, credential.ShortLifetime)
	require.NoError(d.t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(d.t, err)
	return keys
}

func (d *deployment) client() *platform.Client {
	c := platform.New(platform.Config{URL: d.url})
	d.t.Cleanup(c.Close)
	return c
}

// run serves until the test ends.
func (d *deployment) run(serve func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx) }()
	d.t.Cleanup(func() {
		stop()
		<-done
	})
}

func (d *deployment) startSidecar(name host.Name) *sidecar.Sidecar {
	s, err := sidecar.New(sidecar.Config{
		Identity: host.Identity{Name: name, Role: host.Sidecar, DataCentre: "mtl-a", Incarnation: 1},
		Listen:   loopback, Target: netip.MustParseAddrPort("127.0.0.1:9"), Keys: d.keys(name, host.Sidecar),
		Log: d.log, Metrics: metrics.NewSet(), Platform: d.client(),
	})
	require.NoError(d.t, err)
	d.run(s.Run)
	return s
}

func (d *deployment) startEntry(name host.Name) *entry.Entry {
	e, err := entry.New(entry.Config{
		Identity: host.Identity{Name: name, Role: host.Entry, DataCentre: "mtl-a", Incarnation: 1},
		Callers:  loopback, Peers: loopback, Platform: d.client(), Keys: d.keys(name, host.Entry),
		Log: d.log, Metrics: metrics.NewSet(), Fleet: true,
	})
	require.NoError(d.t, err)
	d.run(e.Run)
	return e
}

// A document that names two targets is applied. Their sidecars started before
// any entry and have no seeds; the entry finds them by the document that it
// accepted alone, and the next one is accepted by all three.
func TestRolesTakeDocumentsFromTheFleet(t *testing.T) {
	d := newDeployment(t)
	one, two := d.startSidecar("mtl-a-agenda-0"), d.startSidecar("mtl-b-agenda-1")
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	value := strings.NewReplacer("127.0.0.1:22000", one.Addr().String(), "127.0.0.1:22001", two.Addr().String()).Replace(string(text))
	d.put(value)
	e := d.startEntry("mtl-a-entry-0")
	d.awaitNumber(e, 1)
	require.Eventually(t, func() bool {
		state, err := e.State(context.Background())
		return err == nil && len(state.Fleet.Members) == 3
	}, waitBound, 20*time.Millisecond, "the entry does not know the sidecars")
	d.put(strings.ReplaceAll(value, "concurrency: 64", "concurrency: 32"))
	d.awaitNumber(e, 2)
	for _, s := range []*sidecar.Sidecar{one, two} {
		assert.Eventually(t, func() bool {
			state, err := s.State(context.Background())
			return err == nil && len(state.Fleet.Documents) == 1 && state.Fleet.Documents[0].Number == 2 && state.Fleet.Work
		}, waitBound, 20*time.Millisecond)
	}
}

func (d *deployment) awaitNumber(e *entry.Entry, number uint64) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		state, err := e.State(context.Background())
		return err == nil && e.Ready() && len(state.Services) == 1 && state.Services[0].Number == number
	}, waitBound, 20*time.Millisecond, fmt.Sprintf("number %d is not in force", number))
}
