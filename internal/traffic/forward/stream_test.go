package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	firstTwo = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	allFour  = firstTwo + "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
)

// events streams the events after the last one that the caller has.
func events(w standin.Reply, r standin.Request) {
	w.StampedHeader()
	first := 1
	if r.LastEvent != "" {
		first = int(r.LastEvent[0]-'0') + 1
	}
	for id := first; id <= 4; id++ {
		w.Event(id)
	}
}

// breaking streams two events, and closes the connection in the middle of the third.
func breaking(w standin.Reply, _ standin.Request) {
	w.StampedHeader()
	w.Event(1)
	w.Event(2)
	w.Raw("id: 3\ndata: pie")
	w.Abort()
}

func TestStream(t *testing.T) {
	requireServed(t, newTestbed(t, standin.NewServer(t, events)).call(http.MethodPost, "/stream/x"), allFour)
}

// A server's stream is truncated in the middle of an event. The caller has two complete events;
// another server resumes the stream after them, and no event is missing or repeated.
func TestStreamGoesOnElsewhere(t *testing.T) {
	first, second := standin.NewServer(t, breaking), standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	for range 4 {
		requireServed(t, b.call(http.MethodPost, "/stream/x"), allFour)
	}
	resumed := 0
	for _, r := range second.Seen() {
		if r.LastEvent == "2" {
			resumed++
		}
	}
	require.Equal(t, len(first.Seen()), resumed)
}

// The streams of both servers are truncated. What the caller receives must not look complete.
func TestStreamBreaksTwice(t *testing.T) {
	a := newTestbed(t, standin.NewServer(t, breaking), standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Abort() })).
		call(http.MethodPost, "/stream/x")
	require.Error(t, a.err)
	require.Equal(t, firstTwo, a.body)
}

// The stream may not be resumed: a second run would give a different response.
func TestStreamThatRunsOnce(t *testing.T) {
	first, second := standin.NewServer(t, breaking), standin.NewServer(t, breaking)
	a := newTestbed(t, first, second).call(http.MethodPost, "/once/x")
	require.Error(t, a.err)
	require.Equal(t, firstTwo, a.body)
	require.Equal(t, 1, len(first.Seen())+len(second.Seen()))
}

// The server refuses before the first event. Nothing has been sent to the caller, so another
// server serves the request with a response header of its own.
func TestStreamRefusedFirst(t *testing.T) {
	first, second := standin.NewServer(t, refusing), standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	for range 4 {
		requireServed(t, b.call(http.MethodPost, "/once/x"), allFour)
	}
}

// The caller resumes the stream with its own Last-Event-Id, at another entry.
func TestCallerResumes(t *testing.T) {
	s := standin.NewServer(t, events)
	b := newTestbed(t, s)
	r := standin.NewCall(http.MethodPost, b.url+"/stream/x", "id-1", "", 1500, nil)
	r.Host = host
	r.Header.Set("Last-Event-Id", "3")
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	require.Equal(t, "3", s.Seen()[0].LastEvent)
}

// stalling streams two events and then nothing more, as on a frozen host.
func stalling(w standin.Reply, r standin.Request) {
	w.StampedHeader()
	w.Event(1)
	w.Event(2)
	<-r.Done
}

// The host of a target freezes in the middle of a stream, and the planner reports it lost once the
// caller has two events. The caller would receive no further event for seconds and disconnect, so
// another target resumes the stream after the last event.
func TestStreamLeavesALostHost(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	b.report(admission.TargetReport{Grant: 4}, admission.TargetReport{})
	w := b.beginStream()
	defer w.Body.Close()
	b.report(admission.TargetReport{Lost: true}, admission.TargetReport{Grant: 4})
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "the stream is resumed, not begun again")
}

// Guards against a stream that has left a lost host and is queued behind a newer request until its
// caller disconnects.
func TestStreamOfALostHostGoesFirst(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	b.patienceMS = 60_000
	full := admission.TargetReport{Load: 4}
	b.report(admission.TargetReport{Grant: 1}, full)
	w := b.beginStream()
	defer w.Body.Close()
	newer := make(chan answer, 1)
	go func() { newer <- b.call(http.MethodPost, "/stream/newer") }()
	waiting := func(n int) func() bool { return func() bool { return b.Admission.Waiting("svc") == n } }
	require.Eventually(t, waiting(1), 20*time.Second, time.Millisecond)
	b.report(admission.TargetReport{Lost: true}, full)
	require.Eventually(t, waiting(2), 20*time.Second, time.Millisecond)
	b.report(admission.TargetReport{Lost: true}, admission.TargetReport{Load: 3, Grant: 1})
	_, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "the stream is resumed before the newer request begins")
	b.report(admission.TargetReport{Lost: true}, admission.TargetReport{Load: 3, Grant: 1})
	requireServed(t, <-newer, allFour)
}

// A rank has become slow, and the whole group waits for it in each step. Other targets resume its
// streams after the last events that their callers received, so that the group is fast again.
func TestStreamLeavesASlowTarget(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	b.Budget.Limits = func() Limits { return Limits{Window: 10 * time.Second, Fixed: 1} } // leaving the slow target is one repeat
	b.report(admission.TargetReport{Grant: 4}, admission.TargetReport{})
	w := b.beginStream()
	defer w.Body.Close()
	b.report(admission.TargetReport{Slow: true}, admission.TargetReport{Grant: 4})
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "the stream is resumed, not begun again")
	require.Eventually(t, func() bool { return len(b.ended()) == 1 }, 20*time.Second, time.Millisecond)
	require.Equal(t, reasonSlow, b.ended()[0].Attempts[0].Result, "the log shows the reason")
}

// ended returns the records of the requests that have ended.
func (b *testbed) ended() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.records...)
}

// The retry budget is used up. A stream that left its slow target could not be sent to another
// one, and its caller would receive a truncated stream; so it stays, and ends late.
func TestStreamStaysWithoutRetryBudget(t *testing.T) {
	ending := make(chan struct{})
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.StampedHeader()
		w.Event(1)
		w.Event(2)
		<-ending
		w.Event(3)
		w.Event(4)
	})
	second := standin.NewServer(t, events)
	b := newTestbed(t, first, second)
	b.Budget.Limits = func() Limits { return Limits{Window: 10 * time.Second} }
	b.report(admission.TargetReport{Grant: 4}, admission.TargetReport{})
	w := b.beginStream()
	defer w.Body.Close()
	b.report(admission.TargetReport{Slow: true}, admission.TargetReport{Grant: 4})
	close(ending)
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Empty(t, second.Seen())
}

// beginStream requests a stream and returns once the caller has two events.
func (b *testbed) beginStream() *http.Response {
	b.t.Helper()
	r := standin.NewCall(http.MethodPost, b.url+"/stream/x", "id-1", "", 1500, nil).WithContext(b.t.Context())
	r.Host = host
	w, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	begun := make([]byte, len(firstTwo))
	_, err = io.ReadFull(w.Body, begun)
	require.NoError(b.t, err)
	require.Equal(b.t, firstTwo, string(begun))
	return w
}

// A request that may run only once keeps waiting for its target, because it may have run there.
func TestUnsafeStaysAtALostHost(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		time.Sleep(50 * time.Millisecond)
		w.Complete(http.StatusOK, "hello")
	})
	second := standin.NewServer(t, complete("other"))
	b := newTestbed(t, first, second)
	b.report(admission.TargetReport{Grant: 4}, admission.TargetReport{})
	time.AfterFunc(10*time.Millisecond, func() { b.report(admission.TargetReport{Lost: true}, admission.TargetReport{Grant: 4}) })
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	require.Empty(t, second.Seen())
}

// report passes a planner update about the two targets to admission.
func (b *testbed) report(first, second admission.TargetReport) {
	b.Admission.ApplyUpdate(time.Now(), admission.GroupUpdate{
		Group: roster.Group{Service: "svc", Name: "g"}, Open: true,
		Targets: map[string]admission.TargetReport{"i-0": first, "i-1": second},
	})
}
