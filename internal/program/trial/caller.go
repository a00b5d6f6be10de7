package trial

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

// Outcomes as a caller sees them. The first three are values that the system sends.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "notRun"
	outcomeUnknown  = "unknown"
	outcomeMissing  = "missing" // the response names no outcome, which is a fault
	outcomeBroken   = "broken"  // the entry was killed, which closed the caller's connection
)

// Kinds of calls.
const (
	kindDraft = "draft"
	kindLog   = "log"
	kindList  = "list"
)

// callResult is a call and its result as the caller saw it.
type callResult struct {
	stage    string
	kind     string
	path     string
	body     string
	key      string
	token    string // credential of the workspace; LargeKey if empty
	id       string
	outcome  string
	reason   string
	mismatch string // how the answer differs from the expected one; empty if it doesn't
	duration time.Duration

	breakExpected bool // the entry is about to be killed
}

// callers makes calls as the clients of a deployment do, and records their results.
type callers struct {
	client *http.Client

	mu      sync.Mutex
	stage   string
	results []callResult
}

func newCallers() *callers {
	return &callers{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *callers) close() { c.client.CloseIdleConnections() }

// beginStage sets the stage that later results belong to.
func (c *callers) beginStage(stage string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = stage
}

func (c *callers) record(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.stage = c.stage
	c.results = append(c.results, r)
}

func (c *callers) allResults() []callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]callResult(nil), c.results...)
}

// draft requests a streamed draft and checks that the text is the answer to
// this request.
func (c *callers) draft(ctx context.Context, entry netip.AddrPort, number, tokens int) callResult {
	body := fmt.Sprintf(`{"prompt":"draft %d","maxTokens":%d}`, number, tokens)
	r := callResult{kind: kindDraft, path: "/redaction/v1/draft", body: body}
	c.call(ctx, entry, http.MethodPost, &r, func(resp *http.Response) error {
		text, err := readStream(resp.Body)
		want := engine.Answer([]byte(body))
		if !strings.HasPrefix(want, text) {
			r.mismatch = fmt.Sprintf("text %.60q is not a prefix of its own answer", text)
		}
		if err == nil && text != want {
			r.mismatch = fmt.Sprintf("%d of %d bytes, with a clean end", len(text), len(want))
		}
		return err
	})
	return r
}

// send makes a call and does not check the body of its response.
func (c *callers) send(ctx context.Context, entry netip.AddrPort, method string, r callResult) callResult {
	c.call(ctx, entry, method, &r, drain)
	return r
}

// logOutcome logs the outcome of a phone call, which must not be logged twice.
func (c *callers) logOutcome(ctx context.Context, entry netip.AddrPort, number int, key string) callResult {
	r := callResult{
		kind: kindLog, path: "/agenda/outcomes", key: key,
		body: fmt.Sprintf(`{"call":"call-%d","outcome":"reached"}`, number),
	}
	c.call(ctx, entry, http.MethodPost, &r, drain)
	return r
}

// list fetches a call list.
func (c *callers) list(ctx context.Context, entry netip.AddrPort, number int) callResult {
	r := callResult{kind: kindList, path: fmt.Sprintf("/agenda/lists/volunteer-%d", number)}
	c.call(ctx, entry, http.MethodGet, &r, drain)
	return r
}

// drain reads a response body to its end.
func drain(resp *http.Response) error {
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// call makes the request of r and records its result. It calls read with the
// response if the request was served.
func (c *callers) call(ctx context.Context, entry netip.AddrPort, method string, r *callResult, read func(*http.Response) error) {
	startedAt := time.Now()
	defer func() {
		r.duration = time.Since(startedAt)
		c.record(*r)
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+r.path, strings.NewReader(r.body))
	if err != nil {
		r.outcome, r.reason = outcomeMissing, err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer "+cmp.Or(r.token, LargeKey))
	if r.key != "" {
		req.Header.Set(caller.KeyHeader, r.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.outcome, r.reason = outcomeMissing, err.Error()
		if r.breakExpected {
			r.outcome = outcomeBroken
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	r.id = resp.Header.Get(caller.RequestIDHeader)
	if outcome := resp.Header.Get(caller.OutcomeHeader); outcome != "" && outcome != outcomeAnswered {
		r.outcome, r.reason = outcome, resp.Header.Get(caller.ReasonHeader)
		return
	}
	r.setOutcome(resp, read(resp))
}

// setOutcome sets the outcome of a response whose body has been read; err is
// the error of that read.
func (r *callResult) setOutcome(resp *http.Response, err error) {
	if err != nil {
		r.outcome, r.reason = outcomeUnknown, "answer broke off: "+err.Error()
		return
	}
	r.outcome = resp.Header.Get(caller.OutcomeHeader)
	if r.outcome == "" {
		r.outcome = resp.Trailer.Get(caller.OutcomeHeader)
	}
	if r.outcome == "" {
		r.outcome = outcomeMissing
	}
}

// errStream is returned for an event stream that ended with the system's error event.
var errStream = errors.New("error event")

// streamError returns the error that an error event reports.
func streamError(data string) error {
	var p struct{ Outcome, Reason string }
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return err
	}
	return fmt.Errorf("%w: %s, %s", errStream, p.Outcome, p.Reason)
}

// readStream returns the text of an event stream, and an error if the stream
// has no end event.
func readStream(r io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	event := ""
	ended := false
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case caller.ErrorEvent:
			return text.String(), streamError(data)
		case "end":
			ended = true
		default:
			var token engine.Token
			if err := json.Unmarshal([]byte(data), &token); err != nil {
				return text.String(), err
			}
			text.WriteString(token.Token)
		}
		event = ""
	}
	if err := lines.Err(); err != nil {
		return text.String(), err
	}
	if !ended {
		return text.String(), io.ErrUnexpectedEOF
	}
	return text.String(), nil
}
