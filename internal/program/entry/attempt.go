package entry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// pickDials bounds how many targets are dialled for one attempt before the
	// attempt ends without a target.
	pickDials = 3

	// dialTimeout bounds the wait for a connection to a target that was picked.
	dialTimeout = 500 * time.Millisecond
)

// pick chooses a target that can be reached. A target whose connection fails has
// received nothing of the request, so trying the next one costs the caller only time.
func (x *exchange) pick(ctx context.Context, tried []host.Name) {
	q := target.Query{Tokens: max(1, int64(x.call.Route.Cost.Of(int64(len(x.call.Body)))))}
	if x.call.Service.Document.Affinity.BlockBytes > 0 {
		q.Prefix = blocksOf(x.call.Service.Document).Prefix(x.call.Workspace, x.call.Body)
	}
	for _, name := range tried {
		q.Tried = append(q.Tried, target.Name(name))
	}
	for range pickDials {
		p, ok := x.router.requestPick(ctx, q)
		if !ok || !p.ok {
			x.enqueue(request.Event{Kind: request.NothingPicked, RetryAfter: p.choice.RetryAfter})
			return
		}
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := x.entry.pool.Get(dialCtx, p.address, p.host)
		cancel()
		if err == nil {
			x.picked(p, conn)
			return
		}
		x.router.end(ctx, p.choice, target.End{Kind: target.Failed})
		q.Tried = append(q.Tried, p.choice.Name)
	}
	x.enqueue(request.Event{Kind: request.NothingPicked})
}

func blocksOf(d *document.Document) target.Blocks {
	return target.Blocks{Bytes: int(d.Affinity.BlockBytes), Count: d.Affinity.Blocks}
}

// picked records the chosen target and its connection as those of the newest attempt.
func (x *exchange) picked(p pick, conn *peer.Conn) {
	x.endChoice(target.End{Kind: target.Failed})
	p.pickedAt = time.Now()
	x.choices = append(x.choices, p)
	x.choice = p.choice
	x.addConn(conn)
	x.enqueue(request.Event{
		Kind:        request.Picked,
		Target:      host.Name(p.choice.Name),
		Conn:        request.Conn(conn.Number()),
		Incarnation: conn.Peer().Incarnation,
	})
}

// send writes a message on the request's stream of its connection. Open and
// Resolve open a new stream; all other messages use the existing one.
func (x *exchange) send(ctx context.Context, a request.Action) {
	stream := x.streams[a.Conn]
	if a.Message.Kind == request.Open || a.Message.Kind == request.Resolve {
		stream = x.openStream(ctx, a.Conn)
	}
	if stream == nil {
		x.enqueue(request.Event{Kind: request.BodyNotSent, Attempt: a.Message.Attempt})
		x.enqueue(request.Event{Kind: request.ConnectionSilent, Conn: a.Conn})
		return
	}
	if a.Message.Kind == request.Resolve {
		x.addBody(&a.Message)
	}
	write := stream.Write
	if a.Message.Kind == request.Open {
		write = stream.Add // buffered: the body follows at once and is sent with it
	}
	if err := write(frame.KindRequest, a.Message); err != nil {
		x.writeFailed(a)
	}
}

// addBody adds the request's body to a Resolve, which a later incarnation of the sidecar needs to ask the engine: the
// body may say that the answer is no stream. Without a body that is too long, it can only go on with a stream.
func (x *exchange) addBody(m *request.Message) {
	switch {
	case m.Call == nil:
	case len(x.call.Body) <= request.MaxDataBytes:
		m.Data = x.call.Body
	case m.Offset == 0:
		m.Call, m.Header = nil, nil
	}
}

func (x *exchange) writeFailed(a request.Action) {
	// A request whose body was not written completely cannot have run, because the
	// sidecar counts the bytes. A failed write of BodyEnd proves nothing.
	if a.Kind == request.SendBody || a.Message.Kind == request.Open {
		x.enqueue(request.Event{Kind: request.BodyNotSent, Attempt: a.Message.Attempt})
		return
	}
	x.enqueue(request.Event{Kind: request.ConnectionSilent, Conn: a.Conn})
}

func (x *exchange) sendBody(a request.Action) {
	stream := x.streams[a.Conn]
	if stream == nil {
		return // send has already reported the failure
	}
	m := a.Message
	body := x.call.Body
	for len(body) > 0 {
		n := min(len(body), request.MaxDataBytes)
		m.Kind, m.Data = request.Body, body[:n]
		if err := stream.Write(frame.KindRequest, m); err != nil {
			x.writeFailed(a)
			return
		}
		m.Offset += uint64(n)
		body = body[n:]
	}
	m.Kind, m.Data = request.BodyEnd, nil
	if err := stream.Write(frame.KindRequest, m); err != nil {
		x.enqueue(request.Event{Kind: request.ConnectionSilent, Conn: a.Conn})
	}
}

func (x *exchange) openStream(ctx context.Context, number request.Conn) *peer.Stream {
	conn := x.connOf(number)
	if conn == nil {
		return nil
	}
	stream, err := conn.OpenStream()
	if err != nil {
		return nil
	}
	x.streams[number] = stream
	silent := request.Event{Kind: request.ConnectionSilent, Conn: number}
	x.async(ctx, "stream", silent, func() error { return x.read(ctx, conn, stream, number) })
	return stream
}

// read passes the sidecar's messages on to the request until the stream ends.
func (x *exchange) read(ctx context.Context, conn *peer.Conn, stream *peer.Stream, number request.Conn) error {
	defer conn.ExpectReply()()
	for {
		m, err := readMessage(stream)
		if err != nil {
			x.sendEvent(ctx, request.Event{Kind: request.ConnectionSilent, Conn: number})
			return err
		}
		if !x.sendEvent(ctx, request.Event{Kind: request.Received, Conn: number, Message: m}) {
			return context.Cause(ctx)
		}
		// The sidecar ends a stream after its last message. If that end were treated as
		// silence, the connection would be closed for all other requests on it too.
		if m.Kind.Last() {
			return nil
		}
	}
}

func readMessage(stream *peer.Stream) (request.Message, error) {
	var m request.Message
	f, err := stream.Read()
	if err != nil {
		return m, err
	}
	if f.Kind != frame.KindRequest {
		return m, frame.ErrKind
	}
	if err := frame.Decode(f, &m); err != nil {
		return m, err
	}
	return m, m.Validate()
}

// async runs a part of the request in a goroutine, and hands an event to the request if that part panics.
func (x *exchange) async(ctx context.Context, name string, panicked request.Event, run func() error) {
	x.running++
	go func() {
		err := task.Guard(run)
		if p := new(task.PanicError); errors.As(err, &p) {
			task.Report(x.entry.log, name, err)
			x.sendEvent(ctx, panicked)
		}
		x.ends <- err
	}()
}

// sendEvent hands an event to the request's goroutine; false if ctx ends first.
func (x *exchange) sendEvent(ctx context.Context, ev request.Event) bool {
	select {
	case x.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// connect opens a newer connection in place of the one that went silent.
func (x *exchange) connect(ctx context.Context, a request.Action) {
	address, name, ok := x.addressOf(a.Target)
	if !ok {
		x.enqueue(request.Event{Kind: request.ConnectFailed, Target: a.Target})
		return
	}
	failed := request.Event{Kind: request.ConnectFailed, Target: a.Target}
	x.async(ctx, "dial", failed, func() error { return x.dial(ctx, a, address, name) })
}

func (x *exchange) dial(ctx context.Context, a request.Action, address netip.AddrPort, name host.Name) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := x.entry.pool.GetNewer(dialCtx, address, name, uint64(a.Conn))
	if err != nil {
		x.sendEvent(ctx, request.Event{Kind: request.ConnectFailed, Target: a.Target})
		return err
	}
	x.addConn(conn)
	x.sendEvent(ctx, request.Event{
		Kind:        request.Connected,
		Target:      a.Target,
		Conn:        request.Conn(conn.Number()),
		Incarnation: conn.Peer().Incarnation,
	})
	return nil
}

// addressOf returns the address and the host of a target's sidecar, according to the
// document with which the request was routed.
func (x *exchange) addressOf(name host.Name) (netip.AddrPort, host.Name, bool) {
	t := x.call.Service.Document.Target(string(name))
	if t == nil {
		return netip.AddrPort{}, "", false
	}
	return t.Address, t.Host, true
}

func (x *exchange) addConn(c *peer.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns[request.Conn(c.Number())] = c
}

func (x *exchange) connOf(number request.Conn) *peer.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conns[number]
}
