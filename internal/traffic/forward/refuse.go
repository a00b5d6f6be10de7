package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wagtailshelf.example/wagtailshelf/platform"
)

func (c *call) deny(stale bool, status int, reason string) bool {
	if stale {
		c.refuse(http.StatusServiceUnavailable, "rulesTooOld", c.untilRules())
		return false
	}
	c.rec.Outcome, c.rec.Reason, c.rec.Status = Denied, reason, status
	c.reply(status)
	return false
}

// giveUp ends a request that has no target now. Only one that never ran is refused: an
// earlier try may have run, and "not run" must be true of all of them.
func (c *call) giveUp(status int, reason string, back time.Duration) {
	switch {
	case c.stream.held != nil:
		c.deliverHeld()
	case c.stream.begun || c.ranOnce():
		c.fail(reason)
	default:
		c.refuse(status, reason, back)
	}
}

// comeBack is when a refused caller should try again.
func (c *call) comeBack() time.Duration {
	left := c.deadline.Sub(c.f.Now())
	return max(time.Duration(float64(left)*refuseShare), 10*time.Millisecond)
}

// comeBackSpread is the same for callers that are refused since too many came at once:
// those that are refused together would come back together.
func (c *call) comeBackSpread() time.Duration {
	share := leastReturn + (1-leastReturn)*rand.Float64()
	return time.Duration(share * float64(c.comeBack()))
}

// leastReturn is the part of the longest wait that a refused caller waits at the least.
const leastReturn = 0.4

// comeBackWithin is the same where the reason is likely to last for a known time.
func (c *call) comeBackWithin(d time.Duration) time.Duration { return min(d, c.comeBack()) }

// comeBackAfter is the same where it is known when the request can be served. Those that are
// refused together are spread over the time after that.
func (c *call) comeBackAfter(d time.Duration) time.Duration {
	return c.comeBackWithin(d + time.Duration(rand.Float64()*float64(d)))
}

// untilRules is when a caller should come back whom old rules don't serve: at once if
// other entries have fresh ones, as callers come back through another entry.
func (c *call) untilRules() time.Duration {
	if c.f.Elsewhere != nil && c.f.Elsewhere() {
		return c.comeBackWithin(elsewhereReturn)
	}
	return c.comeBackWithin(storeReturn)
}

// elsewhereReturn spreads callers that go to another entry at once.
const elsewhereReturn = 20 * time.Millisecond

// storeReturn is when an entry that lost the store can be expected to have fresh
// rules: most losses are over within a second or two, and other entries have them.
const storeReturn = time.Second

// refuse says that the request did not run, and when to come back.
func (c *call) refuse(status int, reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.end(NotRun, reason, status)
}

// end gives an answer of the entry's own.
func (c *call) end(o Outcome, reason string, status int) {
	c.rec.Outcome, c.rec.Reason, c.rec.Status = o, reason, status
	c.reply(status)
}

func (c *call) reply(status int) {
	platform.NameRequest(c.w.Header(), c.in.ID)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// breakOff cuts an answer that has begun, so that it can't be taken for a whole one.
func (c *call) breakOff(reason string) {
	c.rec.Outcome, c.rec.Reason = Broken, reason
	panic(http.ErrAbortHandler)
}
