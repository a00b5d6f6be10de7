package book

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// tooLate reports whether a waiting request can no longer be answered in time. The
// margin lets the refusal, which proves that the request has not run, reach the
// entry before the caller's deadline.
func (b *Book) tooLate(now time.Time, r *record) bool {
	return !now.Before(r.deadline.Add(-b.cfg.ReplyMargin))
}

// streamClosed drops a stream. An entry closes a stream in good order only after
// the request has its outcome, so that no Resolve of it can follow: the book forgets
// the request and its answer at once. Otherwise a target with many small calls would
// fill its book with answers within the retention time. A request that is not
// idempotent is kept, because another request with the same key may join it.
func (b *Book) streamClosed(now time.Time, p Peer, settled bool) {
	r := b.byPeer[p]
	if r == nil {
		return
	}
	delete(b.byPeer, p)
	if r.forgotten {
		return
	}
	r.removeListeners(now, func(l listener) bool { return l.peer == p })
	if settled && r.state == finished && r.call.Idempotent && !r.holdsSlot {
		b.forget(r)
	}
}

// removeListeners drops the listeners that match from all requests.
func (b *Book) removeListeners(now time.Time, match func(listener) bool) {
	for _, r := range b.records {
		r.removeListeners(now, match)
	}
}

// sweep applies the time limits, at most once in TickEvery.
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

// unwanted reports whether nobody can receive the answer any more: the caller's
// deadline has passed, or the request has had no listener for OrphanWait.
func (b *Book) unwanted(now time.Time, r *record) bool {
	if !now.Before(r.deadline) {
		return true
	}
	return !r.orphanedAt.IsZero() && !now.Before(r.orphanedAt.Add(b.cfg.OrphanWait))
}

// sweepFinished drops an answer after its retention time, and forgets the id only
// when a Resolve of it can no longer matter. Were it forgotten earlier, a request
// that ran would be reported as never seen. The entry measures the caller's time
// from before it sent the request, so it has reported the final outcome when the
// time measured here, from the arrival, is up. The margin covers clocks that run at
// different rates.
func (b *Book) sweepFinished(now time.Time, r *record) {
	keep := b.cfg.AnswerRetention
	if !r.call.Idempotent {
		keep = b.cfg.JoinRetention
	}
	if now.Before(r.finishedAt.Add(keep)) {
		return
	}
	b.trim(r, r.kept.size)
	margin := r.call.Remaining/100 + time.Second
	if r.holdsSlot || now.Before(r.deadline.Add(margin)) {
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
		if r.state != finished || r.holdsSlot {
			return
		}
	}
	b.drained = true
	b.emit(Action{Kind: Drained})
}

// wake asks for a Tick at the time of the next sweep, once for each.
func (b *Book) wake() {
	if len(b.records) > 0 && !b.lastWake.Equal(b.nextTick) {
		b.lastWake = b.nextTick
		b.emit(Action{Kind: Wake, At: b.nextTick})
	}
}
