package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// deny ends a request that the configuration does not allow. A stale configuration can't prove
// that, so the request is then refused as not run. It always returns false.
func (c *call) deny(stale bool, status int, reason string) bool {
	if stale {
		c.refuse(http.StatusServiceUnavailable, "rulesTooOld", c.staleConfigDelay())
		return false
	}
	c.rec.Outcome, c.rec.Reason, c.rec.Status = Denied, reason, status
	c.reply(status)
	return false
}

// giveUp ends a request that gets no target. It is refused as not run only if that is true of
// all its attempts: an earlier one may have run.
func (c *call) giveUp(status int, reason string, retryAfter time.Duration) {
	switch {
	case c.failure != nil:
		c.deliverFailure()
	case c.out.Begun() || c.mayHaveRun():
		c.fail(reason)
	default:
		c.refuse(status, reason, retryAfter)
	}
}

// retryDelay returns the time after which a refused caller should try again.
func (c *call) retryDelay() time.Duration {
	left := c.deadline.Sub(c.f.Now())
	return max(time.Duration(float64(left)*maxRetryShare), 10*time.Millisecond)
}

// retryDelaySpread returns a random delay up to retryDelay, for callers that are refused because
// too many requests came at once. With the same delay they would all retry at the same time.
func (c *call) retryDelaySpread() time.Duration {
	share := minRetryShare + (1-minRetryShare)*rand.Float64()
	return time.Duration(share * float64(c.retryDelay()))
}

// minRetryShare is the smallest part of retryDelay that retryDelaySpread returns.
const minRetryShare = 0.4

// retryDelayWithin returns d, but at most retryDelay, for a cause that is likely to last for d.
func (c *call) retryDelayWithin(d time.Duration) time.Duration { return min(d, c.retryDelay()) }

// retryDelayAfter returns the delay for a request that can be served after d. The retries of
// callers that are refused together are spread over an equal time after that.
func (c *call) retryDelayAfter(d time.Duration) time.Duration {
	return c.retryDelayWithin(d + time.Duration(rand.Float64()*float64(d)))
}

// staleConfigDelay returns the delay for a request that is refused because the configuration is
// too old. If other entries have a fresh one the caller should retry at once, since callers
// retry through another entry.
func (c *call) staleConfigDelay() time.Duration {
	if c.f.OtherEntriesFresh != nil && c.f.OtherEntriesFresh() {
		return c.retryDelayWithin(otherEntryDelay)
	}
	return c.retryDelayWithin(storeDelay)
}

// otherEntryDelay is the delay for callers that should retry through another entry at once. It
// spreads their retries.
const otherEntryDelay = 20 * time.Millisecond

// storeDelay is the time after which an entry that lost contact with the store is likely to have
// a fresh configuration: most losses are over within a second or two, and other entries have one.
const storeDelay = time.Second

// refuse ends the request with a response which states that it did not run and when to retry.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	c.out.SetHeader("Retry-After", retryAfterText(retryAfter))
	c.end(NotRun, reason, status)
}

// retryAfterText returns the value of a Retry-After header.
func retryAfterText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// reasonNoSpace is the reason of a request that is refused because the bodies that the entry holds
// take up all the space for them.
const reasonNoSpace = "noSpace"

// end ends the request with a response of the entry itself.
func (c *call) end(o Outcome, reason string, status int) {
	c.rec.Outcome, c.rec.Reason, c.rec.Status = o, reason, status
	c.reply(status)
}

// reply sends an empty response that carries the request's ID.
func (c *call) reply(status int) {
	if c.out.Reply(status, c.in.ID) != nil {
		c.abortResponse(c.rec.Reason)
	}
}

// abortResponse aborts a response that has begun, so that the caller can't take it for a
// complete one.
func (c *call) abortResponse(reason string) {
	c.rec.Outcome, c.rec.Reason = Broken, reason
	c.out.Abort()
}
