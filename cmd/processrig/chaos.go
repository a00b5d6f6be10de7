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

// Times of the failures.
const (
	strikeEvery  = 1500 * time.Millisecond
	changeEvery  = 4 * time.Second
	restartAfter = time.Second
	pauseLeast   = 500 * time.Millisecond
	pauseMost    = 5 * time.Second
	outage       = 8 * time.Second
	stall        = 2 * time.Second
)

// chaos changes documents and causes failures, in an order that follows from
// the seed.
type chaos struct {
	cluster *cluster
	watch   *watcher
	rand    *rand.Rand
	change  int
	busy    map[*node]bool
	done    chan *node
	counts  map[string]int
}

func newChaos(c *cluster, w *watcher) *chaos {
	return &chaos{
		cluster: c,
		watch:   w,
		rand:    rand.New(rand.NewPCG(c.opts.seed, 0)),
		busy:    make(map[*node]bool),
		done:    make(chan *node, 1000),
		counts:  make(map[string]int),
	}
}

func (x *chaos) run(ctx context.Context) {
	strike := time.NewTicker(strikeEvery)
	defer strike.Stop()
	change := time.NewTicker(changeEvery)
	defer change.Stop()
	for {
		select {
		case <-ctx.Done():
			x.settle()
			return
		case n := <-x.done:
			delete(x.busy, n)
		case <-change.C:
			x.apply(ctx)
		case <-strike.C:
			if !x.cluster.opts.calm {
				x.strike()
			}
		}
	}
}

// settle waits until each failure has ended.
func (x *chaos) settle() {
	for len(x.busy) > 0 {
		delete(x.busy, <-x.done)
	}
	fmt.Println("failures caused:", x.counts)
}

func (x *chaos) apply(ctx context.Context) {
	x.change++
	service := services[x.change%len(services)]
	begun := time.Now()
	if err := x.cluster.apply(ctx, service, x.change); err != nil {
		x.counts["change refused"]++
		return
	}
	x.counts["change"]++
	x.watch.changed(service, begun)
}

// strike causes one failure.
func (x *chaos) strike() {
	sidecar := x.sidecar()
	entry := x.cluster.entries[x.rand.IntN(len(x.cluster.entries))]
	pause := pauseLeast + time.Duration(x.rand.Int64N(int64(pauseMost-pauseLeast)))
	switch x.rand.IntN(11) {
	case 0:
		x.during("sidecar killed", sidecar, func() { x.restart(sidecar) })
	case 1:
		x.during("entry killed", entry, func() { x.restart(entry) })
	case 2:
		x.during("sidecar paused", sidecar, func() { halt(sidecar, pause) })
	case 3:
		x.during("entry paused", entry, func() { halt(entry, pause) })
	case 4:
		x.during("sidecar drained", sidecar, func() { x.drain(sidecar) })
	case 5:
		x.during("entry drained", entry, func() { x.drain(entry) })
	case 6:
		x.during("flows forgotten", sidecar, func() { sidecar.relay.forget() })
	case 7:
		x.during("platform out", x.cluster.platform, func() { x.fail(x.cluster.platform, platform.Faults{Outage: true}, platform.Faults{}, outage) })
	case 8:
		x.strikeTarget(sidecar, "stalled", engine.Faults{Stalled: true}, service.Faults{Slowness: stall / 2})
	case 9:
		x.strikeTarget(sidecar, "breaks off", engine.Faults{CloseAfter: 5}, service.Faults{LoseAnswer: true})
	case 10:
		x.strikeTarget(sidecar, "silent", engine.Faults{Silent: true}, service.Faults{Silent: true})
	}
}

// sidecar picks one, plain and model alike often: there are fewer plain ones.
func (x *chaos) sidecar() *node {
	all := x.cluster.sidecars
	models := x.cluster.opts.engines
	if len(all) > models && x.rand.IntN(2) == 0 {
		return all[models+x.rand.IntN(len(all)-models)]
	}
	return all[x.rand.IntN(len(all))]
}

// strikeTarget causes a failure of the stand-in behind a sidecar.
func (x *chaos) strikeTarget(s *node, what string, model engine.Faults, plain service.Faults) {
	if s.model {
		x.during("engine "+what, s, func() { x.fail(s.target, model, engine.Faults{}, stall) })
		return
	}
	x.during("service "+what, s, func() { x.fail(s.target, plain, service.Faults{}, stall) })
}

// during causes a failure unless the node has one already.
func (x *chaos) during(what string, n *node, f func()) {
	if x.busy[n] {
		return
	}
	x.busy[n] = true
	x.counts[what]++
	go func() {
		f()
		x.done <- n
	}()
}

func (x *chaos) restart(n *node) {
	n.kill()
	time.Sleep(restartAfter)
	x.begin(n)
}

func (x *chaos) begin(n *node) {
	if _, err := n.child.start(false); err != nil {
		fmt.Println("start", n.name, err)
	}
}

// drain ends a node in good order and starts it again.
func (x *chaos) drain(n *node) {
	n.signal(syscall.SIGTERM, draining)
	select {
	case <-n.endedChan():
	case <-time.After(callTimeout + 10*time.Second):
		fmt.Println(n.name, "did not end after SIGTERM")
		n.kill()
	}
	x.begin(n)
}

func halt(n *node, d time.Duration) {
	n.signal(syscall.SIGSTOP, paused)
	time.Sleep(d)
	n.signal(syscall.SIGCONT, up)
}

// fail switches faults of a stand-in on, and off again after a while.
func (x *chaos) fail(n *node, on, off any, d time.Duration) {
	x.switchFaults(n, on)
	time.Sleep(d)
	x.switchFaults(n, off)
}

func (x *chaos) switchFaults(n *node, faults any) {
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
