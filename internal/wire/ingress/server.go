// Package ingress accepts connections of clients that nobody controls, and bounds what a process holds for them.
//
// A request is held in memory before any handler sees it: its header as a map, whose many short fields take up twenty
// times their own bytes, and the buffers of its connection. A server of the standard library bounds one request, and
// neither their number nor their sum. Here a listener has room for a number of connections, and for a number of bytes
// of headers and of beginnings of bodies. If it is full, the connection whose client has stalled for the longest time
// is closed; one whose request is being served never is. If none has stalled, the newest is refused. So a crowd that
// stands still gives way to clients that go on, and each listener of a process has room of its own.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
)

// ErrRefused reports that a request was refused while its head was read.
var ErrRefused = merry.New("the request was refused")

// Cause is why a connection or a request was not kept.
type Cause string

// The causes.
const (
	Yielded     Cause = "yielded"     // it was closed to make room for others
	NoRoom      Cause = "noRoom"      // there was no room for a request
	Full        Cause = "full"        // there was no room for a connection
	HeadTooLong Cause = "headTooLong" // the head was longer than it may be
	Ahead       Cause = "ahead"       // too many requests were sent ahead
)

// Causes are all causes.
var Causes = []Cause{Yielded, NoRoom, Full, HeadTooLong, Ahead}

// Limits bound what is held for the clients of a listener.
type Limits struct {
	Connections int   // open at the same time
	Bytes       int64 // memory of the headers and of the beginnings of bodies of all requests together
	// HeadBytes returns the most that a head may have; 0 if only the server's own bound applies.
	HeadBytes func() int
	// HeadTime returns how long a client may take to send a head, and IdleTime how long a connection may be idle.
	HeadTime, IdleTime func() time.Duration
	BodyTime           time.Duration // for a request's body, unless the handler sets another deadline
	WriteTime          time.Duration // for a response, unless the handler sets another deadline
}

// Pressure reports connections and requests that were not kept.
type Pressure struct {
	Causes             map[Cause]int // since the last report
	Connections, Limit int           // open, and the most that may be
	Bytes, MaxBytes    int64         // reserved, and the most that may be
}

// Log logs the report as one line.
func (p Pressure) Log(l *log.Logger, listener string) {
	e := l.Warn().Str("event", "clientsCut").Str("listener", listener)
	for _, c := range Causes {
		e.Int(string(c), p.Causes[c])
	}
	e.Int("connections", p.Connections).Int("limit", p.Limit).Int64("bytes", p.Bytes).Int64("maxBytes", p.MaxBytes).Msg("")
}

// reportInterval is the least time between two reports.
const reportInterval = time.Second

// Server is an HTTP server whose clients are bounded.
type Server struct {
	// OnPressure is called with the connections and requests that were not kept, at most once a reportInterval; nil if
	// nobody wants to know.
	OnPressure func(Pressure)

	limits Limits
	http   *http.Server
	table  *table
	counts map[Cause]*metrics.Counter
	// lingering holds an element for each connection that is read after its refusal.
	lingering chan struct{}

	mu         sync.Mutex
	causes     map[Cause]int // since the last report
	reportedAt time.Time
}

// NewServer returns a server that uses the handler, the hooks and the bound on heads of s. Its metrics name the listener.
func NewServer(listener string, l Limits, s *http.Server, m *metrics.Set) *Server {
	w := &Server{
		limits: l, http: s, table: newTable(l.Connections, l.Bytes), counts: make(map[Cause]*metrics.Counter),
		lingering: make(chan struct{}, max(l.Connections/lingeringShare, 1)), causes: make(map[Cause]int),
	}
	for _, c := range Causes {
		w.counts[c] = m.GetOrCreateCounter(`wagtailshelf_clients_cut_total{listener="` + listener + `",cause="` + string(c) + `"}`)
	}
	m.GetOrCreateGauge(`wagtailshelf_clients{listener="`+listener+`"}`, func() float64 { n, _ := w.table.use(); return float64(n) })
	m.GetOrCreateGauge(`wagtailshelf_client_bytes{listener="`+listener+`"}`, func() float64 { _, n := w.table.use(); return float64(n) })
	s.Handler = w.handler(s.Handler)
	s.WriteTimeout = l.WriteTime
	w.addHooks()
	return w
}

// addHooks makes the server follow its connections.
func (s *Server) addHooks() {
	addContext, track := s.http.ConnContext, s.http.ConnState
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if addContext != nil {
			ctx = addContext(ctx, c)
		}
		return withConn(ctx, c)
	}
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.follow(state)
		}
		if track != nil {
			track(c, state)
		}
	}
}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

// Shutdown ends the server once its requests have ended, or the context has.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }

// listener accepts as many connections as there is room for.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection that there is room for. The others are closed at once: their clients can go elsewhere.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		now := time.Now()
		c := &conn{TCPConn: tcp, server: l.server, begin: now}
		c.inHead.Store(true)
		c.client.cut = c.end
		victim, ok := l.server.table.open(now, &c.client)
		if victim != nil {
			l.server.cut(victim)
		}
		if ok {
			return c, nil
		}
		l.server.refused(Full)
		_ = tcp.Close() // the client may have closed it
	}
}

// cut closes connections that have to yield.
func (s *Server) cut(victims ...*client) {
	for _, v := range victims {
		s.refused(Yielded)
		v.cut()
	}
}

// refused counts a connection or a request that was not kept.
func (s *Server) refused(c Cause) {
	s.counts[c].Inc()
	if s.OnPressure == nil {
		return
	}
	if p, due := s.pressure(time.Now(), c); due {
		s.OnPressure(p)
	}
}

// pressure adds a cause, and returns what is to be reported, if it is time.
func (s *Server) pressure(now time.Time, c Cause) (Pressure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.causes[c]++
	if now.Sub(s.reportedAt) < reportInterval {
		return Pressure{}, false
	}
	p := Pressure{Causes: s.causes, Limit: s.limits.Connections, MaxBytes: s.limits.Bytes}
	p.Connections, p.Bytes = s.table.use()
	s.reportedAt, s.causes = now, make(map[Cause]int)
	return p, true
}

// handler returns a handler that passes on the requests for which there is room.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(time.Now(), r) {
			s.refused(NoRoom)
			refuse(w)
			return
		}
		if c.sentAhead() {
			s.refused(Ahead)
			w.Header().Set("Connection", "close")
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(s.limits.BodyTime)) // fails only if the connection is closed
		bounded := r.WithContext(r.Context())
		bounded.Body = &body{ReadCloser: r.Body, conn: c}
		next.ServeHTTP(w, bounded)
		c.client.enter(time.Now(), sending) // the server reads what the handler has left of the body
	})
}

// refuse refuses a request for which there is no room, and does not wait for its body.
func refuse(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // fails only for writers of tests
	h := w.Header()
	h.Set("Retry-After", "1")
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
