package forward

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// newRateBench starts a forwarder that is the only entry, and collects what it believes of
// targets' rates.
func newRateBench(t *testing.T, answer func(standin.Reply, standin.Request)) (*bench, func() []admission.RateBelief) {
	b := newBench(t, standin.NewServer(t, answer))
	b.Admission.RulesFor = func(string) admission.Rules {
		return admission.Rules{PerTarget: 4, Queue: 4, Entries: 1, Senders: ratelimit.Senders{Count: 1, Place: 1}}
	}
	var mu sync.Mutex
	var told []admission.RateBelief
	b.Admission.BelievesRate = func(v admission.RateBelief) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, v)
	}
	return b, func() []admission.RateBelief {
		mu.Lock()
		defer mu.Unlock()
		return told
	}
}

// kindsOfAnswer are what a target may answer. A word in the headers counts in each, but for those
// that may be another server's.
var kindsOfAnswer = map[string]struct {
	path   string
	answer func(standin.Reply)
	own    bool // the target made it
}{
	"success": {"/safe/x", func(w standin.Reply) { w.Whole(http.StatusOK, "hello") }, true},
	"stream": {"/stream/x", func(w standin.Reply) {
		w.Head()
		w.Event(1)
	}, true},
	"refusal":             {"/safe/x", func(w standin.Reply) { w.NotRun() }, true},
	"failure":             {"/unsafe/x", func(w standin.Reply) { w.Whole(http.StatusInternalServerError, "") }, true},
	"too many":            {"/unsafe/x", func(w standin.Reply) { w.Whole(http.StatusTooManyRequests, "") }, true},
	"another server's":    {"/safe/x", func(w standin.Reply) { w.Misdirected() }, false},
	"whoever answers now": {"/unsafe/x", func(w standin.Reply) { w.Raw("hello") }, false},
}

// A target in need names its rate in whatever it answers.
func TestAnswersThatNameARate(t *testing.T) {
	for name, c := range kindsOfAnswer {
		t.Run(name, func(t *testing.T) {
			b, told := newRateBench(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Server-Limit", "0.5")
				c.answer(w)
			})
			b.call(http.MethodPost, c.path)
			if !c.own {
				require.Empty(t, told())
				return
			}
			require.Equal(t, []admission.RateBelief{{Target: "i-0", Active: true, Rate: 0.5, Source: "answer"}}, told())
		})
	}
}

// The only target names a rate. A caller whose turn comes too late is refused at once, with
// the time of its turn, or the longest that it may be told.
func TestRefusedAtOnceWhereAllAreLimited(t *testing.T) {
	b, _ := newRateBench(t, func(w standin.Reply, _ standin.Request) {
		w.Header("Server-Limit", "0.5")
		w.Whole(http.StatusOK, "hello")
	})
	b.patienceMS = 60000
	requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
	a := b.call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Eventually(t, func() bool { return len(b.ended()) == 2 }, time.Minute, time.Millisecond)
	rec := b.ended()[1]
	require.Equal(t, "rateLimited", rec.Reason)
	require.Equal(t, NotRun, rec.Outcome)
	require.Zero(t, rec.Queued, "it has not waited")
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.6, "of the route's 2 s")
	require.LessOrEqual(t, after, 0.67)
}
