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

// events streams pieces from the one after the last that the sender has.
func events(w standin.Reply, r standin.Request) {
	w.Head()
	first := 1
	if r.LastEvent != "" {
		first = int(r.LastEvent[0]-'0') + 1
	}
	for id := first; id <= 4; id++ {
		w.Event(id)
	}
}

// breaking streams two pieces and breaks off in the middle of the third.
func breaking(w standin.Reply, _ standin.Request) {
	w.Head()
	w.Event(1)
	w.Event(2)
	w.Raw("id: 3\ndata: pie")
	w.Cut()
}

func TestStream(t *testing.T) {
	requireServed(t, newBench(t, standin.NewServer(t, events)).call(http.MethodPost, "/stream/x"), allFour)
}

// A server breaks off in the middle of a piece. The caller has two whole pieces; the
// stream goes on after them at another server, and no piece is missing or comes twice.
func TestStreamGoesOnElsewhere(t *testing.T) {
	first, second := standin.NewServer(t, breaking), standin.NewServer(t, events)
	b := newBench(t, first, second)
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

// Both servers break off. What the caller got must not look whole.
func TestStreamBreaksTwice(t *testing.T) {
	a := newBench(t, standin.NewServer(t, breaking), standin.NewServer(t, func(w standin.Reply, _ standin.Request) { w.Cut() })).
		call(http.MethodPost, "/stream/x")
	require.Error(t, a.err)
	require.Equal(t, firstTwo, a.body)
}

// The stream may not be resumed: a second run would be another answer.
func TestStreamThatRunsOnce(t *testing.T) {
	first, second := standin.NewServer(t, breaking), standin.NewServer(t, breaking)
	a := newBench(t, first, second).call(http.MethodPost, "/once/x")
	require.Error(t, a.err)
	require.Equal(t, firstTwo, a.body)
	require.Equal(t, 1, len(first.Seen())+len(second.Seen()))
}

// The server refuses before the first piece. Nothing has gone out, so another server
// takes the request with a head of its own.
func TestStreamRefusedFirst(t *testing.T) {
	first, second := standin.NewServer(t, refusing), standin.NewServer(t, events)
	b := newBench(t, first, second)
	for range 4 {
		requireServed(t, b.call(http.MethodPost, "/once/x"), allFour)
	}
}

// The caller resumes by itself, at another entry.
func TestCallerResumes(t *testing.T) {
	s := standin.NewServer(t, events)
	b := newBench(t, s)
	r := standin.Call(http.MethodPost, b.url+"/stream/x", "id-1", "", 1500, nil)
	r.Host = host
	r.Header.Set("Last-Event-Id", "3")
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	require.Equal(t, "3", s.Seen()[0].LastEvent)
}

// stalling streams two pieces and then stands still, as its host does.
func stalling(w standin.Reply, r standin.Request) {
	w.Head()
	w.Event(1)
	w.Event(2)
	<-r.Done
}

// The host of a target stands still in the middle of a stream, and the planner tells so
// once the caller has two events. It would see no further one for seconds and leave; the
// stream goes on elsewhere, after the last that it got.
func TestStreamLeavesALostHost(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newBench(t, first, second)
	b.tell(admission.Told{Grant: 4}, admission.Told{})
	w := b.begin()
	defer w.Body.Close()
	b.tell(admission.Told{Lost: true}, admission.Told{Grant: 4})
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "it goes on, and does not begin anew")
}

// Guards against a caller who leaves as its stream, cut off a lost host, waits behind a newer request.
func TestStreamOfALostHostGoesFirst(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newBench(t, first, second)
	b.patienceMS = 60_000
	full := admission.Told{Load: 4}
	b.tell(admission.Told{Grant: 1}, full)
	w := b.begin()
	defer w.Body.Close()
	newer := make(chan answer, 1)
	go func() { newer <- b.call(http.MethodPost, "/stream/newer") }()
	waiting := func(n int) func() bool { return func() bool { return b.Admission.Waiting("svc") == n } }
	require.Eventually(t, waiting(1), 20*time.Second, time.Millisecond)
	b.tell(admission.Told{Lost: true}, full)
	require.Eventually(t, waiting(2), 20*time.Second, time.Millisecond)
	b.tell(admission.Told{Lost: true}, admission.Told{Load: 3, Grant: 1})
	_, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "the stream goes on before the newer request begins")
	b.tell(admission.Told{Lost: true}, admission.Told{Load: 3, Grant: 1})
	requireServed(t, <-newer, allFour)
}

// A rank has turned slow, and the whole group waits for it in each pass. Its streams go on
// elsewhere after the last event that their callers got, and the group is quick again.
func TestStreamLeavesASlowTarget(t *testing.T) {
	first, second := standin.NewServer(t, stalling), standin.NewServer(t, events)
	b := newBench(t, first, second)
	b.Budget.Limits = func() Limits { return Limits{Window: 10 * time.Second, Fixed: 1} } // to leave is one repeat
	b.tell(admission.Told{Grant: 4}, admission.Told{})
	w := b.begin()
	defer w.Body.Close()
	b.tell(admission.Told{Slow: true}, admission.Told{Grant: 4})
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Equal(t, "2", second.Seen()[0].LastEvent, "it goes on, and does not begin anew")
	require.Eventually(t, func() bool { return len(b.ended()) == 1 }, 20*time.Second, time.Millisecond)
	require.Equal(t, whySlow, b.ended()[0].Attempts[0].Result, "the log says why")
}

// ended are the requests that have ended.
func (b *bench) ended() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.records...)
}

// The allowance of repeats is used up. A stream that left its slow target could not be
// sent on, and its caller would see it break off; it stays, and ends late.
func TestStreamStaysWithoutAnAllowance(t *testing.T) {
	ending := make(chan struct{})
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.Head()
		w.Event(1)
		w.Event(2)
		<-ending
		w.Event(3)
		w.Event(4)
	})
	second := standin.NewServer(t, events)
	b := newBench(t, first, second)
	b.Budget.Limits = func() Limits { return Limits{Window: 10 * time.Second} }
	b.tell(admission.Told{Grant: 4}, admission.Told{})
	w := b.begin()
	defer w.Body.Close()
	b.tell(admission.Told{Slow: true}, admission.Told{Grant: 4})
	close(ending)
	rest, err := io.ReadAll(w.Body)
	requireServed(t, answer{status: w.StatusCode, header: w.Header, body: firstTwo + string(rest), err: err}, allFour)
	require.Empty(t, second.Seen())
}

// begin calls for a stream and returns once the caller has two events.
func (b *bench) begin() *http.Response {
	b.t.Helper()
	r := standin.Call(http.MethodPost, b.url+"/stream/x", "id-1", "", 1500, nil).WithContext(b.t.Context())
	r.Host = host
	w, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	begun := make([]byte, len(firstTwo))
	_, err = io.ReadFull(w.Body, begun)
	require.NoError(b.t, err)
	require.Equal(b.t, firstTwo, string(begun))
	return w
}

// A request that may run once only waits for its target: it may have run there.
func TestUnsafeStaysAtALostHost(t *testing.T) {
	first := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		time.Sleep(50 * time.Millisecond)
		w.Whole(http.StatusOK, "hello")
	})
	second := standin.NewServer(t, whole("other"))
	b := newBench(t, first, second)
	b.tell(admission.Told{Grant: 4}, admission.Told{})
	time.AfterFunc(10*time.Millisecond, func() { b.tell(admission.Told{Lost: true}, admission.Told{Grant: 4}) })
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	require.Empty(t, second.Seen())
}

// tell tells of the two targets.
func (b *bench) tell(first, second admission.Told) {
	b.Admission.Told(time.Now(), admission.Look{
		Group: roster.Group{Service: "svc", Name: "g"}, Open: true,
		Targets: map[string]admission.Told{"i-0": first, "i-1": second},
	})
}
