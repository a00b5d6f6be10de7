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

// newRateTestbed starts a forwarder that is the only entry. The function that it returns lists
// the changes of the forwarder's view of the targets' rate limits.
func newRateTestbed(t *testing.T, answer func(standin.Reply, standin.Request)) (*testbed, func() []admission.RateView) {
	b := newTestbed(t, standin.NewServer(t, answer))
	b.Admission.RulesFor = func(string) admission.Limits {
		return admission.Limits{PerTarget: 4, Queue: 4, Entries: 1, Senders: ratelimit.Senders{Count: 1, Index: 1}}
	}
	var mu sync.Mutex
	var views []admission.RateView
	b.Admission.OnRateChange = func(v admission.RateView) {
		mu.Lock()
		defer mu.Unlock()
		views = append(views, v)
	}
	return b, func() []admission.RateView {
		mu.Lock()
		defer mu.Unlock()
		return views
	}
}

// kindsOfAnswer lists kinds of responses. A notice in the headers counts in each, except in those
// that may come from another server.
var kindsOfAnswer = map[string]struct {
	path   string
	answer func(standin.Reply)
	own    bool // the response provably comes from the target
}{
	"success": {"/safe/x", func(w standin.Reply) { w.Complete(http.StatusOK, "hello") }, true},
	"stream": {"/stream/x", func(w standin.Reply) {
		w.StampedHeader()
		w.Event(1)
	}, true},
	"refusal":             {"/safe/x", func(w standin.Reply) { w.NotRun() }, true},
	"failure":             {"/unsafe/x", func(w standin.Reply) { w.Complete(http.StatusInternalServerError, "") }, true},
	"too many":            {"/unsafe/x", func(w standin.Reply) { w.Complete(http.StatusTooManyRequests, "") }, true},
	"another server":      {"/safe/x", func(w standin.Reply) { w.Misdirected() }, false},
	"unidentified server": {"/unsafe/x", func(w standin.Reply) { w.Raw("hello") }, false},
}

// A rate-limited target sends its rate in each kind of response.
func TestAnswersThatNameARate(t *testing.T) {
	for name, c := range kindsOfAnswer {
		t.Run(name, func(t *testing.T) {
			b, views := newRateTestbed(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Server-Limit", "0.5")
				c.answer(w)
			})
			b.call(http.MethodPost, c.path)
			if !c.own {
				require.Empty(t, views())
				return
			}
			require.Equal(t, []admission.RateView{{Target: "i-0", Active: true, Rate: 0.5, Source: "answer"}}, views())
		})
	}
}

// The only target is rate-limited. A caller that would have to wait too long is refused at once,
// with a Retry-After of that wait, or of the longest that Retry-After may ask for.
func TestRefusedAtOnceWhereAllAreLimited(t *testing.T) {
	b, _ := newRateTestbed(t, func(w standin.Reply, _ standin.Request) {
		w.Header("Server-Limit", "0.5")
		w.Complete(http.StatusOK, "hello")
	})
	b.patienceMS = 60000
	requireServed(t, b.call(http.MethodGet, "/safe/x"), "hello")
	a := b.call(http.MethodGet, "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Eventually(t, func() bool { return len(b.ended()) == 2 }, time.Minute, time.Millisecond)
	rec := b.ended()[1]
	require.Equal(t, "rateLimited", rec.Reason)
	require.Equal(t, NotRun, rec.Outcome)
	require.Zero(t, rec.Queued, "the request was not queued")
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.6, "a third of the route's 2 s")
	require.LessOrEqual(t, after, 0.67)
}
