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
	// maxResumes bounds how often one stream is resumed, so that an engine which
	// closes every stream at once is not asked for ever.
	maxResumes = 4

	// resumePause is the wait before a stream is resumed.
	resumePause = 10 * time.Millisecond

	// maxEventBytes bounds one event of a stream that is held back until it is whole.
	maxEventBytes = 1 << 20

	// cancelTimeout bounds the order to cancel a run.
	cancelTimeout = 2 * time.Second
)

var (
	eventEnd   = []byte("\n\n")
	eventField = []byte("event:")
)

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// eventReader cuts an engine's stream into whole events. A stream can break
// within an event; resuming it after a part had been passed on would repeat or
// lose bytes in the middle of the answer.
type eventReader struct {
	r      io.Reader
	rest   []byte // the beginning of an event that is not whole yet
	tokens int    // events passed on that carry a token
}

// next returns one or more whole events. With an error it returns none.
func (e *eventReader) next(buf []byte) ([]byte, error) {
	for {
		n, err := e.r.Read(buf)
		e.rest = append(e.rest, buf[:n]...)
		if whole := e.take(); len(whole) > 0 {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
		if len(e.rest) > maxEventBytes {
			return nil, bytes.ErrTooLarge
		}
	}
}

func (e *eventReader) take() []byte {
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := e.rest[:end:end] // the book keeps it
	e.rest = append([]byte(nil), e.rest[end:]...)
	for event := range bytes.SplitSeq(whole, eventEnd) {
		// Engines name all events but those that carry a token.
		if len(event) > 0 && !bytes.HasPrefix(event, eventField) {
			e.tokens++
		}
	}
	return whole
}

// copyEvents passes an engine's stream on, and resumes it where its connection
// broke: the run goes on in the engine, and only the connection is lost.
func (s *Sidecar) copyEvents(ctx, callCtx context.Context, j job, head book.Event, body io.ReadCloser) request.Reason {
	tokens := 0
	for resumes := 0; ; resumes++ {
		n, err := s.copyWholeEvents(ctx, j, &head, body)
		tokens += n
		_ = body.Close() // it has ended
		if err == io.EOF {
			s.putHead(ctx, &head)
			return request.NoReason
		}
		if resumes == maxResumes {
			return request.EngineBroke
		}
		body = s.resume(callCtx, j, tokens)
		if body == nil {
			return request.EngineBroke
		}
		s.desk.counts.resumes.Inc()
	}
}

// copyWholeEvents holds the head back until the first event. An engine sends it
// before its first step; passed on then, it would bind the request to an engine
// that may never make a step, while another could answer.
func (s *Sidecar) copyWholeEvents(ctx context.Context, j job, head *book.Event, body io.Reader) (tokens int, err error) {
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	events := eventReader{r: body}
	for {
		whole, err := events.next(buf[:])
		if err != nil {
			return events.tokens, err
		}
		s.putHead(ctx, head)
		s.desk.putBook(ctx, book.Event{Kind: book.EngineData, ID: j.id, Data: whole})
	}
}

// putHead passes the head on, once.
func (s *Sidecar) putHead(ctx context.Context, head *book.Event) {
	if head.Kind != 0 {
		s.desk.putBook(ctx, *head)
		*head = book.Event{}
	}
}

// resume asks for a run's stream from a token on; nil if the engine has none.
// It names a run that exists and begins none, so asking twice does no harm.
func (s *Sidecar) resume(callCtx context.Context, j job, tokens int) io.ReadCloser {
	select {
	case <-callCtx.Done():
		return nil
	case <-time.After(resumePause):
	}
	c := targetCall(j)
	c.Header.Set(engine.KeepHeader, "true")
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

// cancelAbandoned ends a run at the engine whose call was cancelled. The run was
// begun so that it outlives its connection, so closing that is not enough: the
// engine would make tokens for nobody until its own grace is over.
func (s *Sidecar) cancelAbandoned(ctx, callCtx context.Context, j job) {
	if callCtx.Err() == nil || ctx.Err() != nil {
		return // a sidecar that ends leaves its runs to its next life
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := s.target.Cancel(ctx, j.id.String()); err != nil {
		s.cfg.Log.Warn().Str("id", j.id.String()).Err(err).Msg("run was not cancelled at the engine")
	}
}
