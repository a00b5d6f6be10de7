package admission

import (
	"maps"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// RateView is the entry's view of a target's rate limit.
type RateView struct {
	Target string
	Active bool // the target takes no more than the rate
	Rate   ratelimit.Rate
	Source string        // where the view comes from: "answer", "entry", or "kept" from before the target was not listed
	Age    time.Duration // of the report it comes from
}

// ApplyRate applies what a target's response to a request states of the rate that the target takes.
// Proven is set if the target itself made the response; only then does it count that it names no
// rate.
func (c *Controller) ApplyRate(now time.Time, t *Ticket, statement ratelimit.Statement, proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[t.target.ID]
	if s == nil {
		return // the target is gone
	}
	switch {
	case statement.Kind == ratelimit.Named:
		c.rates.Add(now, ratelimit.Report{Target: t.target.ID, Statement: statement})
		c.rateNamed(now, t.target.ID, s, statement.Rate, "answer", 0)
	case statement.Kind == ratelimit.NoRate && proven && s.limit.Active():
		age := now.Sub(t.sentAt) // the target may have named a rate since, in another response
		c.rates.Add(now, ratelimit.Report{Target: t.target.ID, Age: age})
		c.rateCleared(now, t.target.ID, s, "answer", age)
	}
}

// ApplyRates applies what other entries received from targets. An entry that sends nothing to a
// rate-limited target learns nothing from it: without the other entries it would go on sending
// nothing for as long as it lives.
func (c *Controller) ApplyRates(now time.Time, reports []ratelimit.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		s := c.targets[r.Target]
		if s == nil || now.Add(-r.Age).Before(s.knownSince) {
			continue // not known, or the report is of an earlier incarnation
		}
		if r.Statement.Kind == ratelimit.Named {
			c.rateNamed(now, r.Target, s, r.Statement.Rate, "entry", r.Age)
		} else {
			c.rateCleared(now, r.Target, s, "entry", r.Age)
		}
	}
}

func (c *Controller) rateNamed(now time.Time, id string, s *state, rate ratelimit.Rate, source string, age time.Duration) {
	if s.limit.Set(now.Add(-age), rate, rand.Float64()) {
		c.reportRate(id, s, source, age)
	}
}

func (c *Controller) rateCleared(now time.Time, id string, s *state, source string, age time.Duration) {
	if s.limit.Clear(now.Add(-age)) {
		c.reportRate(id, s, source, age)
		c.advance(now, s.group.Service)
	}
}

// RecentRates returns the rates that targets named to this entry lately, for the other entries.
func (c *Controller) RecentRates(now time.Time, newer time.Duration, most int, turn uint64) []ratelimit.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rates.Recent(now, newer, most, turn)
}

func (c *Controller) reportRate(id string, s *state, source string, age time.Duration) {
	if c.OnRateChange != nil {
		c.OnRateChange(RateView{Target: id, Active: s.limit.Active(), Rate: s.limit.Rate(), Source: source, Age: age})
	}
}

// keptLimit is the rate limit of a target that is not listed.
type keptLimit struct {
	target     roster.Target
	limit      ratelimit.Limit
	knownSince time.Time
	keptAt     time.Time
}

const (
	// limitKeptFor is how long the rate limit of a target that is not listed is kept. A list may lack a target for some
	// time and then have it again in the same incarnation.
	limitKeptFor = 10 * time.Minute
	// maxKeptLimits bounds the memory of these limits.
	maxKeptLimits = 4096
)

// keepLimit keeps the rate limit of a target that is not listed any more.
func (c *Controller) keepLimit(now time.Time, t roster.Target, s *state) {
	maps.DeleteFunc(c.keptLimits, func(_ string, k keptLimit) bool { return now.Sub(k.keptAt) > limitKeptFor })
	if len(c.keptLimits) >= maxKeptLimits {
		return
	}
	c.keptLimits[t.ID] = keptLimit{target: t, limit: s.limit, knownSince: s.knownSince, keptAt: now}
}

// Returned restores the rate limit of a target that is listed again, if it is of the same incarnation. It must be called
// before the target gets requests.
func (c *Controller) Returned(now time.Time, t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.targets[t.ID]; s != nil {
		s.gone = false // otherwise its state would be dropped as the last of its earlier requests ends
	}
	kept, found := c.keptLimits[t.ID]
	if !found {
		return
	}
	delete(c.keptLimits, t.ID)
	if now.Sub(kept.keptAt) > limitKeptFor || !kept.target.SameIncarnation(t) || kept.target.Address != t.Address || kept.target.Service != t.Service {
		return
	}
	s := c.state(now, t)
	if s.limit.Active() {
		return
	}
	s.limit, s.knownSince = kept.limit, kept.knownSince
	c.reportRate(t.ID, s, "kept", now.Sub(s.limit.NamedAt()))
}
