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
	pollEvery = 200 * time.Millisecond
	dumpBytes = 16 << 20
	// settled is how long an entry must have run unharmed before a change
	// is expected to be in force there in time.
	settled = 3 * time.Second
)

// dump is what the rig reads of an entry's dump.
type dump struct {
	Ready    bool `json:"ready"`
	Services []struct {
		Service string `json:"service"`
		Number  uint64 `json:"number"`
		Digest  string `json:"digest"`
	} `json:"services"`
}

// seen is what an entry's life has shown of a service.
type seen struct {
	life   int
	number uint64
	digest string
}

// change is a document change on its way to all entries.
type change struct {
	service string
	begun   time.Time
	before  map[string]string // digests in force when it was made, by entry
	missing map[string]bool   // entries that do not show another digest yet
}

// watcher polls the entries' dumps: how long changes take, and that no number
// falls within a life of a process.
type watcher struct {
	cluster *cluster

	mu      sync.Mutex
	state   map[string]map[string]seen // by entry, then service
	harmed  map[string]time.Time       // when an entry was last seen down or paused
	open    *change
	took    []time.Duration
	unmet   int
	reverts []string
}

func newWatcher(c *cluster) *watcher {
	return &watcher{cluster: c, state: make(map[string]map[string]seen), harmed: make(map[string]time.Time)}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.cluster.entries {
			w.poll(ctx, e)
		}
		w.check()
		time.Sleep(pollEvery)
	}
}

func (w *watcher) poll(ctx context.Context, e *node) {
	state, life := e.now()
	if state != up {
		w.harm(e)
		return
	}
	d, err := w.read(ctx, e)
	if after, lifeNow := e.now(); err != nil || after != up || lifeNow != life || !d.Ready {
		w.harm(e)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range d.Services {
		w.note(e, life, seen{life: life, number: s.Number, digest: s.Digest}, s.Service)
	}
}

func (w *watcher) harm(e *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmed[e.name] = time.Now()
}

func (w *watcher) note(e *node, life int, now seen, service string) {
	if w.state[e.name] == nil {
		w.state[e.name] = make(map[string]seen)
	}
	old := w.state[e.name][service]
	if old.life == life && now.number < old.number {
		w.reverts = append(w.reverts, fmt.Sprintf("%s: %s from %d to %d", e.name, service, old.number, now.number))
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

// changed begins to time a change. One that is still on its way counts as unmet.
func (w *watcher) changed(service string, begun time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open != nil {
		w.unmet++
	}
	c := &change{service: service, begun: begun, before: make(map[string]string), missing: make(map[string]bool)}
	for _, e := range w.cluster.entries {
		c.before[e.name] = w.state[e.name][service].digest
		c.missing[e.name] = true
	}
	w.open = c
}

// check ends the open change once all unharmed entries have it in force.
func (w *watcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		return
	}
	waiting := 0
	for _, e := range w.cluster.entries {
		if w.state[e.name][w.open.service].digest != w.open.before[e.name] {
			delete(w.open.missing, e.name)
		}
		if w.open.missing[e.name] && time.Since(w.harmed[e.name]) > settled {
			waiting++
		}
	}
	if waiting == 0 {
		w.took = append(w.took, time.Since(w.open.begun))
		w.open = nil
	}
}
