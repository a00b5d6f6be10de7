package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	host   = "soak.example"
	revoke = 3 * time.Second
	grace  = 6 * time.Second
)

var shape = standin.Shape{Layers: 2, Experts: 12, Places: 6}

// process is a program that the soak started.
type process struct {
	name     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	out      *os.File
	ended    chan struct{}
}

// start starts the program, or starts it again.
func (p *process) start(t *testing.T, binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(binary, "serve", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	require.NoError(t, p.cmd.Start())
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // killed ones end with an error
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
}

// await waits for the process to end.
func (p *process) await(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// world is a deployment on loopback addresses.
type world struct {
	t         *testing.T
	r         *rand.Rand
	binary    string
	dir       string
	store     *standin.Store
	proxies   []*standin.Proxy // between each process and the store
	groups    []*standin.Group // of the service "gen"
	ledger    *standin.Ledger
	plain     []*standin.Server
	brittle   *standin.Crashing // servers that a request crashes
	entries   []*process
	sidecars  []*process
	callers   []netip.AddrPort // of the entries
	readiness []netip.AddrPort
	version   int
	revokedAt time.Time
	copies    *rand.Rand      // draws when the store comes back from a copy; nil if it never does
	saved     []standin.Copy  // of the store, at the last steps
	putBacks  int             // of the store from a copy
	config    *standin.Config // that the operator wrote last
	notifiers []*notifier     // servers that say things of themselves

	mu           sync.Mutex
	problems     []string
	disturbances []disturbance // of entries
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// givenPorts are those that freePort has returned.
var givenPorts = make(map[uint16]bool)

// freePort is a port that is free at all addresses of the soak, and another one each time. Other
// soaks may run beside this one.
func freePort(t *testing.T) uint16 {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		port := netip.MustParseAddrPort(l.Addr().String()).Port()
		require.NoError(t, l.Close())
		if !givenPorts[port] && freeEverywhere(port) {
			givenPorts[port] = true
			return port
		}
	}
}

// Guards against an entry that answers its callers at the address where it is asked whether it is
// ready, as both got the same port.
func TestPortsOfASoakDiffer(t *testing.T) {
	seen := make(map[uint16]bool)
	for range 1000 {
		port := freePort(t)
		require.False(t, seen[port], "port %d twice", port)
		seen[port] = true
	}
}

func freeEverywhere(port uint16) bool {
	for group := 1; group <= 2; group++ {
		for number := range max(*entryCount, mostGroups**rankCount) {
			l, err := net.Listen("tcp4", at(group, number, port).String())
			if err != nil {
				return false
			}
			_ = l.Close() // it was just opened
		}
	}
	return true
}

func at(group, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(group), byte(number + 1)}), port)
}

// mostGroups that a soak has.
const mostGroups = 2

// newWorld starts a deployment whose model service has some groups of ranks.
func newWorld(t *testing.T, binary string, seed uint64, groups int) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), binary: binary, dir: t.TempDir(),
		store: standin.NewStore(t), ledger: standin.NewLedger(),
	}
	port := freePort(t)
	var ranks []netip.AddrPort // of all groups
	for i := range groups * *rankCount {
		ranks = append(ranks, at(2, i, port))
	}
	for n := range groups {
		g, err := standin.NewGroup(fmt.Sprint("g", n), ranks[n**rankCount:(n+1)**rankCount], shape, 15*time.Millisecond, w.ledger)
		require.NoError(t, err)
		t.Cleanup(g.Close)
		g.Register(w.store, "gen")
		w.groups = append(w.groups, g)
	}
	w.startPlain()
	w.startBrittle()
	for i := range 2 {
		w.startNotifier(i)
	}
	w.putConfig(true)
	peers, http, ready, metrics := freePort(t), freePort(t), freePort(t), freePort(t)
	for i := range *entryCount {
		ip := at(1, i, 0).Addr()
		w.callers = append(w.callers, netip.AddrPortFrom(ip, http))
		w.readiness = append(w.readiness, netip.AddrPortFrom(ip, ready))
		w.entries = append(w.entries, w.process(fmt.Sprint("entry-", i), fmt.Sprintf(
			"role: entry\naddress: %s\nlisten:\n  callers: %s:%d\n  readiness: %s:%d\n  metrics: %s:%d\n  peers: %s:%d\n",
			ip, ip, http, ip, ready, ip, metrics, ip, peers)))
	}
	for i := range ranks {
		ip := at(2, i, 0).Addr()
		w.sidecars = append(w.sidecars, w.process(fmt.Sprint("sidecar-", i), fmt.Sprintf(
			"role: sidecar\naddress: %s\nlisten:\n  metrics: %s:%d\n  peers: %s:%d\ntarget:\n  address: %s\n  service: gen\n",
			ip, ip, metrics, ip, peers, ranks[i])))
	}
	t.Cleanup(w.end)
	return w
}

// process writes a program's settings and starts it. It meets the store through a
// proxy of its own.
func (w *world) process(name, settings string) *process {
	proxy, err := standin.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), w.store.Address)
	require.NoError(w.t, err)
	w.proxies = append(w.proxies, proxy)
	text := settings + fmt.Sprintf("name: %s\ndataCentre: z\nstore: %s\nmemoryMB: 200\nbounds:\n"+
		"  apply: 2s\n  revoke: %s\n  drain: 2s\n  grace: %s\n  stall: 1500ms\n  repeatRatio: 0.2\n  repeatSlack: 90\n  repeatWindow: 10s\n",
		name, proxy.Address, revoke, grace)
	p := &process{name: name, settings: filepath.Join(w.dir, name+".yaml")}
	require.NoError(w.t, os.WriteFile(p.settings, []byte(text), 0o600))
	p.out, err = os.Create(filepath.Join(w.dir, name+".log"))
	require.NoError(w.t, err)
	p.start(w.t, w.binary)
	return p
}

// startPlain starts the servers of the plain service. They refuse some requests, and
// break some off after they ran.
func (w *world) startPlain() {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(w.r.Uint64(), 1))
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
	for i := range 2 {
		s := standin.NewServer(w.t, func(a standin.Reply, q standin.Request) {
			switch u := draw(); {
			case u < 0.05:
				a.NotRun()
				return
			case u < 0.08:
				w.ledger.Ran(q.ID, q.Workspace)
				a.Cut()
			}
			w.ledger.Ran(q.ID, q.Workspace)
			time.Sleep(time.Duration(draw() * float64(20*time.Millisecond)))
			a.Whole(http.StatusOK, "body of "+q.ID)
		})
		w.plain = append(w.plain, s)
		w.store.PutServer(fmt.Sprint("p-", i), "app", s.Address)
	}
}

// startBrittle starts servers that a request crashes, by turns as new ones and under their ids.
func (w *world) startBrittle() {
	start := standin.NewCrashing
	if w.r.IntN(2) == 0 {
		start = standin.NewCrashingUnderIDs
	}
	w.brittle = start(w.t, w.store, "brittle", "fatal", 3, 300*time.Millisecond)
}

// putForeign has another writer spoil the list: an entry of its own, or that of a server. The
// returned function undoes it.
func (w *world) putForeign() (undo func()) {
	text := standin.ForeignServers[w.r.IntN(len(standin.ForeignServers))]
	if n := w.r.IntN(2 * len(w.plain)); n < len(w.plain) {
		w.store.Put("servers", fmt.Sprint("p-", n), text)
		return func() { w.store.PutServer(fmt.Sprint("p-", n), "app", w.plain[n].Address) }
	}
	w.version++
	name := fmt.Sprint("foreign-", w.version)
	w.store.Put("servers", name, text)
	return func() { w.store.Remove("servers", name) }
}

// putConfig writes the next version of the rules.
func (w *world) putConfig(leaverHasKey bool) {
	w.version++
	workspaces := map[string][]string{"stayer": {"k-stayer"}, "leaver": {}}
	if leaverHasKey {
		workspaces["leaver"] = []string{"k-leaver"}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = &standin.Config{
		Version: w.version, Host: host, Engines: "gen", Group: shape, Plain: "app", Workspaces: workspaces,
		Routes: []standin.Route{
			{Name: "stream", Kind: "streaming", Service: "gen", Resumable: true},
			{Name: "once", Kind: "unsafe", Service: "app"},
			{Name: "safe", Kind: "safe", Service: "app"},
			{Name: "brittle", Kind: "safe", Service: "brittle"},
		},
	}
	require.NoError(w.t, w.store.PutConfig(*w.config))
}

// copyOrPutBack copies the store, or has it come back from a copy of some steps ago. The
// operator and the servers write theirs again after a while.
func (w *world) copyOrPutBack() (again time.Duration, comesBack bool) {
	const steps = 4
	if w.copies == nil {
		return 0, false
	}
	w.saved = append(w.saved, w.store.Copy())
	w.saved = w.saved[max(len(w.saved)-steps, 0):]
	if w.copies.IntN(8) > 0 {
		return 0, false
	}
	w.putBacks++
	w.store.PutBack(w.saved[w.copies.IntN(len(w.saved))])
	return time.Duration(100+w.copies.IntN(900)) * time.Millisecond, true
}

// writeAgain writes what the operator and the servers wrote last.
func (w *world) writeAgain() {
	w.mu.Lock()
	err := w.store.PutConfig(*w.config)
	w.mu.Unlock()
	if err != nil {
		w.problem("config not written: %v", err)
	}
	for _, g := range w.groups {
		g.Register(w.store, "gen")
	}
	for n, s := range w.plain {
		w.store.PutServer(fmt.Sprint("p-", n), "app", s.Address)
	}
	w.brittle.WriteAgain()
	for _, n := range w.notifiers {
		n.write()
	}
}

// end ends what the soak started, and nothing else.
func (w *world) end() {
	for _, p := range append(w.entries, w.sidecars...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.await(5 * time.Second)
		_ = p.out.Close() // nobody writes there any more
	}
	for _, p := range w.proxies {
		p.Close()
	}
}

// logs are the lines of all processes about a request.
func (w *world) logs(id string) string {
	var b bytes.Buffer
	for _, p := range append(w.entries, w.sidecars...) {
		text, err := os.ReadFile(p.out.Name())
		if err != nil {
			continue
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(id)) {
				fmt.Fprintf(&b, "%s: %s", p.name, line)
			}
		}
	}
	return b.String()
}

// used tells whether a request was sent to a target whose name begins so.
func (w *world) used(target string) bool {
	return strings.Contains(w.logs(`"attempts":["`+target), target)
}

// tails are the last lines of all processes.
func (w *world) tails() string {
	var b bytes.Buffer
	for _, p := range append(w.entries, w.sidecars...) {
		text, err := os.ReadFile(p.out.Name())
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, "%s: %s\n", p.name, text[max(len(text)-1000, 0):])
	}
	return b.String()
}

// ready tells whether the balancer would send callers to an entry.
func (w *world) ready(entry int) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	a, err := c.Get("http://" + w.readiness[entry].String() + "/ready")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
