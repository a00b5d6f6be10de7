package forward

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// inTurn returns a server's behaviour that answers the first request as first, and all others, at
// whichever server, as others.
func inTurn(first, others func(standin.Reply, standin.Request)) func(standin.Reply, standin.Request) {
	n := new(atomic.Int32)
	return func(w standin.Reply, r standin.Request) {
		if n.Add(1) == 1 {
			first(w, r)
			return
		}
		others(w, r)
	}
}

// streamOf streams text as a complete response.
func streamOf(text string) func(standin.Reply, standin.Request) {
	return func(w standin.Reply, _ standin.Request) {
		w.StampedHeader()
		w.Raw(text)
	}
}

// cutAfter streams text and closes the connection.
func cutAfter(text string) func(standin.Reply, standin.Request) {
	return func(w standin.Reply, r standin.Request) {
		streamOf(text)(w, r)
		w.Abort()
	}
}

func eventsOf(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString("id: " + id + "\ndata: piece " + id + "\n\n")
	}
	return text.String()
}

// callStream requests a stream from two servers that answer alike.
func callStream(t *testing.T, path string, serve func(standin.Reply, standin.Request)) answer {
	return newTestbed(t, standin.NewServer(t, serve), standin.NewServer(t, serve)).call(http.MethodPost, path)
}

// requireBrokenOff checks that the caller received text, and can see that more was to come.
func requireBrokenOff(t *testing.T, a answer, text string) {
	t.Helper()
	require.Equal(t, text, a.body)
	require.Error(t, a.err, "the stream looks complete")
}

// Guards against a response that is no stream in the middle of a stream.
func TestResponseInsideAStream(t *testing.T) {
	for _, status := range []int{
		http.StatusAccepted, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusInternalServerError,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			requireBrokenOff(t, callStream(t, "/stream/x", inTurn(breaking, func(w standin.Reply, _ standin.Request) {
				w.Complete(status, "id: 3\ndata: no piece\n\n")
			})), firstTwo)
		})
	}
}

// Guards against event numbers that fall, repeat or skip where a run is resumed.
func TestResumedRunOutOfOrder(t *testing.T) {
	for name, resumed := range map[string]string{
		"begun again":  allFour,
		"last again":   eventsOf("2", "3", "4"),
		"skipped":      eventsOf("4"),
		"not a number": eventsOf("x"),
		"no number":    "data: piece 3\n\n",
		"overflow":     eventsOf("99999999999999999999"),
		"negative":     eventsOf("-3"),
	} {
		t.Run(name, func(t *testing.T) {
			requireBrokenOff(t, callStream(t, "/stream/x", inTurn(breaking, streamOf(resumed))), firstTwo)
		})
	}
	t.Run("an event without a number was sent", func(t *testing.T) {
		begun := firstTwo + "data: piece 3\n\n"
		requireBrokenOff(t, callStream(t, "/stream/x", inTurn(cutAfter(begun+"id: 4"), events)), begun)
	})
}

// Guards against event numbers that fall, repeat or skip within a run.
func TestRunOutOfOrder(t *testing.T) {
	for name, rest := range map[string]string{
		"twice": eventsOf("2", "3", "4"), "back": eventsOf("1", "2", "3", "4"), "skipped": eventsOf("4"),
	} {
		t.Run(name, func(t *testing.T) {
			requireServed(t, callStream(t, "/stream/x", inTurn(streamOf(firstTwo+rest), events)), allFour)
			requireBrokenOff(t, callStream(t, "/once/x", streamOf(firstTwo+rest)), firstTwo)
		})
	}
}

// Guards against a caller that resumes a stream and receives events that it has already, or not the next one.
func TestCallerThatResumesReceivesNothingTwice(t *testing.T) {
	for name, resumed := range map[string]string{"begun again": allFour, "skipped": eventsOf("5")} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, standin.NewServer(t, streamOf(resumed)))
			r := standin.NewCall(http.MethodPost, b.url+"/stream/x", "id-1", "", 1500, nil)
			r.Host = host
			r.Header.Set("Last-Event-Id", "3")
			w, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer w.Body.Close()
			require.Equal(t, http.StatusBadGateway, w.StatusCode)
		})
	}
}

// Guards against a service whose streams are all broken off as their numbers rise in other steps than one.
func TestSparseEventNumbers(t *testing.T) {
	begun, rest := eventsOf("3", "7"), eventsOf("9", "20")
	var cut atomic.Value
	cut.Store("")
	serve := func(w standin.Reply, r standin.Request) {
		switch {
		case r.LastEvent == "3":
			streamOf(eventsOf("7")+rest)(w, r)
		case r.LastEvent == "7":
			streamOf(rest)(w, r)
		case cut.Load() != "":
			cutAfter(cut.Swap("").(string))(w, r)
		default:
			streamOf(begun+rest)(w, r)
		}
	}
	b := newTestbed(t, standin.NewServer(t, serve), standin.NewServer(t, serve))
	const learning = 3 // streams, of two attempts each
	for range learning {
		b.call(http.MethodPost, "/stream/x")
	}
	for range 10 {
		requireServed(t, b.call(http.MethodPost, "/stream/x"), begun+rest)
	}
	cut.Store(begun + "id: 9\ndata")
	requireServed(t, b.call(http.MethodPost, "/stream/x"), begun+rest)
	time.Sleep(100 * time.Millisecond) // the target that was cut is avoided for a while
	cut.Store(eventsOf("3") + "id: 7\ndata")
	requireServed(t, b.call(http.MethodPost, "/stream/x"), begun+rest)
}

// Guards against streams with comments, which have no numbers, that are broken off.
func TestCommentsInAStream(t *testing.T) {
	const comment = ": alive\n\n"
	begun, rest := comment+firstTwo+comment, comment+eventsOf("3", "4")
	requireServed(t, callStream(t, "/stream/x", inTurn(cutAfter(begun+": al"), streamOf(rest))), begun+rest)
}

// Guards against a truncated stream that looks complete.
func TestStreamEndThatIsNotProven(t *testing.T) {
	t.Run("without an event and a length", func(t *testing.T) {
		empty := func(w standin.Reply, _ standin.Request) { w.Bytes(w.Wire("", "")) }
		requireServed(t, callStream(t, "/stream/x", inTurn(empty, events)), allFour)
		require.Equal(t, http.StatusBadGateway, callStream(t, "/once/x", empty).status)
	})
	t.Run("nothing follows an event that had begun", func(t *testing.T) {
		requireBrokenOff(t, callStream(t, "/stream/x", inTurn(breaking, streamOf(""))), firstTwo)
	})
	t.Run("nothing follows a complete event", func(t *testing.T) {
		requireServed(t, callStream(t, "/stream/x", inTurn(cutAfter(allFour), streamOf(""))), allFour)
	})
	t.Run("a line fills the buffer", func(t *testing.T) {
		for length := 4090; length <= 4110; length++ {
			line := "id: 3\ndata: " + strings.Repeat("x", length-len("id: 3\ndata: "))
			requireServed(t, callStream(t, "/stream/x", inTurn(cutAfter(firstTwo+line+"\n"), events)), allFour)
			first := strings.Replace(line, "id: 3", "id: 1", 1) + "\n\n"
			requireServed(t, callStream(t, "/stream/x", inTurn(streamOf(first), events)), first)
		}
	})
}

// Guards against a truncated stream that looks complete to a caller of HTTP/1.0, whose responses end
// with their connection.
func TestBrokenStreamToAnOldCaller(t *testing.T) {
	b := newTestbed(t, standin.NewServer(t, breaking))
	conn, err := net.Dial("tcp4", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /once/x HTTP/1.0\r\nHost: " + host + "\r\n\r\n"))
	require.NoError(t, err)
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer w.Body.Close()
	var a answer
	text, err := readAll(w)
	a.body, a.err = text, err
	requireBrokenOff(t, a, firstTwo)
}

func readAll(w *http.Response) (string, error) {
	var text strings.Builder
	_, err := bufio.NewReader(w.Body).WriteTo(&text)
	return text.String(), err
}
