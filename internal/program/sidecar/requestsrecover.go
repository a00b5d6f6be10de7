package sidecar

import (
	"context"
	"net/http"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// recover asks the engine for a run that an earlier incarnation of the sidecar began.
func (d *desk) recover(a book.Action) {
	j := &job{
		id: a.ID, call: a.Call, header: a.Header, body: a.Body,
		deadline: a.Arrived.Add(a.Call.Remaining), recovered: true, flow: newFlow(),
	}
	d.jobs[a.ID] = j
	d.startRecovery(*j)
}

// startRecovery resumes a run in its own goroutine, which reports to the desk by events
// on the ring.
func (s *Sidecar) startRecovery(ctx context.Context, j job) {
	callCtx, cancel := context.WithDeadline(ctx, j.deadline)
	s.desk.jobs[j.id].cancel = cancel
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		defer cancel()
		s.guard(ctx, j, func() { s.recoverRun(ctx, callCtx, j) })
	}()
}

// recoverRun forwards the stream of a run from its first token on: the book knows which
// bytes the entry already has. The engine's original head was lost with the earlier
// incarnation, so recoverRun makes one.
func (s *Sidecar) recoverRun(ctx, callCtx context.Context, j job) {
	resp := s.resume(callCtx, j, 0)
	if resp == nil {
		s.desk.putBook(ctx, book.Event{Kind: book.EngineNotReached, ID: j.id})
		return
	}
	defer s.cancelAbandoned(ctx, callCtx, j)
	s.desk.counts.recoveries.Inc()
	head := book.Event{
		Kind: book.EngineHead, ID: j.id, Status: http.StatusOK,
		Header: []request.Field{{Name: "Content-Type", Value: "text/event-stream"}},
	}
	reason := s.copyEvents(ctx, callCtx, j, head, resp)
	s.desk.putBook(ctx, book.Event{Kind: book.EngineEnd, ID: j.id, Reason: reason})
}
