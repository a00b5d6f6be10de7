package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// startPlain starts servers of a plain service.
func (w *World) startPlain(service string, n int, work time.Duration) error {
	var at []netip.Addr
	for i := range n {
		at = append(at, netip.AddrFrom4([4]byte{127, 0, 3, byte(len(w.servers) + i + 1)}))
	}
	port, err := freePort(at)
	if err != nil {
		return err
	}
	for i, ip := range at {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		if _, err := w.StartServer(id, service, netip.AddrPortFrom(ip, uint16(port)), work); err != nil {
			return err
		}
	}
	return nil
}

// foreignEntry is an entry of another writer, which names a service that no configuration has.
func foreignEntry(at netip.AddrPort) map[string]any {
	return map[string]any{
		"service": "inventory", "address": at.String(), "zone": zone, "version": "2", "slots": 1, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

// ghost: another writer overwrites the entry of a server just before the server leaves. The server is
// one of those that report no draining: its entry is removed, and it serves for some more seconds.
func ghost(w *World, trouble bool) (bool, error) {
	const (
		servers   = 4
		overwrite = 50 * time.Millisecond // from the other writer's write to the removal
		lingers   = 6 * time.Second       // for which the server serves after that
	)
	w.PutConfig([]Route{{"log", "unsafe", "app"}}, []map[string]any{{"name": "hule930", "api_keys": []string{"key"}}})
	if err := w.StartSystem(0); err != nil {
		return false, err
	}
	if err := w.startPlain("app", servers, 400*time.Millisecond); err != nil {
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
		running.Go(func() { w.CallEvery(ctx, 50*time.Millisecond, entry, "POST", "/log/a", "key", "log") })
	}
	time.Sleep(3 * time.Second)
	leaving := w.servers[0]
	if trouble {
		w.Record("another writer: overwrites the entry of %s", leaving.ID)
		w.Store.Put("servers", leaving.ID, foreignEntry(leaving.Address))
		time.Sleep(overwrite)
	}
	leaving.Leave()
	w.Record("server %s: the store has confirmed that its entry is removed", leaving.ID)
	time.Sleep(lingers)
	w.Record("server %s: exits", leaving.ID)
	leaving.Exit()
	time.Sleep(2 * time.Second)
	stop()
	running.Wait()
	return w.reachedAfterLeaving(leaving)
}

// reachedAfterLeaving reports whether requests have reached a server later than the bound after all
// entries had been told that it is gone.
func (w *World) reachedAfterLeaving(s *Server) (bool, error) {
	told := w.Store.Told(s.ID)
	if len(told) < len(w.Entries) {
		return false, fmt.Errorf("%d entries were told that %s is gone", len(told), s.ID)
	}
	slices.SortFunc(told, time.Time.Compare)
	last := told[len(told)-1]
	w.Record("check: the store told the entries at %.3f and %.3f", told[0].Sub(w.begin).Seconds(), last.Sub(w.begin).Seconds())
	ends := make(map[string]Answer)
	for _, a := range w.Answers() {
		ends[a.Request] = a
	}
	reached, lost := 0, 0
	for _, r := range w.Runs() {
		if r.Server != s.ID || !r.At.After(last.Add(drainMS*time.Millisecond)) {
			continue
		}
		reached++
		end := ends[r.Request]
		if !end.Stamped {
			lost++
		}
		w.Record("check: %s reached %s %.3f s after the entries were told that it is gone, and ended with %d", r.Request, r.Server, r.At.Sub(last).Seconds(), end.Status)
	}
	w.Record("check: %d were sent later than %d ms after their entry had passed on an answer of %s that says it leaves", w.sentAfterNotice(s), drainMS, s.ID)
	w.Record("check: %d requests reached %s later than %d ms, and %d of them began to run and got no answer of it", reached, s.ID, drainMS, lost)
	return reached > 0, nil
}

// sentAfterNotice returns how many requests have reached a server that requesters had sent later than the
// bound after the same entry had passed on an answer in which the server said that it leaves.
func (w *World) sentAfterNotice(s *Server) int {
	told := make(map[int]time.Time) // when an entry passed on the first of these answers
	ends := make(map[string]Answer)
	for _, a := range w.Answers() {
		ends[a.Request] = a
		if first, found := told[a.Entry]; a.Leaving && (!found || a.At.Before(first)) {
			told[a.Entry] = a.At
		}
	}
	n := 0
	for _, r := range w.Runs() {
		a, found := ends[r.Request]
		first, noted := told[a.Entry]
		if r.Server == s.ID && found && noted && a.SentAt.After(first.Add(drainMS*time.Millisecond)) {
			n++
		}
	}
	return n
}
