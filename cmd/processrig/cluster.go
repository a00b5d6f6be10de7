package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	// readyTimeout bounds the start of the whole deployment.
	readyTimeout = 60 * time.Second
	// balanceInterval is the time between two readiness checks of an entry by
	// the balancer. It is shorter than the delay for which a draining entry
	// still accepts work.
	balanceInterval = 250 * time.Millisecond

	firstPort = 21000
	lastPort  = 30000
)

var dataCentres = []string{"mtl-a", "mtl-b", "mtl-c"}

// node is a process of the deployment with its addresses.
type node struct {
	*child
	dataCentre string
	callers    netip.AddrPort // of an entry or a stand-in
	peers      netip.AddrPort
	admin      netip.AddrPort
	target     *node  // of a sidecar: its stand-in
	relay      *relay // of a sidecar
	model      bool
	ready      atomic.Bool // of an entry: result of the balancer's last check
}

// cluster is the complete deployment.
type cluster struct {
	opts         options
	dir          string
	token        string
	http         *http.Client
	platform     *node
	client       *platform.Client
	entries      []*node
	sidecars     []*node
	processes    []*node
	lastUsedPort uint16 // the port assigned last
}

func newCluster(o options, dir string) *cluster {
	return &cluster{opts: o, dir: dir, lastUsedPort: firstPort, token: credential.NewToken(), http: &http.Client{Timeout: 5 * time.Second}}
}

func (c *cluster) close() {
	for _, p := range c.processes {
		if state, _ := p.current(); state != down {
			p.kill()
		}
		if p.relay != nil {
			p.relay.close()
		}
	}
}

// start starts the platform, the stand-ins, the sidecars and the entries, and waits
// until the entries are ready.
func (c *cluster) start(ctx context.Context) error {
	var err error
	if c.platform, err = c.startStandin("platform", "platform"); err != nil {
		return err
	}
	c.client = platform.New(platform.Config{
		URL:    "http://" + c.platform.callers.String(),
		Budget: budget.Config{Rate: 1000, Burst: 1000},
	})
	for i := range c.opts.engines + c.opts.services {
		if err := c.addSidecar(i); err != nil {
			return err
		}
	}
	for i := range c.opts.entries {
		c.addEntry(i)
	}
	if err := c.issueKeys(); err != nil {
		return err
	}
	// An entry becomes ready once it has read the existing documents, so they are
	// stored before it starts.
	if err := c.applyAll(ctx, 0); err != nil {
		return err
	}
	for _, n := range slices.Concat(c.sidecars, c.entries) {
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	if early := checkUnexpectedEnds(c); len(early) > 0 {
		return errors.New(strings.Join(early, "; "))
	}
	for _, e := range c.entries {
		go c.balance(ctx, e)
	}
	return nil
}

func (c *cluster) newChild(name, kind string, args ...string) *child {
	return &child{name: name, kind: kind, binary: c.opts.binary, args: args, log: filepath.Join(c.dir, name+".log")}
}

// startStandin starts a stand-in, which chooses its own port and prints it.
func (c *cluster) startStandin(name, kind string) (*node, error) {
	n := &node{child: c.newChild(name, kind, "standin", kind)}
	line, err := n.child.start(true)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if n.callers, err = netip.ParseAddrPort(line); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.processes = append(c.processes, n)
	return n, nil
}

// addSidecar starts a stand-in and adds a sidecar for it, which startNode starts.
func (c *cluster) addSidecar(i int) error {
	dc := dataCentres[i%len(dataCentres)]
	kind := "engine"
	if i >= c.opts.engines {
		kind = "service"
	}
	name := fmt.Sprintf("%s-%s-%d", dc, kind, i)
	target, err := c.startStandin("target-"+name, kind)
	if err != nil {
		return err
	}
	n := &node{dataCentre: dc, target: target, model: kind == "engine", peers: c.freeAddr(), admin: c.freeAddr()}
	n.child = c.newChild(name, "sidecar", "sidecar", "--settings", filepath.Join(c.dir, name+".yaml"))
	if n.relay, err = newRelay(n.peers); err != nil {
		return err
	}
	c.sidecars = append(c.sidecars, n)
	c.processes = append(c.processes, n)
	return nil
}

// addEntry adds an entry, which startNode starts.
func (c *cluster) addEntry(i int) {
	dc := dataCentres[i%len(dataCentres)]
	name := fmt.Sprintf("%s-entry-%d", dc, i)
	n := &node{dataCentre: dc, callers: c.freeAddr(), peers: c.freeAddr(), admin: c.freeAddr()}
	n.child = c.newChild(name, "entry", "entry", "--settings", filepath.Join(c.dir, name+".yaml"))
	c.entries = append(c.entries, n)
	c.processes = append(c.processes, n)
}

// issueKeys issues the keys of all nodes with the product's command.
func (c *cluster) issueKeys() error {
	for role, nodes := range map[string][]*node{"entry": c.entries, "sidecar": c.sidecars} {
		args := []string{"keys", "issue", "--dir", filepath.Join(c.dir, "keys"), "--role", role}
		for _, n := range nodes {
			args = append(args, n.name)
		}
		if out, err := exec.Command(c.opts.binary, args...).CombinedOutput(); err != nil {
			return fmt.Errorf("keys: %w: %s", err, out)
		}
	}
	return nil
}

// startNode writes a node's settings and starts it.
func (c *cluster) startNode(n *node) error {
	file := filepath.Join(c.dir, n.name+".yaml")
	if err := os.WriteFile(file, []byte(c.settings(n)), 0o600); err != nil {
		return err
	}
	if _, err := n.child.start(false); err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	return nil
}

func (c *cluster) settings(n *node) string {
	var b strings.Builder
	keys := filepath.Join(c.dir, "keys", n.name)
	fmt.Fprintf(&b, "role: %s\nname: %s\ndataCentre: %s\nregion: montreal\n", n.kind, n.name, n.dataCentre)
	fmt.Fprintf(&b, "listen:\n  peers: %s\n  administration: %s\n", n.peers, n.admin)
	if n.kind == "entry" {
		fmt.Fprintf(&b, "  callers: %s\n", n.callers)
	} else {
		kind := "plain"
		if n.model {
			kind = "model"
		}
		fmt.Fprintf(&b, "target: {address: %s, kind: %s}\n", n.target.callers, kind)
	}
	fmt.Fprintf(&b, "platform: [%s]\n", c.platform.callers)
	fmt.Fprintf(&b, "tls: {certificateFile: %s/certificate.pem, keyFile: %s/key.pem, authoritiesFile: %s/authorities.pem}\n", keys, keys, keys)
	fmt.Fprintf(&b, "operators: [{name: rig, tokens: [%s]}]\n", credential.DigestOf(c.token))
	fmt.Fprintf(&b, "drain: {delay: 1s, bound: 11m}\n")
	return b.String()
}

// awaitReady waits until all entries are ready and serve both services.
func (c *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range c.entries {
		for !c.pollReadiness(ctx, e) || !c.servesAll(ctx, e) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.New(e.name + " did not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// servesAll reports whether both services are active at an entry: it then refuses a
// caller without a credential for the missing credential, and no longer for an
// unknown service. Until the entry has read the documents for the first time, a
// call proves nothing.
func (c *cluster) servesAll(ctx context.Context, e *node) bool {
	for _, service := range []string{"redaction", "agenda"} {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.callers.String()+"/"+service+"/", nil)
		if err != nil {
			return false
		}
		resp, err := c.http.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			return false
		}
	}
	return true
}

// balance polls an entry's readiness as the balancer does, until ctx is cancelled.
func (c *cluster) balance(ctx context.Context, e *node) {
	for ctx.Err() == nil {
		c.pollReadiness(ctx, e)
		time.Sleep(balanceInterval)
	}
}

// pollReadiness queries whether an entry is ready, and stores the result.
func (c *cluster) pollReadiness(ctx context.Context, e *node) bool {
	bounded, cancel := context.WithTimeout(ctx, balanceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+e.admin.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		e.ready.Store(false)
		return false
	}
	resp.Body.Close()
	ready := resp.StatusCode == http.StatusOK
	e.ready.Store(ready)
	return ready
}

// freeAddr finds a free port on loopback. The ports lie below the ephemeral ports of
// the system, so that no relay or client is given one of them before the process
// that it is meant for has started.
func (c *cluster) freeAddr() netip.AddrPort {
	for c.lastUsedPort < lastPort {
		c.lastUsedPort++
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), c.lastUsedPort)
		if isFree(addr) {
			return addr
		}
	}
	return netip.AddrPort{}
}

// isFree reports whether the address can be bound for both UDP and TCP.
func isFree(addr netip.AddrPort) bool {
	conn, err := net.ListenPacket("udp", addr.String())
	if err != nil {
		return false
	}
	conn.Close()
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false
	}
	ln.Close()
	return true
}
