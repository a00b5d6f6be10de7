package workspace

import (
	"fmt"
	"time"
)

// latest returns the latest time at which a request may start: it has to be
// complete by its deadline, and it waits no longer than its part.
func (q *Queue) latest(it *item) time.Time {
	service := q.limiter.service(it.Tokens)
	at := it.Deadline.Add(-time.Duration(q.cfg.ServiceMargin * float64(service)))
	if it.patience.Before(at) {
		return it.patience
	}
	return at
}

// patience returns how long a request waits that has the given time left.
//
// Under overload a queue is always as long as it may be. Waiting for most of the
// time gains nothing then: the target is busy with a short queue as with a long
// one, every caller waits longer, and more answers come too late for the
// estimates that were wrong.
func (q *Queue) patience(left time.Duration) time.Duration {
	return time.Duration(q.cfg.WaitPart * float64(left))
}

func (q *Queue) tooLate(now time.Time, it *item) bool { return now.After(q.latest(it)) }

// mayTry reports whether a request is run though the estimate says that it can't
// be complete in time: only if nothing else runs. After the target has stalled
// the estimate is bad, and with all requests refused nothing would correct it.
func (q *Queue) mayTry(now time.Time, it *item) bool {
	return q.running() == 0 && now.Before(it.Deadline)
}

// expectExpiry makes sure that the timer fires when the request has become too
// late.
func (q *Queue) expectExpiry(it *item) {
	at := q.latest(it)
	if q.expiry.IsZero() || at.Before(q.expiry) {
		q.expiry = at
	}
}

// expire refuses the requests that wait and can't be complete in time any more.
// They would else hold places in the queue, and their callers would learn only
// at the end of their wait what is certain now.
func (q *Queue) expire(now time.Time) {
	q.timer = time.Time{}
	if q.expiry.IsZero() || now.Before(q.expiry) {
		return
	}
	var late []*item
	q.expiry = time.Time{}
	for _, t := range []*tier{q.front, q.back} {
		for _, f := range t.heap {
			late = q.lateOf(now, f.high, late)
			late = q.lateOf(now, f.normal, late)
		}
	}
	for _, it := range late {
		q.giveUp(it, DeadlineTooClose)
	}
}

// lateOf appends the late ones of the items, and expects the expiry of the others.
func (q *Queue) lateOf(now time.Time, items, late []*item) []*item {
	for _, it := range items {
		if q.tooLate(now, it) {
			late = append(late, it)
			continue
		}
		q.expectExpiry(it)
	}
	return late
}

// setTimer asks for a tick at the next expiry, unless an earlier one is due. A
// tick that comes early does no harm.
func (q *Queue) setTimer(now time.Time) {
	if q.queued == 0 || q.expiry.IsZero() {
		return
	}
	if !q.timer.IsZero() && !q.timer.After(q.expiry) {
		return
	}
	// One tick after the expiry at the earliest, or a request that expires just
	// now would bring a tick that finds it not yet late.
	q.timer = q.expiry.Add(time.Millisecond)
	if q.timer.Before(now) {
		q.timer = now.Add(time.Millisecond)
	}
	q.actions = append(q.actions, Action{Kind: SetTimer, At: q.timer})
}

// check asserts what must hold between events.
func (q *Queue) check() {
	if q.next() != nil {
		q.violate("no request waits while one may start", fmt.Sprintf("%d queued, %d run, limit %d", q.queued, q.running(), q.limiter.current()))
	}
	if len(q.items) != q.queued+q.running() {
		q.violate("each request waits or runs until its end", fmt.Sprintf("%d held, %d queued, %d run", len(q.items), q.queued, q.running()))
	}
	if q.outstanding < 0 || (len(q.items) == 0 && q.outstanding != 0) {
		q.violate("outstanding work is that of the requests held", fmt.Sprintf("%d tokens for %d requests", q.outstanding, len(q.items)))
	}
}

func (q *Queue) violate(invariant, evidence string) {
	q.actions = append(q.actions, Action{Kind: Violated, Violation: Violation{Invariant: invariant, Evidence: evidence}})
}
