package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// pieces is what a caller has of a stream.
type pieces struct {
	stream string
	last   int // number of the last piece; 0 if there is none
	run    int // of the servers, which sent the last piece
}

// Faults of streams, as callers see them.
var (
	errOrder    = errors.New("a piece is missing, or comes again")
	errJoined   = errors.New("pieces of two runs are joined")
	errForeign  = errors.New("something that is no piece of the stream")
	errEndEarly = errors.New("complete before its last piece")
)

// add adds the body of an answer. The caller drops the rest of an event that is not complete, unless the answer is.
func (p *pieces) add(body string, complete bool) error {
	for {
		event, rest, found := strings.Cut(body, "\n\n")
		if !found {
			break
		}
		if err := p.addEvent(event + "\n\n"); err != nil {
			return err
		}
		body = rest
	}
	switch {
	case complete && body != "":
		return errForeign
	case complete && p.last < standin.StreamEvents:
		return errEndEarly
	}
	return nil
}

func (p *pieces) addEvent(event string) error {
	var number, run, after, piece int
	format := "id: %d\ndata: " + p.stream + " run %d after %d piece %d"
	if _, err := fmt.Sscanf(event, format, &number, &run, &after, &piece); err != nil {
		return errForeign
	}
	switch {
	case event != standin.Piece(p.stream, run, after, number):
		return errForeign
	case number != p.last+1:
		return errOrder
	case run != p.run && after != p.last:
		return errJoined
	}
	p.last, p.run = number, run
	return nil
}

// The check of streams must see each fault that callers may not see.
func TestCheckOfStreams(t *testing.T) {
	events := func(run, after int, numbers ...int) (text string) {
		for _, n := range numbers {
			text += standin.Piece("s", run, after, n)
		}
		return text
	}
	whole := events(1, 0, 1, 2, 3, 4, 5, 6)
	tests := []struct {
		name     string
		last     int // what the caller has and asked to go on after
		body     string
		complete bool
		fault    error
	}{
		{"whole", 0, whole, true, nil},
		{"resumed", 0, events(1, 0, 1, 2) + events(2, 2, 3, 4, 5, 6), true, nil},
		{"resumed by the caller", 3, events(2, 3, 4, 5, 6), true, nil},
		{"broken", 0, events(1, 0, 1, 2), false, nil},
		{"broken in an event", 0, whole[:len(whole)-3], false, nil},
		{"number again", 0, events(1, 0, 1, 2, 2, 3), false, errOrder},
		{"number goes back", 0, events(1, 0, 1, 2, 1), false, errOrder},
		{"begins anew", 0, events(1, 0, 1, 2) + events(2, 0, 1, 2), false, errOrder},
		{"begins anew for the caller", 2, events(2, 0, 1, 2), false, errOrder},
		{"gap", 0, events(1, 0, 1, 2, 4), false, errOrder},
		{"gap at the start", 0, events(1, 0, 2), false, errOrder},
		{"rest of a run that began anew", 0, events(1, 0, 1, 2) + events(2, 0, 3), false, errJoined},
		{"foreign body", 0, events(1, 0, 1, 2) + standin.Foreign, true, errForeign},
		{"foreign event", 0, events(1, 0, 1, 2) + "data: x\n\n", false, errForeign},
		{"another stream", 0, standin.Piece("t", 1, 0, 1), false, errForeign},
		{"text of another number", 0, strings.Replace(events(1, 0, 1), "piece 1", "piece 2", 1), false, errForeign},
		{"half an event joined to the next", 0, "id: 1\ndat" + events(1, 0, 1), false, errForeign},
		{"half an event at the end", 0, whole[:len(whole)-3], true, errForeign},
		{"end too early", 0, events(1, 0, 1, 2), true, errEndEarly},
		{"end before any piece", 0, "", true, errEndEarly},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := pieces{stream: "s", last: test.last}
			require.ErrorIs(t, p.add(test.body, test.complete), test.fault)
		})
	}
}

// maxResumes is how often a caller goes on with a broken stream by itself.
const maxResumes = 3

// callStream asks for a stream and, if that breaks off, for the rest of it at any entry. It reports
// whether the connection may be used again.
func (c *calls) callStream(ctx context.Context, client *http.Client, entry int, r *rand.Rand) (reusable bool) {
	route, resumes := "feed", maxResumes
	if r.IntN(4) == 0 {
		route, resumes = "flow", 0 // may not be resumed
	}
	p := pieces{stream: fmt.Sprintf("%s-%d", route, c.number.Add(1))}
	send := client.Do
	switch r.IntN(4) {
	case 0:
		send = sendHTTP10
	case 1:
		send = func(q *http.Request) (*http.Response, error) {
			q.Close = true
			return client.Do(q)
		}
	}
	for range 1 + resumes {
		var broken bool
		broken, reusable = c.askForPieces(ctx, send, entry, route, &p)
		if !broken || ctx.Err() != nil {
			break
		}
		entry = r.IntN(*entryCount)
	}
	return reusable
}

// askForPieces asks for the pieces of a stream that the caller doesn't have, and checks those that it gets. It
// reports whether the stream was broken off, and whether the connection may be used again.
func (c *calls) askForPieces(ctx context.Context, send sender, entry int, route string, p *pieces) (broken, reusable bool) {
	id := newID(entry, c.number.Add(1))
	q := standin.NewCall(http.MethodPost, "http://"+c.w.callers[entry].String()+"/"+route+"/"+p.stream, id, "k-stayer", 4000, nil).WithContext(ctx)
	q.Host = host
	standin.ResumeAfter(q, p.last)
	had := p.last
	a, err := send(q)
	if err != nil {
		c.unknown.Add(1)
		return false, false
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if a.StatusCode != http.StatusOK {
		c.refused.Add(1)
		time.Sleep(5 * time.Millisecond)
		return had > 0, err == nil && !a.Close
	}
	if fault := p.addAnswer(a, string(body), err == nil); fault != nil {
		c.w.problem("%s %s after %d: %v: %q (end: %v)\n%s", id, p.stream, had, fault, body, err, c.w.logs(id))
		return false, false
	}
	if err == nil {
		c.pieceStreams.Add(1)
		if had > 0 {
			c.resumedStreams.Add(1)
		}
	}
	return err != nil, err == nil && !a.Close
}

// sender sends a request and returns the response as soon as its header has come.
type sender func(q *http.Request) (*http.Response, error)

// sendHTTP10 sends a request of HTTP/1.0, whose response has no chunks.
func sendHTTP10(q *http.Request) (*http.Response, error) {
	conn, err := net.Dial("tcp4", q.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(q.Context(), func() { _ = conn.Close() }) // whoever reads gets an error
	var text bytes.Buffer
	q.Body = nil
	if err := q.Write(&text); err != nil {
		return nil, err // the test made an invalid request
	}
	_, _ = conn.Write(bytes.Replace(text.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)) // the response tells
	a, err := http.ReadResponse(bufio.NewReader(conn), q)
	if err != nil {
		_ = conn.Close() // there is no response
		return nil, err
	}
	a.Body = http10Body{a.Body, conn, stop}
	return a, nil
}

// http10Body is the body of a response, with its connection.
type http10Body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection.
func (b http10Body) Close() error {
	b.stop()
	return b.conn.Close()
}

// addAnswer adds a successful answer. An answer that is no stream must be the server's.
func (p *pieces) addAnswer(a *http.Response, body string, complete bool) error {
	if !standin.Stamped(a.Header) {
		return errForeign
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return p.add(body, complete)
	}
	if complete && body != standin.Foreign {
		return errForeign
	}
	return nil
}
