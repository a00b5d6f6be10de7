package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Guards against a rest that nobody hears, or that another server or a caller's matter brings on.
func TestAnswersThatAskForRest(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer func(standin.Reply)
		rests  bool
	}{
		"refusal":                   {"/safe/x", func(w standin.Reply) { w.NotRun() }, true},
		"503 that may have run":     {"/unsafe/x", func(w standin.Reply) { w.Whole(http.StatusServiceUnavailable, "") }, true},
		"503 without a proof":       {"/unsafe/x", func(w standin.Reply) { w.Unstamped(); w.Status(http.StatusServiceUnavailable) }, true},
		"whoever answers now":       {"/unsafe/x", func(w standin.Reply) { w.Status(http.StatusServiceUnavailable) }, false},
		"another server's":          {"/safe/x", func(w standin.Reply) { w.Misdirected() }, false},
		"too many of a workspace":   {"/unsafe/x", func(w standin.Reply) { w.Whole(http.StatusTooManyRequests, "") }, false},
		"failure":                   {"/unsafe/x", func(w standin.Reply) { w.Whole(http.StatusInternalServerError, "") }, false},
		"success":                   {"/safe/x", func(w standin.Reply) { w.Whole(http.StatusOK, "hello") }, false},
		"refusal of a stream":       {"/stream/x", func(w standin.Reply) { w.NotRun() }, true},
		"refusal in a broken group": {"/safe/x", func(w standin.Reply) { w.Header("At-Server", "i-9"); w.NotRun() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Retry-After", "60")
				c.answer(w)
			}))
			b.call(http.MethodPost, c.path)
			k := &admission.Ticket{Service: "svc", Fresh: time.Second}
			v := b.Admission.Arrive(time.Now().Add(time.Second), k)
			require.Equal(t, c.rests, v == admission.Resting, "%v", v)
		})
	}
}

// Guards against callers that wait for targets which all rest, or are sent back too late.
func TestRefusedAtOnceWhereAllRest(t *testing.T) {
	b := newBench(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.Header("Retry-After", "0.6")
		w.NotRun()
	}))
	requireRefused(t, b.call(http.MethodGet, "/safe/x"), http.StatusServiceUnavailable)
	a := b.call(http.MethodGet, "/safe/x")
	requireRefused(t, a, http.StatusServiceUnavailable)
	require.Eventually(t, func() bool { return len(b.ended()) == 2 }, time.Minute, time.Millisecond)
	rec := b.ended()[1]
	require.Equal(t, "targetsRest", rec.Reason)
	require.Equal(t, NotRun, rec.Outcome)
	require.Zero(t, rec.Queued, "it has not waited")
	require.Empty(t, rec.Attempts)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.4, "the rest is not over before")
}

// Guards against a word of leaving that some kind of answer brings and nobody hears.
func TestAnswersThatSayThatTheTargetLeaves(t *testing.T) {
	for name, c := range kindsOfAnswer {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Server-Leaving", "1")
				c.answer(w)
			}))
			var left []string
			b.Admission.BelievesNotice = func(n admission.NoticeBelief) { left = append(left, n.Target.ID) }
			b.call(http.MethodPost, c.path)
			if !c.own {
				require.Empty(t, left)
				return
			}
			require.Equal(t, []string{"i-0"}, left)
		})
	}
}

// Guards against a request that is written to a target which asked for rest as it connected.
func TestRestThatBeginsWhileARequestConnects(t *testing.T) {
	s := standin.NewServer(t, whole("hello"))
	b := newBench(t, s)
	k := &admission.Ticket{Service: "svc", Fresh: time.Second}
	require.Equal(t, admission.Go, b.Admission.Arrive(time.Now(), k))
	b.Pool.Dialled = func() { b.Admission.Noticed(time.Now(), k, notice.Said{Rest: time.Minute}) }
	requireRefused(t, b.call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
	require.Empty(t, s.Seen())
}
