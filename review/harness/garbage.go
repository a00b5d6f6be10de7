package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of an entry's process. The platform kills one that exceeds it.
	memoryMB = 284
	// linkBytes is how many bytes a second the faulty server sends: less than an entry's link of
	// 1,000 Mbit/s carries.
	linkBytes = 100e6
	// spoiled is the part of its answers that the faulty server spoils: one in so many.
	spoiled = 50
	// keptChannels is how many channels requesters keep to each entry.
	keptChannels = 8
	// restartDelay is how long the platform waits until it starts a process again.
	restartDelay = 500 * time.Millisecond
)

// garbage: one of two servers of a service sends bytes that are not a response, in one of fifty
// answers. Requesters of another service, whose servers are sound, send on kept channels. The platform
// kills an entry that exceeds its memory, and starts it again.
func garbage(w *World, trouble bool) (bool, error) {
	w.PutConfig([]Route{{"log", "unsafe", "app"}, {"draft", "streaming", "drafts"}}, []map[string]any{{"name": "hule930", "api_keys": []string{"key"}}})
	if err := w.StartSystem(0); err != nil {
		return false, err
	}
	if err := w.startPlain("app", 3, 200*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startPlain("drafts", 2, 200*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.AwaitReady(readyLimit); err != nil {
		return false, err
	}
	if trouble {
		faulty := w.servers[len(w.servers)-1]
		faulty.spoil = spoiled
		w.Record("server %s: from now on spoils one answer in %d", faulty.ID, spoiled)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running, watching sync.WaitGroup
	for entry := range w.Entries {
		watching.Go(func() { w.enforceMemory(ctx, entry) })
		for range keptChannels {
			running.Go(func() { w.callKept(ctx, entry, "/log/a", "key", "log") })
		}
		running.Go(func() { w.CallEvery(ctx, 100*time.Millisecond, entry, "POST", "/draft/a", "key", "draft") })
	}
	time.Sleep(25 * time.Second)
	stop()
	running.Wait()
	watching.Wait()
	return w.lostOnKept("log"), nil
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and starts it
// again after a short delay.
func (w *World) enforceMemory(ctx context.Context, entry int) {
	p := w.Entries[entry]
	most := 0.0
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		used := p.memory()
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		w.Record("platform: %s uses %.0f MB, over its %d, and is killed", p.Name, used, memoryMB)
		p.Kill()
		time.Sleep(restartDelay)
		if err := p.Start(); err != nil {
			w.Record("platform: %s was not started: %v", p.Name, err)
			return
		}
	}
	w.Record("platform: %s used %.0f MB at the most", p.Name, most)
}

// memory returns the megabytes of memory that the process uses; 0 if it has ended.
func (p *Process) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / 1e6
}

// callKept sends one request after the other on one channel, and opens another one when that is closed.
func (w *World) callKept(ctx context.Context, entry int, path, key, note string) {
	c := http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for ctx.Err() == nil {
		if a := w.call(context.WithoutCancel(ctx), &c, Answer{Entry: entry}, http.MethodPost, path, key, note); a.Err != nil {
			c.CloseIdleConnections()
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// spoilNow reports whether the server spoils this answer.
func (s *Server) spoilNow() bool {
	return s.spoil > 0 && s.answers.Add(1)%int64(s.spoil) == 0
}

// sendGarbage takes the channel over and sends bytes that are not a response until the other side
// closes it.
func (s *Server) sendGarbage(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the other side may have closed it
	s.world.Record("server %s: sends bytes that are no response to %s", s.ID, id)
	chunk := []byte(strings.Repeat("0", 64<<10))
	begin, sent := time.Now(), 0
	for time.Since(begin) < 8*time.Second {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / linkBytes * float64(time.Second)))))
	}
	s.world.Record("server %s: has sent %d MB of them in %.2f s", s.ID, sent/1e6, time.Since(begin).Seconds())
}

// lostOnKept reports whether more than three requests from kept channels ran at a server and their
// channel was closed without an answer.
func (w *World) lostOnKept(note string) bool {
	ran := make(map[string]string)
	for _, r := range w.Runs() {
		ran[r.Request] = r.Server
	}
	lost := 0
	for _, a := range w.Answers() {
		server, found := ran[a.Request]
		if noteOf(a.Request) != note || !a.Kept || !found || a.Status != 0 {
			continue
		}
		lost++
		w.Record("check: %s was passed on to %s by %s, and its kept channel was closed without an answer: %v", a.Request, server, w.Entries[a.Entry].Name, a.Err)
	}
	w.Record("check: %d requests from kept channels were passed on and got no answer", lost)
	return lost > 3
}

// faults is how a server is faulty.
type faults struct {
	spoil   int          // it spoils one answer in so many; 0 for a sound server
	answers atomic.Int64 // that it has begun
}

// sendEvents answers with a short stream.
func sendEvents(w http.ResponseWriter, id string) {
	w.Header().Set("Wagtailshelf-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 4; n++ {
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)) // a sender that has left needs no answer
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
