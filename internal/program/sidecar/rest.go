package sidecar

import (
	"math/rand/v2"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/notice"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// ownTarget is the sidecar's target on its board of notices.
var ownTarget = roster.Target{ID: "own"}

// noteBackoff records that the target asks for back-off, by a 503 response with
// Retry-After. All requests to the target pass through the sidecar, so the target gets no
// request until the back-off ends.
func (d *desk) noteBackoff(now time.Time, head book.Event) {
	if head.Status != http.StatusServiceUnavailable {
		return
	}
	var retryAfter []string
	for _, f := range head.Header {
		if http.CanonicalHeaderKey(f.Name) == "Retry-After" {
			retryAfter = append(retryAfter, f.Value)
		}
	}
	targetNotice := notice.Parse(retryAfter, nil)
	if targetNotice.BackOff > 0 && d.notices.BackOff(now, ownTarget, targetNotice.BackOff, 1, rand.Float64()) {
		d.log.Warn().Str("event", "targetRests").Dur("for", targetNotice.BackOff).Msg("")
	}
}

// backingOff reports whether the target wants no requests now, and for how much longer.
func (d *desk) backingOff(now time.Time) (left time.Duration, backingOff bool) {
	until, backingOff := d.notices.InBackOff(now, ownTarget.ID)
	return until.Sub(now), backingOff
}

// refuseBackingOff refuses a request during the target's back-off: another target may
// serve it.
func (d *desk) refuseBackingOff(id request.ID, left time.Duration) {
	const reason = "targetRests"
	d.counts.refused(reason)
	d.enqueue(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: request.TargetInBackOff, RetryAfter: min(left, request.MaxRetryAfter),
	}})
}
