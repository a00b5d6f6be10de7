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

// Outcomes as a caller sees them. The first three are the system's own words.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "notRun"
	outcomeUnknown  = "unknown"
	outcomeMissing  = "missing" // the system said nothing, which is a fault
	outcomeBroken   = "broken"  // the entry died, and the connection to it with it
)

// Kinds of calls.
const (
	kindDraft = "draft"
	kindLog   = "log"
	kindList  = "list"
)

// callResult is what a caller saw of one call.
type callResult struct {
	stage   string
	kind    string
	path    string
	body    string
	key     string
	token   string // credential of the workspace; LargeKey if empty
	id      string
	outcome string
	reason  string
	wrong   string // how the answer is not the request's own; empty if it is
	took    time.Duration

	mayBreak bool // the entry is about to die
}

// callers makes calls as the clients of a deployment do, and keeps what they saw.
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

func (c *callers) begin(stage string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = stage
}

func (c *callers) keep(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.stage = c.stage
	c.results = append(c.results, r)
}

func (c *callers) all() []callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]callResult(nil), c.results...)
}

// draft asks for a streamed draft and checks that the text is the one that
// belongs to the request.
func (c *callers) draft(ctx context.Context, entry netip.AddrPort, number, tokens int) callResult {
	body := fmt.Sprintf(`{"prompt":"draft %d","maxTokens":%d}`, number, tokens)
	r := callResult{kind: kindDraft, path: "/redaction/v1/draft", body: body}
	c.call(ctx, entry, http.MethodPost, &r, func(resp *http.Response) error {
		text, err := readStream(resp.Body)
		want := engine.Answer([]byte(body))
		if !strings.HasPrefix(want, text) {
			r.wrong = fmt.Sprintf("text %.60q is not a prefix of its own answer", text)
		}
		if err == nil && text != want {
			r.wrong = fmt.Sprintf("%d of %d bytes, with a clean end", len(text), len(want))
		}
		return err
	})
	return r
}

// send makes a call whose answer is not looked into.
func (c *callers) send(ctx context.Context, entry netip.AddrPort, method string, r callResult) callResult {
	c.call(ctx, entry, method, &r, drain)
	return r
}

// logOutcome logs the outcome of a call, which must not happen twice.
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

func drain(resp *http.Response) error {
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

func (c *callers) call(ctx context.Context, entry netip.AddrPort, method string, r *callResult, read func(*http.Response) error) {
	begun := time.Now()
	defer func() {
		r.took = time.Since(begun)
		c.keep(*r)
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
		if r.mayBreak {
			r.outcome = outcomeBroken
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // read below, or not wanted
	r.id = resp.Header.Get(caller.RequestIDHeader)
	if said := resp.Header.Get(caller.OutcomeHeader); said != "" && said != outcomeAnswered {
		r.outcome, r.reason = said, resp.Header.Get(caller.ReasonHeader)
		return
	}
	r.finish(resp, read(resp))
}

// finish judges an answer whose body has been read.
func (r *callResult) finish(resp *http.Response, err error) {
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

// errStream reports an event stream that ended with the system's error event.
var errStream = errors.New("error event")

// streamError returns what an error event says.
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
