package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// foreignCase has a server drain for many seconds. Meanwhile another writer puts an entry under its id that lacks the
// field "born", which the server's own entries have. Such an entry names no server to use. The server's next heartbeat
// writes its own entry again.
func foreignCase(w *world, trouble bool) ([]string, error) {
	const serves = 9 * time.Second
	var desks []*plain
	for n := 1; n <= 3; n++ {
		p, err := w.newPlain(n, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		desks = append(desks, p)
	}
	w.putConfig(3, apiKey)
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	t := w.newTraffic(3, 24)
	time.Sleep(5 * time.Second) // all are in touch
	leaver := desks[0]
	begin := time.Now()
	leaver.drain(serves)
	known, err := w.acknowledged(leaver.id + " is draining")
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(begin.Add(serves - 800*time.Millisecond)))
	if trouble {
		entry := w.entry("desk", leaver.address, leaver.born)
		delete(entry, "born")
		w.store.put("servers", leaver.id, entry)
		w.record.note("another writer: entry %v under %s", entry, leaver.id)
	}
	time.Sleep(2 * time.Second)
	t.end()
	broken := t.late(leaver, known)
	w.noteLogs(leaver.id)
	t.report(len(broken))
	return broken, nil
}

// traffic is requests of the unsafe route, sent through all entries.
type traffic struct {
	q       *requesters
	stop    context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	sent    map[string]time.Time
	lost    []string // requests that got neither a success nor a refusal
}

func (w *world) newTraffic(entries, count int) *traffic {
	ctx, stop := context.WithCancel(context.Background())
	t := &traffic{q: w.newRequesters(), stop: stop, sent: make(map[string]time.Time)}
	for n := range count {
		t.running.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer c.CloseIdleConnections()
			for ctx.Err() == nil {
				t.post(c, 1+n%entries)
				time.Sleep(rand.N(200 * time.Millisecond))
			}
		})
	}
	return t
}

func (t *traffic) post(c *http.Client, entry int) {
	before := time.Now()
	a := t.q.send(context.Background(), c, entry, http.MethodPost, "/post/x", 1500*time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[a.id] = before
	if !a.complete() && a.status != http.StatusServiceUnavailable {
		t.lost = append(t.lost, fmt.Sprintf("%s: status %d, %v", a.id, a.status, a.err))
	}
}

func (t *traffic) end() {
	t.stop()
	t.running.Wait()
}

// late returns the requests that reached a server although they were sent more than drain_ms after a moment.
func (t *traffic) late(p *plain, known time.Time) (broken []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range p.arrivals() {
		if after := t.sent[a.id].Sub(known); after > drainTime {
			broken = append(broken, fmt.Sprintf("request %s, sent %.3f s after all entries had acknowledged that %s leaves, reached it", a.id, after.Seconds(), p.id))
		}
	}
	return broken
}

func (t *traffic) report(late int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("requests: %s; %d breaches; %d that may run once ended without an answer or a refusal: %v",
		t.q.summary(), late, len(t.lost), t.lost[:min(len(t.lost), 5)])
	fmt.Println(text)
	t.q.w.record.note("%s", text)
}

// allLogged reports whether each entry has logged a line with both texts.
func (w *world) allLogged(text, and string) bool {
	for _, e := range w.entries {
		if !contains(e.logged(text), and) {
			return false
		}
	}
	return true
}
