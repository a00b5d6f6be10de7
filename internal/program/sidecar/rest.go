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

// ownTarget stands for the sidecar's target on its board of notices.
var ownTarget = roster.Target{ID: "own"}

// hear takes the word of the target that it wants rest. The sidecar is its only door, so what it
// lets through is all that the target gets.
func (d *desk) hear(now time.Time, head book.Event) {
	if head.Status != http.StatusServiceUnavailable {
		return
	}
	var rests []string
	for _, f := range head.Header {
		if http.CanonicalHeaderKey(f.Name) == "Retry-After" {
			rests = append(rests, f.Value)
		}
	}
	said := notice.Parse(rests, nil)
	if said.Rest > 0 && d.notices.Rest(now, ownTarget, said.Rest, 1, rand.Float64()) {
		d.log.Warn().Str("event", "targetRests").Dur("for", said.Rest).Msg("")
	}
}

// resting tells whether the target wants no request now, and for how long.
func (d *desk) resting(now time.Time) (left time.Duration, resting bool) {
	until, resting := d.notices.Resting(now, ownTarget.ID)
	return until.Sub(now), resting
}

// refuseResting refuses a request while the target rests: others may take it.
func (d *desk) refuseResting(id request.ID, left time.Duration) {
	const reason = "targetRests"
	d.counts.refused(reason)
	d.later(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: request.TargetRests, RetryAfter: min(left, request.MaxRetryAfter),
	}})
}
