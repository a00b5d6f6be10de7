package command

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/fleet"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const fleetSize = 5

// fleetOf starts processes that take part in the fleet, on loopback, and returns
// the first one.
func (s *session) fleetOf(n int) *fleet.Fleet {
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(s.t, err)
	var seeds []netip.AddrPort
	var all []*fleet.Fleet
	for i := range n {
		f, addr := s.member(authority, i, seeds)
		seeds = append(seeds, addr)
		all = append(all, f)
	}
	return all[0]
}

func (s *session) member(authority *credential.Authority, i int, seeds []netip.AddrPort) (*fleet.Fleet, netip.AddrPort) {
	id := host.Identity{
		Name: host.Name(fmt.Sprintf("entry-%d", i)), Role: host.Entry,
		DataCentre: host.DataCentre(fmt.Sprintf("dc-%d", i%2)), Incarnation: host.Incarnation(i + 1),
	}
	material, err := authority.Issue(time.Now(), credential.Identity{Name: id.Name, Role: id.Role}, credential.ShortLifetime)
	require.NoError(s.t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(s.t, err)
	var self atomic.Pointer[fleet.Fleet]
	cfg := &peer.Config{
		Identity: id, ClientTLS: keys.Client, ServerTLS: keys.Server(),
		OnControl: func(c *peer.Conn, m frame.Control) {
			if f := self.Load(); f != nil {
				f.OnControl(c, m)
			}
		},
	}
	listener, err := peer.Listen(cfg, netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(s.t, err)
	cfg.Identity.Address = listener.Addr()
	client := platform.New(platform.Config{URL: "http://" + s.store})
	f := fleet.New(fleet.Config{
		Peers: cfg, Seeds: seeds, Platform: client, Metrics: metrics.NewSet(),
		Log:     &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		InForce: func(acceptance.Document) {},
	})
	self.Store(f)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- f.Run(ctx) }()
	go func() {
		done <- listener.Serve(ctx, func(ctx context.Context, c *peer.Conn) {
			select {
			case <-ctx.Done():
			case <-c.Closed():
			}
		})
	}()
	s.t.Cleanup(func() {
		stop()
		listener.Close()
		<-done
		<-done
		client.Close()
	})
	return f, listener.Addr()
}

// administer serves the administration API as an entry of the fleet does.
func (s *session) administer(f *fleet.Fleet) {
	client := platform.New(platform.Config{URL: "http://" + s.store})
	s.t.Cleanup(client.Close)
	e := echo.New()
	api := &administration.API{
		Records:  &administration.Records{Do: client.Do},
		Now:      time.Now,
		Operator: func(echo.Context) string { return "marie" },
		Applied:  f.Applied,
	}
	api.Mount(e.Group(""))
	server := httptest.NewServer(e)
	s.t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
}

// awaitHistory waits until the history shows a text so often. It follows the
// acceptance, so it can be a moment late.
func (s *session) awaitHistory(text string, n int) {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		s.log.Reset()
		if s.run("auditor", "history --platform PLATFORM agenda") == nil && strings.Count(s.log.String(), text) == n {
			return
		}
	}
	require.Fail(s.t, "the history does not show what it should", s.log.String())
}

// An operator applies a document, waits, edits it and waits again, with a real
// fleet over QUIC. Both waits end with the document in force on all; a document
// that drops a workspace without the word changes nothing; and the platform
// alone answers the auditor, texts included.
func TestApplyWaitsForTheFleet(t *testing.T) {
	s := newSession(t)
	s.administer(s.fleetOf(fleetSize))
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	s.write(filepath.Join(s.dir, "agenda.yaml"), string(text))
	const apply = "apply --wait --administration ADMINISTRATION "
	everywhere := func(number int) string {
		return fmt.Sprintf("number %d: accepted, in force on %d of %d\n", number, fleetSize, fleetSize)
	}

	require.NoError(t, s.run("marie", apply+"agenda.yaml"), s.log.String())
	assert.Contains(t, s.log.String(), everywhere(1))
	require.NoError(t, s.run("marie", "show --administration ADMINISTRATION agenda > edited.yaml"))
	s.edit("edited.yaml", "concurrency: 64", "concurrency: 48")
	began := time.Now()
	require.NoError(t, s.run("marie", apply+"edited.yaml"), s.log.String())
	t.Logf("from apply to in force on all, as the status shows it: %v", time.Since(began))
	assert.Contains(t, s.log.String(), everywhere(2))
	s.edit("edited.yaml", "name: laval", "name: laval-nord")
	require.ErrorIs(t, s.run("marie", apply+"edited.yaml"), ErrFindings)

	s.awaitHistory("by marie\n", 2)
	require.NoError(t, s.run("auditor", "diff --platform PLATFORM --from 1 --to 2 agenda"))
	assert.Contains(t, s.log.String(), "~ limits.concurrency: 64 -> 48\n")
	assert.NotContains(t, s.log.String(), history.ErrDamaged.Error())
}
