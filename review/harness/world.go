package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	zone    = "mtl-a"
	host    = "ficu95.example"
	entries = 2 // at the start
	spares  = 1 // that may be added later
	// Bounds of the installation.
	drainMS  = 2000
	revokeMS = 5000
	applyMS  = 2000
	graceS   = 8
)

// Run is the run of a request at a server.
type Run struct {
	Request, Server, Tenant, Key string
	At                           time.Time
}

// Answer is the end of a request at its requester.
type Answer struct {
	Request string
	SentAt  time.Time
	Entry   int
	Kept    bool   // its channel had carried a request before
	Parts   string // the shared parts of its prompt
	Version string // the version of the weights that it asks for
	Status  int    // 0 if there was no complete answer
	Body    string
	Stamped bool
	Leaving bool // it says that its server leaves
	At      time.Time
	Err     error
}

// World is a small deployment on loopback addresses: a store, servers, entries and sidecars.
type World struct {
	Store     *Store
	Entries   []*Process
	Callers   []netip.AddrPort // of the entries
	readiness []netip.AddrPort
	sidecars  []*Process
	servers   []*Server
	group     *standin.Group
	dir       string
	begin     time.Time
	number    atomic.Int64

	startEntry func() error // starts one more entry

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	runs    []Run
	answers []Answer
	crashes []time.Time // of servers
	version int
}

// NewWorld starts a store. Its record goes into a folder.
func NewWorld(folder string) (*World, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	return &World{Store: store, dir: dir, begin: time.Now(), record: bufio.NewWriter(file), file: file}, nil
}

// Close ends all processes that the world has started, and its stand-ins.
func (w *World) Close() {
	for _, p := range append(w.Entries, w.sidecars...) {
		p.Signal(syscall.SIGCONT)
		p.Kill()
		_ = p.log.Close()
	}
	for _, s := range w.servers {
		s.Exit()
	}
	if w.group != nil {
		w.group.Close()
	}
	w.Store.Close()
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(w.dir)) // a help for a reader of the case; the result doesn't need it
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
}

// Record writes a line into the record, with the time since the start.
func (w *World) Record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *World) recordLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) noteRun(r Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	w.recordLocked("server %s: runs %s, tenant %q, key passed on %t", r.Server, r.Request, r.Tenant, r.Key != "")
}

// Runs returns all runs so far.
func (w *World) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Answers returns the ends of all requests so far.
func (w *World) Answers() []Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Answer(nil), w.answers...)
}

// Route is a route of a configuration.
type Route struct {
	Name, Kind, Service string
}

// shape is that of the expert group's maps.
var shape = standin.Shape{Layers: 2, Experts: 12, ExpertSlots: 6}

// PutConfig writes the next version of the configuration, as the operator does, and returns when the
// store had confirmed it.
func (w *World) PutConfig(routes []Route, tenants []map[string]any) time.Time {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	return w.putVersion(version, routes, tenants)
}

// PutSameConfig writes the newest version once more.
func (w *World) PutSameConfig(routes []Route, tenants []map[string]any) time.Time {
	return w.putVersion(w.version, routes, tenants)
}

func (w *World) putVersion(version int, routes []Route, tenants []map[string]any) time.Time {
	var list []map[string]any
	services := make(map[string]bool)
	for _, r := range routes {
		services[r.Service] = true
		list = append(list, map[string]any{
			"name": r.Name, "host": host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service, "timeout_ms": 8000,
			"target_latency_ms": 300, "priority": 1, "max_attempts": 2, "public": false, "sticky": r.Kind == "streaming",
			"resumable": r.Kind == "streaming", "gap_aim_ms": 150,
		})
	}
	var specs []map[string]any
	for name := range services {
		spec := map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
		if name == "gen" {
			spec["engine"] = map[string]any{
				"slots": 8, "stride": 1, "sets": shape.Layers, "experts": shape.Experts, "places": shape.ExpertSlots, "spare": 4,
				"expert_mb": 1, "link_mbps": 1000, "step_ms": 4, "per_seq_ms": 0.9, "expert_share": 0.8,
			}
		}
		specs = append(specs, spec)
	}
	w.Store.Put("config", "main", map[string]any{
		"version": version, "routes": list, "services": specs, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.Record("operator: the store has confirmed version %d, tenants %v", version, tenants)
	return time.Now()
}

// StartSystem starts the entries, and a sidecar beside each rank of an expert group of a service "gen".
func (w *World) StartSystem(ranks int) error {
	var fronts, sides []netip.Addr
	for i := range entries + spares {
		fronts = append(fronts, netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}))
	}
	for i := range ranks {
		sides = append(sides, netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}))
	}
	var ports [5]int // peers, metrics, callers, readiness, engines
	for i := range ports {
		var err error
		if ports[i], err = freePort(append(fronts, sides...)); err != nil {
			return err
		}
	}
	if ranks > 0 {
		if err := w.startGroup(sides, uint16(ports[4])); err != nil {
			return err
		}
	}
	for i, ip := range sides {
		fields := w.fields(fmt.Sprintf("side-%s-%d", zone, i+1), ip, ports)
		fields["app"], fields["service"] = netip.AddrPortFrom(ip, uint16(ports[4])).String(), "gen"
		p, err := NewProcess(w.dir, "deploy/sidecar.yaml", fields)
		if err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, p)
	}
	w.startEntry = func() error {
		i := len(w.Entries)
		ip := fronts[i]
		p, err := NewProcess(w.dir, "deploy/entry.yaml", w.fields(fmt.Sprintf("front-%s-%d", zone, i+1), ip, ports))
		if err != nil {
			return err
		}
		w.Callers = append(w.Callers, netip.AddrPortFrom(ip, uint16(ports[2])))
		w.readiness = append(w.readiness, netip.AddrPortFrom(ip, uint16(ports[3])))
		w.Entries = append(w.Entries, p)
		return nil
	}
	for range entries {
		if err := w.startEntry(); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts one more entry, at an address that none had before.
func (w *World) AddEntry() error { return w.startEntry() }

// fields are the settings of a machine, as the platform gives them.
func (w *World) fields(node string, ip netip.Addr, ports [5]int) map[string]any {
	return map[string]any{
		"node": node, "ip": ip.String(), "zone": zone, "heartbeat_ms": heartbeat.Milliseconds(),
		"port_range": []int{ports[0], ports[1]},
		"platform":   map[string]any{"address": w.Store.Address.String()},
		"limits":     map[string]any{"memory_mb": memoryMB},
		"listen":     map[string]any{"front": fmt.Sprintf("%s:%d", ip, ports[2]), "readiness": fmt.Sprintf("%s:%d", ip, ports[3])},
		"bounds": map[string]any{
			"config_apply_ms": applyMS, "revoke_ms": revokeMS, "drain_ms": drainMS, "grace_s": graceS, "stall_ms": 1500,
			"retry_budget_ratio": 0.2, "budget_slack": 94, "budget_window_s": 10,
		},
	}
}

// startGroup starts the servers of an expert group and registers them.
func (w *World) startGroup(at []netip.Addr, port uint16) error {
	var addresses []netip.AddrPort
	for _, ip := range at {
		addresses = append(addresses, netip.AddrPortFrom(ip, port))
	}
	group, err := standin.NewGroup("g0", addresses, shape, 15*time.Millisecond, standin.NewLedger())
	if err != nil {
		return err
	}
	w.group = group
	for i, a := range addresses {
		w.putRank(i, a)
	}
	return nil
}

// putRank writes the entry of a rank's server.
func (w *World) putRank(rank int, at netip.AddrPort) {
	w.Store.Put("servers", fmt.Sprint("g0-", rank), map[string]any{
		"service": "gen", "address": at.String(), "zone": zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": w.begin.UnixMilli(),
	})
}

// AwaitReady waits until all entries answer their readiness check with 200.
func (w *World) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range w.Entries {
			if w.Ready(i) {
				ready++
			}
		}
		if ready == len(w.Entries) {
			w.Record("platform: all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries were not ready after %s", limit)
}

// Ready asks an entry whether it is ready.
func (w *World) Ready(entry int) bool {
	c := http.Client{Timeout: 600 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + w.readiness[entry].String() + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Call sends one request on a new channel and waits for its end. The requester of a stream abandons it
// if its first event does not come in time.
func (w *World) Call(ctx context.Context, entry int, method, path, key, note string) Answer {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	if strings.HasPrefix(path, streams) {
		t.ResponseHeaderTimeout = streamPatience
	}
	c := http.Client{Timeout: patience, Transport: t}
	return w.call(ctx, &c, Answer{Entry: entry}, method, path, key, note)
}

const (
	// patience is how long requesters wait.
	patience = 8 * time.Second
	// streamPatience is how long they wait for the first event of a stream.
	streamPatience = 2 * time.Second
	// streams begins the paths whose answers are streams.
	streams = "/draft/"
)

func (w *World) call(ctx context.Context, c *http.Client, a Answer, method, path, key, note string) Answer {
	a.Request = fmt.Sprintf("%s-%04d", note, w.number.Add(1))
	body := ""
	if method == http.MethodPost {
		body = "text of " + a.Request
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.Kept = c.Reused }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+w.Callers[a.Entry].String()+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the harness passes valid paths
	}
	r.Host = host
	r.Header.Set("Wagtailshelf-Request-Id", a.Request)
	r.Header.Set("Wagtailshelf-Request-Timeout-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	if a.Parts != "" {
		r.Header.Set("Wagtailshelf-Model", "m")
		r.Header.Set("Wagtailshelf-Token-Usage", "1460,80")
		r.Header.Set("Wagtailshelf-Prompt-Prefix", fmt.Sprintf("%s,%08x:250", a.Parts, w.number.Load()))
	}
	if a.Version != "" {
		r.Header.Set("Wagtailshelf-Expect-Version", a.Version)
	}
	a.SentAt = time.Now()
	w.Record("requester: sends %s to %s: %s %s, key %q", a.Request, w.Entries[a.Entry].Name, method, path, key)
	answer, err := c.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		a.Body, a.Stamped = string(text), answer.Header.Get("Wagtailshelf-Server-Stamp") != ""
		a.Leaving = answer.Header.Get("Server-Leaving") == "1"
		if err == nil {
			a.Status = answer.StatusCode
		}
	}
	a.Err, a.At = err, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	w.recordLocked("requester: %s ends with %d, %v, kept channel %t", a.Request, a.Status, err, a.Kept)
	return a
}

// CallEvery sends requests at an interval, each on a new channel, until the context ends. It returns
// once all have ended.
func (w *World) CallEvery(ctx context.Context, interval time.Duration, entry int, method, path, key, note string) {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			running.Go(func() { w.Call(context.WithoutCancel(ctx), entry, method, path, key, note) })
		}
	}
}

// noteOf returns the note with which the ID of a request begins.
func noteOf(request string) string {
	note, _, _ := strings.Cut(request, "-")
	return note
}
