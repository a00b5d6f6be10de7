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
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/entry"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const entryCount = 3

// entries starts entries on loopback and returns the flags with the addresses of
// their administration listeners.
func (s *session) entries(n int) string {
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(s.t, err)
	flags := ""
	for i := range n {
		flags += "--administration " + s.entry(authority, i) + " "
	}
	return flags
}

// entry starts one entry and returns the address of its administration listener.
func (s *session) entry(authority *credential.Authority, i int) (administration string) {
	id := host.Identity{
		Name: host.Name(fmt.Sprintf("entry-%d", i)), Role: host.Entry, DataCentre: "dc-0", Incarnation: 1,
	}
	material, err := authority.Issue(time.Now(), credential.Identity{Name: id.Name, Role: id.Role}, credential.ShortLifetime)
	require.NoError(s.t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(s.t, err)
	client := platform.New(platform.Config{URL: "http://" + s.platformAddress})
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := entry.New(context.Background(), entry.Config{
		Identity: id, Callers: loopback, Peers: loopback, Platform: client, Keys: keys, Metrics: metrics.NewSet(),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	handler := echo.New()
	e.MountAdministration(handler.Group(""), func(echo.Context) string { return "marie" })
	server := httptest.NewServer(handler)
	s.t.Cleanup(func() {
		server.Close()
		stop()
		<-done
		client.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// TestApplyWaitsForAllNamedEntries applies a document, edits it and applies it again,
// both times with --wait and the addresses of three running entries. Both waits end when
// the document is active on all of them. A document that removes a workspace without
// confirming it is refused and changes nothing. An auditor reads the history and the
// texts of the documents from the platform alone.
func TestApplyWaitsForAllNamedEntries(t *testing.T) {
	s := newSession(t)
	administration := s.entries(entryCount)
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	s.write(filepath.Join(s.dir, "agenda.yaml"), string(text))
	apply := "apply --wait " + administration
	inForceOnAll := func() string { return fmt.Sprintf(": in force on %d of %d\n", entryCount, entryCount) }

	require.NoError(t, s.run("marie", apply+"agenda.yaml"), s.log.String())
	assert.Contains(t, s.log.String(), inForceOnAll())
	require.NoError(t, s.run("marie", "show "+administration+"agenda > edited.yaml"))
	s.edit("edited.yaml", "concurrency: 64", "concurrency: 48")
	s.log.Reset()
	require.NoError(t, s.run("marie", apply+"edited.yaml"), s.log.String())
	assert.Contains(t, s.log.String(), inForceOnAll())
	s.edit("edited.yaml", "name: laval", "name: laval-nord")
	require.ErrorIs(t, s.run("marie", apply+"edited.yaml"), ErrFindings)

	s.log.Reset()
	require.NoError(t, s.run("auditor", "history --platform PLATFORM agenda"))
	assert.Equal(t, 2, strings.Count(s.log.String(), "by marie\n"))
	require.NoError(t, s.run("auditor", "diff --platform PLATFORM --from before --to applied agenda"))
	assert.Contains(t, s.log.String(), "~ limits.concurrency: 64 -> 48\n")
	assert.NotContains(t, s.log.String(), history.ErrDamaged.Error())
}
