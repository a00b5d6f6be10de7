package forward

import (
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

// ticket returns the description of the request for admission.
func (c *call) ticket() *admission.Ticket {
	t := &admission.Ticket{
		Service: c.service, Priority: c.route.Priority, Work: 1, Tried: c.tried, Deadline: c.deadline, Patience: c.queueLimit(),
		Stranded: c.stranded.Load(),
	}
	t.OnTimeWithin = time.Duration(freshShare*float64(c.route.LatencyGoal)) - c.f.Now().Sub(c.begin)
	if c.workspace != nil && c.workspace.HasPriority {
		t.Priority = c.workspace.Priority
	}
	if c.route.Generates {
		t.Work = float64(c.in.PromptTokens)*promptTokenWork + float64(c.expectedTokens())
	}
	return t
}

// freshShare is the part of its latency goal that a request may wait for a target and still be
// served in time: a loaded engine takes some 300 ms to the first event, of a goal of 500.
const freshShare = 0.4

// promptTokenWork is the work of processing a prompt token, relative to that of generating a
// token. Processing a prompt token takes 1/61 ms; generating one takes some 10 ms, which about
// ten requests share.
const promptTokenWork = 0.016

// expectedTokens returns the caller's estimate of the number of tokens to generate.
func (c *call) expectedTokens() int {
	if c.in.TokensHint > 0 && (c.in.MaxTokens == 0 || c.in.TokensHint < c.in.MaxTokens) {
		return c.in.TokensHint
	}
	return c.in.MaxTokens
}

// acquireTarget waits for a target, and returns the ticket that holds a request slot there. If
// it returns false, the request has ended.
func (c *call) acquireTarget() (*admission.Ticket, bool) {
	now := c.f.Now()
	t := c.ticket()
	c.slot = t
	switch v := c.f.Admission.Arrive(now, t); v {
	case admission.Admitted:
		return t, true
	case admission.Wait:
		return t, c.await(t, now)
	case admission.Full:
		c.giveUp(http.StatusServiceUnavailable, "queueFull", c.retryDelaySpread())
	case admission.Limited, admission.InBackOff, admission.NoTarget:
		c.refuseUnplaced(t, v)
	}
	return nil, false
}

// refuseUnplaced ends a request for which there is no target, or all of whose targets are
// rate-limited or in back-off.
func (c *call) refuseUnplaced(t *admission.Ticket, v admission.Verdict) {
	switch v {
	case admission.Limited:
		c.giveUp(http.StatusServiceUnavailable, "rateLimited", c.retryDelayAfter(t.RetryAfter))
	case admission.InBackOff:
		c.giveUp(http.StatusServiceUnavailable, "targetsRest", c.retryDelayAfter(t.RetryAfter))
	default:
		c.giveUp(http.StatusServiceUnavailable, "noTarget", c.retryDelay())
	}
}

// await waits in the queue for a target. If it returns false, the request has ended.
func (c *call) await(t *admission.Ticket, since time.Time) bool {
	v := c.awaitGrant(t, since.Add(c.queueLimit()))
	now := c.f.Now()
	c.rec.Queued += now.Sub(since)
	select {
	case <-t.Granted(): // possibly at the same moment as another event
		if c.ctx.Err() == nil {
			return true
		}
	case <-t.Refused():
		if !c.callerLeft() {
			c.refuseUnplaced(t, t.Refusal())
		}
		return false
	default:
	}
	c.f.Admission.Abandon(now, t)
	if c.callerLeft() || c.refuseQuarantined(v) || c.refuseDraining() {
		return false
	}
	c.giveUp(http.StatusServiceUnavailable, "queueTooLong", c.retryDelaySpread())
	return false
}

// awaitGrant waits until admission has granted or refused the ticket, the time is until, the context
// ends, the request is quarantined, or it may not be sent any more since the process ends. It returns the verdict of
// the quarantine.
func (c *call) awaitGrant(t *admission.Ticket, until time.Time) quarantine.Verdict {
	timeLeft := func() time.Duration { return min(until.Sub(c.f.Now()), c.startable(c.f.Now())) }
	wait := time.NewTimer(timeLeft())
	defer wait.Stop()
	drained := c.f.Drain.begun.Done()
	for {
		quarantined := c.f.Quarantine.NextQuarantined()
		if v := c.checkQuarantine(); v.Quarantined {
			return v
		}
		select {
		case <-t.Granted():
			return quarantine.Verdict{}
		case <-t.Refused():
			return quarantine.Verdict{}
		case <-wait.C:
			return quarantine.Verdict{}
		case <-c.ctx.Done():
			return quarantine.Verdict{}
		case <-quarantined:
		case <-drained:
			wait.Reset(timeLeft())
			drained = nil
		}
	}
}

// queueLimit returns how long the request may wait in the queue. After a quarter of the
// remaining time there is still enough left for the response or for a retry. Callers abandon a
// stream without events after streamPatience; after half of that the request still gets its
// first event in time, or a refusal with a Retry-After.
func (c *call) queueLimit() time.Duration {
	limit := c.deadline.Sub(c.f.Now()) / 4
	if c.route.Kind == routing.Streaming {
		limit = min(limit, c.streamPatience()/2)
	}
	return max(limit, time.Millisecond)
}

// The patience of a stream's caller is the longest of a fixed time and of multiples of the
// route's latency goals.
const (
	minStreamPatience = 2 * time.Second
	goalFactor        = 4
	gapGoalFactor     = 8
)

// streamPatience returns how long a caller waits for the first event of a stream, or between two
// events, before it abandons the stream.
func (c *call) streamPatience() time.Duration {
	return max(minStreamPatience, goalFactor*c.route.LatencyGoal, gapGoalFactor*c.route.GapGoal)
}
