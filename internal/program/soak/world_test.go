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

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	host   = "soak.example"
	revoke = 3 * time.Second
	grace  = 6 * time.Second
)

var shape = standin.Shape{Layers: 2, Experts: 12, ExpertSlots: 6}

// process is a program that the soak test has started, once or several times.
type process struct {
	name     string
	settings string
	logFile  *os.File
	mu       sync.Mutex
	running  *program.Process
	draws    *rand.Rand // of what happens at its starts
}

// start starts or restarts the program, and sends SIGHUP at a random moment of the start.
func (p *process) start(w *world) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkEnd(w)
	cmd := exec.Command(w.binary, "serve", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	started, err := program.Start(cmd)
	require.NoError(w.t, err)
	p.running = started
	moment := time.Duration(p.draws.Int64N(int64(maxStartTime)))
	w.signalling.Go(func() {
		time.Sleep(moment)
		for !started.Handles(syscall.SIGHUP) { // before the program's first instruction, the system ends it
			if !started.Lives() {
				return
			}
			time.Sleep(100 * time.Microsecond)
		}
		started.Signal(syscall.SIGHUP)
	})
}

// maxStartTime is how long after the start of a process it gets SIGHUP at the latest.
const maxStartTime = 30 * time.Millisecond

// checkEnd reports a problem if the process has ended by itself.
func (p *process) checkEnd(w *world) {
	if p.running == nil {
		return
	}
	if end := p.running.EndedByItself(); end != "" {
		w.problem("%s has ended by itself: %s", p.name, end)
	}
}

// current returns the process that was started last.
func (p *process) current() *program.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *process) signal(s syscall.Signal) { p.current().Signal(s) }

// await waits for the process to end and reports whether it ended within the limit.
func (p *process) await(limit time.Duration) bool { return p.current().Await(limit) }

// world is a deployment on loopback addresses.
type world struct {
	t            *testing.T
	r            *rand.Rand
	seed         uint64
	binary       string
	dir          string
	store        *standin.Store
	proxies      []*standin.Proxy // between each process and the store
	groups       []*standin.Group // of the service "gen"
	ledger       *standin.Ledger
	plainServers []*standin.Server
	brittle      *standin.CrashingServers // servers that some requests crash
	entries      []*process
	sidecars     []*process
	callers      []netip.AddrPort // of the entries
	readiness    []netip.AddrPort
	version      int
	revokedAt    time.Time
	backupDraws  *rand.Rand         // random source for restores of the store (when, which backup, the delay afterwards); nil if there are none
	backups      []standin.Backup   // of the store, the latest ones
	restores     int                // restores of the store from a backup
	config       *standin.Config    // the latest that the operator wrote
	notifiers    []*notifier        // servers that send target notices
	faulty       *standin.Streaming // servers that cut and misnumber streams
	signalling   sync.WaitGroup     // goroutines that send a signal to a process that starts

	mu           sync.Mutex
	problems     []string
	disturbances []disturbance // of entries
}

// problem records a violated expectation, which fails the test at its end.
func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// usedPorts are the ports that freePort has returned.
var usedPorts = make(map[uint16]bool)

// freePort returns a port that is free at all addresses of the soak test, a different one each
// time. Other soak tests may run on the same machine at the same time.
func freePort(t *testing.T) uint16 {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		port := netip.MustParseAddrPort(l.Addr().String()).Port()
		require.NoError(t, l.Close())
		if !usedPorts[port] && freeEverywhere(port) {
			usedPorts[port] = true
			return port
		}
	}
}

// Guards against two listeners of one entry that get the same port: the entry then served its
// callers at the address of its readiness check.
func TestPortsOfASoakDiffer(t *testing.T) {
	seen := make(map[uint16]bool)
	for range 1000 {
		port := freePort(t)
		require.False(t, seen[port], "port %d twice", port)
		seen[port] = true
	}
}

// freeEverywhere reports whether a port is free at all addresses of the soak test.
func freeEverywhere(port uint16) bool {
	for group := 1; group <= 2; group++ {
		for number := range max(*entryCount, maxGroups**rankCount) {
			l, err := net.Listen("tcp4", address(group, number, port).String())
			if err != nil {
				return false
			}
			_ = l.Close() // nobody has connected
		}
	}
	return true
}

// address returns the loopback address of a process: its IP address is 127.0.group.number+1.
func address(group, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(group), byte(number + 1)}), port)
}

// maxGroups is the largest number of groups in a soak test.
const maxGroups = 2

// newWorld starts a deployment whose model service has the given number of groups.
func newWorld(t *testing.T, binary string, seed uint64, groups int) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), seed: seed, binary: binary, dir: t.TempDir(),
		store: standin.NewStore(t), ledger: standin.NewLedger(),
	}
	port := freePort(t)
	var ranks []netip.AddrPort // of all groups
	for i := range groups * *rankCount {
		ranks = append(ranks, address(2, i, port))
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
	w.faulty = standin.NewStreaming(t, w.store, "feed", 3, 300*time.Millisecond, rand.New(rand.NewPCG(seed, 5)))
	for i := range 2 {
		w.startNotifier(i)
	}
	w.putConfig(true)
	peers, http, ready, metrics := freePort(t), freePort(t), freePort(t), freePort(t)
	for i := range *entryCount {
		ip := address(1, i, 0).Addr()
		w.callers = append(w.callers, netip.AddrPortFrom(ip, http))
		w.readiness = append(w.readiness, netip.AddrPortFrom(ip, ready))
		w.entries = append(w.entries, w.process(fmt.Sprint("entry-", i), fmt.Sprintf(
			"role: entry\naddress: %s\nlisten:\n  callers: %s:%d\n  readiness: %s:%d\n  metrics: %s:%d\n  peers: %s:%d\n",
			ip, ip, http, ip, ready, ip, metrics, ip, peers)))
	}
	for i := range ranks {
		ip := address(2, i, 0).Addr()
		w.sidecars = append(w.sidecars, w.process(fmt.Sprint("sidecar-", i), fmt.Sprintf(
			"role: sidecar\naddress: %s\nlisten:\n  metrics: %s:%d\n  peers: %s:%d\ntarget:\n  address: %s\n  service: gen\n",
			ip, ip, metrics, ip, peers, ranks[i])))
	}
	t.Cleanup(w.stopAll)
	return w
}

// process writes a program's settings and starts it. The program reaches the store through a
// proxy of its own.
func (w *world) process(name, settings string) *process {
	proxy, err := standin.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), w.store.Address)
	require.NoError(w.t, err)
	w.proxies = append(w.proxies, proxy)
	text := settings + fmt.Sprintf("name: %s\ndataCentre: z\nstore: %s\nmemoryMB: 200\nbounds:\n"+
		"  apply: 2s\n  revoke: %s\n  drain: 2s\n  grace: %s\n  stall: 1500ms\n  heartbeat: 1200ms\n  repeatRatio: 0.2\n  repeatSlack: 90\n  repeatWindow: 10s\n",
		name, proxy.Address, revoke, grace)
	p := &process{name: name, settings: filepath.Join(w.dir, name+".yaml"), draws: rand.New(rand.NewPCG(w.seed, uint64(400+len(w.proxies))))}
	require.NoError(w.t, os.WriteFile(p.settings, []byte(text), 0o600))
	p.logFile, err = os.Create(filepath.Join(w.dir, name+".log"))
	require.NoError(w.t, err)
	p.start(w)
	return p
}

// startPlain starts the servers of the plain service. They refuse some requests, and close the
// connection of some others after running them.
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
				w.ledger.Add(q.ID, q.Workspace)
				a.Abort()
			}
			w.ledger.Add(q.ID, q.Workspace)
			time.Sleep(time.Duration(draw() * float64(20*time.Millisecond)))
			a.Complete(http.StatusOK, "body of "+q.ID)
		})
		w.plainServers = append(w.plainServers, s)
		w.store.PutServer(fmt.Sprint("p-", i), "app", s.Address)
	}
}

// startBrittle starts servers that some requests crash. Whether they come back as new servers or
// under their old ids depends on the seed.
func (w *world) startBrittle() {
	start := standin.NewCrashing
	if w.r.IntN(2) == 0 {
		start = standin.NewCrashingSameIDs
	}
	w.brittle = start(w.t, w.store, "brittle", "fatal", 3, 300*time.Millisecond)
}

// putForeign acts as another writer that corrupts the list of servers: it adds a registration of
// its own or overwrites that of a server. The returned function undoes this.
func (w *world) putForeign() (undo func()) {
	text := standin.ForeignServers[w.r.IntN(len(standin.ForeignServers))]
	if n := w.r.IntN(2 * len(w.plainServers)); n < len(w.plainServers) {
		w.store.Put("servers", fmt.Sprint("p-", n), text)
		return func() { w.store.PutServer(fmt.Sprint("p-", n), "app", w.plainServers[n].Address) }
	}
	w.version++
	name := fmt.Sprint("foreign-", w.version)
	w.store.Put("servers", name, text)
	return func() { w.store.Remove("servers", name) }
}

// putConfig writes the next version of the configuration.
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
			{Name: "feed", Kind: "streaming", Service: "feed", Resumable: true},
			{Name: "flow", Kind: "streaming", Service: "feed"},
		},
	}
	require.NoError(w.t, w.store.PutConfig(*w.config))
}

// backUpOrRestore takes a backup of the store, and now and then restores the store from one of
// the latest backups. After a restore the operator and the servers write their records again
// after rewriteDelay.
func (w *world) backUpOrRestore() (rewriteDelay time.Duration, restored bool) {
	const maxBackups = 4
	if w.backupDraws == nil {
		return 0, false
	}
	w.backups = append(w.backups, w.store.Backup())
	w.backups = w.backups[max(len(w.backups)-maxBackups, 0):]
	if w.backupDraws.IntN(8) > 0 {
		return 0, false
	}
	w.restores++
	w.store.Restore(w.backups[w.backupDraws.IntN(len(w.backups))])
	return time.Duration(100+w.backupDraws.IntN(900)) * time.Millisecond, true
}

// rewrite writes the latest records of the operator and the servers again.
func (w *world) rewrite() {
	w.mu.Lock()
	err := w.store.PutConfig(*w.config)
	w.mu.Unlock()
	if err != nil {
		w.problem("config not written: %v", err)
	}
	for _, g := range w.groups {
		g.Register(w.store, "gen")
	}
	for n, s := range w.plainServers {
		w.store.PutServer(fmt.Sprint("p-", n), "app", s.Address)
	}
	w.brittle.RegisterAgain()
	w.faulty.RegisterAgain()
	for _, n := range w.notifiers {
		n.register()
	}
}

// stopAll ends the processes and proxies that the soak test started, and nothing else.
func (w *world) stopAll() {
	w.signalling.Wait()
	for _, p := range append(w.entries, w.sidecars...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.await(settleLimit)
		_ = p.logFile.Close() // the process that wrote to it has ended
	}
	for _, p := range w.proxies {
		p.Close()
	}
}

// checkProcesses reports a problem for each process that has ended by itself, has a data race, or has a task that ended.
func (w *world) checkProcesses() {
	for _, p := range append(w.entries, w.sidecars...) {
		p.mu.Lock()
		p.checkEnd(w)
		p.mu.Unlock()
		text, err := os.ReadFile(p.logFile.Name())
		require.NoError(w.t, err)
		for _, sign := range []string{"WARNING: DATA RACE", `"event":"taskEnded"`, `"event":"library"`, "panic: ", "fatal error: "} {
			if at := bytes.Index(text, []byte(sign)); at >= 0 {
				w.problem("%s: %s", p.name, text[at:min(at+3000, len(text))])
			}
		}
	}
}

// logs returns the log lines of all processes that contain a text, such as a request id.
func (w *world) logs(text string) string {
	var b bytes.Buffer
	for _, p := range append(w.entries, w.sidecars...) {
		all, err := os.ReadFile(p.logFile.Name())
		if err != nil {
			continue
		}
		for line := range bytes.Lines(all) {
			if bytes.Contains(line, []byte(text)) {
				fmt.Fprintf(&b, "%s: %s", p.name, line)
			}
		}
	}
	return b.String()
}

// usedTarget reports whether a request was sent to a target whose name begins with a prefix.
func (w *world) usedTarget(prefix string) bool {
	return strings.Contains(w.logs(`"attempts":["`+prefix), prefix)
}

// logTails returns the last 1000 bytes of each process's log.
func (w *world) logTails() string {
	var b bytes.Buffer
	for _, p := range append(w.entries, w.sidecars...) {
		text, err := os.ReadFile(p.logFile.Name())
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, "%s: %s\n", p.name, text[max(len(text)-1000, 0):])
	}
	return b.String()
}

// ready reports whether an entry passes its readiness check, so that an external load balancer
// would send callers to it.
func (w *world) ready(entry int) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	a, err := c.Get("http://" + w.readiness[entry].String() + "/ready")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
