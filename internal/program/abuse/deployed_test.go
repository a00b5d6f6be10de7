//go:build alone

package abuse

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// host is the host of the configuration.
const host = "abuse.example"

const (
	// legalHead and legalBody are the largest head and body that the configuration allows, in bytes.
	legalHead = 16 << 10
	legalBody = 4 << 20
	// longAnswer is the size of the answers of the service "long", in bytes.
	longAnswer = 3 << 20
)

// What the processes are given: about a third of a host's memory and a seventh of its descriptors, so that small crowds
// are enough.
var (
	entryBounds   = bounds{memory: 100 * megabyte, descriptors: 600}
	sidecarBounds = bounds{memory: 70 * megabyte, descriptors: 300}
)

// deployment is a process on the users' platform, with stand-ins of the store and of the targets.
type deployment struct {
	*process
	callers, readiness, metrics, peers netip.AddrPort
}

const settingsBounds = "bounds:\n  apply: 2s\n  revoke: 5s\n  drain: 2s\n  grace: 8s\n  stall: 1500ms\n  heartbeat: 1200ms\n" +
	"  repeatRatio: 0.2\n  repeatSlack: 90\n  repeatWindow: 10s\n"

// newEntry starts an entry with three servers each of a plain service, of one with long answers, and of one with
// streams without end.
func newEntry(t *testing.T) *deployment {
	t.Helper()
	store := standin.NewStore(t)
	services := map[string]func(standin.Reply, standin.Request){"app": answerAtOnce, "long": answerAtLength, "stream": answerForever}
	for service, answer := range services {
		for n := range 3 {
			store.PutServer(fmt.Sprint(service, "-", n), service, standin.NewServer(t, answer).Address)
		}
	}
	return startEntry(t, store, []standin.Route{
		{Name: "app", Kind: "unsafe", Service: "app"},
		{Name: "long", Kind: "safe", Service: "long"},
		{Name: "stream", Kind: "streaming", Service: "stream"},
	})
}

// startEntry starts an entry with some routes, and waits until it is ready.
func startEntry(t *testing.T, store *standin.Store, routes []standin.Route) *deployment {
	t.Helper()
	require.NoError(t, store.PutConfig(standin.Config{
		Version: 1, Host: host, Plain: "app", HeaderBytes: legalHead, BodyBytes: legalBody, Workspaces: map[string][]string{"w": {"caller"}},
		Routes: routes,
	}))
	d := &deployment{callers: program.FreeAddress(t), readiness: program.FreeAddress(t), metrics: program.FreeAddress(t), peers: program.FreeAddress(t)}
	d.process = startDeployed(t, entryBounds, store, entrySettings(d))
	d.requireReady(t)
	return d
}

// entrySettings returns the settings of an entry that are not those of all processes.
func entrySettings(d *deployment) string {
	return fmt.Sprintf("role: entry\nlisten:\n  callers: %s\n  readiness: %s\n  metrics: %s\n  peers: %s\n", d.callers, d.readiness, d.metrics, d.peers)
}

// newSidecar starts a sidecar beside a model server.
func newSidecar(t *testing.T) *deployment {
	t.Helper()
	store := standin.NewStore(t)
	engine := program.FreeAddress(t)
	g, err := standin.NewGroup("g", []netip.AddrPort{engine}, standin.Shape{Layers: 2, Experts: 12, ExpertSlots: 12}, 15*time.Millisecond, standin.NewLedger())
	require.NoError(t, err)
	t.Cleanup(g.Close)
	g.Register(store, "gen")
	d := &deployment{metrics: program.FreeAddress(t), peers: program.FreeAddress(t)}
	d.process = startDeployed(t, sidecarBounds, store, fmt.Sprintf(
		"role: sidecar\nlisten:\n  metrics: %s\n  peers: %s\ntarget:\n  address: %s\n  service: gen\n", d.metrics, d.peers, engine))
	d.requireMetrics(t)
	return d
}

// startDeployed starts a process with settings as the platform's templates give them.
func startDeployed(t *testing.T, b bounds, store *standin.Store, settings string) *process {
	t.Helper()
	return startDeployedAt(t, b, store.Address, settings)
}

// startDeployedAt starts a process whose store is at an address.
func startDeployedAt(t *testing.T, b bounds, store netip.AddrPort, settings string) *process {
	t.Helper()
	settings += fmt.Sprintf("name: p\naddress: 127.0.0.1\ndataCentre: z\nstore: %s\nmemoryMB: %d\n%s", store, b.memory*int64(*scale)/megabyte, settingsBounds)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	return startProcess(t, b, nil, "serve", "--settings", file)
}

func answerAtOnce(w standin.Reply, r standin.Request) { w.Complete(http.StatusOK, "body of "+r.ID) }

// answerAtLength sends a short answer to ordinary requests, and a long one to others.
func answerAtLength(w standin.Reply, r standin.Request) {
	if strings.HasSuffix(r.URI, "/ordinary") {
		answerAtOnce(w, r)
		return
	}
	w.Complete(http.StatusOK, strings.Repeat("0", longAnswer))
}

// answerForever sends a short stream to ordinary requests, and one that doesn't end to others.
func answerForever(w standin.Reply, r standin.Request) {
	w.StampedHeader()
	w.Header("Content-Type", "text/event-stream")
	if strings.HasSuffix(r.URI, "/ordinary") {
		w.Event(1)
		return
	}
	data := strings.Repeat("0", 32<<10)
	for n := 1; ; n++ {
		select {
		case <-r.Done:
			return
		default:
		}
		w.Raw(fmt.Sprintf("id: %d\ndata: %s\n\n", n, data))
	}
}

// requireReady checks that the balancer would send callers to the entry.
func (d *deployment) requireReady(t *testing.T) {
	t.Helper()
	requireAnswered(t, "GET", d.readiness, "/ready", "")
}

// requireMetrics checks that the metrics can be read.
func (d *deployment) requireMetrics(t *testing.T) {
	t.Helper()
	requireAnswered(t, "GET", d.metrics, "/metrics", "")
}

// requireServes checks that the process lives within its bounds and that its ordinary clients are answered.
func (d *deployment) requireServes(t *testing.T) {
	t.Helper()
	if d.callers.IsValid() {
		d.requireReady(t)
		requireAnswered(t, "POST", d.callers, "/app/ordinary", "small")
		requireAnswered(t, "POST", d.callers, "/app/ordinary", strings.Repeat("0", 100<<10))
	}
	d.requireMetrics(t)
	d.requireBounds(t)
}

// endure lets a crowd come, stand still and leave.
func (d *deployment) endure(t *testing.T, c crowd) {
	t.Helper()
	endure(t, c, d.requireServes)
}

// endure lets a crowd come, stand still and leave, and checks the process in between and afterwards.
func endure(t *testing.T, c crowd, check func(*testing.T)) {
	t.Helper()
	leave := c.gather(t)
	check(t)
	leave()
	check(t)
}

// requireAnswered sends one ordinary request. Like a caller, it comes again when it is refused or its connection fails.
func requireAnswered(t *testing.T, method string, at netip.AddrPort, path, body string) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no attempt"
	for number, begin := 0, time.Now(); time.Since(begin) < hangLimit; number++ {
		r := standin.NewCall(method, "http://"+at.String()+path, fmt.Sprint("ordinary-", number), "caller", 5000, strings.NewReader(body))
		r.Host = host
		w, err := client.Do(r)
		if err != nil {
			last = err.Error()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, err = io.Copy(io.Discard, w.Body)
		_ = w.Body.Close() // what matters of it was read
		if err == nil && w.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(w.Status, " ", err)
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "an ordinary request is not answered", "%s %s%s: %s", method, at, path, last)
}
