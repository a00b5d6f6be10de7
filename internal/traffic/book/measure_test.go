package book_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/MEASUREMENTS.md")

// markAffected marks the requests in flight at a sidecar, or only those on one of its
// connections.
func (w *world) markAffected(s *sidecar, c *conn) {
	for _, t := range w.requests {
		if t.result == nil && !t.lost && t.sidecar == s && (c == nil || t.conn == c) {
			t.affected, t.partial = true, t.headSeen
		}
	}
}

// every returns a function that injects a fault after each pause.
func every(pause time.Duration, disturb func(w *world)) func(w *world) {
	return func(w *world) {
		var again func()
		again = func() {
			disturb(w)
			w.after(pause, again)
		}
		w.after(pause, again)
	}
}

// anySidecar returns a random sidecar that runs and does not drain; nil if fewer than
// two do.
func anySidecar(w *world) *sidecar {
	up := slices.DeleteFunc(slices.Clone(w.sidecars), func(s *sidecar) bool { return s.book == nil || s.draining })
	if len(up) < 2 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func silence(w *world) {
	if s := anySidecar(w); s != nil {
		if c := w.entries[w.rng.IntN(len(w.entries))].conns[s]; c != nil && !c.silent {
			w.markAffected(s, c)
			c.goSilent()
		}
	}
}

func kill(w *world) {
	if s := anySidecar(w); s != nil {
		w.markAffected(s, nil)
		s.die()
	}
}

func drainOne(w *world) {
	if s := anySidecar(w); s != nil {
		w.markAffected(s, nil)
		s.handle(book.Event{Kind: book.Drain})
		s.later(4*time.Second, func() {
			for _, e := range w.entries {
				if c := e.conns[s]; c != nil {
					c.close()
				}
			}
			s.die()
		})
	}
}

// TestMeasureUnknown prints the outcomes of the requests that each kind of failure
// affects.
func TestMeasureUnknown(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run it with -args -measure")
	}
	tests := []struct {
		name      string
		f         faults
		sidecars  int
		keepsRuns bool // engines keep their runs when their sidecar dies
		disturb   func(w *world)
	}{
		{"a connection goes silent, new ones work", faults{}, 6, false, every(500*time.Millisecond, silence)},
		{"the same, and late packets arrive by the silent one", faults{late: 50, lateArrives: 1000}, 6, false, every(500*time.Millisecond, silence)},
		{"a sidecar dies and returns within 2 s", faults{}, 6, false, every(500*time.Millisecond, kill)},
		{"the same, and engines keep their runs", faults{}, 6, true, every(500*time.Millisecond, kill)},
		{"a target's host dies for good", faults{staysDown: 1000}, 24, true, every(2*time.Second, kill)},
		{"a sidecar drains, and ends 4 s later", faults{}, 6, false, every(500*time.Millisecond, drainOne)},
		{"the engine is not reached", faults{engineUnreachable: 100}, 6, false, nil},
		{"the engine closes half way", faults{engineBreaks: 100}, 6, false, nil},
		{"the engine stalls half way", faults{engineStalls: 100}, 6, false, nil},
		{"admission refuses", faults{rejected: 300}, 6, false, nil},
		{"packets late, doubled and out of order", faults{late: 20, doubled: 20, reordered: 50}, 6, false, nil},
		{"the platform refuses claims", faults{claimFailed: 1000}, 6, false, nil},
		{"callers leave", faults{callerLeaves: 100}, 6, false, nil},
	}
	fmt.Println("| failure | requests | idempotent, before the first byte | answered | notRun | unknown | after it | answered | notRun | unknown | not repeatable: touched | answered | notRun | unknown | slowest outcome | reasons of unknown |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, tt := range tests {
		w := newWorld(7, tt.f, true, 2, tt.sidecars)
		for _, s := range w.sidecars {
			s.keepsRuns = tt.keepsRuns
			s.start()
		}
		w.scheduleArrivals(8000, 40*time.Second)
		if tt.disturb != nil {
			tt.disturb(w)
		}
		w.run(60 * time.Second)
		require.Empty(t, w.failure)
		var slowest time.Duration
		var count [3][4]int
		reasons := make(map[request.Reason]int)
		for _, x := range w.requests {
			kind := 2
			if x.idempotent && !x.partial {
				kind = 0
			} else if x.idempotent {
				kind = 1
			}
			if tt.disturb != nil && !x.affected || x.result == nil {
				continue
			}
			slowest = max(slowest, x.took)
			count[kind][0]++
			count[kind][x.result.Outcome]++
			if x.result.Outcome == request.Unknown {
				reasons[x.result.Reason]++
			}
		}
		fmt.Printf("| %s | %d |", tt.name, len(w.requests))
		for _, c := range count {
			fmt.Printf(" %d | %s | %s | %s |", c[0], share(c, request.Answered), share(c, request.NotRun), share(c, request.Unknown))
		}
		fmt.Printf(" %s | %v |\n", slowest.Round(10*time.Millisecond), reasons)
	}
}

func share(c [4]int, o request.Outcome) string {
	return fmt.Sprintf("%.1f%%", 100*float64(c[o])/float64(max(1, c[0])))
}
