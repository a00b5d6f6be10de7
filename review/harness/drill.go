package main

import (
	"context"
	"strings"
	"sync"
	"time"
)

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

// noteOf returns the note with which the ID of a request begins.
func noteOf(request string) string {
	note, _, _ := strings.Cut(request, "-")
	return note
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
