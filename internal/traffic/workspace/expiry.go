package workspace

import (
	"fmt"
	"time"
)

// latestStart returns the latest time at which a request may start: it has to be
// complete by its deadline, and may not be queued after maxWaitUntil.
func (q *Queue) latestStart(it *item) time.Time {
	service := q.limiter.serviceTime(it.Tokens)
	at := it.Deadline.Add(-time.Duration(q.cfg.ServiceMargin * float64(service)))
	if it.maxWaitUntil.Before(at) {
		return it.maxWaitUntil
	}
	return at
}

// maxWait returns the longest time that a request may be queued, given the time until
// its deadline.
//
// Under overload a queue is always as long as it may be. A wait of most of the time
// until the deadline gains nothing then: a short queue keeps the target as busy as a
// long one, every caller waits longer, and more responses are late where the estimate
// was wrong.
func (q *Queue) maxWait(left time.Duration) time.Duration {
	return time.Duration(q.cfg.WaitPart * float64(left))
}

func (q *Queue) tooLate(now time.Time, it *item) bool { return now.After(q.latestStart(it)) }

// mayProbe reports whether a request may run although by the estimate it can't be
// completed in time: only if nothing else runs. After a stall of the target the
// estimate is too high, and if all requests were refused nothing would correct it.
func (q *Queue) mayProbe(now time.Time, it *item) bool {
	return q.running() == 0 && now.Before(it.Deadline)
}

// scheduleExpiry makes sure that the timer fires once the request is too late.
func (q *Queue) scheduleExpiry(it *item) {
	at := q.latestStart(it)
	if q.nextExpiry.IsZero() || at.Before(q.nextExpiry) {
		q.nextExpiry = at
	}
}

// refuseLate refuses the queued requests that can no longer be completed in time.
// Otherwise they would take up room in the queue, and their callers would only learn
// at the end of the wait what is certain now.
func (q *Queue) refuseLate(now time.Time) {
	q.timerAt = time.Time{}
	if q.nextExpiry.IsZero() || now.Before(q.nextExpiry) {
		return
	}
	var late []*item
	q.nextExpiry = time.Time{}
	for _, t := range []*tier{q.foreground, q.background} {
		for _, f := range t.heap {
			late = q.collectLate(now, f.highPriority, late)
			late = q.collectLate(now, f.normalPriority, late)
		}
	}
	for _, it := range late {
		q.refuseQueued(it, DeadlineTooClose)
	}
}

// collectLate appends those of the items that are too late to late, and schedules the
// expiry of the others.
func (q *Queue) collectLate(now time.Time, items, late []*item) []*item {
	for _, it := range items {
		if q.tooLate(now, it) {
			late = append(late, it)
			continue
		}
		q.scheduleExpiry(it)
	}
	return late
}

// setTimer requests a tick at the next expiry, unless an earlier tick is already
// requested. A tick that is early does no harm.
func (q *Queue) setTimer(now time.Time) {
	if q.queued == 0 || q.nextExpiry.IsZero() {
		return
	}
	if !q.timerAt.IsZero() && !q.timerAt.After(q.nextExpiry) {
		return
	}
	// The tick is due a millisecond after the expiry: at the expiry itself the request
	// isn't late yet.
	q.timerAt = q.nextExpiry.Add(time.Millisecond)
	if q.timerAt.Before(now) {
		q.timerAt = now.Add(time.Millisecond)
	}
	q.actions = append(q.actions, Action{Kind: SetTimer, At: q.timerAt})
}

// checkInvariants checks the invariants that hold between events.
func (q *Queue) checkInvariants() {
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
