package book_test

import (
	"fmt"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// sidecar is a book with an engine and an admission that admits all requests but those
// rejected by a fault.
type sidecar struct {
	w           *world
	name        host.Name
	incarnation host.Incarnation
	book        *book.Book // nil while the process is down
	cancelled   map[request.ID]bool
	draining    bool
	keepsRuns   bool // the engine keeps its runs when the sidecar dies
	runs        map[request.ID]string
}

func (s *sidecar) start() {
	s.incarnation++
	s.draining = false
	cfg := book.DefaultConfig(s.incarnation)
	if !s.w.productionBounds {
		// Small enough that answers outgrow the buffer and windows overflow.
		cfg.MaxAnswerBytes, cfg.MaxConnections, cfg.StreamWindow = 400, 4, 8
		cfg.AnswerRetention, cfg.JoinRetention = 100*time.Millisecond, 200*time.Millisecond
	}
	cfg.Recovers = s.keepsRuns
	s.book = book.New(cfg)
	s.cancelled = make(map[request.ID]bool)
}

// runsAs reports whether the process runs and has this incarnation.
func (s *sidecar) runsAs(incarnation host.Incarnation) bool {
	return s.book != nil && s.incarnation == incarnation
}

func (s *sidecar) die() {
	s.book = nil
	for _, e := range s.w.entries {
		if c := e.conns[s]; c != nil {
			c.goSilent()
		}
	}
	if !s.w.chance(s.w.f.staysDown) {
		s.w.after(s.w.between(50*time.Millisecond, 2*time.Second), s.start)
	}
}

// later schedules a function that runs only if the sidecar still has its current
// incarnation.
func (s *sidecar) later(d time.Duration, run func()) {
	incarnation := s.incarnation
	s.w.after(d, func() {
		if s.runsAs(incarnation) {
			run()
		}
	})
}

func (s *sidecar) handle(ev book.Event) {
	if ev.Kind == book.Drain {
		s.draining = true
	}
	for _, a := range s.book.Handle(s.w.now, ev) {
		s.act(a)
	}
}

func (s *sidecar) act(a book.Action) {
	switch a.Kind {
	case book.Send:
		if c := s.connection(a.Peer); c != nil {
			c.toEntry(a.Peer.Stream, a.Message)
		}
	case book.CloseStream:
		s.closeStream(a.Peer)
	case book.Admit:
		s.later(s.w.between(0, 20*time.Millisecond), func() { s.admit(a.ID) })
	case book.Run:
		s.later(s.w.between(0, time.Millisecond), func() { s.run(a.ID) })
	case book.Recover:
		s.later(s.w.between(0, 5*time.Millisecond), func() { s.recover(a.ID) })
	case book.CancelEngine:
		s.cancelled[a.ID] = true
	case book.Wake:
		s.later(a.At.Sub(s.w.now), func() { s.handle(book.Event{Kind: book.Tick}) })
	case book.Violated:
		s.w.fail("%v", a.Violation)
	}
}

func (s *sidecar) admit(id request.ID) {
	if s.w.chance(s.w.f.rejected) {
		s.handle(book.Event{Kind: book.Rejected, ID: id, Reason: request.Overloaded, RetryAfter: time.Second})
		return
	}
	s.handle(book.Event{Kind: book.Admitted, ID: id})
}

// run is the engine. Each run of a request has a distinct answer, so that the bytes of
// two runs can be distinguished.
func (s *sidecar) run(id request.ID) {
	w := s.w
	if w.chance(w.f.engineUnreachable) {
		s.handle(book.Event{Kind: book.EngineNotReached, ID: id})
		return
	}
	part := fmt.Sprintf("%s/%d/%s/%d;", id, len(w.runAnswers[id]), s.name, s.incarnation)
	answer := strings.Repeat(part, 1+w.rng.IntN(16))
	w.runAnswers[id] = append(w.runAnswers[id], answer)
	if s.keepsRuns {
		s.runs[id] = answer
		w.after(3*time.Second, func() { delete(s.runs, id) })
	}
	w.checkRuns(id)
	at := w.between(5*time.Millisecond, 100*time.Millisecond)
	s.later(at, func() { s.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200}) })
	s.generate(id, answer, at)
}

// recover is the engine's reply to a sidecar that asks for a run of an earlier
// incarnation.
func (s *sidecar) recover(id request.ID) {
	answer, ok := s.runs[id]
	if !ok {
		s.handle(book.Event{Kind: book.EngineNotReached, ID: id})
		return
	}
	s.handle(book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	s.generate(id, answer, 0)
}

// generate schedules the parts of an answer and its end.
func (s *sidecar) generate(id request.ID, answer string, at time.Duration) {
	w := s.w
	broken, stalls := w.chance(w.f.engineBreaks), w.chance(w.f.engineStalls)
	for rest := answer; rest != ""; {
		n := min(len(rest), 40)
		piece := rest[:n]
		rest = rest[n:]
		at += w.between(5*time.Millisecond, 40*time.Millisecond)
		if len(rest) < len(answer)/2 {
			if broken {
				break
			}
			if stalls {
				at += 30 * time.Second
				stalls = false
			}
		}
		s.later(at, func() {
			if !s.cancelled[id] {
				s.handle(book.Event{Kind: book.EngineData, ID: id, Data: []byte(piece)})
			}
		})
	}
	reason := request.NoReason
	if broken {
		reason = request.EngineTruncated
	}
	s.later(at+time.Millisecond, func() { s.handle(book.Event{Kind: book.EngineEnd, ID: id, Reason: reason}) })
}

func (s *sidecar) connection(p book.Peer) *conn {
	for _, e := range s.w.entries {
		if e.name == p.Entry {
			return e.all[connKey{int(p.Incarnation), p.Conn}]
		}
	}
	return nil
}

// closeStream resets a stream; the entry sees it as lost.
func (s *sidecar) closeStream(p book.Peer) {
	c := s.connection(p)
	if c == nil {
		return
	}
	c.transmit("reset", func() {
		if t := c.entry.requestOf(c, p.Stream); t != nil {
			t.handle(request.Event{Kind: request.ConnectionSilent, Conn: p.Conn})
		}
	})
}
