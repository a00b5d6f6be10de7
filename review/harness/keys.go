package main

import (
	"context"
	"strings"
	"sync"
	"time"
)

// noteOf returns the note with which the ID of a request begins.
func noteOf(request string) string {
	note, _, _ := strings.Cut(request, "-")
	return note
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
