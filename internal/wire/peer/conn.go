package peer

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

// Conn is a connection to another process of the system.
type Conn struct {
	cfg     *Config
	quic    *quic.Conn
	control *quic.Stream
	writer  *frame.Writer
	reader  *frame.Reader
	release func() // frees the socket of a dialled connection; nil otherwise

	peer   host.Identity
	number uint64
	remote netip.AddrPort

	start   time.Time
	heard   atomic.Int64 // nanoseconds from start to the last frame
	waiting atomic.Int64 // how many callers await something
	wake    chan struct{}
	out     chan outgoing // bounded ring of control frames

	once   sync.Once
	closed chan struct{}
	err    error
	ended  chan error // ends of the connection's goroutines
}

// outgoing is a control frame that waits to be sent.
type outgoing struct {
	kind    frame.Kind
	message any
}

// Ends of a connection's goroutines that its supervisor awaits.
const connGoroutines = 3

func newConn(cfg *Config, q *quic.Conn, control *quic.Stream, release func()) *Conn {
	c := &Conn{
		cfg:     cfg,
		quic:    q,
		control: control,
		writer:  frame.NewWriter(control),
		reader:  frame.NewReader(control),
		release: release,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		out:     make(chan outgoing, controlRing),
		closed:  make(chan struct{}),
		ended:   make(chan error, connGoroutines),
	}
	if addr, err := netip.ParseAddrPort(q.RemoteAddr().String()); err == nil {
		c.remote = addr
	}
	return c
}

// run starts the connection's duties once both sides know each other.
func (c *Conn) run() {
	ctx := c.quic.Context()
	go func() { c.ended <- c.readControl(ctx) }()
	go func() { c.ended <- c.writeControl(ctx) }()
	go func() { c.ended <- c.watch(ctx) }()
	go c.supervise()
}

// supervise closes the connection at the first end of a duty, for whatever
// reason, and then awaits the others.
func (c *Conn) supervise() {
	c.fail(<-c.ended, codeClosed)
	for range connGoroutines - 1 {
		<-c.ended
	}
	if c.release != nil {
		c.release()
	}
}

// Peer returns the identity that the other side presented and proved.
func (c *Conn) Peer() host.Identity { return c.peer }

// Number returns the connection's number among those that the dialling process made.
func (c *Conn) Number() uint64 { return c.number }

// Remote returns the address of the other side.
func (c *Conn) Remote() netip.AddrPort { return c.remote }

// Closed is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Err returns why the connection ended; nil while it is open.
func (c *Conn) Err() error {
	select {
	case <-c.closed:
		return c.err
	default:
		return nil
	}
}

// Bytes returns what the connection sent and received so far, in bytes of UDP payload.
func (c *Conn) Bytes() (sent, received uint64) {
	stats := c.quic.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

// Close ends the connection and with it all of its streams.
func (c *Conn) Close() {
	c.fail(ErrClosed, codeClosed)
}

func (c *Conn) fail(err error, code quic.ApplicationErrorCode) {
	c.once.Do(func() {
		if err == nil {
			err = ErrClosed
		}
		c.err = err
		close(c.closed)
		_ = c.quic.CloseWithError(code, "") // the peer sees the code; nothing to add to an error here
	})
}

// Send queues a control message. It never blocks: a full ring means that the
// peer does not read, and duties repeat what matters.
func (c *Conn) Send(m frame.Control) error {
	return c.enqueue(outgoing{frame.KindControl, m})
}

// SendReport queues a load report.
func (c *Conn) SendReport(m frame.Report) error {
	return c.enqueue(outgoing{frame.KindReport, m})
}

func (c *Conn) enqueue(o outgoing) error {
	select {
	case <-c.closed:
		return c.err
	default:
	}
	select {
	case c.out <- o:
		return nil
	default:
		return ErrFull
	}
}

func (c *Conn) writeControl(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case o := <-c.out:
			if err := c.writer.Write(o.kind, o.message); err != nil {
				return err
			}
		}
	}
}

func (c *Conn) readControl(_ context.Context) error {
	for {
		f, err := c.reader.Read()
		if err != nil {
			return err
		}
		c.noteHeard()
		if err := c.handleControl(f); err != nil {
			return err
		}
	}
}

func (c *Conn) handleControl(f frame.Frame) error {
	switch f.Kind {
	case frame.KindPing:
		var m frame.Ping
		if err := frame.Decode(f, &m); err != nil {
			return err
		}
		_ = c.enqueue(outgoing{frame.KindPong, frame.Pong(m)}) // a lost pong is asked for again
		return nil
	case frame.KindPong:
		return nil // noteHeard has seen it
	case frame.KindControl:
		var m frame.Control
		if err := frame.Decode(f, &m); err != nil {
			return err
		}
		if c.cfg.OnControl != nil {
			c.cfg.OnControl(c, m)
		}
		return nil
	case frame.KindReport:
		var m frame.Report
		if err := frame.Decode(f, &m); err != nil {
			return err
		}
		if c.cfg.OnReport != nil {
			c.cfg.OnReport(c, m)
		}
		return nil
	default:
		return merry.Wrap(frame.ErrKind, merry.AppendMessagef("%d on a control stream", f.Kind))
	}
}

func (c *Conn) noteHeard() {
	c.heard.Store(int64(time.Since(c.start)))
}

func (c *Conn) lastHeard() time.Time {
	return c.start.Add(time.Duration(c.heard.Load()))
}

// Await notes that something is awaited on the connection until done is called:
// only then is its quiet watched.
func (c *Conn) Await() (done func()) {
	if c.waiting.Add(1) == 1 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return sync.OnceFunc(func() { c.waiting.Add(-1) })
}

// watch pings a quiet connection and ends a silent one: soon while something is
// awaited, and after a longer time while nothing is, so that the next request
// does not have to find out.
func (c *Conn) watch(ctx context.Context) error {
	busy := silence{pingAfter: c.cfg.pingAfter(), silentAfter: c.cfg.silentAfter()}
	idle := silence{pingAfter: idlePingAfter, silentAfter: idleSilentAfter}
	timer := time.NewTimer(0)
	defer timer.Stop()
	waited := false
	idle.await(time.Now())
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.wake:
		case <-timer.C:
		}
		now := time.Now()
		waits := c.waiting.Load() > 0
		s := &idle
		if waits {
			s = &busy
		}
		if waits && !waited {
			busy.await(now)
		}
		waited = waits
		v := s.check(now, c.lastHeard())
		if v.silent {
			c.fail(ErrSilent, codeSilent)
			return ErrSilent
		}
		if v.ping {
			_ = c.enqueue(outgoing{frame.KindPing, frame.Ping{}}) // a full ring is quiet too
		}
		timer.Reset(v.next)
	}
}

// Stream carries one request.
type Stream struct {
	conn   *Conn
	quic   *quic.Stream
	reader *frame.Reader
	*frame.Writer
}

func (c *Conn) stream(q *quic.Stream) *Stream {
	return &Stream{conn: c, quic: q, reader: frame.NewReader(q), Writer: frame.NewWriter(q)}
}

// OpenStream opens a stream for a request. It fails at once if the peer allows
// no more streams: waiting would hide an overload behind the deadline.
func (c *Conn) OpenStream() (*Stream, error) {
	q, err := c.quic.OpenStream()
	if err != nil {
		return nil, err
	}
	return c.stream(q), nil
}

// AcceptStream waits for the next request of the peer.
func (c *Conn) AcceptStream(ctx context.Context) (*Stream, error) {
	q, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	return c.stream(q), nil
}

// Conn returns the stream's connection.
func (s *Stream) Conn() *Conn { return s.conn }

// Read returns the stream's next frame; io.EOF after the peer's last one.
func (s *Stream) Read() (frame.Frame, error) {
	f, err := s.reader.Read()
	if err != nil && err != io.EOF && s.conn.Err() != nil {
		return frame.Frame{}, s.conn.Err()
	}
	if err == nil {
		s.conn.noteHeard()
	}
	return f, err
}

// CloseWrite says that no more frames follow from this side.
func (s *Stream) CloseWrite() error { return s.quic.Close() }

// Abort drops the stream in both directions.
func (s *Stream) Abort() {
	s.quic.CancelRead(0)
	s.quic.CancelWrite(0)
}

// Finish ends the stream from this side: what was written still arrives, what
// the peer sends from now on is dropped.
func (s *Stream) Finish() {
	_ = s.quic.Close() // an error means that the stream has ended already
	s.quic.CancelRead(0)
}

// SetWriteDeadline bounds later writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.quic.SetWriteDeadline(t) }
