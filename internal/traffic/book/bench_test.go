package book_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// handleRequest takes the n-th request through a book from Open to its end, with an
// answer of ten parts.
func handleRequest(b *book.Book, now time.Time, n int, settled bool) {
	var id request.ID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	p := from(1, uint64(n))
	call := request.Call{Method: "POST", Path: "/", Idempotent: settled, Remaining: 10 * time.Second}
	open := request.Message{Kind: request.Open, ID: id, Attempt: 1, Incarnation: incarnation, Call: &call}
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
	records := book.New(book.DefaultConfig(incarnation))
	b.ReportAllocs()
	for n := range b.N {
		handleRequest(records, t0.Add(time.Duration(n)*100*time.Microsecond), n, true)
	}
}

// BenchmarkBookKept measures the sweep time and the memory of a request that is not
// idempotent while its answer is kept for other requests with its key.
func BenchmarkBookKept(b *testing.B) {
	const kept = 10_000
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		records := book.New(book.DefaultConfig(incarnation))
		for n := range kept {
			handleRequest(records, t0, n, false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		begun := time.Now()
		for i := range 10 {
			records.Handle(t0.Add(time.Duration(i+1)*time.Second), book.Event{Kind: book.Tick})
		}
		b.ReportMetric(float64(time.Since(begun).Nanoseconds())/10/kept, "ns/request-sweep")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/kept, "B/request")
		runtime.KeepAlive(records)
	}
}
