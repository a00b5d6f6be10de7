package lifetime

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
)

// limit is how long anything that must happen may take before it counts as hanging.
const limit = 60 * time.Second

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(program.Main(m, &binary)) }

// address is an address that a process listens on.
type address struct {
	name    string
	network string // tcp or udp
	at      netip.AddrPort
}

// role is a kind of process, with settings of its own. Nothing else of its deployment runs.
type role struct {
	name      string
	args      []string
	addresses []address
	observed  netip.AddrPort // where it serves its metrics
	log       string         // file
}

// roles returns the kinds of processes.
func roles(t *testing.T) []role {
	t.Helper()
	dir := t.TempDir()
	list := []role{deployedEntry(t, dir), deployedSidecar(t, dir), ownEntry(t, dir), ownSidecar(t, dir)}
	for i := range list {
		list[i].log = list[i].settings() + ".log"
	}
	return list
}

// bounds are settings of processes on the users' platform.
const bounds = "memoryMB: 200\nbounds:\n  apply: 2s\n  revoke: 3s\n  drain: 2s\n  grace: 1s\n  stall: 1500ms\n  heartbeat: 1200ms\n" +
	"  repeatRatio: 0.2\n  repeatSlack: 90\n  repeatWindow: 10s\n"

func deployedEntry(t *testing.T, dir string) role {
	callers, readiness, metrics, peers := program.FreeAddress(t), program.FreeAddress(t), program.FreeAddress(t), program.FreeAddress(t)
	text := fmt.Sprintf("role: entry\nname: e\ndataCentre: z\naddress: 127.0.0.1\nstore: %s\nlisten: {callers: %s, readiness: %s, metrics: %s, peers: %s}\n",
		program.FreeAddress(t), callers, readiness, metrics, peers)
	return role{
		name: "entry on the platform", args: []string{"serve", "--settings", write(t, dir, "entry", text+bounds)}, observed: metrics,
		addresses: []address{{"callers", "tcp", callers}, {"readiness", "tcp", readiness}, {"metrics", "tcp", metrics}, {"peers", "udp", peers}},
	}
}

func deployedSidecar(t *testing.T, dir string) role {
	metrics, peers := program.FreeAddress(t), program.FreeAddress(t)
	text := fmt.Sprintf("role: sidecar\nname: s\ndataCentre: z\naddress: 127.0.0.1\nstore: %s\nlisten: {metrics: %s, peers: %s}\ntarget: {address: %s, service: app}\n",
		program.FreeAddress(t), metrics, peers, program.FreeAddress(t))
	return role{
		name: "sidecar on the platform", args: []string{"serve", "--settings", write(t, dir, "sidecar", text+bounds)}, observed: metrics,
		addresses: []address{{"metrics", "tcp", metrics}, {"peers", "udp", peers}, {"peers", "tcp", peers}},
	}
}

func ownEntry(t *testing.T, dir string) role {
	callers, administration, peers := program.FreeAddress(t), program.FreeAddress(t), program.FreeAddress(t)
	keys := issue(t, dir, "entry-1")
	text := fmt.Sprintf("role: entry\nname: entry-1\ndataCentre: z\nplatform: [%s]\nlisten: {callers: %s, administration: %s, peers: %s}\n",
		program.FreeAddress(t), callers, administration, peers)
	return role{
		name: "entry", args: []string{"entry", "--settings", write(t, dir, "own-entry", text+keys+drain)}, observed: administration,
		addresses: []address{{"callers", "tcp", callers}, {"administration", "tcp", administration}, {"peers", "udp", peers}},
	}
}

func ownSidecar(t *testing.T, dir string) role {
	administration, peers := program.FreeAddress(t), program.FreeAddress(t)
	keys := issue(t, dir, "engine-1", "--role", "sidecar")
	text := fmt.Sprintf("role: sidecar\nname: engine-1\ndataCentre: z\nplatform: [%s]\nlisten: {administration: %s, peers: %s}\ntarget: {address: %s, kind: model}\n",
		program.FreeAddress(t), administration, peers, program.FreeAddress(t))
	return role{
		name: "sidecar", args: []string{"sidecar", "--settings", write(t, dir, "own-sidecar", text+keys+drain)}, observed: administration,
		addresses: []address{{"administration", "tcp", administration}, {"peers", "udp", peers}},
	}
}

// drain makes processes of the project's own interface end soon after SIGTERM.
const drain = "drain: {delay: 1ms}\n"

// issue issues keys for a host, and returns the settings that name them.
func issue(t *testing.T, dir, name string, flags ...string) string {
	t.Helper()
	cmd := exec.Command(binary, append(append([]string{"keys", "issue"}, flags...), name)...)
	cmd.Dir = dir
	output, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", output)
	keys := filepath.Join(dir, "keys", name)
	return fmt.Sprintf("tls: {certificateFile: %q, keyFile: %q, authoritiesFile: %q}\n",
		filepath.Join(keys, "certificate.pem"), filepath.Join(keys, "key.pem"), filepath.Join(keys, "authorities.pem"))
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	file := filepath.Join(dir, name+".yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// settings returns the file with the role's settings.
func (r role) settings() string { return r.args[slices.Index(r.args, "--settings")+1] }

// address returns the address of a listener.
func (r role) address(name string) netip.AddrPort {
	return r.addresses[slices.IndexFunc(r.addresses, func(a address) bool { return a.name == name })].at
}

// logged returns what processes of the role have logged.
func (r role) logged(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(r.log)
	require.NoError(t, err)
	return string(text)
}

// hasLogged reports whether processes of the role have logged a text.
func (r role) hasLogged(t *testing.T, text string) bool {
	t.Helper()
	return strings.Contains(r.logged(t), text)
}

// start starts a process of the role, which ends with the test. Its log is shown if the test fails.
func (r role) start(t *testing.T, prepare ...func(*exec.Cmd)) *program.Process {
	t.Helper()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	cmd := exec.Command(binary, r.args...)
	cmd.Stdout, cmd.Stderr = log, log
	for _, f := range prepare {
		f(cmd)
	}
	p, err := program.Start(cmd)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		require.True(t, p.Await(limit))
		_ = log.Close() // the process that wrote to it has ended
		if t.Failed() {
			t.Logf("%s: %s\n%s", r.name, p.End(), r.logged(t))
		}
	})
	return p
}

// requireServes waits until a process of the role listens on all of its addresses and serves its metrics.
func (r role) requireServes(t *testing.T, p *program.Process) {
	t.Helper()
	require.Eventually(t, func() bool {
		if !p.Lives() {
			return true
		}
		for _, a := range r.addresses {
			if program.IsFree(a.network, a.at) {
				return false
			}
		}
		answer, err := http.Get("http://" + r.observed.String() + "/metrics")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, limit, 10*time.Millisecond)
	require.Empty(t, p.End(), "the process has ended")
}
