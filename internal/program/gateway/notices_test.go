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

// noticeTarget is a target that puts a notice into each response once announces is set, and records
// which entry sent each request.
type noticeTarget struct {
	*standin.Server
	announces   atomic.Bool
	mu          sync.Mutex
	announcedAt map[string][]time.Time // when it sent a notice to each entry
	receivedAt  map[string][]time.Time // when it got requests from each entry
}

func newNoticeTarget(t *testing.T, answer func(standin.Reply)) *noticeTarget {
	s := &noticeTarget{announcedAt: make(map[string][]time.Time), receivedAt: make(map[string][]time.Time)}
	s.Server = standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		if !s.announces.Load() {
			w.Complete(http.StatusOK, "hello")
			return
		}
		s.mu.Lock()
		entry, now := entryOf(r.ID), time.Now()
		s.receivedAt[entry] = append(s.receivedAt[entry], now)
		s.announcedAt[entry] = append(s.announcedAt[entry], now)
		s.mu.Unlock()
		answer(w)
	})
	return s
}

// noticeGrace is how long after a response requests begin to count: earlier ones were under way.
const noticeGrace = 500 * time.Millisecond

// maxAfterNotice returns the largest number of requests of one entry that came more than noticeGrace
// after one of its notices, and within the given time.
func (s *noticeTarget) maxAfterNotice(within time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0
	for entry, notices := range s.announcedAt {
		for _, noticedAt := range notices {
			n := 0
			for _, at := range s.receivedAt[entry] {
				if d := at.Sub(noticedAt); d > noticeGrace && d < within {
					n++
				}
			}
			largest = max(largest, n)
		}
	}
	return largest
}

func newHeartbeat(t *testing.T) *standin.Server {
	return standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusOK, "hello") })
}

// Guards against requests to a target during the back-off that it asked an entry for.
func TestTargetThatAsksForBackOffGetsNoMore(t *testing.T) {
	t.Parallel()
	const backoff = 3 * time.Second
	target := newNoticeTarget(t, func(w standin.Reply) {
		w.Header("Retry-After", fmt.Sprint(backoff.Seconds()))
		w.NotRun()
	})
	entries := startEntries(t, 2, target.Server, newHeartbeat(t), newHeartbeat(t))
	sendLoad(t, entries, 20*time.Millisecond, time.Second) // lets the retry budget grow with the requests
	target.announces.Store(true)
	statuses := sendLoad(t, entries, 20*time.Millisecond, 2*backoff)
	t.Logf("%d requests of one entry in %s, of all %v", target.maxAfterNotice(backoff), backoff, statuses)
	require.LessOrEqual(t, target.maxAfterNotice(backoff), 2)
	require.Len(t, statuses, 1, "the other targets serve what it doesn't take")
	require.Contains(t, statuses, http.StatusOK)
}

// countLater returns how many requests came later than the given time after their entry's first notice.
func (s *noticeTarget) countLater(than time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for entry, notices := range s.announcedAt {
		for _, at := range s.receivedAt[entry] {
			if at.Sub(notices[0]) > than {
				n++
			}
		}
	}
	return n
}

// drainTime is the drain bound of these tests' entries, after which a leaving target gets no new request.
const drainTime = 2 * time.Second

// Guards against requests to a target that announced its shutdown but is listed as ready.
func TestTargetThatAnnouncesLeavingGetsNothingAfter(t *testing.T) {
	t.Parallel()
	leaving := newNoticeTarget(t, func(w standin.Reply) {
		w.Header("Server-Leaving", "1")
		w.Complete(http.StatusOK, "hello")
	})
	entries := startEntries(t, 2, leaving.Server, newHeartbeat(t), newHeartbeat(t))
	sendLoad(t, entries, 20*time.Millisecond, time.Second)
	leaving.announces.Store(true)
	statuses := sendLoad(t, entries, 20*time.Millisecond, 2*drainTime)
	t.Logf("%d requests later than %s, of all %v", leaving.countLater(drainTime), drainTime, statuses)
	require.Zero(t, leaving.countLater(drainTime))
	require.Len(t, statuses, 1, "the other targets serve")
	require.Contains(t, statuses, http.StatusOK)
}
