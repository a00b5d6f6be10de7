package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

const (
	// maxResumes is how often one stream is resumed at most, so that an engine which
	// closes every stream at once is not asked forever.
	maxResumes = 4

	// resumePause is the wait before a stream is resumed.
	resumePause = 10 * time.Millisecond

	// cancelTimeout is the time limit of a call that cancels a run.
	cancelTimeout = 2 * time.Second
)

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// copyEvents forwards an engine's stream to the desk, and resumes it when its connection
// breaks: the run continues in the engine, and only the connection is lost.
func (s *Sidecar) copyEvents(ctx, callCtx context.Context, j job, head book.Event, resp *http.Response) request.Reason {
	var sent passedOn
	for resumes := 0; ; resumes++ {
		err := s.copyCompleteEvents(ctx, callCtx, j, &head, newEventReader(resp, &sent))
		_ = resp.Body.Close() // the stream has ended
		if err == io.EOF {
			s.putHead(ctx, &head)
			return request.NoReason
		}
		if resumes == maxResumes {
			return request.EngineTruncated
		}
		resp = s.resume(callCtx, j, sent.tokens)
		if resp == nil {
			return request.EngineTruncated
		}
		sent.resumed = sent.tokens
		s.desk.counts.resumes.Inc()
	}
}

// copyCompleteEvents forwards the head only with the first event. An engine sends the
// head before its first step. Forwarded then, it would bind the request to an engine
// that may never make a step, while another could answer.
func (s *Sidecar) copyCompleteEvents(ctx, callCtx context.Context, j job, head *book.Event, events *eventReader) error {
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	for {
		complete, err := events.next(buf[:])
		if err != nil {
			return err
		}
		s.putHead(ctx, head)
		s.desk.putData(ctx, callCtx, j, complete)
	}
}

// putHead forwards the head, once.
func (s *Sidecar) putHead(ctx context.Context, head *book.Event) {
	if head.Kind != 0 {
		s.desk.putBook(ctx, *head)
		*head = book.Event{}
	}
}

// resume requests the stream of a run after the first tokens; nil if the engine has no
// such run. It refers to an existing run and begins none, so repeating it does no harm.
func (s *Sidecar) resume(callCtx context.Context, j job, tokens int) *http.Response {
	select {
	case <-callCtx.Done():
		return nil
	case <-time.After(resumePause):
	}
	c := targetCall(j)
	c.Header.Set(engine.KeepRunningHeader, "true")
	c.Header.Set(engine.ResumeHeader, strconv.Itoa(tokens))
	c.Idle = streamIdle
	resp, err := s.target.Do(callCtx, c)
	if err != nil {
		return nil
	}
	if !isEventStream(resp) {
		_ = resp.Body.Close() // a refusal; there is nothing to resume
		return nil
	}
	return resp
}

// cancelAbandoned cancels the run at the engine if its call was cancelled. The run was
// begun so that it outlives its connection, so closing the connection is not enough: the
// engine would generate unused tokens until its own grace period is over.
func (s *Sidecar) cancelAbandoned(ctx, callCtx context.Context, j job) {
	if callCtx.Err() == nil || ctx.Err() != nil {
		return // a sidecar that ends leaves its runs to its next incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := s.target.Cancel(ctx, j.id.String()); err != nil {
		s.cfg.Log.Warn().Str("id", j.id.String()).Err(err).Msg("could not cancel the run at the engine")
	}
}
