package target

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Violation is an invariant that does not hold, with the evidence.
type Violation struct {
	Invariant string
	Evidence  string
}

// Chooser chooses targets for the requests of one service at one entry.
type Chooser struct {
	cfg                  Config
	rnd                  *rand.Rand
	epoch                time.Time
	states               map[Name]*state
	local                side
	remote               side
	capacities           geometricMean // of the reported capacities
	typicalTokenTime     float64       // seconds per token at the typical capacity
	requestTokenTimes    geometricMean // of the seconds per token of a single request
	meanRequestTokenTime float64       // mean of requestTokenTimes; zero if unknown
	meanTokens           float64       // moving mean of the tokens per request
	ejected              int
	declined             [declinedCount]declinedPrefix
	violations           []Violation
}

// New returns a Chooser without candidates. Zero fields of cfg take their
// defaults.
func New(now time.Time, cfg Config, rnd *rand.Rand) *Chooser {
	cfg.fill()
	return &Chooser{cfg: cfg, rnd: rnd, epoch: now, states: make(map[Name]*state), typicalTokenTime: 1}
}

// Configure applies new settings. A new data centre takes effect with the next
// Update.
func (c *Chooser) Configure(cfg Config) {
	cfg.fill()
	c.cfg = cfg
}

// Update replaces the candidates. It keeps the state of a candidate that remains
// listed, in particular that it is leaving or suspended: a document has no
// information about that, so it can't revoke it.
func (c *Chooser) Update(candidates []Candidate) {
	for _, s := range c.states {
		s.removed = true
		s.assigned = false
	}
	for _, cand := range candidates {
		c.putCandidate(cand)
	}
	for name, s := range c.states {
		if s.removed {
			c.forget(name, s)
		}
	}
	c.splitSides(candidates)
}

func (c *Chooser) putCandidate(cand Candidate) {
	s, ok := c.states[cand.Name]
	if !ok {
		c.states[cand.Name] = &state{Candidate: cand}
		return
	}
	s.removed = false
	c.advanceIncarnation(s, cand.Incarnation)
	cand.Incarnation = s.Incarnation
	cand.Leaving = cand.Leaving || s.Leaving
	cand.Suspended = cand.Suspended || s.Suspended
	s.Candidate = cand
}

// advanceIncarnation resets the target's state if inc is a later incarnation.
func (c *Chooser) advanceIncarnation(s *state, inc host.Incarnation) {
	if inc <= s.Incarnation {
		return
	}
	if s.Incarnation == 0 {
		// What was recorded before the incarnation was known applies to this
		// incarnation.
		s.Incarnation = inc
		return
	}
	c.removeReport(s)
	c.endEjection(s)
	s.reset(inc)
}

func (c *Chooser) forget(name Name, s *state) {
	c.removeReport(s)
	c.endEjection(s)
	delete(c.states, name)
}

// Leave marks a target as leaving. It gets no further request until Resume.
// A call for an earlier incarnation is ignored.
func (c *Chooser) Leave(name Name, inc host.Incarnation) {
	s, ok := c.states[name]
	if !ok {
		return
	}
	if inc != 0 && inc < s.Incarnation {
		return
	}
	c.advanceIncarnation(s, inc)
	s.Leaving = true
}

// Suspend stops sending requests to a target that is silent.
func (c *Chooser) Suspend(name Name) {
	if s, ok := c.states[name]; ok {
		s.Suspended = true
	}
}

// Resume allows requests to the given incarnation of a target again. Package
// leaving decides when a target that was leaving may return.
func (c *Chooser) Resume(name Name, inc host.Incarnation) {
	s, ok := c.states[name]
	if !ok {
		return
	}
	if inc < s.Incarnation {
		return
	}
	c.advanceIncarnation(s, inc)
	s.Leaving = false
	s.Suspended = false
}

// Pick chooses a target for an attempt that starts now. It returns false if no
// target is eligible; Choice.RetryAfter is then the time until one may be.
func (c *Chooser) Pick(now time.Time, q Query) (Choice, bool) {
	at := now.Sub(c.epoch)
	c.meanTokens += (float64(q.Tokens) - c.meanTokens) / meanOver
	s, affine := c.choose(at, &q)
	if s == nil {
		return Choice{RetryAfter: c.retryDelay(at, &q)}, false
	}
	return c.start(s, at, &q, affine)
}

// start starts an attempt at the target. Every attempt goes through it, so it checks
// eligibility once more: without this check, a fault in one of the ways to choose a
// target would send requests to a target that is shutting down.
func (c *Chooser) start(s *state, at time.Duration, q *Query, affine bool) (Choice, bool) {
	if !s.eligible(at, &c.cfg, q) {
		c.violate("no new work to a target that may not get it",
			fmt.Sprintf("target %s incarnation %d leaving %t suspended %t", s.Name, s.Incarnation, s.Leaving, s.Suspended))
		return Choice{}, false
	}
	s.start(at, q.Tokens)
	return Choice{
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Incarnation: s.Incarnation,
		Tokens:      q.Tokens,
		Affine:      affine,
		state:       s,
		started:     at,
		prefix:      q.Prefix.Coarse,
	}, true
}

// Finish records the end of a choice's attempt. It must be called once for each
// choice.
func (c *Chooser) Finish(now time.Time, ch Choice, end End) {
	s := ch.state
	if s == nil {
		return
	}
	at := now.Sub(c.epoch)
	s.finish(ch.started, ch.Tokens)
	if s.inFlight < 0 || s.ownTokens < 0 {
		c.violate("each choice is taken back once", fmt.Sprintf("target %s in flight %d tokens %d", s.Name, s.inFlight, s.ownTokens))
	}
	if s.removed || ch.Incarnation != s.Incarnation {
		return
	}
	c.applyEnd(s, at, ch.prefix, end)
}

// retryDelay returns the time until a target that the request hasn't tried may get
// work, or zero if that isn't known.
func (c *Chooser) retryDelay(at time.Duration, q *Query) time.Duration {
	earliest := never
	for _, s := range c.states {
		if s.tried(q) {
			continue
		}
		earliest = min(earliest, s.blockedUntil())
	}
	if earliest == never {
		return 0
	}
	return max(0, earliest-at)
}

// Violations returns the violations found since the last call.
func (c *Chooser) Violations() []Violation {
	v := c.violations
	c.violations = nil
	return v
}

func (c *Chooser) violate(invariant, evidence string) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Evidence: evidence})
}
