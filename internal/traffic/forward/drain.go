package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/peak"
)

// Drain is the planned end of the process: when it began, until when callers are still sent here, and when the
// requests that are still in flight are cut. It is safe for concurrent use.
type Drain struct {
	begun, late       context.Context
	begin, becomeLate context.CancelFunc

	mu        sync.Mutex
	callersTo time.Time // until then callers are sent here
	end       time.Time // zero before the drain has begun
}

// NewDrain returns a drain that has not begun.
func NewDrain() *Drain {
	d := &Drain{}
	d.begun, d.begin = context.WithCancel(context.Background())
	d.late, d.becomeLate = context.WithCancel(context.Background())
	return d
}

// Begin begins the drain. Callers are sent here until a time, and requests are cut at the end. Late must follow.
func (d *Drain) Begin(callersTo, end time.Time) {
	d.mu.Lock()
	d.callersTo, d.end = callersTo, end
	d.mu.Unlock()
	d.begin()
}

// Late notes that callers are no longer sent here.
func (d *Drain) Late() { d.becomeLate() }

// Begun reports whether the drain has begun.
func (d *Drain) Begun() bool { return d.begun.Err() != nil }

// times returns until when callers are sent here and when requests are cut; false before the drain has begun.
func (d *Drain) times() (callersTo, end time.Time, begun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callersTo, d.end, !d.end.IsZero()
}

const (
	// A late request is expected to take lateFactor times as long as the slowest of its route's recent attempts,
	// and lateTime at the least.
	lateFactor = 3
	lateTime   = time.Second
)

// left returns for how long a request may still be sent to a target: an attempt that is sent later would be
// cut before it ends, and its caller could not tell whether it ran. The request was read at some time, and may take until
// its deadline; took is how long the slowest of its route's recent attempts took, 0 if that is not known.
//
// A request whose deadline is before the end is never cut. Others go by what attempts take; those that come when callers
// are no longer sent here, such as uploads that end late, with a margin, as other entries serve their callers at once.
func (d *Drain) left(now, read, deadline time.Time, took time.Duration) time.Duration {
	callersTo, end, begun := d.times()
	switch {
	case !begun || !deadline.After(end):
		return unbounded
	case took == 0:
		return 0
	case read.After(callersTo):
		took = max(lateFactor*took, lateTime)
	}
	return max(end.Add(-took).Sub(now), 0)
}

// unbounded is longer than any request lasts.
const unbounded = 24 * time.Hour

// slowest keeps how long the slowest of each route's recent attempts took. It is safe for concurrent use.
type slowest struct {
	mu     sync.Mutex
	routes map[string]*peak.Peak[time.Duration]
}

const (
	// slowestSpan is how long an attempt counts at least.
	slowestSpan = 30 * time.Second
	// maxRoutes bounds the routes whose attempts are remembered; configurations come and go.
	maxRoutes = 4096
)

func (s *slowest) add(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.routes[route]
	if p == nil {
		if len(s.routes) >= maxRoutes || s.routes == nil {
			s.routes = make(map[string]*peak.Peak[time.Duration])
		}
		p = new(peak.Peak[time.Duration])
		s.routes[route] = p
	}
	p.Add(now, slowestSpan, took)
}

// of returns how long the slowest attempt took; 0 if there was none.
func (s *slowest) of(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.routes[route]; p != nil {
		return p.Value()
	}
	return 0
}

// reasonDraining is the reason of a request that is refused because the process would end before it.
const reasonDraining = "draining"

// startable returns for how long the request may still be sent to a target.
func (c *call) startable(now time.Time) time.Duration { return c.startableIfRead(now, c.readAt) }

// startableIfRead returns the same for a request that is read at some time.
func (c *call) startableIfRead(now, read time.Time) time.Duration {
	return c.f.Drain.left(now, read, c.deadline, c.f.slowest.of(c.route.Name))
}

// refuseDraining ends a request that may not be sent any more, and reports whether it did. Other entries serve
// its caller at once.
func (c *call) refuseDraining() bool {
	if c.startable(c.f.Now()) > 0 {
		return false
	}
	c.announceClose()
	c.giveUp(http.StatusServiceUnavailable, reasonDraining, c.retryDelayWithin(otherEntryDelay))
	return true
}

// announceClose tells the caller that the response is the last one on its connection.
func (c *call) announceClose() {
	if !c.out.Begun() {
		c.out.SetHeader("Connection", "close")
	}
}

// yieldWhenLate has the reading of the request's body end, once callers are no longer sent here, when the request may
// not be sent to a target any more. The returned function ends that.
func (c *call) yieldWhenLate() (stop func() bool) {
	return context.AfterFunc(c.f.Drain.late, func() {
		now := c.f.Now()
		time.AfterFunc(c.startableIfRead(now, now), c.held.Yield) // without effect once the body is read
	})
}

// tooLate reports whether a request that has not been read may not be sent to a target any more.
func (c *call) tooLate() bool {
	now := c.f.Now()
	return c.startableIfRead(now, now) == 0
}
