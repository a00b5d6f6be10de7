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

// Guards against a back-off that is ignored, and against one that is caused by another server's
// response or by a limit of the caller's workspace.
func TestAnswersThatAskForBackOff(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		answer    func(standin.Reply)
		inBackOff bool
	}{
		"refusal":                   {"/safe/x", func(w standin.Reply) { w.NotRun() }, true},
		"503 that may have run":     {"/unsafe/x", func(w standin.Reply) { w.Complete(http.StatusServiceUnavailable, "") }, true},
		"503 without a proof":       {"/unsafe/x", func(w standin.Reply) { w.Unstamped(); w.Status(http.StatusServiceUnavailable) }, true},
		"unidentified server":       {"/unsafe/x", func(w standin.Reply) { w.Status(http.StatusServiceUnavailable) }, false},
		"another server":            {"/safe/x", func(w standin.Reply) { w.Misdirected() }, false},
		"too many of a workspace":   {"/unsafe/x", func(w standin.Reply) { w.Complete(http.StatusTooManyRequests, "") }, false},
		"failure":                   {"/unsafe/x", func(w standin.Reply) { w.Complete(http.StatusInternalServerError, "") }, false},
		"success":                   {"/safe/x", func(w standin.Reply) { w.Complete(http.StatusOK, "hello") }, false},
		"refusal of a stream":       {"/stream/x", func(w standin.Reply) { w.NotRun() }, true},
		"refusal in a broken group": {"/safe/x", func(w standin.Reply) { w.Header("At-Server", "i-9"); w.NotRun() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Retry-After", "60")
				c.answer(w)
			}))
			b.call(http.MethodPost, c.path)
			k := &admission.Ticket{Service: "svc", OnTimeWithin: time.Second}
			v := b.Admission.Arrive(time.Now().Add(time.Second), k)
			require.Equal(t, c.inBackOff, v == admission.InBackOff, "%v", v)
		})
	}
}

// Guards against queuing a request whose targets are all in back-off, and against a late refusal.
func TestRefusedAtOnceWhereAllTargetsBackOff(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
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
	require.Zero(t, rec.Queued, "the request was not queued")
	require.Empty(t, rec.Attempts)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.4, "the back-off does not end earlier")
}

// Guards against ignoring the announcement of a shutdown in some kind of response.
func TestAnswersThatAnnounceLeaving(t *testing.T) {
	for name, c := range kindsOfAnswer {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
				w.Header("Server-Leaving", "1")
				c.answer(w)
			}))
			var left []string
			b.Admission.OnNoticeChange = func(n admission.NoticeView) { left = append(left, n.Target.ID) }
			b.call(http.MethodPost, c.path)
			if !c.own {
				require.Empty(t, left)
				return
			}
			require.Equal(t, []string{"i-0"}, left)
		})
	}
}

// Guards against writing a request to a target that asked for back-off while the request was
// connecting.
func TestBackOffThatBeginsWhileARequestConnects(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	k := &admission.Ticket{Service: "svc", OnTimeWithin: time.Second}
	require.Equal(t, admission.Admitted, b.Admission.Arrive(time.Now(), k))
	b.Pool.OnDial = func() { b.Admission.ApplyNotice(time.Now(), k, notice.Notice{BackOff: time.Minute}) }
	requireRefused(t, b.call(http.MethodPost, "/unsafe/x"), http.StatusServiceUnavailable)
	require.Empty(t, s.Seen())
}
