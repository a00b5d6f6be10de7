package book

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// tooLate tells whether a request that waits can no longer be answered. The
// margin lets the refusal, which is a proof, reach the entry before its
// caller's deadline.
func (b *Book) tooLate(now time.Time, r *record) bool {
	return !now.Before(r.deadline.Add(-b.cfg.ReplyMargin))
}

// streamClosed drops a stream. An entry ends a stream in good order only after
// the request has its outcome, so that no Resolve of it can follow: an answer
// that nobody can ask for again is forgotten at once. Without that, a target
// with many small calls would fill its book with answers within the retention.
// A request that may not be repeated is kept, for its key may be joined.
func (b *Book) streamClosed(now time.Time, p Peer, settled bool) {
	r := b.byPeer[p]
	if r == nil {
		return
	}
	delete(b.byPeer, p)
	if r.forgotten {
		return
	}
	r.ignore(now, func(l listener) bool { return l.peer == p })
	if settled && r.state == finished && r.call.Idempotent && !r.holdsPlace {
		b.forget(r)
	}
}

func (b *Book) forgetPeer(now time.Time, match func(listener) bool) {
	for _, r := range b.records {
		r.ignore(now, match)
	}
}

// sweep applies the bounds in time, at most once in TickEvery.
func (b *Book) sweep(now time.Time) {
	if now.Before(b.nextTick) {
		return
	}
	b.nextTick = now.Add(b.cfg.TickEvery)
	for _, r := range b.order {
		if !r.forgotten {
			b.sweepOne(now, r)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(r *record) bool { return r.forgotten })
}

func (b *Book) sweepOne(now time.Time, r *record) {
	switch r.state {
	case receiving, waiting:
		b.sweepWaiting(now, r)
	case running:
		if r.call.Idempotent && b.unwanted(now, r) {
			b.cancelRunning(now, r)
		}
	case finished:
		b.sweepFinished(now, r)
	}
}

func (b *Book) sweepWaiting(now time.Time, r *record) {
	switch {
	case b.tooLate(now, r):
		b.refuse(r, request.DeadlinePassed, b.cfg.RetryAfter)
	case b.draining && !now.Before(b.drainAt.Add(b.cfg.DrainGrace)):
		b.refuse(r, request.Draining, b.cfg.RetryAfter)
	}
}

// unwanted tells that nobody can receive the answer any more. The caller's
// deadline has passed, or its entry has been gone for long.
func (b *Book) unwanted(now time.Time, r *record) bool {
	if !now.Before(r.deadline) {
		return true
	}
	return !r.orphanedAt.IsZero() && !now.Before(r.orphanedAt.Add(b.cfg.OrphanWait))
}

// sweepFinished drops an answer after its retention, and an id only when no
// Resolve of it can matter. Forgotten earlier, a request that ran would be
// called never seen. The entry counts the caller's time from before it sent
// the request, so it has given its final outcome when the time counted here,
// from the arrival, is up; the margin covers clocks that run at different rates.
func (b *Book) sweepFinished(now time.Time, r *record) {
	keep := b.cfg.AnswerRetention
	if !r.call.Idempotent {
		keep = b.cfg.JoinRetention
	}
	if now.Before(r.finishedAt.Add(keep)) {
		return
	}
	b.trim(r, len(r.kept))
	margin := r.call.Remaining/100 + time.Second
	if r.holdsPlace || now.Before(r.deadline.Add(margin)) {
		return
	}
	b.forget(r)
}

func (b *Book) drain(now time.Time) {
	if !b.draining {
		b.draining = true
		b.drainAt = now
	}
}

func (b *Book) checkDrained() {
	if !b.draining || b.drained {
		return
	}
	for _, r := range b.records {
		if r.state != finished || r.holdsPlace {
			return
		}
	}
	b.drained = true
	b.emit(Action{Kind: Drained})
}

func (b *Book) wake() {
	if len(b.records) > 0 && !b.armed.Equal(b.nextTick) {
		b.armed = b.nextTick
		b.emit(Action{Kind: Wake, At: b.nextTick})
	}
}
