package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// putConfig writes a config with a service of model servers, as on the site ktfb-crowd, and a plain one.
func (w *world) putConfig(version int, keys ...string) {
	route := func(name, kind, service string, limit int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": limit,
			"target_latency_ms": 500, "priority": 1, "max_attempts": 2, "public": false, "sticky": kind == "streaming",
			"resumable": kind == "streaming", "gap_aim_ms": 120,
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("lm", "streaming", "lm", 8000), route("post", "unsafe", "desk", 1500), route("read", "safe", "desk", 1500),
		},
		"services": []any{
			map[string]any{"name": "lm", "health_path": "/healthz", "max_connections": 348, "engine": map[string]any{
				"slots": slots, "kv_tokens": 280000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "sets": groupSets, "experts": experts,
				"places": places, "spare": spare, "expert_mb": 1700.0, "link_mbps": 92000.0, "expert_share": 0.85, "form_ms": 600.0,
			}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": keys, "priority": 1}},
	})
}

// startSides starts a sidecar beside each model server.
func (w *world) startSides(groups []*group) error {
	for _, g := range groups {
		for _, e := range g.ranks {
			f := w.fields(fmt.Sprint("side-", e.machine), fmt.Sprint(sideNet, e.machine), "z")
			f["app"], f["service"], f["limits.memory_mb"] = e.address, "lm", 152
			if _, err := w.startProcess(fmt.Sprint("side-", e.machine), "deploy/sidecar.yaml", f); err != nil {
				return err
			}
		}
	}
	return nil
}

// ranksCase crashes two model servers of a group of eight, one of them on the machine whose sidecar plans the
// group's maps. Both come back, in the other order, so the platform forms the group again with these two ranks
// exchanged.
func ranksCase(w *world, trouble bool) ([]string, error) {
	var groups []*group
	for n := range 2 {
		g, err := w.newGroup(fmt.Sprint("g0-", n), 1+n*groupRanks)
		if err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	w.putConfig(3, apiKey)
	if err := w.startSides(groups); err != nil {
		return nil, err
	}
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	q := w.newRequesters()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for n := range 40 {
		running.Go(func() { q.keep(ctx, 1+n%2) })
	}
	moved := func(g *group) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.passes > 50
	}
	if err := eventually(30*time.Second, "the maps of both groups follow demand", func() bool { return moved(groups[0]) && moved(groups[1]) }); err != nil {
		return nil, err
	}
	if trouble {
		if err := w.crashTwo(groups[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(25 * time.Second)
	stop()
	running.Wait()
	w.record.note("requests by route, status and whether the answer was complete: %s", q.summary())
	fmt.Println("requests:", q.summary())
	var broken []string
	for _, g := range groups {
		g.mu.Lock()
		w.record.note("%s: epoch %d, %d passes with a map other than 0, %d passes with different maps", g.name, g.epoch, g.passes, len(g.mixed))
		fmt.Printf("%s: epoch %d, %d passes with a map other than 0, %d passes with different maps\n", g.name, g.epoch, g.passes, len(g.mixed))
		broken = append(broken, g.mixed...)
		g.mu.Unlock()
	}
	return broken, nil
}

// crashTwo crashes the server of the machine that plans for a group, and the one of the next rank but two.
func (w *world) crashTwo(g *group) error {
	planner := w.store.leader("planner.lm." + g.name)
	g.mu.Lock()
	var first, second *engine
	for rank, e := range g.ranks {
		if fmt.Sprint("side-", e.machine) == planner {
			first, second = e, g.ranks[(rank+3)%groupRanks]
		}
	}
	g.mu.Unlock()
	if first == nil {
		return fmt.Errorf("nobody plans for %s: %q", g.name, planner)
	}
	// The one of the higher rank is back first, and gets the lower rank. For comparison, BACK=inorder has the other
	// one back first, so that both keep their ranks.
	low, high := first, second
	if (low.rank > high.rank) != (os.Getenv("BACK") == "inorder") {
		low, high = high, low
	}
	w.record.note("the planner of %s is %s", g.name, strings.TrimSpace(planner))
	low.crash(3500 * time.Millisecond)
	high.crash(3300 * time.Millisecond)
	return nil
}
