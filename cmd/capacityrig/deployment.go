package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

const (
	credentialOfCallers = "capacityrig-caller"
	token               = "capacityrig-operator"
	startTimeout        = 20 * time.Second
)

// Ports of each process, on an address of its own.
const (
	callersPort = 7400
	peersPort   = 7401
	adminPort   = 7402
	standinPort = 9000
)

// process is a started one.
type process struct {
	name string
	addr netip.Addr
	cmd  *exec.Cmd
}

func (p *process) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.addr, port) }

// deployment is a set of processes on loopback addresses of their own, so that
// it meets no other deployment on the machine.
type deployment struct {
	binary string
	dir    string
	net    [2]byte
	next   byte

	dataCentre string // of the processes that are started next
	authority  *credential.Authority
	platform   *process
	entries    []*process
	sidecars   []*process
	all        []*process
	http       *http.Client
}

func newDeployment(binary string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "capacityrig")
	if err != nil {
		return nil, err
	}
	authority, err := credential.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	d := &deployment{
		binary:    binary,
		dir:       dir,
		net:       [2]byte{byte(2 + rand.IntN(250)), byte(rand.IntN(250))},
		authority: authority,

		dataCentre: "dc-0",

		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
	d.platform, err = d.standin("platform")
	return d, err
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, p := range d.all {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended by itself
		_ = p.cmd.Wait()
	}
	d.http.CloseIdleConnections()
	_ = os.RemoveAll(d.dir) // left behind at worst, in the directory for such files
}

func (d *deployment) start(name string, addr netip.Addr, args ...string) (*process, error) {
	cmd := exec.Command(d.binary, args...)
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, addr: addr, cmd: cmd}
	d.all = append(d.all, p)
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		text, _ := os.ReadFile(log.Name())
		return nil, fmt.Errorf("%s did not start: %s", name, text)
	}
	return p, nil
}

func (d *deployment) addr() netip.Addr {
	d.next++
	return netip.AddrFrom4([4]byte{127, d.net[0], d.net[1], d.next})
}

// standin starts a stand-in; flags are further arguments of its command.
func (d *deployment) standin(kind string, flags ...string) (*process, error) {
	addr := d.addr()
	args := append([]string{"standin", kind, "--listen", netip.AddrPortFrom(addr, standinPort).String()}, flags...)
	return d.start(fmt.Sprintf("%s-%d", kind, d.next), addr, args...)
}

// sidecar starts a sidecar before a target.
func (d *deployment) sidecar(target *process, kind string) error {
	p, err := d.role(host.Sidecar, fmt.Sprintf("target: {address: %s, kind: %s}\n", target.at(standinPort), kind))
	d.sidecars = append(d.sidecars, p)
	return err
}

// entry starts an entry.
func (d *deployment) entry() error {
	p, err := d.role(host.Entry, "")
	d.entries = append(d.entries, p)
	return err
}

func (d *deployment) role(role host.Role, more string) (*process, error) {
	addr := d.addr()
	name := fmt.Sprintf("%s-%d", role, d.next)
	m, err := d.authority.Issue(time.Now(), credential.Identity{Name: host.Name(name), Role: role}, credential.ShortLifetime)
	if err != nil {
		return nil, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "role: %s\nname: %s\ndataCentre: %s\nlisten:\n  peers: %s\n  administration: %s\n",
		role, name, d.dataCentre, netip.AddrPortFrom(addr, peersPort), netip.AddrPortFrom(addr, adminPort))
	if role == host.Entry {
		fmt.Fprintf(&b, "  callers: %s\n", netip.AddrPortFrom(addr, callersPort))
	}
	fmt.Fprintf(&b, "platform: [%s]\n%s", d.platform.at(standinPort), more)
	fmt.Fprintf(&b, "operators: [{name: rig, tokens: [%s]}]\ntls:\n", credential.DigestOf(token))
	for _, f := range []struct {
		key  string
		text []byte
	}{{"certificateFile", m.Certificate}, {"keyFile", m.Key}, {"authoritiesFile", m.Authorities}} {
		path := filepath.Join(d.dir, name+"-"+f.key)
		if err := os.WriteFile(path, f.text, 0o600); err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, "  %s: %s\n", f.key, path)
	}
	path := filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	return d.start(name, addr, string(role), "--settings", path)
}

// install stores the document "load" of all sidecars in the platform and waits
// until each entry has it in force.
func (d *deployment) install(ctx context.Context, kind, route string, workspaces int) error {
	text := d.document(kind, route, workspaces)
	url := fmt.Sprintf("http://%s/objects/documents/load?version=0", d.platform.at(standinPort))
	if err := d.do(ctx, http.MethodPut, url, "", []byte(text), nil); err != nil {
		return err
	}
	return d.awaitNumber(ctx, 1)
}

// awaitNumber waits until all entries have the document with the number, or a
// higher one, in force.
func (d *deployment) awaitNumber(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range d.entries {
		for {
			s, err := d.dump(ctx, e)
			if err == nil && s.Ready && len(s.Services) > 0 && s.Services[0].Number >= number {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not have number %d in force: %w", e.name, number, ctx.Err())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) document(kind, route string, workspaces int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: load\nkind: %s\npathPrefix: /load\ntargets:\n", kind)
	for _, s := range d.sidecars {
		fmt.Fprintf(&b, "  - {name: %s, host: %s, address: %s, dataCentre: dc-0}\n", s.name, s.name, s.at(peersPort))
	}
	fmt.Fprintf(&b, "routes: [%s]\nlimits: {concurrency: 2000, queue: 2000}\nworkspaces:\n", route)
	for i := range workspaces {
		caller := credentialOfCallers
		if i > 0 {
			caller = fmt.Sprintf("%s-%d", caller, i)
		}
		fmt.Fprintf(&b, "  - {name: workspace-%d, keys: [\"sha256:%s\"]}\n", i, credential.DigestOf(caller))
	}
	return b.String()
}

// state is the part of an entry's dump that the rig reads.
type state struct {
	Ready    bool `json:"ready"`
	Services []struct {
		Number uint64 `json:"number"`
	} `json:"services"`
	Connections []struct {
		Sent     uint64 `json:"sentBytes"`
		Received uint64 `json:"receivedBytes"`
	} `json:"connections"`
}

// bytes returns what the entry has sent and received on its open connections.
func (s state) bytes() float64 {
	var sum uint64
	for _, c := range s.Connections {
		sum += c.Sent + c.Received
	}
	return float64(sum)
}

func (d *deployment) dump(ctx context.Context, p *process) (state, error) {
	var s state
	err := d.do(ctx, http.MethodGet, fmt.Sprintf("http://%s/dump", p.at(adminPort)), token, nil, &s)
	return s, err
}

// do makes a call and decodes its answer into the value, if there is one.
func (d *deployment) do(ctx context.Context, method, url, bearer string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, text)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}
