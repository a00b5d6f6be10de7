package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// telling is a target that says something of itself in each answer, once it tells, and remembers
// what it got of whom.
type telling struct {
	*standin.Server
	tells atomic.Bool
	mu    sync.Mutex
	said  map[string][]time.Time // when it said so to an entry
	got   map[string][]time.Time // what reached it from an entry
}

func newTelling(t *testing.T, answer func(standin.Reply)) *telling {
	s := &telling{said: make(map[string][]time.Time), got: make(map[string][]time.Time)}
	s.Server = standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		if !s.tells.Load() {
			w.Whole(http.StatusOK, "hello")
			return
		}
		s.mu.Lock()
		entry, now := entryOf(r.ID), time.Now()
		s.got[entry] = append(s.got[entry], now)
		s.said[entry] = append(s.said[entry], now)
		s.mu.Unlock()
		answer(w)
	})
	return s
}

// noticeTime is how long after an answer requests begin to count: those before were under way.
const noticeTime = 500 * time.Millisecond

// most is the largest number of requests of one entry that came later than noticeTime after one
// of the answers that it got, and within some time.
func (s *telling) most(within time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for entry, answers := range s.said {
		for _, said := range answers {
			n := 0
			for _, at := range s.got[entry] {
				if d := at.Sub(said); d > noticeTime && d < within {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

func newHello(t *testing.T) *standin.Server {
	return standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Whole(http.StatusOK, "hello") })
}

// Guards against requests to a target within the rest that it asked an entry for.
func TestTargetThatAsksForRestGetsNoMore(t *testing.T) {
	t.Parallel()
	const rest = 3 * time.Second
	resting := newTelling(t, func(w standin.Reply) {
		w.Header("Retry-After", fmt.Sprint(rest.Seconds()))
		w.NotRun()
	})
	entries := newRateWorld(t, 2, resting.Server, newHello(t), newHello(t))
	press(t, entries, 20*time.Millisecond, time.Second) // as many repeats are allowed as callers come
	resting.tells.Store(true)
	statuses := press(t, entries, 20*time.Millisecond, 2*rest)
	t.Logf("%d requests of one entry in %s, of all %v", resting.most(rest), rest, statuses)
	require.LessOrEqual(t, resting.most(rest), 2)
	require.Len(t, statuses, 1, "the others serve what it doesn't take")
	require.Contains(t, statuses, http.StatusOK)
}

// later is the number of requests that came some time after their entry got the first answer.
func (s *telling) later(than time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for entry, answers := range s.said {
		for _, at := range s.got[entry] {
			if at.Sub(answers[0]) > than {
				n++
			}
		}
	}
	return n
}

// drainTime of the entries of these tests: a target that leaves gets nothing after it.
const drainTime = 2 * time.Second

// Guards against requests to a target that has said that it leaves, and is listed as ready.
func TestTargetThatSaysThatItLeavesGetsNothingAfter(t *testing.T) {
	t.Parallel()
	leaving := newTelling(t, func(w standin.Reply) {
		w.Header("Server-Leaving", "1")
		w.Whole(http.StatusOK, "hello")
	})
	entries := newRateWorld(t, 2, leaving.Server, newHello(t), newHello(t))
	press(t, entries, 20*time.Millisecond, time.Second)
	leaving.tells.Store(true)
	statuses := press(t, entries, 20*time.Millisecond, 2*drainTime)
	t.Logf("%d requests later than %s, of all %v", leaving.later(drainTime), drainTime, statuses)
	require.Zero(t, leaving.later(drainTime))
	require.Len(t, statuses, 1, "the others serve")
	require.Contains(t, statuses, http.StatusOK)
}
