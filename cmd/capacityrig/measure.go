package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// measurement varies one size and measures how the cost depends on it.
type measurement struct {
	name    string
	title   string
	unit    string // of the size
	columns []string
	sizes   []int
	measure func(ctx context.Context, d *deployment, size int) (x float64, figures []float64, err error)
}

// Durations of the parts of a measurement.
const (
	loadTime   = 4 * time.Second
	idleTime   = 12 * time.Second
	settleTime = 2 * time.Second

	// watchRounds covers two rounds of the watches of the platform.
	watchRounds = 40 * time.Second
)

const (
	plainRoute = "{methods: [GET], path: /lists/*, idempotent: true, deadline: 10s}"
	modelRoute = "{methods: [POST], path: /*, idempotent: true, deadline: 2m, stream: true}"
)

const (
	entryCPU         = "entry, ms of processor a second"
	sidecarCPU       = "sidecar, ms of processor a second"
	entryMiB         = "entry, MiB"
	sidecarMiB       = "sidecar, MiB"
	mebibyte         = 1 << 20
	platformCallRate = "platform, calls a second"
)

var measurements = []measurement{
	{"calls", "small calls through one entry and one sidecar", "calls a second", []string{entryCPU, sidecarCPU}, []int{200, 600, 1200}, measureCalls},
	{"tokens", "tokens of streams through one entry and one sidecar", "tokens a second", []string{entryCPU, sidecarCPU}, []int{2, 4, 8, 16}, measureTokens},
	{"streams", "open streams that are nearly idle", "streams", []string{entryMiB, sidecarMiB}, []int{50, 200, 400}, measureStreams},
	{"targets", "an entry with idle sidecars", "sidecars", []string{entryCPU, entryMiB, "entry, bytes a second"}, []int{4, 12, 24}, measureTargets},
	{"entries", "a sidecar with idle entries", "entries", []string{sidecarCPU, sidecarMiB, "sidecar, bytes a second"}, []int{1, 4, 8}, measureEntries},
	{"platform", "the platform with idle entries and sidecars, as many of each", "entries", []string{platformCallRate}, []int{2, 8, 16}, measurePlatformCalls},
	{"fleet", "a fleet in three data centres in which nothing changes, a fifth of it entries", "processes", []string{
		platformCallRate, entryCPU, sidecarCPU, entryMiB, sidecarMiB,
	}, []int{15, 30, 60}, measureIdleFleet},
	{"changes", "a change of a document until it is in force at all entries of such a fleet", "processes", []string{
		"platform calls", "ms until in force",
	}, []int{15, 30, 60}, measureChanges},
	{"workspaces", "a document with many workspaces", "workspaces", []string{entryMiB, "document, KiB"}, []int{10, 1000, 4000}, measureWorkspaces},
}

// startPair starts one entry and one sidecar in front of a stand-in.
func (d *deployment) startPair(ctx context.Context, standin, kind, route string, flags ...string) error {
	target, err := d.startStandin(standin, flags...)
	if err != nil {
		return err
	}
	if err := d.startEntry(); err != nil {
		return err
	}
	if err := d.startSidecar(target, kind); err != nil {
		return err
	}
	return d.installDocument(ctx, kind, route, 1)
}

// call sends one request to the first entry.
func (d *deployment) call(ctx context.Context, method, path, body string) error {
	url := fmt.Sprintf("http://%s/load%s", d.entries[0].at(callersPort), path)
	return d.do(ctx, method, url, callerCredential, []byte(body), nil)
}

// processorUse returns how many milliseconds of processor time per second each
// process uses while f runs, and how long f took.
func processorUse(f func(), processes ...*process) ([]float64, time.Duration, error) {
	before := make([]time.Duration, len(processes))
	for i, p := range processes {
		var err error
		if before[i], err = processorTime(p.cmd.Process.Pid); err != nil {
			return nil, 0, err
		}
	}
	begin := time.Now()
	f()
	took := time.Since(begin)
	figures := make([]float64, len(processes))
	for i, p := range processes {
		after, err := processorTime(p.cmd.Process.Pid)
		if err != nil {
			return nil, 0, err
		}
		figures[i] = 1000 * (after - before[i]).Seconds() / took.Seconds()
	}
	return figures, took, nil
}

// measureCalls sends small calls at a fixed rate. Each is sent when it is due,
// whether or not earlier ones have ended.
func measureCalls(ctx context.Context, d *deployment, rate int) (float64, []float64, error) {
	if err := d.startPair(ctx, "service", "plain", plainRoute); err != nil {
		return 0, nil, err
	}
	var failed atomic.Int64
	load := func(length time.Duration) int {
		var g sync.WaitGroup
		n := 0
		begin := time.Now()
		for ; time.Since(begin) < length; n++ {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(rate))))
			g.Go(func() {
				if d.call(ctx, http.MethodGet, "/lists/monday", "") != nil {
					failed.Add(1)
				}
			})
		}
		g.Wait()
		return n
	}
	load(settleTime)
	failed.Store(0)
	n := 0
	figures, took, err := processorUse(func() { n = load(loadTime) }, d.entries[0], d.sidecars[0])
	if err == nil && failed.Load() > 0 {
		err = fmt.Errorf("%d of %d calls failed", failed.Load(), n)
	}
	return float64(n) / took.Seconds(), figures, err
}

// measureTokens keeps parallel streams open to an engine whose steps take 15 ms.
func measureTokens(ctx context.Context, d *deployment, parallel int) (float64, []float64, error) {
	if err := d.startPair(ctx, "engine", "model", modelRoute, "--step", "15ms", "--batch", "64"); err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	var received atomic.Int64
	for range parallel {
		g.Go(func() {
			for ctx.Err() == nil {
				// A failed call yields no tokens, which lowers the rate.
				_ = d.stream(ctx, `{"prompt":"Bonjour","maxTokens":500}`, &received)
			}
		})
	}
	time.Sleep(settleTime)
	var n int64
	figures, took, err := processorUse(func() {
		before := received.Load()
		time.Sleep(loadTime)
		n = received.Load() - before
	}, d.entries[0], d.sidecars[0])
	cancel()
	g.Wait()
	return float64(n) / took.Seconds(), figures, err
}

// stream sends one request and counts the events of its response as they arrive.
func (d *deployment) stream(ctx context.Context, body string, received *atomic.Int64) error {
	url := fmt.Sprintf("http://%s/load/v1/draft", d.entries[0].at(callersPort))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerCredential)
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // an error at the end does not matter
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			received.Add(1)
		}
	}
	return lines.Err()
}

// measureStreams holds streams open that receive a token every 2 s.
func measureStreams(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startPair(ctx, "engine", "model", modelRoute, "--step", "2s", "--batch", "2000"); err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	for range n {
		g.Go(func() {
			// The call ends when ctx is cancelled, which is not a failure.
			_ = d.call(ctx, http.MethodPost, "/v1/draft", `{"prompt":"Bonjour","maxTokens":50}`)
		})
	}
	time.Sleep(3 * settleTime)
	figures, err := residentMiB(d.entries[0], d.sidecars[0])
	cancel()
	g.Wait()
	return float64(n), figures, err
}

// residentMiB returns the resident memory of each process in MiB.
func residentMiB(processes ...*process) ([]float64, error) {
	figures := make([]float64, 0, len(processes))
	for _, p := range processes {
		n, err := residentBytes(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		figures = append(figures, n/mebibyte)
	}
	return figures, nil
}

// startFleet starts entries, and sidecars that share one stand-in. It then sends
// each entry enough calls to open a connection to each sidecar.
func (d *deployment) startFleet(ctx context.Context, entries, sidecars int) error {
	target, err := d.startStandin("service")
	if err != nil {
		return err
	}
	for range entries {
		if err := d.startEntry(); err != nil {
			return err
		}
	}
	for range sidecars {
		if err := d.startSidecar(target, "plain"); err != nil {
			return err
		}
	}
	if err := d.installDocument(ctx, "plain", plainRoute, 1); err != nil {
		return err
	}
	for _, e := range d.entries {
		url := fmt.Sprintf("http://%s/load/lists/monday", e.at(callersPort))
		for range 40 * sidecars {
			// A refused call does not matter: it opens the connection, too.
			_ = d.do(ctx, http.MethodGet, url, callerCredential, nil, nil)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// measureTargets measures an idle entry with n sidecars.
func measureTargets(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startFleet(ctx, 1, n); err != nil {
		return 0, nil, err
	}
	e := d.entries[0]
	figures, traffic, err := d.idleUse(ctx, e)
	if err != nil {
		return 0, nil, err
	}
	memory, err := residentMiB(e)
	return float64(n), []float64{figures[0], memory[0], traffic}, err
}

// measureEntries measures an idle sidecar with n entries.
func measureEntries(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startFleet(ctx, n, 1); err != nil {
		return 0, nil, err
	}
	figures, traffic, err := d.idleUse(ctx, d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	memory, err := residentMiB(d.sidecars[0])
	return float64(n), []float64{figures[0], memory[0], traffic}, err
}

// measurePlatformCalls counts the calls of an idle deployment to the platform over
// two rounds of its watches.
func measurePlatformCalls(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startFleet(ctx, n, n); err != nil {
		return 0, nil, err
	}
	before, err := d.platformCallCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	time.Sleep(watchRounds)
	after, err := d.platformCallCount(ctx)
	return float64(n), []float64{(after - before) / watchRounds.Seconds()}, err
}

// idleUse waits, and returns the processor time of a process and the bytes that all
// entries sent and received, both per second.
func (d *deployment) idleUse(ctx context.Context, p *process) (figures []float64, traffic float64, err error) {
	before, err := d.traffic(ctx)
	if err != nil {
		return nil, 0, err
	}
	figures, took, err := processorUse(func() { time.Sleep(idleTime) }, p)
	if err != nil {
		return nil, 0, err
	}
	after, err := d.traffic(ctx)
	return figures, (after - before) / took.Seconds(), err
}

// traffic returns the bytes that all entries have sent and received.
func (d *deployment) traffic(ctx context.Context) (float64, error) {
	sum := 0.0
	for _, e := range d.entries {
		s, err := d.dump(ctx, e)
		if err != nil {
			return 0, err
		}
		sum += s.transferredBytes()
	}
	return sum, nil
}

// platformCallCount returns the number of calls to the platform so far.
func (d *deployment) platformCallCount(ctx context.Context) (float64, error) {
	var counts []struct {
		Count float64 `json:"count"`
	}
	url := fmt.Sprintf("http://%s/calls", d.platform.at(standinPort))
	err := d.do(ctx, http.MethodGet, url, "", nil, &counts)
	all := 0.0
	for _, c := range counts {
		all += c.Count
	}
	return all, err
}

// measureWorkspaces measures an entry with an active document of n workspaces.
func measureWorkspaces(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	target, err := d.startStandin("service")
	if err != nil {
		return 0, nil, err
	}
	if err := d.startEntry(); err != nil {
		return 0, nil, err
	}
	if err := d.startSidecar(target, "plain"); err != nil {
		return 0, nil, err
	}
	if err := d.installDocument(ctx, "plain", plainRoute, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(settleTime)
	memory, err := residentMiB(d.entries[0])
	return float64(n), []float64{memory[0], float64(len(d.document("plain", plainRoute, n))) / 1024}, err
}
