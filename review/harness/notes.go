package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The scripts in this file are no cases of the review: REPORT.md names what they show.

// expiry is how long the platform keeps an entry that nobody writes again: three heartbeat intervals.
const expiry = 3 * heartbeat

// displaced: another writer adds entries with the addresses of the servers of one service. They are
// removed after three heartbeat intervals, as nobody writes them again. The route to that service was
// added later than that to another service.
func displaced(w *World, trouble bool) (bool, error) {
	tenants := []map[string]any{{"name": "hule930", "api_keys": []string{"key"}}}
	first := []Route{{"log", "unsafe", "app"}}
	w.PutConfig(first, tenants)
	if err := w.StartSystem(0); err != nil {
		return false, err
	}
	for _, service := range []string{"app", "desk"} {
		if err := w.startPlain(service, 2, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.AwaitReady(readyLimit); err != nil {
		return false, err
	}
	w.PutConfig(append(first, Route{"list", "safe", "desk"}), tenants)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for entry := range w.Entries {
		running.Go(func() { w.CallEvery(ctx, 50*time.Millisecond, entry, "POST", "/log/a", "key", "first") })
		running.Go(func() { w.CallEvery(ctx, 50*time.Millisecond, entry, "GET", "/list/a", "key", "later") })
	}
	time.Sleep(5 * time.Second)
	w.recordServed("before", w.begin.Add(applyMS*time.Millisecond))
	if trouble {
		w.addForeign("desk")
	}
	time.Sleep(5 * time.Second)
	steady := time.Now()
	time.Sleep(20 * time.Second)
	stop()
	running.Wait()
	served, later := w.recordServed("in the last 20 s", steady)
	return later < served/4, nil
}

// addForeign adds an entry of another writer for each server of a service. The platform removes them
// when they have expired.
func (w *World) addForeign(service string) {
	var names []string
	for _, s := range w.servers {
		if s.Service != service {
			continue
		}
		name := "inventory-" + s.ID
		names = append(names, name)
		w.Record("another writer: adds the entry %s with the address of %s, %s", name, s.ID, s.Address)
		w.Store.Put("servers", name, foreignEntry(s.Address))
	}
	time.Sleep(expiry)
	for _, name := range names {
		w.Store.Remove("servers", name)
	}
	w.Record("platform: the entries of the other writer have expired")
}

// recordServed returns which parts of the requests on the first route and on the one that was added
// later were served, of those that were sent after some time.
func (w *World) recordServed(when string, since time.Time) (first, later float64) {
	served, all := make(map[string]float64), make(map[string]float64)
	for _, a := range w.Answers() {
		if a.SentAt.Before(since) {
			continue
		}
		all[noteOf(a.Request)]++
		if a.Status == http.StatusOK && a.Stamped {
			served[noteOf(a.Request)]++
		}
	}
	w.Record("check: %s %g of %g were served on the first route, %g of %g on the later one", when, served["first"], all["first"], served["later"], all["later"])
	return served["first"] / max(all["first"], 1), served["later"] / max(all["later"], 1)
}

// lastKey: the only tenant loses its key. Its requesters go on sending with that key, and somebody
// sends with a key that never was.
func lastKey(w *World, trouble bool) (bool, error) {
	routes := []Route{{"log", "unsafe", "app"}}
	w.PutConfig(routes, []map[string]any{{"name": "hule930", "api_keys": []string{"key-leaves"}}})
	if err := w.StartSystem(0); err != nil {
		return false, err
	}
	if err := w.startPlain("app", 3, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.AwaitReady(readyLimit); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for entry := range w.Entries {
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, entry, "POST", "/log/a", "key-leaves", "leaver") })
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, entry, "POST", "/log/a", "key-never", "stranger") })
	}
	time.Sleep(3 * time.Second)
	confirmed := time.Now()
	if trouble {
		confirmed = w.PutConfig(routes, []map[string]any{})
	}
	time.Sleep(9 * time.Second)
	stop()
	running.Wait()
	if !trouble {
		return w.ranRevoked("stranger", w.begin), nil
	}
	return w.ranRevoked("leaver", confirmed), nil
}
