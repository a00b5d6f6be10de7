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
	release func() // closes the socket of a dialled connection; nil otherwise

	peer   host.Identity
	number uint64
	remote netip.AddrPort

	start     time.Time
	lastFrame atomic.Int64  // nanoseconds from start to the last received frame
	expecting atomic.Int64  // number of callers that expect a frame
	wake      chan struct{} // wakes watch when a frame becomes expected
	sendQueue chan outgoing // control frames to send

	once     sync.Once
	closed   chan struct{}
	err      error
	taskEnds chan error // results of the connection's tasks
}

// outgoing is a queued control frame.
type outgoing struct {
	kind    frame.Kind
	message any
}

// connTasks is the number of tasks (goroutines) of a connection that supervise waits for.
const connTasks = 3

func newConn(cfg *Config, q *quic.Conn, control *quic.Stream, release func()) *Conn {
	c := &Conn{
		cfg:       cfg,
		quic:      q,
		control:   control,
		writer:    frame.NewWriter(control),
		reader:    frame.NewReader(control),
		release:   release,
		start:     time.Now(),
		wake:      make(chan struct{}, 1),
		sendQueue: make(chan outgoing, controlQueueSize),
		closed:    make(chan struct{}),
		taskEnds:  make(chan error, connTasks),
	}
	if addr, err := netip.ParseAddrPort(q.RemoteAddr().String()); err == nil {
		c.remote = addr
	}
	return c
}

// run starts the connection's tasks after the handshake.
func (c *Conn) run() {
	ctx := c.quic.Context()
	go func() { c.taskEnds <- c.readControl(ctx) }()
	go func() { c.taskEnds <- c.writeControl(ctx) }()
	go func() { c.taskEnds <- c.watch(ctx) }()
	go c.supervise()
}

// supervise closes the connection when the first of its tasks ends, for whatever
// reason, and then waits for the other tasks.
func (c *Conn) supervise() {
	c.fail(<-c.taskEnds, codeClosed)
	for range connTasks - 1 {
		<-c.taskEnds
	}
	if c.release != nil {
		c.release()
	}
}

// Peer returns the identity that the other side presented and proved.
func (c *Conn) Peer() host.Identity { return c.peer }

// Number returns the connection's number among those that the dialling process has made.
func (c *Conn) Number() uint64 { return c.number }

// Remote returns the UDP address of the other side.
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

// Bytes returns how many bytes of UDP payload the connection has sent and received so far.
func (c *Conn) Bytes() (sent, received uint64) {
	stats := c.quic.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

// Close ends the connection and with it all of its streams.
func (c *Conn) Close() {
	c.fail(ErrClosed, codeClosed)
}

// fail closes the connection with an error, unless it is closed already.
func (c *Conn) fail(err error, code quic.ApplicationErrorCode) {
	c.once.Do(func() {
		if err == nil {
			err = ErrClosed
		}
		c.err = err
		close(c.closed)
		_ = c.quic.CloseWithError(code, "") // the peer gets the code; a failure to send it needs no handling
	})
}

// Send queues a control message. It never blocks: a full queue means that the peer
// does not read, and the senders repeat the messages that matter.
func (c *Conn) Send(m frame.Control) error {
	return c.enqueue(outgoing{frame.KindControl, m})
}

// SendReport queues a load report. It never blocks.
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
	case c.sendQueue <- o:
		return nil
	default:
		return ErrQueueFull
	}
}

func (c *Conn) writeControl(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case o := <-c.sendQueue:
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
		c.noteFrame()
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
		_ = c.enqueue(outgoing{frame.KindPong, frame.Pong(m)}) // the peer pings again if the pong is lost
		return nil
	case frame.KindPong:
		return nil // noteFrame has recorded it
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

// noteFrame records that a frame was received now.
func (c *Conn) noteFrame() {
	c.lastFrame.Store(int64(time.Since(c.start)))
}

func (c *Conn) lastFrameTime() time.Time {
	return c.start.Add(time.Duration(c.lastFrame.Load()))
}

// ExpectReply marks that a frame is expected on the connection until done is called. It does not
// wait. While a frame is expected, the connection is pinged and closed after a much shorter
// quiet time.
func (c *Conn) ExpectReply() (done func()) {
	if c.expecting.Add(1) == 1 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return sync.OnceFunc(func() { c.expecting.Add(-1) })
}

// watch pings a quiet connection and closes a silent one: after a short time while a frame
// is expected, and after a longer time otherwise, so that the next request does not have
// to detect the silence.
func (c *Conn) watch(ctx context.Context) error {
	busy := silenceDetector{pingAfter: c.cfg.pingAfter(), silentAfter: c.cfg.silentAfter()}
	idle := silenceDetector{pingAfter: idlePingAfter, silentAfter: idleSilentAfter}
	timer := time.NewTimer(0)
	defer timer.Stop()
	wasExpecting := false
	idle.expect(time.Now())
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.wake:
		case <-timer.C:
		}
		now := time.Now()
		isExpecting := c.expecting.Load() > 0
		s := &idle
		if isExpecting {
			s = &busy
		}
		if isExpecting && !wasExpecting {
			busy.expect(now)
		}
		wasExpecting = isExpecting
		v := s.check(now, c.lastFrameTime())
		if v.silent {
			c.fail(ErrSilent, codeSilent)
			return ErrSilent
		}
		if v.ping {
			_ = c.enqueue(outgoing{frame.KindPing, frame.Ping{}}) // if the queue is full, the connection stays quiet and is closed
		}
		timer.Reset(v.next)
	}
}

// Stream is a QUIC stream that carries one request.
type Stream struct {
	conn   *Conn
	quic   *quic.Stream
	reader *frame.Reader
	*frame.Writer
}

func (c *Conn) stream(q *quic.Stream) *Stream {
	return &Stream{conn: c, quic: q, reader: frame.NewReader(q), Writer: frame.NewWriter(q)}
}

// OpenStream opens a stream for a request. It fails at once if the peer allows no
// more streams: if it waited, an overload would only show as missed deadlines.
func (c *Conn) OpenStream() (*Stream, error) {
	q, err := c.quic.OpenStream()
	if err != nil {
		return nil, err
	}
	return c.stream(q), nil
}

// AcceptStream waits for the peer to open the next stream.
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
		s.conn.noteFrame()
	}
	return f, err
}

// CloseWrite ends the sending direction: no more frames follow from this side.
func (s *Stream) CloseWrite() error { return s.quic.Close() }

// Abort cancels the stream in both directions.
func (s *Stream) Abort() {
	s.quic.CancelRead(0)
	s.quic.CancelWrite(0)
}

// Finish ends the stream from this side: frames that were written still arrive, and
// frames that the peer sends from now on are discarded.
func (s *Stream) Finish() {
	_ = s.quic.Close() // an error means that the stream has ended already
	s.quic.CancelRead(0)
}

// SetWriteDeadline sets the deadline of later writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.quic.SetWriteDeadline(t) }
