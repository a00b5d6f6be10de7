package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// Token is the data of one server-sent event of a stream.
type Token struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

// End is the data of the last server-sent event, whose type is "end".
type End struct {
	Tokens int `json:"tokens"`
}

// CompleteResponse is the response to a request that asks for no stream.
type CompleteResponse struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		problem(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	if err != nil {
		return // the client has gone
	}
	rn, from, status := e.openRun(r, body)
	if status != http.StatusOK {
		problem(w, status, "not run")
		return
	}
	defer e.disconnect(rn)
	if wantsStream(r, body) {
		e.writeStream(w, r, rn, from)
		return
	}
	e.writeComplete(w, r, rn)
}

func wantsStream(r *http.Request, body []byte) bool {
	if s := parsePrompt(body).Stream; s != nil {
		return *s
	}
	return !strings.Contains(r.Header.Get("Accept"), "application/json")
}

// openRun starts a run, or finds the run to resume.
func (e *Engine) openRun(r *http.Request, body []byte) (rn *run, from, status int) {
	id := r.Header.Get(wire.RequestIDHeader)
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if e.faults.Refuse {
		return nil, 0, http.StatusServiceUnavailable
	}
	if at := r.Header.Get(wire.ResumeHeader); at != "" {
		return e.resume(id, at)
	}
	if len(e.waiting) >= e.cfg.MaxWaiting {
		return nil, 0, http.StatusServiceUnavailable
	}
	rn = newRun(id, body, parsePrompt(body))
	rn.priority, _ = strconv.Atoi(r.Header.Get(wire.PriorityHeader))
	rn.keepRunning = r.Header.Get(wire.KeepRunningHeader) == "true"
	rn.readers = 1
	e.runCount(id).Starts++
	e.runs[id] = rn
	e.waiting = append(e.waiting, rn)
	e.group.wake.Broadcast()
	return rn, 0, http.StatusOK
}

func (e *Engine) resume(id, at string) (*run, int, int) {
	from, err := strconv.Atoi(at)
	if err != nil || from < 0 {
		return nil, 0, http.StatusBadRequest
	}
	rn, ok := e.runs[id]
	if !ok || rn.state == cancelled {
		return nil, 0, http.StatusNotFound
	}
	if from > rn.total {
		return nil, 0, http.StatusBadRequest
	}
	rn.readers++
	return rn, from, http.StatusOK
}

// disconnect removes a reader from a run. A run without a reader is cancelled, at
// once or, if it keeps running, after Config.Grace. It is forgotten after Config.Grace.
func (e *Engine) disconnect(rn *run) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	rn.readers--
	if rn.readers > 0 {
		return
	}
	if rn.state == running && !rn.keepRunning {
		e.cancel(rn)
	}
	time.AfterFunc(e.cfg.Grace, func() { e.expire(rn) })
}

// expire cancels and removes a run that still has no reader.
func (e *Engine) expire(rn *run) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if rn.readers > 0 {
		return
	}
	e.cancel(rn)
	if e.runs[rn.id] == rn {
		delete(e.runs, rn.id)
	}
}

// cancel ends a run early. The caller holds the group's lock.
func (e *Engine) cancel(rn *run) {
	if rn.state != running {
		return
	}
	rn.finish(cancelled)
	e.runCount(rn.id).Cancelled++
	for i, other := range e.waiting {
		if other == rn {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

// runProgress is the state of a run as a connection reads it.
type runProgress struct {
	emitted int
	state   runState
	faults  Faults
	changed <-chan struct{}
}

func (e *Engine) progress(rn *run) runProgress {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return runProgress{emitted: rn.emitted, state: rn.state, faults: e.faults, changed: rn.changed}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, rn *run, sent int) {
	started := false
	first := sent // CloseAfter counts the tokens of this connection only
	for {
		p := e.progress(rn)
		if p.faults.Silent {
			<-r.Context().Done()
			return
		}
		if !started && !p.faults.Held {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			started = true
		}
		for ; sent < p.emitted; sent++ {
			if p.faults.CloseAfter > 0 && sent-first >= p.faults.CloseAfter {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, "", Token{Index: sent, Token: token(rn.bodyHash, sent)})
		}
		if p.state == finished {
			writeEvent(w, "end", End{Tokens: rn.total})
			return
		}
		if p.state == cancelled {
			// Without the end event and the last chunk the client detects the truncation.
			panic(http.ErrAbortHandler)
		}
		if started {
			flush(w)
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) writeComplete(w http.ResponseWriter, r *http.Request, rn *run) {
	for {
		p := e.progress(rn)
		if p.state == cancelled {
			panic(http.ErrAbortHandler)
		}
		if p.state == finished && !p.faults.Silent {
			break
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
	var text strings.Builder
	for i := range rn.total {
		text.WriteString(token(rn.bodyHash, i))
	}
	reply(w, http.StatusOK, CompleteResponse{Text: text.String(), Tokens: rn.total})
}

func writeEvent(w io.Writer, event string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	if event != "" {
		fmt.Fprintf(w, "event: %s\n", event)
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func flush(w http.ResponseWriter) {
	// An error means that the client has gone; its context ends as well.
	_ = http.NewResponseController(w).Flush()
}
