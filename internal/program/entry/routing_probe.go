package entry

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// meetTime is how long a new router keeps requests that have no target yet. A
	// target takes none before its sidecar was heard from, which takes a connection
	// and a report; callers of an entry that has just started are spared a refusal.
	meetTime = time.Second

	// maxWaiting bounds the requests kept.
	maxWaiting = 256
)

// probeTime is longer than it takes to find out that a connection is silent.
const probeTime = 900 * time.Millisecond

// probeEnd is the end of a probe.
type probeEnd struct {
	name target.Name
	err  error
}

// probe asks a sidecar for a sign of life. Sidecars report on each connection as
// it begins, and each second after that: whoever has a connection that works
// hears from it.
func (r *router) probe(ctx context.Context, name target.Name) {
	t := r.targets[name]
	if t == nil || r.probing[name] {
		return
	}
	r.probing[name] = true
	go func() { r.probes <- probeEnd{name: name, err: r.seek(ctx, t)} }()
}

// seek makes sure that there is a connection to the sidecar that isn't silent. A
// silent one ends while something is awaited on it, and is then replaced.
func (r *router) seek(ctx context.Context, t *document.Target) error {
	for {
		conn, err := r.dial(ctx, t)
		if err != nil {
			return err
		}
		if !endsAwaited(ctx, conn) {
			return nil
		}
	}
}

func (r *router) dial(ctx context.Context, t *document.Target) (*peer.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.pool.Get(ctx, t.Address, t.Host)
}

// endsAwaited reports whether the connection ends within probeTime.
func endsAwaited(ctx context.Context, c *peer.Conn) bool {
	done := c.Await()
	defer done()
	timer := time.NewTimer(probeTime)
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

// answerPick answers with a target, or keeps the question while the first sidecar
// has still to be heard from.
func (r *router) answerPick(now time.Time, m routerMessage) {
	p := r.pick(now, m.query)
	if !p.ok && r.meeting(now) && len(r.waiting) < maxWaiting {
		r.waiting = append(r.waiting, m)
		return
	}
	m.picked <- p
}

func (r *router) meeting(now time.Time) bool {
	return !r.met && now.Sub(r.began) < meetTime
}

// answerWaiting answers the questions kept, once there is a target or the time
// is over.
func (r *router) answerWaiting(now time.Time) {
	if len(r.waiting) == 0 || r.meeting(now) {
		return
	}
	for _, m := range r.waiting {
		m.picked <- r.pick(now, m.query)
	}
	r.waiting = nil
}
