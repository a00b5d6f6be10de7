//go:build alone

package abuse

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// The processes of the project's own interface. Each test guards against one that one kind of misuse ends, or that
// no longer answers.

var (
	ownEntryBounds   = bounds{memory: 150 * megabyte, descriptors: 600}
	ownSidecarBounds = bounds{memory: 100 * megabyte, descriptors: 300}
	// roomy is what the stand-ins get.
	roomy = bounds{memory: 1000 * megabyte, descriptors: 2000}
)

// tour is the deployment of README's tour, on other ports.
type tour struct {
	t                       *testing.T
	dir                     string
	entry, sidecar          *process
	callers, administration netip.AddrPort
	sidecarAdministration   netip.AddrPort
	peers, sidecarPeers     netip.AddrPort // QUIC
}

const document = `service: drafts
kind: model
pathPrefix: /drafts
targets:
  - {name: engine-1, host: engine-1, address: %s, dataCentre: z}
routes:
  - {methods: [POST], path: "/*", idempotent: true, deadline: 60s, stream: true}
workspaces:
  - {name: you, keys: ["sha256:61de55ba3388aec4fdf6ecfc6eef846fb0f1b13e28cc8381270c27ffa313aee5"]}
`

const operatorToken = "d7b44809a0359169b755a7030186df928be6b79eff65dc6534e17aacbca31c49" // digest of "tour"

func newTour(t *testing.T) *tour {
	t.Helper()
	engine := program.FreeAddress(t)
	startProcess(t, roomy, nil, "standin", "engine", "--listen", engine.String())
	w := startTour(t, engine)
	w.requireServes(t)
	return w
}

// startTour starts the deployment in front of a model engine, and applies the document.
func startTour(t *testing.T, engine netip.AddrPort) *tour {
	t.Helper()
	w := &tour{t: t, dir: t.TempDir(), callers: program.FreeAddress(t), administration: program.FreeAddress(t), sidecarAdministration: program.FreeAddress(t)}
	w.run("keys", "issue", "entry-1")
	w.run("keys", "issue", "--role", "sidecar", "engine-1")
	store := program.FreeAddress(t)
	w.peers, w.sidecarPeers = program.FreeAddress(t), program.FreeAddress(t)
	startProcess(t, roomy, nil, "standin", "platform", "--listen", store.String())
	w.sidecar = w.start(ownSidecarBounds, "sidecar", "engine-1", store,
		fmt.Sprintf("listen: {peers: %s, administration: %s}\ntarget: {address: %s, kind: model}\n", w.sidecarPeers, w.sidecarAdministration, engine))
	w.entry = w.start(ownEntryBounds, "entry", "entry-1", store,
		fmt.Sprintf("listen: {callers: %s, peers: %s, administration: %s}\n", w.callers, w.peers, w.administration))
	requireAnswered(t, "GET", w.administration, "/readyz", "")
	file := filepath.Join(w.dir, "drafts.yaml")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, document, w.sidecarPeers), 0o600))
	// An entry that has just started may have used up its calls of the platform, and then changes nothing.
	require.Eventually(t, func() bool {
		_, err := w.command("document", "apply", "--administration", w.administration.String(), "--wait", file)
		return err == nil
	}, hangLimit, 100*time.Millisecond)
	return w
}

// run runs a command of the program, which must succeed.
func (w *tour) run(args ...string) {
	w.t.Helper()
	output, err := w.command(args...)
	require.NoError(w.t, err, "%s", output)
}

// command runs a command of the program.
func (w *tour) command(args ...string) (output []byte, err error) {
	cmd := exec.Command(binary, args...)
	cmd.Dir = w.dir
	cmd.Env = append(os.Environ(), "WAGTAILSHELF_TOKEN=tour")
	return cmd.CombinedOutput()
}

// start starts a process that is told its memory as every Go program is.
func (w *tour) start(b bounds, role, name string, store netip.AddrPort, more string) *process {
	w.t.Helper()
	keys := filepath.Join(w.dir, "keys")
	text := fmt.Sprintf("role: %s\nname: %s\ndataCentre: z\nplatform: [%s]\ntls:\n  certificateFile: %s/%s/certificate.pem\n  keyFile: %s/%s/key.pem\n"+
		"  authoritiesFile: %s/%s/authorities.pem\noperators: [{name: you, tokens: [%s]}]\n%s", role, name, store, keys, name, keys, name, keys, name, operatorToken, more)
	file := filepath.Join(w.dir, role+".yaml")
	require.NoError(w.t, os.WriteFile(file, []byte(text), 0o600))
	return startProcess(w.t, b, []string{fmt.Sprintf("GOMEMLIMIT=%d", b.memory*int64(*scale))}, role, "--settings", file)
}

func (w *tour) requireServes(t *testing.T) {
	t.Helper()
	requireAnswered(t, "GET", w.administration, "/readyz", "")
	requireAnswered(t, "GET", w.sidecarAdministration, "/metrics", "")
	requireAnswered(t, "POST", w.callers, "/drafts/opener", `{"prompt":"Bonjour","maxTokens":2}`)
	long := fmt.Sprintf(`{"prompt":%q,"maxTokens":2}`, strings.Repeat("0", 100<<10))
	requireAnswered(t, "POST", w.callers, "/drafts/opener", long)
	w.entry.requireBounds(t)
	w.sidecar.requireBounds(t)
}

func (w *tour) endure(t *testing.T, c crowd) {
	t.Helper()
	endure(t, c, w.requireServes)
}

const ownBody = 1 << 20 // the largest body that the document allows, in bytes

func TestOwnEntryBodiesInOnePiece(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{300, w.callers, caller.Bodies("/drafts/x", ownBody)})
}

// Bodies that stand still must not take the space from those that come.
func TestOwnEntryBodiesThatFillTheSpace(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{450, w.callers, caller.Bodies("/drafts/x", 100<<10)})
}

func TestOwnEntryBodiesInChunks(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{300, w.callers, caller.ChunkedBodies("/drafts/x", ownBody-1000, 1000)})
}

func TestOwnEntryBodiesOverTheLimit(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{100, w.callers, caller.ChunkedBodies("/drafts/x", 8*ownBody, 32<<10)})
}

func TestOwnEntryHeadsOfShortFields(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{450, w.callers, caller.Heads("/drafts/x", 30<<10)})
}

func TestOwnEntryHeadsWithoutAService(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{450, w.callers, caller.Heads("/nowhere", 30<<10)})
}

func TestOwnEntryHeadsAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{500, w.administration, caller.OpenHeads("/readyz", 16<<10)})
}

func TestOwnEntryBodiesAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{200, w.administration, caller.Bodies("/readyz", ownBody)})
}

func TestOwnEntryDocumentsAtAdministration(t *testing.T) {
	w := newTour(t)
	begin := "PUT /documents/drafts HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer tour\r\nIf-None-Match: *\r\n"
	body := append([]byte(begin+fmt.Sprintf("Content-Length: %d\r\n\r\n", ownBody)), make([]byte, ownBody-1)...)
	w.endure(t, crowd{200, w.administration, standin.Sends(body)})
}

func TestOwnEntryRequestsAhead(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{60, w.callers, caller.RequestsAhead("/drafts/x", 2000)})
}

func TestOwnEntrySilentConnections(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{800, w.callers, standin.Sends()})
}

func TestOwnEntrySilentConnectionsAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{800, w.administration, standin.Sends()})
}

func TestOwnEntryBodiesOfAByteNowAndThen(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{800, w.callers, trickle(t, "/drafts/x", 15<<10)})
}

func TestOwnEntryIdleConnectionsAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{800, w.administration, standin.Sends(append(caller.RequestLine("GET", "/healthz"), "\r\n"...))})
}

func TestOwnEntryStreamsNotRead(t *testing.T) {
	w := newTour(t)
	body := `{"prompt":"Bonjour","maxTokens":100000}`
	one := append(caller.RequestLine("POST", "/drafts/opener"), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)...)
	w.endure(t, crowd{60, w.callers, standin.Sends(one)})
}

func TestOwnSidecarHeadsAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{250, w.sidecarAdministration, caller.OpenHeads("/metrics", 16<<10)})
}

func TestOwnSidecarSilentConnectionsAtAdministration(t *testing.T) {
	w := newTour(t)
	w.endure(t, crowd{400, w.sidecarAdministration, standin.Sends()})
}

func TestOwnEntryHandshakesAtPeers(t *testing.T) {
	w := newTour(t)
	shakeHands(t, w.peers, 300)
	w.requireServes(t)
}

func TestOwnSidecarHandshakesAtPeers(t *testing.T) {
	w := newTour(t)
	shakeHands(t, w.sidecarPeers, 300)
	w.requireServes(t)
}

// Guards against limits that a client inside them meets.
func TestOwnLargestBodyIsServedInCalm(t *testing.T) {
	w := newTour(t)
	body := fmt.Sprintf(`{"prompt":%q,"maxTokens":2}`, strings.Repeat("0", ownBody-100))
	for range 3 {
		requireAnswered(t, "POST", w.callers, "/drafts/opener", body)
	}
	time.Sleep(sampleInterval)
	w.requireServes(t)
}
