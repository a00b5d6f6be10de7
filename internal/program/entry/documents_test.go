package entry

import (
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const agendaText = `service: agenda
kind: plain
pathPrefix: /agenda
targets:
  - {name: agenda-0, host: mtl-a-agenda-0, address: 127.0.0.1:22000, dataCentre: mtl-a}
routes:
  - {methods: [GET], path: /lists/*, idempotent: true, deadline: 5s}
workspaces:
  - {name: laval, keys: ["sha256:KEY"]}
`

// newEntry returns an entry that is not running and that reaches no platform.
func newEntry(t *testing.T) *Entry {
	t.Helper()
	return newEntryAt(t, "mtl-a-entry-0", "http://127.0.0.1:1")
}

func newEntryAt(t *testing.T, name host.Name, url string) *Entry {
	t.Helper()
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(t, err)
	id := credential.Identity{Name: name, Role: host.Entry}
	material, err := authority.Issue(time.Now(), id, credential.ShortLifetime)
	require.NoError(t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(t, err)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := New(t.Context(), Config{
		Identity: host.Identity{Name: id.Name, Role: id.Role, DataCentre: "mtl-a", Incarnation: 1},
		Callers:  loopback,
		Peers:    loopback,
		Platform: platform.New(platform.Config{URL: url}),
		Keys:     keys,
		Log:      &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Metrics:  metrics.NewSet(),
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		e.stop()
		e.background.Wait()
		e.peerListener.Close()
		_ = e.callerListener.Close()
	})
	return e
}

func agenda(change ...string) []byte {
	text := strings.ReplaceAll(agendaText, "KEY", document.KeyDigestOf("key").String())
	return []byte(strings.NewReplacer(change...).Replace(text))
}

// Processes of an earlier version accepted a document, and this version has a check that
// the document does not pass. The document becomes active here as everywhere else:
// staying on the previous one would revert the configuration.
func TestInstall(t *testing.T) {
	tests := []struct {
		name   string
		number uint64
		text   []byte
		want   uint64
	}{
		{"the next number", 8, agenda(), 8},
		{"the same number again", 7, agenda("5s", "6s"), 7},
		{"an earlier number", 6, agenda(), 7},
		{"has findings, but its routes can be read", 8, agenda("kind: plain", "kind: plain\nfuture: 1"), 8},
		{"nothing to route by", 8, agenda("targets:", "others:"), 7},
		{"another service", 8, agenda("service: agenda", "service: deckapp\nfuture: 1"), 7},
		{"not YAML", 8, []byte("{"), 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t)
			e.Install("agenda", 7, agenda())
			e.Install("agenda", test.number, test.text)
			s := e.find("", "/agenda/lists/anne")
			require.NotNil(t, s)
			require.Equal(t, test.want, s.Number)
			require.Equal(t, 5*time.Second, s.Document.Routes[0].Deadline)
		})
	}
}
