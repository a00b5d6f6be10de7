package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	pollInterval = 200 * time.Millisecond
	dumpBytes    = 16 << 20
	// settleTime is how long an entry must have run unharmed before a change
	// has to be active there.
	settleTime = 3 * time.Second
)

// dump is the part of an entry's dump that the rig reads.
type dump struct {
	Ready    bool `json:"ready"`
	Services []struct {
		Service string `json:"service"`
		Number  uint64 `json:"number"`
		Digest  string `json:"digest"`
	} `json:"services"`
}

// serviceState is the state of a service that an incarnation of an entry showed last.
type serviceState struct {
	incarnation int
	number      uint64
	digest      string
}

// documentChange is a change of a document that is not yet active at all entries.
type documentChange struct {
	service string
	begin   time.Time
	before  map[string]string // digests that were active when the change was made, by entry
	missing map[string]bool   // entries that still show the earlier digest
}

// watcher polls the entries' dumps. It measures how long changes take, and checks
// that the number of a document does not decrease within an incarnation of an
// entry.
type watcher struct {
	cluster *cluster

	mu              sync.Mutex
	state           map[string]map[string]serviceState // by entry, then service
	harmed          map[string]time.Time               // when an entry was last seen down, paused or not ready
	pending         *documentChange
	activationTimes []time.Duration
	overtaken       int      // changes still pending when the next one was made
	regressions     []string // decreases of a document's number
}

func newWatcher(c *cluster) *watcher {
	return &watcher{cluster: c, state: make(map[string]map[string]serviceState), harmed: make(map[string]time.Time)}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.cluster.entries {
			w.poll(ctx, e)
		}
		w.finishChange()
		time.Sleep(pollInterval)
	}
}

// poll reads an entry's dump. The dump counts only if the entry was up, in the same
// incarnation, before and after the read.
func (w *watcher) poll(ctx context.Context, e *node) {
	state, incarnation := e.current()
	if state != up {
		w.markHarmed(e)
		return
	}
	d, err := w.read(ctx, e)
	if stateAfter, incarnationAfter := e.current(); err != nil || stateAfter != up || incarnationAfter != incarnation || !d.Ready {
		w.markHarmed(e)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range d.Services {
		w.record(e, incarnation, serviceState{incarnation: incarnation, number: s.Number, digest: s.Digest}, s.Service)
	}
}

func (w *watcher) markHarmed(e *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmed[e.name] = time.Now()
}

// record stores the state of a service and checks its number.
func (w *watcher) record(e *node, incarnation int, now serviceState, service string) {
	if w.state[e.name] == nil {
		w.state[e.name] = make(map[string]serviceState)
	}
	old := w.state[e.name][service]
	if old.incarnation == incarnation && now.number < old.number {
		w.regressions = append(w.regressions, fmt.Sprintf("%s: %s from %d to %d", e.name, service, old.number, now.number))
	}
	w.state[e.name][service] = now
}

func (w *watcher) read(ctx context.Context, e *node) (dump, error) {
	var d dump
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.admin.String()+"/dump", nil)
	if err != nil {
		return d, err
	}
	req.Header.Set("Authorization", "Bearer "+w.cluster.token)
	resp, err := w.cluster.http.Do(req)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, fmt.Errorf("dump: %s", resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, dumpBytes)).Decode(&d)
	return d, err
}

// startChange starts to time a change. A change that is still pending counts as
// overtaken.
func (w *watcher) startChange(service string, begin time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		w.overtaken++
	}
	c := &documentChange{service: service, begin: begin, before: make(map[string]string), missing: make(map[string]bool)}
	for _, e := range w.cluster.entries {
		c.before[e.name] = w.state[e.name][service].digest
		c.missing[e.name] = true
	}
	w.pending = c
}

// finishChange ends the pending change once it is active at all unharmed entries.
func (w *watcher) finishChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		return
	}
	waiting := 0
	for _, e := range w.cluster.entries {
		if w.state[e.name][w.pending.service].digest != w.pending.before[e.name] {
			delete(w.pending.missing, e.name)
		}
		if w.pending.missing[e.name] && time.Since(w.harmed[e.name]) > settleTime {
			waiting++
		}
	}
	if waiting == 0 {
		w.activationTimes = append(w.activationTimes, time.Since(w.pending.begin))
		w.pending = nil
	}
}
