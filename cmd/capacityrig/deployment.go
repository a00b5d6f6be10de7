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
	callerCredential = "capacityrig-caller"
	operatorToken    = "capacityrig-operator"
	startTimeout     = 20 * time.Second
)

// Ports of each process. Every process has its own address.
const (
	callersPort = 7400
	peersPort   = 7401
	adminPort   = 7402
	standinPort = 9000
)

// process is a process that the rig has started.
type process struct {
	name string
	addr netip.Addr
	cmd  *exec.Cmd
}

func (p *process) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.addr, port) }

// deployment is a set of processes on a random loopback subnet, so that it does not
// interfere with another deployment on the machine.
type deployment struct {
	binary   string
	dir      string
	subnet   [2]byte
	lastByte byte

	dataCentre string // of the processes started next
	authority  *credential.Authority
	platform   *process
	entries    []*process
	sidecars   []*process
	processes  []*process
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
		subnet:    [2]byte{byte(2 + rand.IntN(250)), byte(rand.IntN(250))},
		authority: authority,

		dataCentre: "dc-0",

		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
	d.platform, err = d.startStandin("platform")
	return d, err
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
		_ = p.cmd.Wait()
	}
	d.http.CloseIdleConnections()
	_ = os.RemoveAll(d.dir) // at worst the files stay in the directory for temporary files
}

// start starts a process and waits for its first line on standard output. Its log
// goes to a file.
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
	d.processes = append(d.processes, p)
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		text, _ := os.ReadFile(log.Name())
		return nil, fmt.Errorf("%s did not start: %s", name, text)
	}
	return p, nil
}

// newAddr returns the next unused address of the subnet.
func (d *deployment) newAddr() netip.Addr {
	d.lastByte++
	return netip.AddrFrom4([4]byte{127, d.subnet[0], d.subnet[1], d.lastByte})
}

// startStandin starts a stand-in; flags are further arguments of its command.
func (d *deployment) startStandin(kind string, flags ...string) (*process, error) {
	addr := d.newAddr()
	args := append([]string{"standin", kind, "--listen", netip.AddrPortFrom(addr, standinPort).String()}, flags...)
	return d.start(fmt.Sprintf("%s-%d", kind, d.lastByte), addr, args...)
}

// startSidecar starts a sidecar in front of a target.
func (d *deployment) startSidecar(target *process, kind string) error {
	p, err := d.startRole(host.Sidecar, fmt.Sprintf("target: {address: %s, kind: %s}\n", target.at(standinPort), kind))
	d.sidecars = append(d.sidecars, p)
	return err
}

// startEntry starts an entry.
func (d *deployment) startEntry() error {
	p, err := d.startRole(host.Entry, "")
	d.entries = append(d.entries, p)
	return err
}

// startRole issues a certificate, writes the settings and starts a process of the
// role. The extra lines are added to its settings.
func (d *deployment) startRole(role host.Role, extra string) (*process, error) {
	addr := d.newAddr()
	name := fmt.Sprintf("%s-%d", role, d.lastByte)
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
	fmt.Fprintf(&b, "platform: [%s]\n%s", d.platform.at(standinPort), extra)
	fmt.Fprintf(&b, "operators: [{name: rig, tokens: [%s]}]\ntls:\n", credential.DigestOf(operatorToken))
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

// installDocument stores the document "load", which lists all sidecars, in the
// platform and waits until it is active at each entry.
func (d *deployment) installDocument(ctx context.Context, kind, route string, workspaces int) error {
	text := d.document(kind, route, workspaces)
	url := fmt.Sprintf("http://%s/objects/documents/load?version=0", d.platform.at(standinPort))
	if err := d.do(ctx, http.MethodPut, url, "", []byte(text), nil); err != nil {
		return err
	}
	return d.awaitActive(ctx, 1)
}

// awaitActive waits until the document with the number, or with a higher one, is
// active at all entries.
func (d *deployment) awaitActive(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range d.entries {
		for {
			s, err := d.dump(ctx, e)
			if err == nil && s.Ready && len(s.Services) > 0 && s.Services[0].Number >= number {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has not activated document number %d: %w", e.name, number, ctx.Err())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// document returns the text of the document with all sidecars as targets.
func (d *deployment) document(kind, route string, workspaces int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: load\nkind: %s\npathPrefix: /load\ntargets:\n", kind)
	for _, s := range d.sidecars {
		fmt.Fprintf(&b, "  - {name: %s, host: %s, address: %s, dataCentre: dc-0}\n", s.name, s.name, s.at(peersPort))
	}
	fmt.Fprintf(&b, "routes: [%s]\nlimits: {concurrency: 2000, queue: 2000}\nworkspaces:\n", route)
	for i := range workspaces {
		caller := callerCredential
		if i > 0 {
			caller = fmt.Sprintf("%s-%d", caller, i)
		}
		fmt.Fprintf(&b, "  - {name: workspace-%d, keys: [\"sha256:%s\"]}\n", i, credential.DigestOf(caller))
	}
	return b.String()
}

// entryDump is the part of an entry's dump that the rig reads.
type entryDump struct {
	Ready    bool `json:"ready"`
	Services []struct {
		Number uint64 `json:"number"`
	} `json:"services"`
	Connections []struct {
		Sent     uint64 `json:"sentBytes"`
		Received uint64 `json:"receivedBytes"`
	} `json:"connections"`
}

// transferredBytes returns how many bytes the entry has sent and received on its
// open connections.
func (s entryDump) transferredBytes() float64 {
	var sum uint64
	for _, c := range s.Connections {
		sum += c.Sent + c.Received
	}
	return float64(sum)
}

// dump reads the dump of an entry.
func (d *deployment) dump(ctx context.Context, p *process) (entryDump, error) {
	var s entryDump
	err := d.do(ctx, http.MethodGet, fmt.Sprintf("http://%s/dump", p.at(adminPort)), operatorToken, nil, &s)
	return s, err
}

// do sends a request and decodes the response's body into the value, if one is given.
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
	defer func() { _ = resp.Body.Close() }() // the body has been read completely
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
