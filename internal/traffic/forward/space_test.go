package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	// spaceBytes is the space for bodies in these tests.
	spaceBytes = 32 << 20
	// otherBytes is what the process may hold beside, as buffers and what the stand-ins need.
	otherBytes = 16 << 20
)

// newSpaceTestbed returns a testbed whose forwarder has a bounded space.
func newSpaceTestbed(t *testing.T, servers ...*standin.Server) *testbed {
	b := newTestbed(t, servers...)
	b.Space = &space.Budget{Total: spaceBytes}
	b.configuration.Config.Limits.BodyBytes = 4 << 20
	return b
}

// liveBytes returns how many bytes of the heap were in use at a collection. What is allocated after that, by requests that
// go on meanwhile, may be garbage already and does not count.
func liveBytes() int64 {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtime.GC()
	metrics.Read(live)
	return int64(live[0].Value.Uint64())
}

// upload is a request whose body comes slowly.
type upload struct {
	conn net.Conn
	r    *bufio.Reader
}

// beginUpload sends a request of a size but for its last byte.
func (b *testbed) beginUpload(path string, size int) upload {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(b.url, "http://"))
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nWagtailshelf-Request-Id: id-1\r\nContent-Length: %d\r\n\r\n", path, host, size)
	_, err = io.WriteString(conn, head)
	require.NoError(b.t, err)
	rest := size - 1
	for chunk := make([]byte, 64<<10); rest > 0; rest -= len(chunk) {
		if _, err := conn.Write(chunk[:min(rest, len(chunk))]); err != nil {
			break // it was refused, and the rest isn't read
		}
	}
	return upload{conn: conn, r: bufio.NewReader(conn)}
}

// refused reports whether the upload is refused before its last byte is sent.
func (u upload) refused(t *testing.T) bool {
	require.NoError(t, u.conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	w, err := http.ReadResponse(u.r, nil)
	if err != nil {
		return false
	}
	a := answer{status: w.StatusCode, header: w.Header}
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.True(t, w.Close)
	return true
}

// Callers send many long bodies at once, each within its bound. Together they would exceed the memory
// of the process. Those for which there is no space must be refused before they are complete, and a
// small request must be served meanwhile.
func TestManyUploadsAtOnce(t *testing.T) {
	const count, size = 60, 4_000_000
	b := newSpaceTestbed(t, standin.NewServer(t, complete("hello")))
	for i := range b.configuration.Config.Routes {
		b.configuration.Config.Routes[i].Timeout = time.Minute // longer than the test waits for those that are read
	}
	before := liveBytes()
	var uploads [count]upload
	var sending sync.WaitGroup
	for i := range uploads {
		sending.Go(func() { uploads[i] = b.beginUpload("/unsafe/x", size) })
	}
	sending.Wait()
	require.Less(t, liveBytes()-before, int64(spaceBytes+otherBytes))
	requireServed(t, b.do(t.Context(), http.MethodPost, "/unsafe/x", "", "small"), "hello")
	refused := 0
	for _, u := range uploads {
		if u.refused(t) {
			refused++
		}
		_ = u.conn.Close() // whatever it has to say, nobody listens
	}
	require.NotZero(t, refused)
	require.Less(t, refused, count, "those for which there is space are read")
	require.Eventually(t, func() bool { return b.Space.Used() == 0 }, time.Minute, time.Millisecond)
	answered := 0
	for _, r := range b.ended() {
		if r.Outcome == Answered {
			answered++
			continue
		}
		require.Contains(t, []string{reasonNoSpace, "bodyNotRead"}, r.Reason)
	}
	require.Equal(t, 1, answered, "the small request")
}

// A caller is gone in the middle of a long body, and its connection stays open. It must not hold its
// space for long.
func TestStalledUploadGivesItsSpaceBack(t *testing.T) {
	b := newSpaceTestbed(t)
	b.Now = func() time.Time { return time.Now().Add(100*time.Millisecond - defaultPatience) }
	b.beginUpload("/unsafe/x", 1<<20)
	require.Eventually(t, func() bool { return len(b.ended()) > 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, b.Space.Used())
}

// A faulty server holds many answers, all of them long and none complete. Together they would exceed
// the memory of the process. Those for which there is no space must count as cut, and another
// server's long answer must be read meanwhile.
func TestManyLongAnswersAtOnce(t *testing.T) {
	const count, size, sound = 60, 4_000_000, 1_000_000
	ending := make(chan struct{})
	part := strings.Repeat("0", size/100)
	faulty := standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		w.StampedHeader()
		w.Header("Content-Length", strconv.Itoa(size))
		for range 99 {
			w.Raw(part)
		}
		<-ending
	})
	t.Cleanup(func() { close(ending) })
	b := newSpaceTestbed(t, faulty)
	b.patienceMS = 20_000
	b.configuration.Config.RouteFor(host, "/unsafe/x").Timeout = time.Minute
	b.Admission.RulesFor = func(string) admission.Limits {
		return admission.Limits{PerTarget: count, Queue: count, Entries: 1}
	}
	before := liveBytes()
	ctx, leave := context.WithCancel(t.Context())
	answers := make(chan answer, count)
	for range count {
		go func() { answers <- b.do(ctx, http.MethodPost, "/unsafe/x", "", "") }()
	}
	const held = spaceBytes / 2 / (size * 99 / 100) // answers for which there is space
	require.Eventually(t, func() bool { return len(b.ended()) >= count-held }, time.Minute, time.Millisecond)
	require.Less(t, liveBytes()-before, int64(spaceBytes+otherBytes))
	cut := 0
	for range count - held {
		a := <-answers
		require.NoError(t, a.err)
		if a.status == http.StatusBadGateway {
			cut++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, a.status, "while the target is avoided")
	}
	require.Positive(t, cut)
	b.targets.MarkLeaving("i-0", time.Time{})
	body := strings.Repeat("1", sound)
	b.targets.Put(roster.Target{ID: "i-9", Service: "svc", Slots: 4, Address: standin.NewServer(t, complete(body)).Address})
	requireServed(t, b.call(http.MethodPost, "/unsafe/x"), body)
	leave()
	require.Eventually(t, func() bool { return len(b.ended()) == count+1 }, time.Minute, time.Millisecond)
	require.Zero(t, b.Space.Used())
	for _, r := range b.ended()[:count-held] {
		require.True(t, r.Outcome == NotRun || r.Attempts[0].Result == reasonCut, "%+v", r)
	}
}

// Answers that end in any way give their space back: delivered, kept as a failure and then replaced
// or delivered, and cut.
func TestAnswersGiveTheirSpaceBack(t *testing.T) {
	long := strings.Repeat("0", 1<<20)
	failing := func(w standin.Reply, _ standin.Request) { w.Complete(http.StatusInternalServerError, long) }
	cut := func(w standin.Reply, _ standin.Request) { w.StampedHeader(); w.Raw(long); w.Abort() }
	type answers = func(standin.Reply, standin.Request)
	for name, servers := range map[string][2]answers{
		"delivered":         {complete(long), complete(long)},
		"failed twice":      {failing, failing},
		"failed, then cut":  {failing, cut},
		"cut twice":         {cut, cut},
		"failed, then well": {failing, complete(long)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSpaceTestbed(t, standin.NewServer(t, servers[0]), standin.NewServer(t, servers[1]))
			require.NoError(t, b.call(http.MethodGet, "/safe/x").err)
			b.firstEnded()
			require.Zero(t, b.Space.Used())
		})
	}
}

// A response exceeds a bound. The log must tell which, or an operator can't tell a faulty server from
// one whose connection failed.
func TestBoundIsRecorded(t *testing.T) {
	stamped := func(headers string) string { return standin.Wire("id-1", headers, "") }
	for name, c := range map[string]struct{ begin, bound, reason string }{
		"a head without end":           {"", "head", reasonBroken},
		"an impossible status":         {"HTTP/1.1 020 Odd\r\n\r\n", "malformed", reasonBroken},
		"a body without end":           {stamped(""), "space", reasonCut},
		"a stated length that is long": {stamped("Content-Length: 1000000000\r\n"), "length", reasonCut},
		"a foreign body without end":   {standin.Wire("another", "", ""), "length", reasonBroken},
		"garbled chunks":               {stamped("Transfer-Encoding: chunked\r\n"), "", reasonCut},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSpaceTestbed(t, standin.NewEndless(t, c.begin, "0"))
			b.Space.Total = 1 << 20
			a := b.call(http.MethodPost, "/unsafe/x")
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status)
			attempt := b.firstEnded().Attempts[0]
			require.Equal(t, c.bound, attempt.Bound)
			require.Equal(t, c.reason, attempt.Result)
		})
	}
}

// A caller whose upload is refused sends no more, and doesn't close its connection. The entry must
// close it, or such connections would be held on and on.
func TestConnectionOfARefusedUploadEnds(t *testing.T) {
	b := newSpaceTestbed(t)
	b.Space.Total = 0
	u := b.beginUpload("/unsafe/x", 200_000)
	require.True(t, u.refused(t))
	require.NoError(t, u.conn.SetReadDeadline(time.Now().Add(5*unreadBodyTime)))
	_, err := u.r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
