package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// crashTwoTargets records two crashes of targets during a request that a test will send.
func (b *testbed) crashTwoTargets(method, path, body string) quarantine.Fingerprint {
	f := quarantine.Request{Host: host, Method: method, URI: path, Body: []byte(body)}.Fingerprint()
	for n, target := range []string{"i-8", "i-9"} {
		now := time.Now().Add(time.Duration(n-1) * time.Second)
		b.Quarantine.Crashed(now, quarantine.Incarnation{Target: target}, []quarantine.Run{{Request: f, Sent: now, Failed: now}})
	}
	return f
}

// firstEnded waits for the first record: the caller may have the response before that.
func (b *testbed) firstEnded() Record {
	require.Eventually(b.t, func() bool { return len(b.ended()) > 0 }, time.Minute, time.Millisecond)
	return b.ended()[0]
}

// Two targets crashed while they ran a request. When its caller sends it again it is refused at
// once, before it is queued, as not run and with the time until the next probe. Other requests
// for the same path are served.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			s := standin.NewServer(t, complete(allFour))
			b := newTestbed(t, s)
			b.crashTwoTargets(http.MethodPost, path, "fatal")
			a := b.do(t.Context(), http.MethodPost, path, "", "fatal")
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 60, after, 5)
			require.Empty(t, s.Seen())
			r := b.firstEnded()
			require.Equal(t, "crashesTargets", r.Reason)
			require.Equal(t, NotRun, r.Outcome)
			require.Equal(t, 2, r.Crashes)
			require.False(t, r.Fingerprint.IsZero())
			a = b.do(t.Context(), http.MethodPost, path, "", "harmless")
			require.Equal(t, http.StatusOK, a.status)
		})
	}
}

// The service has no target at the moment. A caller that retried as soon as there is one would be
// refused again, so it receives the remaining time of the quarantine at once.
func TestQuarantinedRequestWithoutTargets(t *testing.T) {
	b := newTestbed(t)
	b.crashTwoTargets(http.MethodPost, "/safe/x", "fatal")
	a := b.do(t.Context(), http.MethodPost, "/safe/x", "", "fatal")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "crashesTargets", b.firstEnded().Reason)
}

// A target crashes in the middle of a stream, which another target resumes after the last event.
// The request has the same fingerprint there, and two crashes if that target crashes too.
func TestResumedStreamIsTheSameRequest(t *testing.T) {
	breaks := func(w standin.Reply, r standin.Request) { w.StampedHeader(); w.Event(len(r.LastEvent) + 1); w.Abort() }
	one, two := standin.NewServer(t, breaks), standin.NewServer(t, breaks)
	b := newTestbed(t, one, two)
	failures := make(chan ConnectionFailure, 2)
	b.OnConnectionFailure = func(v ConnectionFailure) {
		failures <- v
		close(v.Examined)
	}
	require.Error(t, b.call(http.MethodGet, "/stream/x").err)
	require.Equal(t, (<-failures).Request, (<-failures).Request)
	require.Equal(t, 1, len(one.Seen()[0].LastEvent)+len(two.Seen()[0].LastEvent), "one of them resumed it")
}

// A request waits for a target while copies of it, which other entries sent, crash two targets. It
// is not sent when a target is free, and its caller receives "not run".
func TestQuarantinedAfterWaiting(t *testing.T) {
	s := standin.NewServer(t, complete("hello"))
	b := newTestbed(t, s)
	var body atomic.Value
	body.Store("")
	targets := b.Admission.Targets
	b.Admission.Targets = func(service string) []roster.Target {
		if fatal := body.Swap("").(string); fatal != "" {
			b.crashTwoTargets(http.MethodPost, "/safe/x", fatal) // after the first check of the quarantine
		}
		return targets(service)
	}
	for _, fatal := range []string{"fatal 1", "fatal 2", "fatal 3", "fatal 4"} {
		body.Store(fatal)
		a := b.do(t.Context(), http.MethodPost, "/safe/x", "", fatal)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
	}
	require.Empty(t, s.Seen())
	// The target has four request slots, which are free again.
	requireServed(t, b.do(t.Context(), http.MethodPost, "/safe/x", "", "harmless"), "hello")
}

// A request is queued because all targets are busy, and copies of it crash two targets. It is then
// refused, as waiting is useless. Another queued request keeps waiting.
func TestQuarantinedWhileWaiting(t *testing.T) {
	busy := make(chan struct{})
	s := standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		if r.Body == "long" {
			<-busy
		}
		w.Complete(http.StatusOK, "hello")
	})
	b := newTestbed(t, s)
	b.patienceMS = 60_000
	b.configuration.Config.RouteFor(host, "/safe/x").Timeout = time.Minute
	answers := make(chan answer, 6)
	send := func(body string) {
		go func() { answers <- b.do(t.Context(), http.MethodPost, "/safe/x", "", body) }()
	}
	for range 4 {
		send("long")
	}
	require.Eventually(t, func() bool { return len(s.Seen()) == 4 }, time.Minute, time.Millisecond)
	send("fatal")
	require.Eventually(t, func() bool { return b.Admission.Waiting("svc") == 1 }, time.Minute, time.Millisecond)
	send("other")
	require.Eventually(t, func() bool { return b.Admission.Waiting("svc") == 2 }, time.Minute, time.Millisecond)
	b.crashTwoTargets(http.MethodPost, "/safe/x", "fatal")
	require.Equal(t, http.StatusServiceUnavailable, (<-answers).status)
	require.Equal(t, 1, b.Admission.Waiting("svc"))
	close(busy)
	for range 5 {
		requireServed(t, <-answers, "hello")
	}
	for _, r := range s.Seen() {
		require.NotEqual(t, "fatal", r.Body)
	}
}

// A stream has begun when its target crashes, and a copy of the request crashed another target
// before. The stream is truncated and not sent to a third target: a caller that has received a
// part must not receive "not run".
func TestBegunStreamIsNotSentOn(t *testing.T) {
	second := standin.NewServer(t, complete("hello"))
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.StampedHeader(); w.Event(1); w.Abort() })
	b := newTestbed(t, first)
	b.OnConnectionFailure = func(f ConnectionFailure) {
		defer close(f.Examined)
		b.targets.Put(roster.Target{ID: "i-5", Service: "svc", Address: second.Address, Slots: 4})
		b.crashTwoTargets(http.MethodGet, "/stream/x", "")
	}
	a := b.call(http.MethodGet, "/stream/x")
	require.Error(t, a.err, "the stream is truncated")
	require.Empty(t, second.Seen())
	require.Equal(t, Broken, b.firstEnded().Outcome)
}

// A quarantine is over and the probe is successful, so the request is no longer suspected. A
// harmless request that ran during two crashes by chance is served a minute later.
func TestSuccessfulProbeEndsQuarantine(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, complete("hello")))
	b.crashTwoTargets(http.MethodPost, "/safe/x", "fatal")
	later := time.Now().Add(61 * time.Second)
	b.Now = func() time.Time { return later }
	requireServed(t, b.do(t.Context(), http.MethodPost, "/safe/x", "", "fatal"), "hello")
	require.True(t, b.Quarantine.Empty())
}

// requireServedPrompt sends a request whose prompt has some parts, and requires that it is served.
func (b *testbed) requireServedPrompt(path, parts string) {
	b.t.Helper()
	r := standin.NewCall(http.MethodPost, b.url+path, "id-1", "", b.patienceMS, nil)
	r.Host = host
	r.Header.Set("Wagtailshelf-Prompt-Prefix", parts)
	w, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	require.NoError(b.t, w.Body.Close())
	require.Equal(b.t, http.StatusOK, w.StatusCode)
}

// Guards against a crash that is taken for the end of a response which has no length: the part that caused
// it would count as harmless.
func TestResponseWithoutLengthProvesNothing(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	for name, unframed := range map[string]bool{"length": false, "no length": true} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
				if unframed {
					w.Bytes(w.Wire("", event))
					return
				}
				w.Complete(http.StatusOK, event)
			})
			b := newTestbed(t, s)
			b.requireServedPrompt("/stream/x", "5c1e:40,9:600")
			b.firstEnded()
			require.Equal(t, !unframed, b.Quarantine.Harmless(time.Now(), quarantine.PartFingerprint("svc", "5c1e")))
		})
	}
}

// Guards against callers that wait for the examination of a target although no part of their prompts can have
// crashed it.
func TestRequestWithHarmlessPartsIsSentOnAtOnce(t *testing.T) {
	breaks := standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Abort() })
	b := newTestbed(t, breaks)
	b.patienceMS = 60_000
	b.Quarantine.Answered(time.Now(), quarantine.PartFingerprint("svc", "5c1e"))
	serves := standin.NewServer(t, complete("hello"))
	b.OnConnectionFailure = func(ConnectionFailure) { // whose examination never ends
		b.targets.Put(roster.Target{ID: "i-5", Service: "svc", Address: serves.Address, Slots: 4})
	}
	b.requireServedPrompt("/safe/x", "5c1e:40,9:600")
}
