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

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

const callTimeout = 40 * time.Second

// call is the result of one request for its caller. A call of kind "log" with a key
// is sent twice.
type call struct {
	kind    string // "draft", "log", "list"
	body    string
	key     string
	id      string
	outcome string // as the response states it; "none" if the connection to the entry failed
	reason  string
	mistake string // what is wrong with the response, empty if it is correct
	begin   time.Time
	took    time.Duration
}

// load sends calls and keeps their results.
type load struct {
	cluster  *cluster
	client   *http.Client
	lastCall atomic.Int64
	group    sync.WaitGroup
	started  chan struct{}

	mu    sync.Mutex
	calls []call
}

func newLoad(c *cluster) *load {
	return &load{
		cluster: c,
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		started: make(chan struct{}),
	}
}

// run sends calls until ctx is cancelled. Calls in flight are not cancelled.
func (l *load) run(ctx context.Context) {
	for range l.cluster.opts.callers {
		l.group.Go(func() { l.runCaller(ctx) })
	}
	close(l.started)
}

// wait waits until all callers have ended.
func (l *load) wait() {
	<-l.started
	l.group.Wait()
}

// runCaller sends one call after the other: of five calls one logs an outcome, one
// reads a list, and three request a draft.
func (l *load) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		n := int(l.lastCall.Add(1))
		switch {
		case n%5 == 0:
			l.log(n)
		case n%5 == 1:
			l.list(n)
		default:
			l.draft(n)
		}
		time.Sleep(l.cluster.opts.pause)
	}
}

// pickEntry picks an entry as the balancer does: in turn, among those that were
// ready at its last check.
func (l *load) pickEntry(n int) *node {
	entries := l.cluster.entries
	for i := range entries {
		e := entries[(n+i)%len(entries)]
		if e.ready.Load() {
			return e
		}
	}
	return entries[n%len(entries)]
}

func (l *load) draft(n int) {
	c := call{kind: "draft", body: fmt.Sprintf(`{"prompt":"draft %d of the rig","maxTokens":%d}`, n, 10+n%60)}
	l.send(&c, n, http.MethodPost, "/redaction/v1/draft", func(r io.Reader) error { return c.readDraft(r) })
}

// readDraft reads a stream and checks that its text is the expected one, or a prefix
// of it if the stream was truncated.
func (c *call) readDraft(r io.Reader) error {
	text, err := engine.ReadStream(r)
	want := engine.Answer([]byte(c.body))
	if !strings.HasPrefix(want, text) {
		c.mistake = fmt.Sprintf("text %.60q is not part of its own answer", text)
	}
	if err == nil && text != want {
		c.mistake = fmt.Sprintf("%d of %d bytes with a clean end", len(text), len(want))
	}
	return err
}

func (l *load) list(n int) {
	c := call{kind: "list"}
	l.send(&c, n, http.MethodGet, fmt.Sprintf("/agenda/lists/volunteer-%d", n%50), discard)
}

// log sends an outcome to the agenda service, which logs it. Every third request
// carries a key and is sent again through another entry, as by a caller that does
// not know whether it ran.
func (l *load) log(n int) {
	c := call{kind: "log", body: fmt.Sprintf(`{"call":"call-%d","outcome":"reached"}`, n)}
	if n%3 != 0 {
		l.send(&c, n, http.MethodPost, "/agenda/outcomes", discard)
		return
	}
	c.key = fmt.Sprintf("key-%d", n)
	again := c
	l.send(&c, n, http.MethodPost, "/agenda/outcomes", discard)
	l.send(&again, n+1, http.MethodPost, "/agenda/outcomes", discard)
}

func discard(r io.Reader) error {
	_, err := io.Copy(io.Discard, r)
	return err
}

// send sends a call and keeps its result.
func (l *load) send(c *call, n int, method, path string, read func(io.Reader) error) {
	c.begin = time.Now()
	c.outcome = "none"
	l.exchange(c, l.pickEntry(n), method, path, read)
	c.took = time.Since(c.begin)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, *c)
}

func (l *load) exchange(c *call, e *node, method, path string, read func(io.Reader) error) {
	var body io.Reader
	if c.body != "" {
		// The wrapper hides the type of the body from the client, which could
		// otherwise rewind it and retry the request on its own.
		body = io.MultiReader(strings.NewReader(c.body))
	}
	req, err := http.NewRequest(method, "http://"+e.callers.String()+path, body)
	if err != nil {
		c.reason = err.Error()
		return
	}
	req.ContentLength = int64(len(c.body))
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	if c.key != "" {
		req.Header.Set(caller.KeyHeader, c.key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		c.reason = "no answer"
		return
	}
	defer resp.Body.Close()
	c.id = resp.Header.Get(caller.RequestIDHeader)
	outcome := resp.Header.Get(caller.OutcomeHeader)
	if outcome != "" && outcome != "answered" {
		c.outcome, c.reason = outcome, resp.Header.Get(caller.ReasonHeader)
		return
	}
	c.finish(resp, read(resp.Body))
}

// finish takes the outcome from the trailer, or else from the header.
func (c *call) finish(resp *http.Response, err error) {
	outcome := resp.Trailer.Get(caller.OutcomeHeader)
	switch {
	case err != nil && outcome == "":
		c.outcome, c.reason = "none", "answer broke off"
	case outcome != "":
		c.outcome = outcome
	case err == nil:
		c.outcome = resp.Header.Get(caller.OutcomeHeader)
	}
	if c.outcome == "answered" && (resp.StatusCode < 200 || resp.StatusCode > 299) {
		c.mistake = resp.Status
	}
}
