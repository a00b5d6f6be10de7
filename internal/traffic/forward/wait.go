package forward

import (
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

// ticket describes the request to admission.
func (c *call) ticket() *admission.Ticket {
	t := &admission.Ticket{
		Service: c.service, Priority: c.route.Priority, Work: 1, Tried: c.tried, Deadline: c.deadline, Patience: c.queueLimit(),
		Stranded: c.stranded.Load(),
	}
	t.Fresh = time.Duration(freshShare*float64(c.route.Aim)) - c.f.Now().Sub(c.begin)
	if c.space != nil && c.space.Ranked {
		t.Priority = c.space.Priority
	}
	if c.route.Generates {
		t.Work = float64(c.in.Prompt)*readWork + float64(c.expectedAnswer())
	}
	return t
}

// freshShare is the part of its aim that a request may wait for a target and still
// be answered on time: a loaded engine takes some 300 ms to the first event, of an
// aim of 500.
const freshShare = 0.4

// readWork is the work of reading a prompt token, in tokens written. Reading takes
// 1/61 ms a token; writing one takes some 10 ms, shared by about ten requests.
const readWork = 0.016

// expectedAnswer is how many tokens the answer will have, as the caller guesses.
func (c *call) expectedAnswer() int {
	if c.in.Hint > 0 && (c.in.Answer == 0 || c.in.Hint < c.in.Answer) {
		return c.in.Hint
	}
	return c.in.Answer
}

// place waits for a target, or answers the request.
func (c *call) place() (*admission.Ticket, bool) {
	now := c.f.Now()
	t := c.ticket()
	switch v := c.f.Admission.Arrive(now, t); v {
	case admission.Go:
		return t, true
	case admission.Wait:
		return t, c.await(t, now)
	case admission.Full:
		c.giveUp(http.StatusServiceUnavailable, "queueFull", c.comeBackSpread())
	case admission.Limited, admission.Resting, admission.NoTarget:
		c.turnedAway(t, v)
	}
	return nil, false
}

// turnedAway ends a request that has no target, or all of whose targets take none by their own
// word.
func (c *call) turnedAway(t *admission.Ticket, v admission.Verdict) {
	switch v {
	case admission.Limited:
		c.giveUp(http.StatusServiceUnavailable, "rateLimited", c.comeBackAfter(t.After))
	case admission.Resting:
		c.giveUp(http.StatusServiceUnavailable, "targetsRest", c.comeBackAfter(t.After))
	default:
		c.giveUp(http.StatusServiceUnavailable, "noTarget", c.comeBack())
	}
}

// await waits in the queue.
func (c *call) await(t *admission.Ticket, since time.Time) bool {
	limit := c.queueLimit()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	v := c.awaitGrant(t, timer.C)
	now := c.f.Now()
	c.rec.Queued += now.Sub(since)
	select {
	case <-t.Granted(): // maybe in the same moment
		if c.ctx.Err() == nil {
			return true
		}
	case <-t.Refused():
		if !c.callerLeft() {
			c.turnedAway(t, t.Refusal())
		}
		return false
	default:
	}
	c.f.Admission.Abandon(now, t)
	if c.callerLeft() || c.heldBack(v) {
		return false
	}
	c.giveUp(http.StatusServiceUnavailable, "queueTooLong", c.comeBackSpread())
	return false
}

// awaitGrant waits for a target until the time is up, the caller leaves or the request turns
// out to crash its targets.
func (c *call) awaitGrant(t *admission.Ticket, timeUp <-chan time.Time) quarantine.Verdict {
	for {
		news := c.f.Quarantine.News()
		if v := c.lookUp(); v.Held {
			return v
		}
		select {
		case <-t.Granted():
			return quarantine.Verdict{}
		case <-t.Refused():
			return quarantine.Verdict{}
		case <-timeUp:
			return quarantine.Verdict{}
		case <-c.ctx.Done():
			return quarantine.Verdict{}
		case <-news:
		}
	}
}

// queueLimit is how long the request may wait at the entry: for a quarter of the
// time left there is still enough for the answer and for coming back. Callers leave a
// stream that is silent for too long; one that waits for half of that still gets its
// first event in time, or a refusal that says when to come back.
func (c *call) queueLimit() time.Duration {
	limit := c.deadline.Sub(c.f.Now()) / 4
	if c.route.Kind == routing.Streaming {
		limit = min(limit, c.streamPatience()/2)
	}
	return max(limit, time.Millisecond)
}

// What callers bear between two events of a stream, and before the first: the longest
// of a fixed time and of multiples of the route's aims.
const (
	leastPatience  = 2 * time.Second
	aimsPatience   = 4
	pausesPatience = 8
)

func (c *call) streamPatience() time.Duration {
	return max(leastPatience, aimsPatience*c.route.Aim, pausesPatience*c.route.GapAim)
}
