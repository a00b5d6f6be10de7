package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// scriptedEngine answers each call with the next of its texts, byte by byte as they are, and
// closes the connection. After the last text it has no run any more.
type scriptedEngine struct {
	listener net.Listener
	mu       sync.Mutex
	texts    []string
	asked    []string // the token that each call asked to go on at; "" for a new run
	ended    bool     // the process ends after the next text
	silentAt string   // the connection of the call that asked to go on there stays open
}

func newScriptedEngine(t *testing.T, texts ...string) *scriptedEngine {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	e := &scriptedEngine{listener: l, texts: texts}
	t.Cleanup(func() { _ = l.Close() }) // it may be closed already
	go e.serve()
	return e
}

func (e *scriptedEngine) serve() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return // the test has ended
		}
		e.answer(c)
	}
}

func (e *scriptedEngine) answer(c net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		_ = c.Close() // a probe sends nothing
		return
	}
	if at := q.Header.Get(engine.ResumeHeader); at == "" || at != e.silentAt {
		defer func() { _ = c.Close() }() // the caller sees the end in any case
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, q.Header.Get(engine.ResumeHeader))
	text := "HTTP/1.1 404 Not Found\r\nContent-Length: 7\r\n\r\nno run\n"
	if len(e.texts) > 0 {
		text, e.texts = e.texts[0], e.texts[1:]
	}
	_, _ = c.Write([]byte(text)) // the test checks what arrives
	if e.ended {
		_ = e.listener.Close() // as the end of a process does
	}
}

// result is what a sidecar reported of a call.
type result struct {
	text   string
	reason request.Reason
	asked  []string
}

// callEngine makes a call to an engine and returns what the sidecar reported.
func callEngine(t *testing.T, e *scriptedEngine, model bool) result {
	res := callTarget(t, netip.MustParseAddrPort(e.listener.Addr().String()), model)
	e.mu.Lock()
	defer e.mu.Unlock()
	res.asked = e.asked
	return res
}

// callTarget makes a call to a target and returns what the sidecar reported.
func callTarget(t *testing.T, at netip.AddrPort, model bool) result {
	s := &Sidecar{
		cfg:       Config{Target: at, Model: model, Log: &log.Logger{Level: log.PanicLevel}},
		target:    engine.New(engine.Config{Target: at}),
		witnesses: newWitnesses(&log.Logger{Level: log.PanicLevel}),
		desk:      newDesk(&log.Logger{Level: log.PanicLevel}, newCounts(metrics.NewSet()), book.DefaultConfig(1), workspace.Config{}),
	}
	t.Cleanup(s.target.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	id := request.ID{1}
	j := job{id: id, call: request.Call{Method: http.MethodPost, Path: "/", Idempotent: true}, deadline: time.Now().Add(10 * time.Second)}
	s.call(ctx, ctx, j)
	var res result
	for {
		select {
		case ev := <-s.desk.ring:
			for _, b := range append(ev.books, ev.book) {
				res.text += string(b.Data)
				res.reason = max(res.reason, b.Reason)
			}
		default:
			return res
		}
	}
}

// Parts of answers.
const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunkedEnd = "0\r\n\r\n"
	endOfThree = "event: end\ndata: {\"tokens\":3}\n\n"
)

// tokens returns the events of the tokens with these numbers.
func tokens(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "data: {\"index\":%d,\"token\":\"t%d\"}\n\n", n, n)
	}
	return b.String()
}

// chunked returns a stream in one chunk, without the last chunk, which ends it.
func chunked(body string) string {
	return streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// unframed returns a stream of no stated length.
func unframed(body string) string { return streamHead + "\r\n" + body }

// requireWhole requires that the whole stream of three tokens was passed on, and where it was
// resumed.
func requireWhole(t *testing.T, got result, resumedAt ...string) {
	t.Helper()
	require.Equal(t, result{text: tokens(0, 1, 2) + endOfThree, asked: append([]string{""}, resumedAt...)}, got)
}

// requireBroken requires that a stream was given as broken after a text.
func requireBroken(t *testing.T, got result, text string) {
	t.Helper()
	require.Equal(t, text, got.text)
	require.Equal(t, request.EngineTruncated, got.reason)
}

// Guards against a stream that is given as complete without the event that it broke off in.
func TestEndWithinAnEventIsNoEnd(t *testing.T) {
	for name, half := range map[string]string{"line": "data: {\"ind", "lines": tokens(2)[:len(tokens(2))-1]} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEngine(t, chunked(tokens(0, 1)+half)+chunkedEnd, chunked(tokens(2)+endOfThree)+chunkedEnd)
			requireWhole(t, callEngine(t, e, true), "2")
		})
	}
}

// Guards against a stream that is given as complete because its connection ended.
func TestEndOfTheConnectionIsNoEndOfAStream(t *testing.T) {
	t.Run("resumed", func(t *testing.T) {
		e := newScriptedEngine(t, unframed(tokens(0, 1)), unframed(tokens(2)+endOfThree))
		requireWhole(t, callEngine(t, e, true), "2")
	})
	t.Run("not resumed", func(t *testing.T) {
		requireBroken(t, callEngine(t, newScriptedEngine(t, unframed(tokens(0, 1))), true), tokens(0, 1))
	})
	t.Run("before any event", func(t *testing.T) {
		requireBroken(t, callEngine(t, newScriptedEngine(t, unframed("")), true), "")
	})
}

// Guards against a last event that comes twice, or a whole stream that is given as broken, when the
// connection breaks right after that event.
func TestNothingFollowsTheEndEvent(t *testing.T) {
	t.Run("broken connection", func(t *testing.T) {
		e := newScriptedEngine(t, chunked(tokens(0, 1, 2)+endOfThree), chunked(endOfThree)+chunkedEnd)
		requireWhole(t, callEngine(t, e, true))
	})
	t.Run("further events", func(t *testing.T) {
		requireWhole(t, callEngine(t, newScriptedEngine(t, chunked(tokens(0, 1, 2)+endOfThree+tokens(0, 1))+chunkedEnd), true))
	})
}

// Guards against a lost token: a comment that counts as one moves the place at which a stream is resumed.
func TestOnlyEventsWithDataCountAsTokens(t *testing.T) {
	for name, other := range map[string]string{
		"comment": ": still there\n\n", "retry": "retry: 100\n\n", "name after data": "data: {}\nevent: note\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEngine(t, chunked(tokens(0)+other+tokens(1)), chunked(tokens(2)+endOfThree)+chunkedEnd)
			got := callEngine(t, e, true)
			got.text = strings.Replace(got.text, other, "", 1)
			requireWhole(t, got, "2")
		})
	}
}

// Guards against a stream with carriage returns that is given as complete without any of its events.
func TestLinesMayEndWithCarriageReturns(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	e := newScriptedEngine(t, chunked(crlf(tokens(0, 1)+"data: {\"ind")), chunked(crlf(tokens(2)+endOfThree))+chunkedEnd)
	got := callEngine(t, e, true)
	require.Equal(t, crlf(tokens(0, 1, 2)+endOfThree), got.text)
	got.text = strings.ReplaceAll(got.text, "\r", "")
	requireWhole(t, got, "2")
}

// Guards against numbers that go back, come twice or skip: what a resumed run sends is compared with
// what was passed on.
func TestNumbersOfTokensAreCompared(t *testing.T) {
	again := map[string]string{
		"begins anew": tokens(0, 1, 2), "last one again": tokens(1, 2), "gap": tokens(3), "no number": "data: {\"token\":\"t\"}\n\n",
		"no data of this form": "data: t\n\n",
	}
	for name, rest := range again {
		t.Run("resumed run "+name, func(t *testing.T) {
			e := newScriptedEngine(t, chunked(tokens(0, 1)), chunked(rest+endOfThree)+chunkedEnd, chunked(tokens(2)+endOfThree)+chunkedEnd)
			requireWhole(t, callEngine(t, e, true), "2", "2")
		})
		t.Run("within a run "+name, func(t *testing.T) {
			e := newScriptedEngine(t, chunked(tokens(0, 1)+rest+endOfThree)+chunkedEnd, chunked(tokens(2)+endOfThree)+chunkedEnd)
			requireWhole(t, callEngine(t, e, true), "2")
		})
	}
	t.Run("never right", func(t *testing.T) {
		e := newScriptedEngine(t, chunked(tokens(0, 1)), chunked(tokens(0, 1, 2)+endOfThree)+chunkedEnd)
		requireBroken(t, callEngine(t, e, true), tokens(0, 1))
	})
	t.Run("after the first token", func(t *testing.T) {
		e := newScriptedEngine(t, chunked(tokens(0)), chunked(tokens(0, 1, 2)+endOfThree)+chunkedEnd, chunked(tokens(1, 2)+endOfThree)+chunkedEnd)
		requireWhole(t, callEngine(t, e, true), "1", "1")
	})
	t.Run("an end that counts more tokens", func(t *testing.T) {
		e := newScriptedEngine(t, chunked(tokens(0, 1)+endOfThree)+chunkedEnd, chunked(tokens(2)+endOfThree)+chunkedEnd)
		requireWhole(t, callEngine(t, e, true), "2")
	})
	t.Run("an end before the first token", func(t *testing.T) {
		e := newScriptedEngine(t, chunked(endOfThree)+chunkedEnd, chunked(tokens(0, 1, 2)+endOfThree)+chunkedEnd)
		requireWhole(t, callEngine(t, e, true), "0")
	})
	t.Run("tokens without numbers are not compared", func(t *testing.T) {
		const events = "data: a\n\ndata: {\"index\":0}\n\ndata: {\"index\":0}\n\n"
		require.Equal(t, result{text: events, asked: []string{""}}, callEngine(t, newScriptedEngine(t, chunked(events)+chunkedEnd), true))
		const constant = "data: {\"index\":0}\n\ndata: {\"index\":0}\n\ndata: {\"index\":0}\n\n"
		require.Equal(t, result{text: constant, asked: []string{""}}, callEngine(t, newScriptedEngine(t, chunked(constant)+chunkedEnd), true))
	})
}

// Guards against a foreign body in a stream: what resumes it must be a stream too.
func TestOnlyAStreamResumesAStream(t *testing.T) {
	for name, answer := range map[string]string{
		"413":                "HTTP/1.1 413 Too Large\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ntoo large",
		"404":                "HTTP/1.1 404 Not Found\r\nContent-Length: 6\r\n\r\nno run",
		"other content type": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"other success":      "HTTP/1.1 206 Partial\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEngine(t, chunked(tokens(0, 1)+"data: {"), answer)
			requireBroken(t, callEngine(t, e, true), tokens(0, 1))
		})
	}
}

// Guards against an answer without a length that is given as complete though the process that sent
// it ended meanwhile.
func TestUnframedAnswerOfAnEndedTarget(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe first part"
	e := newScriptedEngine(t, answer)
	require.Equal(t, result{text: "the first part", asked: []string{""}}, callEngine(t, e, false))
	e = newScriptedEngine(t, answer)
	e.ended = true
	require.Equal(t, result{text: "the first part", reason: request.EngineCrashed, asked: []string{""}}, callEngine(t, e, false))
}

// Guards against a stream that stands still to its deadline: the connection by which it was resumed goes silent.
func TestResumedConnectionGoesSilent(t *testing.T) {
	e := newScriptedEngine(t, chunked(tokens(0)), chunked(tokens(1)), chunked(tokens(2)+endOfThree)+chunkedEnd)
	e.silentAt = "1"
	begun := time.Now()
	requireWhole(t, callEngine(t, e, true), "1", "2")
	require.Less(t, time.Since(begun), 2*streamIdle)
}
