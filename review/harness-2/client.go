package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const apiKey = "k-1"

// requesters send requests until they are stopped.
type requesters struct {
	w       *world
	number  atomic.Int64
	served  atomic.Int64
	mu      sync.Mutex
	results map[string]int
}

func (w *world) newRequesters() *requesters {
	return &requesters{w: w, results: make(map[string]int)}
}

// answer is what a requester got.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

func (a answer) complete() bool { return a.err == nil && a.status/100 == 2 }

// send sends one request through an entry, on a kept channel of the client.
func (q *requesters) send(ctx context.Context, c *http.Client, entry int, method, path string, limit time.Duration) answer {
	return q.sendKey(ctx, c, entry, method, path, apiKey, limit)
}

// sendKey sends one request with a key.
func (q *requesters) sendKey(ctx context.Context, c *http.Client, entry int, method, path, key string, limit time.Duration) answer {
	id := fmt.Sprintf("r%06x", q.number.Add(1))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+q.w.at(entryNet, entry, frontPort)+path, http.NoBody)
	if err != nil {
		return answer{id: id, err: err}
	}
	if method == http.MethodPost {
		r.Body = io.NopCloser(strings.NewReader("x")) // so that the client of the standard library never repeats it
	}
	r.Host = "ficu95.example"
	r.Header.Set("Wagtailshelf-Request-Id", id)
	r.Header.Set("Wagtailshelf-Request-Timeout-Ms", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	if strings.HasPrefix(path, "/lm/") {
		r.Header.Set("Wagtailshelf-Model", "m")
		r.Header.Set("Wagtailshelf-Token-Usage", "700,96")
		r.Header.Set("Wagtailshelf-Prompt-Prefix", "5c1e07a2:40,"+id[1:]+":660")
	}
	q.w.record.note("sent %s %s %s with key %s to entry %d", id, method, path, key, entry)
	out := answer{id: id}
	a, err := c.Do(r)
	if err == nil {
		text, readErr := io.ReadAll(a.Body)
		_ = a.Body.Close()
		out.status, out.body, out.header, err = a.StatusCode, string(text), a.Header, readErr
	}
	out.err = err
	q.w.record.note("answered %s: status %d, %d bytes, stamp %q, error %v", id, out.status, len(out.body), out.header.Get("Wagtailshelf-Server-Stamp"), err)
	q.mu.Lock()
	q.results[fmt.Sprintf("%s %d complete %t", strings.Split(path, "/")[1], out.status, out.complete())]++
	q.mu.Unlock()
	if out.complete() {
		q.served.Add(1)
	}
	return out
}

// keep sends streams one after the other until the context ends.
func (q *requesters) keep(ctx context.Context, entry int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		a := q.send(ctx, c, entry, http.MethodPost, "/lm/x", 8*time.Second)
		if a.complete() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (q *requesters) summary() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return fmt.Sprint(q.results)
}
