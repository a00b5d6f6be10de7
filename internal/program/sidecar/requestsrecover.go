package sidecar

import (
	"context"
	"net/http"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// recover asks the engine for a run that an earlier life of the sidecar began.
func (d *desk) recover(a book.Action) {
	j := &job{
		id: a.ID, call: a.Call, header: a.Header,
		deadline: a.Arrived.Add(a.Call.Remaining), recovered: true,
	}
	d.jobs[a.ID] = j
	d.goOn(*j)
}

// startRecovery goes on with a run in a goroutine of its own. The desk learns of
// its end by the ring.
func (s *Sidecar) startRecovery(ctx context.Context, j job) {
	callCtx, cancel := context.WithDeadline(ctx, j.deadline)
	s.desk.jobs[j.id].cancel = cancel
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		defer cancel()
		s.goOn(ctx, callCtx, j)
	}()
}

// goOn passes a run's stream on from its first token: the book knows which bytes
// the entry has. The engine's own head went with the earlier life.
func (s *Sidecar) goOn(ctx, callCtx context.Context, j job) {
	body := s.resume(callCtx, j, 0)
	if body == nil {
		s.desk.putBook(ctx, book.Event{Kind: book.EngineNotReached, ID: j.id})
		return
	}
	defer s.cancelAbandoned(ctx, callCtx, j)
	s.desk.counts.recoveries.Inc()
	head := book.Event{
		Kind: book.EngineHead, ID: j.id, Status: http.StatusOK,
		Header: []request.Field{{Name: "Content-Type", Value: "text/event-stream"}},
	}
	reason := s.copyEvents(ctx, callCtx, j, head, body)
	s.desk.putBook(ctx, book.Event{Kind: book.EngineEnd, ID: j.id, Reason: reason})
}
