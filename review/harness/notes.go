package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The scripts in this file are no cases of the review: REPORT.md says what they show.

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

// drill: a key is taken away. Some seconds later the store comes back from a copy that is older than
// that. At the same time one entry is gone for good and a new one starts at another address. The other
// entry has the newer configuration all the while. The operator writes it again 1.5 s later.
func drill(w *World, trouble bool) (bool, error) {
	routes := []Route{{"log", "unsafe", "app"}, {"draft", "streaming", "gen"}}
	both := []map[string]any{{"name": "stayer", "api_keys": []string{"key-stays"}}, {"name": "leaver", "api_keys": []string{"key-leaves"}}}
	one := []map[string]any{both[0], {"name": "leaver", "api_keys": []string{}}}
	w.PutConfig(routes, both)
	if err := w.StartSystem(4); err != nil {
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
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, entry, "POST", "/log/a", "key-stays", "stayer") })
		running.Go(func() { w.CallEvery(ctx, 25*time.Millisecond, entry, "POST", "/log/b", "key-leaves", "leaver") })
		running.Go(func() { w.CallEvery(ctx, 200*time.Millisecond, entry, "POST", "/draft/c", "key-stays", "draft") })
	}
	time.Sleep(3 * time.Second)
	older := w.Store.Copy()
	time.Sleep(300 * time.Millisecond)
	confirmed := w.PutConfig(routes, one)
	time.Sleep(time.Until(confirmed.Add(4700 * time.Millisecond)))
	if trouble {
		w.Record("platform: the store is away; %s is gone for good", w.Entries[1].Name)
		w.Store.SetDown(true)
		w.Entries[1].Kill()
		time.Sleep(300 * time.Millisecond)
		w.Store.Restore(older)
		w.Store.SetDown(false)
		if err := w.AddEntry(); err != nil {
			return false, err
		}
		w.Record("platform: the store is back from a copy that is 5.3 s old; %s starts", w.Entries[2].Name)
		running.Go(func() { w.CallEvery(ctx, 25*time.Millisecond, 2, "POST", "/log/b", "key-leaves", "leaver") })
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, 2, "POST", "/log/a", "key-stays", "stayer") })
	}
	time.Sleep(1500 * time.Millisecond)
	w.PutSameConfig(routes, one)
	time.Sleep(3 * time.Second)
	stop()
	running.Wait()
	return w.ranRevoked("leaver", confirmed), nil
}

// ranRevoked reports whether requests of a tenant that were sent later than the bound after its key was
// taken away have run.
func (w *World) ranRevoked(tenant string, confirmed time.Time) bool {
	bound := confirmed.Add(revokeMS * time.Millisecond)
	sent := make(map[string]Answer)
	for _, a := range w.Answers() {
		sent[a.Request] = a
	}
	n := 0
	for _, r := range w.Runs() {
		a, found := sent[r.Request]
		if found && noteOf(r.Request) == tenant && a.SentAt.After(bound) {
			n++
			w.Record("check: %s was sent to %s %.3f s after its key was taken away, and ran", r.Request, w.Entries[a.Entry].Name, a.SentAt.Sub(confirmed).Seconds())
		}
	}
	w.Record("check: %d requests with the key ran that were sent over %d ms after it was taken away", n, revokeMS)
	return n > 0
}

// pinned: one session goes on asking for the version of the weights that its first answer had, and the
// servers have another one now. They turn its requests away with 421, as PROTOCOL.md says.
func pinned(w *World, trouble bool) (bool, error) {
	tenants := []map[string]any{{"name": "hule930", "api_keys": []string{"key"}}}
	first := []Route{{"log", "unsafe", "app"}}
	w.PutConfig(first, tenants)
	if err := w.StartSystem(0); err != nil {
		return false, err
	}
	for service, n := range map[string]int{"app": 2, "drafts": 4} {
		if err := w.startPlain(service, n, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.AwaitReady(readyLimit); err != nil {
		return false, err
	}
	w.PutConfig(append(first, Route{"draft", "streaming", "drafts"}), tenants)
	time.Sleep(3 * time.Second)
	for n := range 8 {
		if trouble {
			c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
			w.call(context.Background(), &c, Answer{Entry: n % len(w.Entries), Version: "1"}, http.MethodPost, "/draft/a", "key", "pinned")
		}
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	steady := time.Now()
	for entry := range w.Entries {
		running.Go(func() { w.CallEvery(ctx, 50*time.Millisecond, entry, "POST", "/log/a", "key", "first") })
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, entry, "POST", "/draft/a", "key", "later") })
	}
	time.Sleep(15 * time.Second)
	stop()
	running.Wait()
	served, later := w.recordServed("after that", steady)
	return later < served/4, nil
}
