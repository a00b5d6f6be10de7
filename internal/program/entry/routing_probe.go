package entry

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// firstReportTimeout is how long a new router keeps requests for which it has no
	// target yet, so that callers of an entry that has just started are not refused. A
	// target gets no requests before its sidecar has connected and reported.
	firstReportTimeout = time.Second

	// maxPendingPicks bounds the requests that are kept.
	maxPendingPicks = 256
)

// silenceTimeout is longer than it takes to detect that a connection is silent.
const silenceTimeout = 900 * time.Millisecond

// probeEnd is the end of a probe.
type probeEnd struct {
	name target.Name
	err  error
}

// probe requests a liveness report of a sidecar by making sure that there is a working
// connection to it. Sidecars report on each connection when it opens and every second
// after that.
func (r *router) probe(ctx context.Context, name target.Name) {
	t := r.targets[name]
	if t == nil || r.probing[name] {
		return
	}
	r.probing[name] = true
	go func() { r.probes <- probeEnd{name: name, err: r.ensureConn(ctx, t)} }()
}

// ensureConn makes sure that there is a connection to the sidecar that isn't silent. A
// silent connection is closed while a message is awaited on it, and is then replaced.
func (r *router) ensureConn(ctx context.Context, t *document.Target) error {
	for {
		conn, err := r.dial(ctx, t)
		if err != nil {
			return err
		}
		if !closesWhileAwaited(ctx, conn) {
			return nil
		}
	}
}

func (r *router) dial(ctx context.Context, t *document.Target) (*peer.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.pool.Get(ctx, t.Address, t.Host)
}

// closesWhileAwaited reports whether the connection is closed within silenceTimeout
// while a message is awaited on it.
func closesWhileAwaited(ctx context.Context, c *peer.Conn) bool {
	done := c.ExpectReply()
	defer done()
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	select {
	case <-c.Closed():
		return ctx.Err() == nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (r *router) probeEnded(end probeEnd) {
	delete(r.probing, end.name)
	if end.err != nil {
		r.counts.probeFailures.Inc()
	}
}

// answerPick answers a pickMessage with a target, or keeps the message while no sidecar
// has reported yet.
func (r *router) answerPick(now time.Time, m routerMessage) {
	p := r.pick(now, m.query)
	if !p.ok && r.awaitsFirstReport(now) && len(r.pendingPicks) < maxPendingPicks {
		r.pendingPicks = append(r.pendingPicks, m)
		return
	}
	m.picked <- p
}

// awaitsFirstReport reports whether the router still waits for the first report of a
// sidecar.
func (r *router) awaitsFirstReport(now time.Time) bool {
	return !r.anyReported && now.Sub(r.createdAt) < firstReportTimeout
}

// answerPending answers the messages kept, once a sidecar has reported or
// firstReportTimeout is over.
func (r *router) answerPending(now time.Time) {
	if len(r.pendingPicks) == 0 || r.awaitsFirstReport(now) {
		return
	}
	for _, m := range r.pendingPicks {
		m.picked <- r.pick(now, m.query)
	}
	r.pendingPicks = nil
}
