package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// stableWindow is the installation's stable_window_ms.
const stableWindow = 3 * time.Second

// part: a new prompt template comes into use, of two parts that all its requests share. One further
// part crashes each server that begins to write an answer on it. Two requests with that part come
// first, two seconds apart, and others follow every two seconds. The sound requests have the same key
// and the same two parts. The deployment has an expert group as well, whose planner numbers the entries.
func part(w *World, trouble bool) (bool, error) {
	w.PutConfig([]Route{{"draft", "streaming", "drafts"}, {"gen", "streaming", "gen"}}, []map[string]any{{"name": "hule930", "api_keys": []string{"key"}}})
	if err := w.StartSystem(4); err != nil {
		return false, err
	}
	if err := w.startPlain("drafts", 4, 50*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.AwaitReady(readyLimit); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	var parts atomic.Pointer[string]
	older := "5c1e07a2:800,91bd3f06:410"
	newer := "7a20c4d1:820,b3e9051f:430"
	parts.Store(&older)
	sound := func(entry int) {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for ctx.Err() == nil {
			<-tick.C
			if p := parts.Load(); *p != "" {
				running.Go(func() { w.callParts(entry, *p, "sound") })
			}
		}
	}
	for entry := range w.Entries {
		running.Go(func() { sound(entry) })
	}
	time.Sleep(15 * time.Second)
	none := ""
	parts.Store(&none)
	time.Sleep(time.Second)
	changed := time.Now()
	w.Record("requesters: the new template comes into use")
	for n := range 20 {
		if trouble {
			w.callParts(n%len(w.Entries), newer+","+deadlyPart+":100", "deadly")
		}
		if n == 1 {
			parts.Store(&newer)
		}
		time.Sleep(2 * time.Second)
	}
	stop()
	running.Wait()
	return w.soundBegan(changed), nil
}

// deadlyPart is the part that crashes servers.
const deadlyPart = "0bad0bad"

// callParts sends a request with some shared parts and a last part of its own.
func (w *World) callParts(entry int, parts, note string) {
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ResponseHeaderTimeout: streamPatience}}
	w.call(context.Background(), &c, Answer{Entry: entry, Parts: parts}, http.MethodPost, "/draft/a", "key", note)
}

// crashNow ends the server as a crash does, if the request has the part that crashes it. It is back
// under the same ID after some time.
func (s *Server) crashNow(r *http.Request) bool {
	if !strings.Contains(r.Header.Get("Wagtailshelf-Prompt-Prefix"), deadlyPart) {
		return false
	}
	s.world.noteCrash()
	s.world.Record("server %s: crashes as it begins to write an answer to %s", s.ID, r.Header.Get("Wagtailshelf-Request-Id"))
	s.Exit()
	time.AfterFunc(2*time.Second, func() {
		if _, err := s.world.StartServer(s.ID, s.Service, s.Address, s.Work); err != nil {
			s.world.Record("server %s: is not back: %v", s.ID, err)
		}
	})
	return true
}

func (w *World) noteCrash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
}

// soundBegan reports whether sound requests begin at the first attempt less than half as often, from
// two stable windows after the last of at most five crashes, as before.
func (w *World) soundBegan(changed time.Time) bool {
	began := make(map[string]bool)
	for _, r := range w.Runs() {
		began[r.Request] = true
	}
	w.mu.Lock()
	crashes := append([]time.Time(nil), w.crashes...)
	w.mu.Unlock()
	from := changed
	if n := min(len(crashes), 5); n > 0 {
		from = crashes[n-1].Add(2 * stableWindow)
	}
	var before, after, beganBefore, beganAfter float64
	for _, a := range w.Answers() {
		switch {
		case noteOf(a.Request) != "sound":
		case a.SentAt.Before(changed):
			before++
			if began[a.Request] {
				beganBefore++
			}
		case a.SentAt.After(from):
			after++
			if began[a.Request] {
				beganAfter++
			}
		}
	}
	w.Record("check: %d crashes; of the sound requests %g of %g began before, and %g of %g from %.1f s on", len(crashes), beganBefore, before, beganAfter, after, from.Sub(w.begin).Seconds())
	return before >= 20 && after >= 20 && beganAfter/after < beganBefore/before/2
}
