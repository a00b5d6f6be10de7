//go:build alone

package abuse

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Each test guards against a process that a faulty server ends, with bytes that come without end and are no answer.
// All that the process calls may be such a server: targets, model servers and the store.

// faultTime is how long a faulty server is called.
const faultTime = 6 * time.Second

// endlessForm is a response that begins with a text and goes on with repetitions of another one. The first is made for
// the ID of its request.
type endlessForm struct {
	begin func(id string) string
	rest  string
}

// chunk begins a chunk of 1 KiB.
const chunk = "400\r\n"

// text returns a beginning that is the same for each request.
func text(begin string) func(string) string { return func(string) string { return begin } }

// stamped returns the beginning of a response with the server's stamp, with further fields.
func stamped(fields string) func(string) string {
	return func(id string) string { return standin.Wire(id, fields, "") }
}

var endlessForms = []endlessForm{
	{text(""), "0"}, // a status line
	{text("HTTP/1.1 200 OK\r\nName: "), "0"},
	{text("HTTP/1.1 200 OK\r\n"), "a: b\r\n"},
	{text(""), "HTTP/1.1 100 Continue\r\n\r\n"},
	{stamped(""), "0"}, // a body that ends with its connection
	{stamped("Content-Length: 100000000000\r\n"), "0"},
	{stamped("Transfer-Encoding: chunked\r\n"), chunk + strings.Repeat("0", 1<<10) + "\r\n"},
	{stamped("Transfer-Encoding: chunked\r\n"), "0"},                                                        // a chunk's length
	{func(id string) string { return stamped("Transfer-Encoding: chunked\r\n")(id) + "0\r\n" }, "a: b\r\n"}, // trailers
	{stamped("Transfer-Encoding: chunked\r\n"), "1;" + chunk + "0\r\n"},                                     // chunks of a byte
	{text(standin.RefusalHead + "\r\n"), "0"},
	{func(id string) string { return strings.Replace(stamped("")(id), "200 OK", "500 Failed", 1) }, "0"},
	{func(string) string { return stamped("")("another") }, "0"},                                             // an answer to another request
	{stamped("Content-Type: text/event-stream\r\n"), "data: 0\n"},                                            // one event
	{stamped("Content-Type: text/event-stream\r\n"), "0"},                                                    // one line of it
	{stamped("Content-Type: text/event-stream\r\n"), ": comment\n\n"},                                        // events without effect
	{stamped("Content-Type: text/event-stream\r\n"), "id: 1\ndata: " + strings.Repeat("0", 32<<10) + "\n\n"}, // events out of order
	{text("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"), `{"a":[0,0,0],`},                     // a report
	{text(standin.StoreHead + "\r\n" + `{"items":[`), `{"metadata":null},`},                                  // a list
	{text(standin.StoreHead + "\r\n" + `{"items":[`), "["},
}

// newEndless starts a server each of whose connections gets the next form, until the other side closes it.
func newEndless(t *testing.T) (at netip.AddrPort, served *atomic.Int64) {
	t.Helper()
	served = new(atomic.Int64)
	at = rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) { serveEndless(c, r, served) })
	return at, served
}

func serveEndless(c net.Conn, requests *bufio.Reader, served *atomic.Int64) {
	defer c.Close()
	r, err := http.ReadRequest(requests)
	if err != nil {
		return // a check whether the server listens
	}
	form := endlessForms[int(served.Add(1))%len(endlessForms)]
	if _, err := c.Write([]byte(form.begin(standin.RequestID(r)))); err != nil {
		return
	}
	for rest := []byte(strings.Repeat(form.rest, 1+(64<<10)/len(form.rest))); ; {
		if _, err := c.Write(rest); err != nil {
			return
		}
	}
}

// callAgain has clients send requests to paths by turns until it is stopped.
func callAgain(t *testing.T, clients int, at netip.AddrPort, paths ...string) (stop func()) {
	t.Helper()
	end := make(chan struct{})
	done := make(chan struct{}, clients)
	for n := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for k := n; ; k++ {
				select {
				case <-end:
					return
				default:
				}
				r := standin.NewCall(http.MethodPost, "http://"+at.String()+paths[k%len(paths)], fmt.Sprintf("faulty-%d-%d", n, k), "caller", 2000, strings.NewReader("x"))
				r.Host = host
				if w, err := client.Do(r); err == nil {
					_ = w.Body.Close() // what it holds doesn't matter
				}
			}
		}()
	}
	return func() {
		close(end)
		for range clients {
			<-done
		}
	}
}

// requireThroughout checks a process again and again for faultTime.
func requireThroughout(t *testing.T, check func(t *testing.T)) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < faultTime; time.Sleep(100 * time.Millisecond) {
		check(t)
	}
}

// Guards against an entry that keeps what faulty targets send, and against callers of the service's sound targets, or of
// other services, that are not answered meanwhile.
func TestEntryTargetsWithoutEnd(t *testing.T) {
	store := standin.NewStore(t)
	var served []*atomic.Int64
	for n := range 6 {
		at, count := newEndless(t)
		store.PutServer(fmt.Sprint("faulty-", n), "faulty", at)
		store.PutServer(fmt.Sprint("mixed-", n), "mixed", at)
		served = append(served, count)
	}
	for n := range 3 {
		store.PutServer(fmt.Sprint("app-", n), "app", standin.NewServer(t, answerAtOnce).Address)
		store.PutServer(fmt.Sprint("sound-", n), "mixed", standin.NewServer(t, answerAtOnce).Address)
	}
	d := startEntry(t, store, []standin.Route{
		{Name: "app", Kind: "unsafe", Service: "app"},
		{Name: "mixed", Kind: "safe", Service: "mixed"},
		{Name: "safe", Kind: "safe", Service: "faulty"},
		{Name: "unsafe", Kind: "unsafe", Service: "faulty"},
		{Name: "stream", Kind: "streaming", Service: "faulty"},
		{Name: "resumed", Kind: "streaming", Service: "faulty", Resumable: true},
	})
	stop := callAgain(t, 60, d.callers, "/safe/x", "/unsafe/x", "/stream/x", "/resumed/x", "/mixed/x")
	requireThroughout(t, func(t *testing.T) {
		d.requireServes(t)
		requireAnswered(t, "POST", d.callers, "/mixed/ordinary", "small")
	})
	stop()
	d.requireServes(t)
	var total int64
	for _, n := range served {
		total += n.Load()
	}
	require.Greater(t, total, int64(2*len(endlessForms)), "each form was sent")
}

// Guards against an entry that keeps what a faulty store sends.
func TestEntryStoreWithoutEnd(t *testing.T) {
	at, served := newEndless(t)
	d := &deployment{callers: program.FreeAddress(t), readiness: program.FreeAddress(t), metrics: program.FreeAddress(t), peers: program.FreeAddress(t)}
	d.process = startDeployedAt(t, entryBounds, at, entrySettings(d))
	requireThroughout(t, func(t *testing.T) {
		d.requireMetrics(t)
		d.requireBounds(t)
	})
	require.Greater(t, served.Load(), int64(len(endlessForms)/2))
}

// Guards against a sidecar that keeps what its model server sends. One calls it about once a second, so several are
// needed until each form was sent.
func TestSidecarModelServerWithoutEnd(t *testing.T) {
	engine, served := newEndless(t)
	requireSidecarsEndure(t, 4, standin.NewStore(t).Address, engine)
	require.GreaterOrEqual(t, served.Load(), int64(len(endlessForms)))
}

// Guards against a sidecar that keeps what the store sends, which it calls to lead its group.
func TestSidecarStoreWithoutEnd(t *testing.T) {
	store, served := newEndless(t)
	ranks := []netip.AddrPort{program.FreeAddress(t), program.FreeAddress(t)}
	g, err := standin.NewGroup("g", ranks, standin.Shape{Layers: 2, Experts: 12, ExpertSlots: 12}, 15*time.Millisecond, standin.NewLedger())
	require.NoError(t, err)
	t.Cleanup(g.Close)
	requireSidecarsEndure(t, 1, store, ranks[0])
	require.Positive(t, served.Load())
}

// requireSidecarsEndure checks some sidecars that call a store and a model server.
func requireSidecarsEndure(t *testing.T, count int, store, engine netip.AddrPort) {
	t.Helper()
	var sidecars []*deployment
	for range count {
		d := &deployment{metrics: program.FreeAddress(t), peers: program.FreeAddress(t)}
		d.process = startDeployedAt(t, sidecarBounds, store, fmt.Sprintf(
			"role: sidecar\nlisten:\n  metrics: %s\n  peers: %s\ntarget:\n  address: %s\n  service: gen\n", d.metrics, d.peers, engine))
		sidecars = append(sidecars, d)
	}
	requireThroughout(t, func(t *testing.T) {
		for _, d := range sidecars {
			d.requireMetrics(t)
			d.requireBounds(t)
		}
	})
}

// Guards against processes of the project's own interface that keep what a faulty target sends.
func TestOwnTargetWithoutEnd(t *testing.T) {
	engine, served := newEndless(t)
	w := startTour(t, engine)
	stop := callAgain(t, 60, w.callers, "/drafts/opener")
	requireThroughout(t, func(t *testing.T) {
		requireAnswered(t, "GET", w.sidecarAdministration, "/metrics", "")
		requireAnswered(t, "GET", w.administration, "/metrics", "")
		w.entry.requireBounds(t)
		w.sidecar.requireBounds(t)
	})
	stop()
	require.Greater(t, served.Load(), int64(len(endlessForms)))
}
