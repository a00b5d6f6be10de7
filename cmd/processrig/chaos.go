package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// Intervals and durations of the failures and changes.
const (
	failureInterval = 1500 * time.Millisecond
	changeInterval  = 4 * time.Second
	restartDelay    = time.Second
	minPause        = 500 * time.Millisecond
	maxPause        = 5 * time.Second
	outageTime      = 8 * time.Second
	targetFaultTime = 2 * time.Second
)

// chaos changes documents and injects failures in an order that the seed determines.
type chaos struct {
	cluster   *cluster
	watch     *watcher
	rand      *rand.Rand
	change    int
	failing   map[*node]bool // nodes with a failure that has not ended
	recovered chan *node
	counts    map[string]int
}

func newChaos(c *cluster, w *watcher) *chaos {
	return &chaos{
		cluster:   c,
		watch:     w,
		rand:      rand.New(rand.NewPCG(c.opts.seed, 0)),
		failing:   make(map[*node]bool),
		recovered: make(chan *node, 1000),
		counts:    make(map[string]int),
	}
}

func (x *chaos) run(ctx context.Context) {
	failures := time.NewTicker(failureInterval)
	defer failures.Stop()
	changes := time.NewTicker(changeInterval)
	defer changes.Stop()
	for {
		select {
		case <-ctx.Done():
			x.awaitRecovery()
			return
		case n := <-x.recovered:
			delete(x.failing, n)
		case <-changes.C:
			x.apply(ctx)
		case <-failures.C:
			if !x.cluster.opts.calm {
				x.causeFailure()
			}
		}
	}
}

// awaitRecovery waits until all failures have ended.
func (x *chaos) awaitRecovery() {
	for len(x.failing) > 0 {
		delete(x.failing, <-x.recovered)
	}
	fmt.Println("failures caused:", x.counts)
}

// apply changes one of the documents.
func (x *chaos) apply(ctx context.Context) {
	x.change++
	service := services[x.change%len(services)]
	begin := time.Now()
	if err := x.cluster.apply(ctx, service, x.change); err != nil {
		x.counts["change refused"]++
		return
	}
	x.counts["change"]++
	x.watch.startChange(service, begin)
}

// causeFailure injects a random failure.
func (x *chaos) causeFailure() {
	sidecar := x.pickSidecar()
	entry := x.cluster.entries[x.rand.IntN(len(x.cluster.entries))]
	pause := minPause + time.Duration(x.rand.Int64N(int64(maxPause-minPause)))
	switch x.rand.IntN(11) {
	case 0:
		x.inject("sidecar killed", sidecar, func() { x.restart(sidecar) })
	case 1:
		x.inject("entry killed", entry, func() { x.restart(entry) })
	case 2:
		x.inject("sidecar paused", sidecar, func() { pauseFor(sidecar, pause) })
	case 3:
		x.inject("entry paused", entry, func() { pauseFor(entry, pause) })
	case 4:
		x.inject("sidecar drained", sidecar, func() { x.drain(sidecar) })
	case 5:
		x.inject("entry drained", entry, func() { x.drain(entry) })
	case 6:
		x.inject("flows forgotten", sidecar, func() { sidecar.relay.forget() })
	case 7:
		x.inject("platform out", x.cluster.platform, func() { x.failFor(x.cluster.platform, platform.Faults{Outage: true}, platform.Faults{}, outageTime) })
	case 8:
		x.failTarget(sidecar, "stalled", engine.Faults{Stalled: true}, service.Faults{Slowness: targetFaultTime / 2})
	case 9:
		x.failTarget(sidecar, "breaks off", engine.Faults{CloseAfter: 5}, service.Faults{LoseResponse: true})
	case 10:
		x.failTarget(sidecar, "silent", engine.Faults{Silent: true}, service.Faults{Silent: true})
	}
}

// pickSidecar picks a sidecar. Half of the picks are of plain services, of which
// there are fewer than engines, and the other half are of any kind.
func (x *chaos) pickSidecar() *node {
	all := x.cluster.sidecars
	models := x.cluster.opts.engines
	if len(all) > models && x.rand.IntN(2) == 0 {
		return all[models+x.rand.IntN(len(all)-models)]
	}
	return all[x.rand.IntN(len(all))]
}

// failTarget injects a failure into the stand-in behind a sidecar.
func (x *chaos) failTarget(s *node, what string, model engine.Faults, plain service.Faults) {
	if s.model {
		x.inject("engine "+what, s, func() { x.failFor(s.target, model, engine.Faults{}, targetFaultTime) })
		return
	}
	x.inject("service "+what, s, func() { x.failFor(s.target, plain, service.Faults{}, targetFaultTime) })
}

// inject runs f, which causes a failure and waits for its end, unless the node has a
// failure already.
func (x *chaos) inject(what string, n *node, f func()) {
	if x.failing[n] {
		return
	}
	x.failing[n] = true
	x.counts[what]++
	go func() {
		f()
		x.recovered <- n
	}()
}

// restart kills a node and starts it again.
func (x *chaos) restart(n *node) {
	n.kill()
	time.Sleep(restartDelay)
	x.start(n)
}

// start starts a node that has ended.
func (x *chaos) start(n *node) {
	if _, err := n.child.start(false); err != nil {
		fmt.Println("start", n.name, err)
	}
}

// drain shuts a node down gracefully and starts it again.
func (x *chaos) drain(n *node) {
	n.signal(syscall.SIGTERM, draining)
	select {
	case <-n.endedChan():
	case <-time.After(callTimeout + 10*time.Second):
		fmt.Println(n.name, "did not end after SIGTERM")
		n.kill()
	}
	x.start(n)
}

// pauseFor freezes a node for a time.
func pauseFor(n *node, d time.Duration) {
	n.signal(syscall.SIGSTOP, paused)
	time.Sleep(d)
	n.signal(syscall.SIGCONT, up)
}

// failFor sets faults of a stand-in for a time.
func (x *chaos) failFor(n *node, on, off any, d time.Duration) {
	x.setFaults(n, on)
	time.Sleep(d)
	x.setFaults(n, off)
}

func (x *chaos) setFaults(n *node, faults any) {
	body, err := json.Marshal(faults)
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+n.callers.String()+"/faults", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := x.cluster.http.Do(req)
	if err != nil {
		fmt.Println("faults of", n.name, err)
		return
	}
	resp.Body.Close()
}
