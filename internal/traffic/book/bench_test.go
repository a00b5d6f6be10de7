package book_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// carry brings the n-th request through a book, with ten parts of an answer.
func carry(b *book.Book, now time.Time, n int, settled bool) {
	var id request.ID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	p := from(1, uint64(n))
	call := request.Call{Method: "POST", Path: "/", Idempotent: settled, Remaining: 10 * time.Second}
	open := request.Message{Kind: request.Open, ID: id, Attempt: 1, Incarnation: life, Call: &call}
	b.Handle(now, book.Event{Kind: book.Received, Peer: p, Message: open})
	end := request.Message{Kind: request.BodyEnd, ID: id, Attempt: 1}
	b.Handle(now, book.Event{Kind: book.Received, Peer: p, Message: end})
	b.Handle(now, book.Event{Kind: book.Admitted, ID: id})
	b.Handle(now, book.Event{Kind: book.EngineHead, ID: id, Status: 200})
	for range 10 {
		b.Handle(now, book.Event{Kind: book.EngineData, ID: id, Data: []byte("data: token\n\n")})
	}
	b.Handle(now, book.Event{Kind: book.EngineEnd, ID: id})
	b.Handle(now, book.Event{Kind: book.StreamClosed, Peer: p, Settled: settled})
}

func BenchmarkBookRequest(b *testing.B) {
	l := book.New(book.DefaultConfig(life))
	b.ReportAllocs()
	for n := range b.N {
		carry(l, t0.Add(time.Duration(n)*100*time.Microsecond), n, true)
	}
}

// BenchmarkBookKept tells what a request that may not be repeated costs while
// its answer is kept for repeats.
func BenchmarkBookKept(b *testing.B) {
	const kept = 10_000
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := book.New(book.DefaultConfig(life))
		for n := range kept {
			carry(l, t0, n, false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		begun := time.Now()
		for i := range 10 {
			l.Handle(t0.Add(time.Duration(i+1)*time.Second), book.Event{Kind: book.Tick})
		}
		b.ReportMetric(float64(time.Since(begun).Nanoseconds())/10/kept, "ns/request-sweep")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/kept, "B/request")
		runtime.KeepAlive(l)
	}
}
