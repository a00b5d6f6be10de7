package notice

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

const (
	// returnGap is the mean time between the first requests of the entries that return to a target
	// after its back-off. All entries that received it at the same moment would otherwise return at
	// the same moment, and be turned away again.
	returnGap = 10 * time.Millisecond
	// maxSpread bounds the time over which the entries return.
	maxSpread = 10 * time.Second
	// maxReturning is the number of concurrent requests up to which a target is limited after a
	// back-off. From there on it is bounded no more than other targets.
	maxReturning = 16
	// keptFor is how long a notice is remembered whose target is not listed, or whose back-off is
	// over. A list may lack a target for some time and then have it again in the same incarnation.
	keptFor = 10 * time.Minute
	// maxNotices bounds the memory of notices: three times the targets of a large deployment.
	maxNotices = 4096
	// listDelay bounds the time by which the list of targets may lag behind the start of an
	// incarnation. A back-off that was asked for within this time after the start is the new
	// incarnation's own.
	listDelay = 10 * time.Second
)

// Board holds the notices that an entry received from its targets. The zero value has none.
type Board struct {
	notices map[string]*targetNotice
}

// targetNotice is the notice of one incarnation of a target.
type targetNotice struct {
	target       roster.Target
	askedAt      time.Time     // when it last asked for a back-off
	backOff      time.Duration // the back-off that it last asked for
	end          time.Time     // end of its back-off; zero if it asked for none
	returnAt     time.Time     // when it gets the first request after that
	maxInFlight  int           // concurrent requests until it has served some; 0 for no such bound
	leavingSince time.Time     // when it announced that it leaves; zero if it has not
	lastSeen     time.Time     // when its notice was received or it was listed last
}

// BackOff records that a target asked for a back-off. Of several back-offs the latest end counts, as
// each of them holds by itself. The phase, from 0 to 1, places the first request after the back-off
// within the time over which the entries return. BackOff returns whether the back-off is news.
func (b *Board) BackOff(now time.Time, t roster.Target, backOff time.Duration, entries, phase float64) bool {
	n := b.noticeOf(now, t)
	n.askedAt = now
	end := now.Add(backOff)
	if !end.After(n.end) {
		return false
	}
	news := !now.Before(n.end) || backOff != n.backOff
	n.end, n.backOff, n.maxInFlight = end, backOff, 1
	n.returnAt = end.Add(time.Duration(phase * float64(Spread(entries))))
	return news
}

// Spread returns the time over which a number of entries return to a target after its back-off.
func Spread(entries float64) time.Duration {
	return time.Duration(min(entries*float64(returnGap), float64(maxSpread)))
}

// SetLeaving records that a target announced its shutdown, which holds for its incarnation. It returns
// whether that is news.
func (b *Board) SetLeaving(now time.Time, t roster.Target) bool {
	n := b.noticeOf(now, t)
	if !n.leavingSince.IsZero() {
		return false
	}
	n.leavingSince = now
	return true
}

// noticeOf returns the notice of a target, a new one if there is none.
func (b *Board) noticeOf(now time.Time, t roster.Target) *targetNotice {
	if b.notices == nil {
		b.notices = make(map[string]*targetNotice)
	}
	n := b.notices[t.ID]
	if n == nil {
		if len(b.notices) >= maxNotices {
			b.dropOldest()
		}
		n = &targetNotice{target: t}
		b.notices[t.ID] = n
	}
	n.lastSeen = now
	return n
}

func (b *Board) dropOldest() {
	oldest := ""
	for id, n := range b.notices {
		if oldest == "" || n.lastSeen.Before(b.notices[oldest].lastSeen) {
			oldest = id
		}
	}
	delete(b.notices, oldest)
}

// Listed records that the store lists a target in some incarnation. What an earlier incarnation
// asked for ends with it. A back-off that was asked for right after the listed incarnation had
// begun is its own: the list shows a new incarnation later than its first response arrives.
func (b *Board) Listed(now time.Time, t roster.Target) {
	n := b.notices[t.ID]
	if n == nil {
		return
	}
	if !n.target.SameIncarnation(t) {
		age := n.askedAt.Sub(t.Started)
		if t.Started.IsZero() || age < 0 || age > listDelay {
			delete(b.notices, t.ID)
			return
		}
		n.leavingSince = time.Time{}
	}
	n.target, n.lastSeen = t, now
}

// Leaving reports whether a target has announced that it leaves, and since when.
func (b *Board) Leaving(id string) (since time.Time, leaves bool) {
	n := b.notices[id]
	if n == nil {
		return time.Time{}, false
	}
	return n.leavingSince, !n.leavingSince.IsZero()
}

// InBackOff reports whether a target is in a back-off, and until when.
func (b *Board) InBackOff(now time.Time, id string) (until time.Time, inBackOff bool) {
	n := b.notices[id]
	if n == nil || !now.Before(n.returnAt) {
		return time.Time{}, false
	}
	return n.returnAt, true
}

// Free reports whether a target's own notice allows one more request, in addition to those in
// flight. After a back-off the target gets one request at a time until it has served one, then
// twice as many with each: if all waiting requests went in at the same moment, it would have to
// turn them away again.
func (b *Board) Free(now time.Time, id string, inFlight int) bool {
	n := b.notices[id]
	if n == nil {
		return true
	}
	return !now.Before(n.returnAt) && (n.maxInFlight == 0 || inFlight < n.maxInFlight)
}

// Served records that a target has begun a response to a request.
func (b *Board) Served(now time.Time, id string) {
	n := b.notices[id]
	if n == nil || n.maxInFlight == 0 || now.Before(n.returnAt) {
		return // during a back-off it serves what it had accepted before
	}
	n.maxInFlight *= 2
	if n.maxInFlight > maxReturning {
		n.maxInFlight = 0
	}
}

// Sweep forgets notices that nobody will ask for any more.
func (b *Board) Sweep(now time.Time, listed func(id string) bool) {
	for id, n := range b.notices {
		if !n.leavingSince.IsZero() && listed(id) {
			n.lastSeen = now
		}
		if now.Before(n.returnAt) {
			continue
		}
		if n.leavingSince.IsZero() && n.maxInFlight == 0 || now.Sub(n.lastSeen) > keptFor {
			delete(b.notices, id)
		}
	}
}
