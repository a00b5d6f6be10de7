package sidecar

import (
	"bytes"
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

	// maxEventBytes is the largest incomplete event that is buffered.
	maxEventBytes = 1 << 20

	// cancelTimeout is the time limit of a call that cancels a run.
	cancelTimeout = 2 * time.Second
)

var (
	eventEnd   = []byte("\n\n")
	eventField = []byte("event:")
)

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// eventReader reads an engine's stream in complete events. A stream can break within
// an event. If a part of the event had been forwarded, resuming the stream would repeat
// or lose bytes in the middle of the answer.
type eventReader struct {
	r       io.Reader
	partial []byte // the beginning of an event that is not complete yet
	tokens  int    // events returned that carry a token
}

// next returns one or more complete events. With an error it returns none.
func (e *eventReader) next(buf []byte) ([]byte, error) {
	for {
		n, err := e.r.Read(buf)
		e.partial = append(e.partial, buf[:n]...)
		if complete := e.takeComplete(); len(complete) > 0 {
			return complete, nil
		}
		if err != nil {
			return nil, err
		}
		if len(e.partial) > maxEventBytes {
			return nil, bytes.ErrTooLarge
		}
	}
}

// takeComplete removes the complete events from the buffer and returns them.
func (e *eventReader) takeComplete() []byte {
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	complete := e.partial[:end:end] // capped, because the book keeps it
	e.partial = append([]byte(nil), e.partial[end:]...)
	for event := range bytes.SplitSeq(complete, eventEnd) {
		// Engines set a name on all events except those that carry a token.
		if len(event) > 0 && !bytes.HasPrefix(event, eventField) {
			e.tokens++
		}
	}
	return complete
}

// copyEvents forwards an engine's stream to the desk, and resumes it when its connection
// breaks: the run continues in the engine, and only the connection is lost.
func (s *Sidecar) copyEvents(ctx, callCtx context.Context, j job, head book.Event, body io.ReadCloser) request.Reason {
	tokens := 0
	for resumes := 0; ; resumes++ {
		n, err := s.copyCompleteEvents(ctx, j, &head, body)
		tokens += n
		_ = body.Close() // the stream has ended
		if err == io.EOF {
			s.putHead(ctx, &head)
			return request.NoReason
		}
		if resumes == maxResumes {
			return request.EngineTruncated
		}
		body = s.resume(callCtx, j, tokens)
		if body == nil {
			return request.EngineTruncated
		}
		s.desk.counts.resumes.Inc()
	}
}

// copyCompleteEvents forwards the head only with the first event. An engine sends the
// head before its first step. Forwarded then, it would bind the request to an engine
// that may never make a step, while another could answer.
func (s *Sidecar) copyCompleteEvents(ctx context.Context, j job, head *book.Event, body io.Reader) (tokens int, err error) {
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	events := eventReader{r: body}
	for {
		complete, err := events.next(buf[:])
		if err != nil {
			return events.tokens, err
		}
		s.putHead(ctx, head)
		s.desk.putBook(ctx, book.Event{Kind: book.EngineData, ID: j.id, Data: complete})
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
func (s *Sidecar) resume(callCtx context.Context, j job, tokens int) io.ReadCloser {
	select {
	case <-callCtx.Done():
		return nil
	case <-time.After(resumePause):
	}
	c := targetCall(j)
	c.Header.Set(engine.KeepRunningHeader, "true")
	c.Header.Set(engine.ResumeHeader, strconv.Itoa(tokens))
	resp, err := s.target.Do(callCtx, c)
	if err != nil {
		return nil
	}
	if !isEventStream(resp) {
		_ = resp.Body.Close() // a refusal; there is nothing to resume
		return nil
	}
	return resp.Body
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
