package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
)

const (
	// minFirstByte is the shortest time that a call waits for the head of an answer.
	minFirstByte = 100 * time.Millisecond

	// streamIdle is how long an engine's stream may pause before it is resumed on
	// another connection. A step takes milliseconds, so a longer pause means a silent
	// connection or a stalled rank; resuming does no harm in the latter case.
	streamIdle = 3 * time.Second
)

// readBytes is the size of one read of a target's answer.
const readBytes = 32 << 10

// readBuffers are reused: a new buffer for each call would be most of the memory that
// a small call allocates.
var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// startCall runs a request at the target in its own goroutine, which reports to the
// desk by events on the ring.
func (s *Sidecar) startCall(ctx context.Context, j job) {
	deadline := j.deadline
	if !j.call.Idempotent {
		deadline = deadline.Add(lateGrace)
	}
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	if stored := s.desk.jobs[j.id]; stored != nil {
		stored.cancel = cancel
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		defer cancel()
		s.guard(ctx, j, func() { s.call(ctx, callCtx, j) })
	}()
}

// guard runs a call. If it panics, the call has ended, and it is not known what the target did.
func (s *Sidecar) guard(ctx context.Context, j job, run func()) {
	if err := task.Guard(func() error { run(); return nil }); err != nil {
		task.Report(s.cfg.Log, "call", err)
		s.desk.putBook(ctx, book.Event{Kind: book.EngineEnd, ID: j.id, Reason: request.EngineTruncated})
	}
}

// call makes a call and reports it to the desk. It puts events on the ring under ctx,
// which outlives the call's own callCtx.
func (s *Sidecar) call(ctx, callCtx context.Context, j job) {
	c := targetCall(j)
	c.FirstByte = s.firstByte(j)
	if s.cfg.Model {
		c.Header.Set(engine.KeepRunningHeader, "true") // so that a broken stream can be resumed
		c.Idle = streamIdle
		defer s.cancelAbandoned(ctx, callCtx, j)
	}
	var watch watched
	c.Connected = func(open func() bool) { watch.begin(s.witnesses.Watch(time.Now(), s.cfg.Target, open)) }
	defer watch.stop()
	resp, err := s.target.Do(callCtx, c)
	if err != nil {
		failure := failureEvent(j, err)
		failure.Reason = s.crashReason(ctx, failure.Reason)
		s.desk.putBook(ctx, failure)
		return
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read, or is not needed
	head := book.Event{Kind: book.EngineHead, ID: j.id, Status: resp.StatusCode, Header: answerFields(resp)}
	if resp.ContentLength >= 0 && resp.ContentLength <= readBytes {
		events := completeAnswer(j, head, resp.Body)
		end := &events[len(events)-1]
		end.Reason = s.crashReason(ctx, end.Reason)
		s.desk.put(ctx, deskEvent{kind: deskBooks, books: events})
		return
	}
	reason := s.crashReason(ctx, s.copyBody(ctx, callCtx, j, head, resp, &watch))
	s.desk.putBook(ctx, book.Event{Kind: book.EngineEnd, ID: j.id, Reason: reason})
}

// crashReason returns request.EngineCrashed if an answer broke off because the target
// process ended, and reason otherwise. Entries use it to find requests that crash every
// target; a target that still runs can break off an answer too.
func (s *Sidecar) crashReason(ctx context.Context, reason request.Reason) request.Reason {
	if reason != request.EngineTruncated || presence.Probe(ctx, s.cfg.Target) != presence.Absent {
		return reason
	}
	s.cfg.Log.Warn().Str("event", "targetCrashed").Stringer("address", s.cfg.Target).Msg("")
	return request.EngineCrashed
}

func (s *Sidecar) copyBody(ctx, callCtx context.Context, j job, head book.Event, resp *http.Response, w *watched) request.Reason {
	if s.cfg.Model && isEventStream(resp) {
		return s.copyEvents(ctx, callCtx, j, head, resp)
	}
	s.desk.putBook(ctx, head)
	if isUnframed(resp) {
		w.seek(time.Now())
	}
	reason := s.copyAnswer(ctx, callCtx, j, resp.Body)
	if reason != request.NoReason || !isUnframed(resp) {
		return reason
	}
	proof := w.end(callCtx)
	if s.targetEnded(callCtx, proof) {
		s.cfg.Log.Warn().Str("event", "answerCut").Stringer("id", j.id).Stringer("witness", proof).Msg("")
		return request.EngineTruncated
	}
	return request.NoReason
}

// targetEnded reports whether the target's process has ended, or may have, after what a witness told. Without one, a
// process that listens is taken for the target.
func (s *Sidecar) targetEnded(ctx context.Context, p witness.Proof) bool {
	if p != witness.None {
		return p == witness.Ended
	}
	select {
	case <-ctx.Done():
	case <-time.After(presence.Settle):
	}
	return presence.Probe(ctx, s.cfg.Target) == presence.Absent
}

// completeAnswer reads a short answer to its end, so that all of it is sent in one
// packet.
func completeAnswer(j job, head book.Event, body io.Reader) []book.Event {
	data, err := io.ReadAll(body)
	end := book.Event{Kind: book.EngineEnd, ID: j.id}
	if err != nil {
		end.Reason = request.EngineTruncated
	}
	if len(data) == 0 {
		return []book.Event{head, end}
	}
	return []book.Event{head, {Kind: book.EngineData, ID: j.id, Data: data}, end}
}

// firstByte returns the longest wait for the head of an answer. A call to a plain
// service that stays silent for half of the remaining time is given up while there is
// time left to try another target. The head of a model's answer may come late for good
// reasons; observe detects a silent engine. A call that is not idempotent cannot be
// sent to another target, so it waits.
func (s *Sidecar) firstByte(j job) time.Duration {
	left := time.Until(j.deadline)
	if j.call.Idempotent && !s.cfg.Model {
		return max(left/2, minFirstByte)
	}
	return left + lateGrace
}

// failureEvent returns the event for a call without a response.
func failureEvent(j job, err error) book.Event {
	var callErr *engine.CallError
	if errors.As(err, &callErr) && callErr.NotSent {
		return book.Event{Kind: book.EngineNotReached, ID: j.id}
	}
	return book.Event{Kind: book.EngineEnd, ID: j.id, Reason: request.EngineTruncated}
}

func (s *Sidecar) copyAnswer(ctx, callCtx context.Context, j job, body io.Reader) request.Reason {
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			data := append([]byte(nil), buf[:n]...) // the book keeps it
			s.desk.putData(ctx, callCtx, j, data)
		}
		if err == io.EOF {
			return request.NoReason
		}
		if err != nil {
			return request.EngineTruncated
		}
	}
}

func targetCall(j job) engine.Call {
	path, query, _ := strings.Cut(j.call.Path, "?")
	if decoded, err := url.PathUnescape(path); err == nil {
		path = decoded
	}
	header := make(http.Header, len(j.header)+2)
	for _, f := range j.header {
		header.Add(f.Name, f.Value)
	}
	header.Set(engine.RequestIDHeader, j.id.String())
	header.Set(caller.WorkspaceHeader, j.call.Workspace)
	return engine.Call{
		Method:        j.call.Method,
		Path:          path,
		RawQuery:      query,
		Header:        header,
		Body:          strings.NewReader(string(j.body)),
		ContentLength: int64(len(j.body)),
		Repeatable:    j.call.Idempotent,
	}
}

// answerFields returns the header of an answer, with its length if it has one.
func answerFields(resp *http.Response) []request.Field {
	fields := caller.Fields(resp.Header)
	if resp.ContentLength >= 0 {
		fields = append(fields, request.Field{Name: caller.LengthField, Value: strconv.FormatInt(resp.ContentLength, 10)})
	}
	return fields
}
