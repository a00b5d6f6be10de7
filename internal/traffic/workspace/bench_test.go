package workspace

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures the arrival and the end of a request, with 12,000 workspaces
// that each have a configured share, at an idle target and at one whose queue is full.
func BenchmarkQueue(b *testing.B) {
	const workspaces = 12000
	names := make([]Name, workspaces)
	shares := make([]Share, workspaces)
	for i := range names {
		names[i] = Name(fmt.Sprint("workspace", i))
		shares[i] = Share{Workspace: names[i], Weight: float64(1 + i%3)}
	}
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%t", full), func(b *testing.B) {
			q := New(Config{FirstLimit: 32, MaxLimit: 32, MinLimit: 32, Shares: shares, InitialTokenTime: time.Microsecond})
			if full {
				for i := range 288 {
					q.Handle(at(0), arrive(Ticket(i), names[i*37%workspaces], 100, time.Hour))
				}
			}
			b.ReportAllocs()
			running := Ticket(0)
			n := Ticket(1000)
			for b.Loop() {
				n++
				actions := q.Handle(at(0), arrive(n, names[int(n)*7919%workspaces], 100, time.Hour))
				if !full {
					running = n
				}
				_ = actions
				next := running
				for _, a := range q.Handle(at(0), Event{Kind: Finished, Ticket: running}) {
					if a.Kind == Start {
						next = a.Ticket
					}
				}
				running = next
			}
		})
	}
}
