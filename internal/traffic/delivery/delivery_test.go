package delivery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
)

func event(n int) upstream.Event {
	return upstream.Event{Bytes: fmt.Appendf(nil, "id: %d\ndata: x\n\n", n), ID: strconv.Itoa(n)}
}

func newDelivery(after string) (*Delivery, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	return New(w, after), w
}

var head = Head{Status: http.StatusOK, Header: http.Header{}}

// A run is cut within its third event. Another one goes on after the second.
func ExampleDelivery() {
	w := httptest.NewRecorder()
	d := New(w, "")
	_ = d.StartRun(head)
	_ = d.Event(head, event(1), false)
	_ = d.Event(head, event(2), false)
	d.Cut()
	_ = d.StartRun(head)
	fmt.Println(d.Event(head, event(1), false))
	fmt.Println(d.Respond(Head{Status: http.StatusNotFound}, nil))
	fmt.Println(d.Event(head, event(3), false), d.End(head), d.LastID())
	// Output:
	// the event is out of order
	// a response has begun
	// <nil> <nil> 3
}

// Guards against a sequence of runs after which a caller has an event twice, too early or too late.
func TestRunsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		after := rapid.IntRange(0, 3).Draw(t, "after")
		id := ""
		if after > 0 {
			id = strconv.Itoa(after)
		}
		d, _ := newDelivery(id)
		if rapid.Bool().Draw(t, "sparse") {
			d.SetNumbering(&Numbering{runs: maxRuns - 1, gaps: maxRuns - 1})
		}
		var sent []int
		for range rapid.IntRange(1, 4).Draw(t, "runs") {
			require.NoError(t, d.StartRun(head))
			for range rapid.IntRange(0, 5).Draw(t, "events") {
				n := rapid.IntRange(1, 8).Draw(t, "number")
				if d.Event(head, event(n), false) == nil {
					sent = append(sent, n)
				}
			}
		}
		last := after
		for _, n := range sent {
			require.Greater(t, n, last)
			if d.order.numbering == nil {
				require.Equal(t, last+1, n)
			}
			last = n
		}
		require.Equal(t, len(sent), d.Events())
		if len(sent) > 0 {
			require.Equal(t, strconv.Itoa(last), d.LastID())
		}
	})
}

// Guards against a stream that is resumed although nobody knows after which event.
func TestEventWithoutANumberIsNotResumedAfter(t *testing.T) {
	d, _ := newDelivery("")
	require.NoError(t, d.StartRun(head))
	require.True(t, d.Resumable())
	require.NoError(t, d.Event(head, event(1), false))
	require.NoError(t, d.Event(head, upstream.Event{Bytes: []byte("data: x\n\n")}, false))
	require.False(t, d.Resumable())
	require.NoError(t, d.Event(head, event(2), false))
	require.True(t, d.Resumable(), "the position is known again")
}

// Guards against an entry's own response, or another status, in the middle of a stream.
func TestNothingElseOnceAStreamHasBegun(t *testing.T) {
	d, w := newDelivery("")
	require.NoError(t, d.StartRun(head))
	require.NoError(t, d.Event(head, event(1), false))
	require.ErrorIs(t, d.Reply(http.StatusServiceUnavailable, "id-1"), ErrBegun)
	require.ErrorIs(t, d.Respond(Head{Status: http.StatusOK}, []byte("x")), ErrBegun)
	require.ErrorIs(t, d.StartRun(Head{Status: http.StatusAccepted}), ErrBegun)
	require.Equal(t, string(event(1).Bytes), w.Body.String())
	require.PanicsWithValue(t, http.ErrAbortHandler, d.Abort)
}

// Guards against a service whose numbers rise in other steps than one, and none of whose streams is passed on;
// and against a few servers that drop events and are taken for such a service.
func TestNumbering(t *testing.T) {
	var n Numbering
	sparse := 0
	for range 20 {
		if n.note(true) {
			sparse++
		}
	}
	require.GreaterOrEqual(t, sparse, 15)
	n = Numbering{}
	for i := range 1000 {
		require.False(t, n.note(i%10 == 0))
	}
	for range maxRuns {
		n.note(true)
	}
	require.True(t, n.note(true), "the service has changed its way")
}

// Guards against events without numbers that count as runs, and hide how a service numbers.
func TestRunCountsOnce(t *testing.T) {
	var n Numbering
	d, _ := newDelivery("")
	d.SetNumbering(&n)
	require.NoError(t, d.StartRun(head))
	require.NoError(t, d.Event(head, event(1), false))
	require.NoError(t, d.Event(head, event(2), false))
	for range 5 {
		require.NoError(t, d.Event(head, upstream.Event{Bytes: []byte("data: x\n\n")}, false))
	}
	require.NoError(t, d.Event(head, event(3), false))
	require.EqualValues(t, 1, n.runs)
}
