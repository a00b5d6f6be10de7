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
	cfg        Config
	rnd        *rand.Rand
	epoch      time.Time
	states     map[Name]*state
	local      side
	remote     side
	typical    geometricMean // of capacities
	perTypical float64       // seconds a token at the typical capacity
	streams    geometricMean // of the times that a request takes for a token
	perStream  float64       // its mean; zero if unknown
	meanTokens float64       // moving mean of the requests' tokens
	ejected    int
	crowded    [crowdedCount]crowded
	violations []Violation
}

// New returns a chooser without candidates. Zero fields of cfg take their
// defaults.
func New(now time.Time, cfg Config, rnd *rand.Rand) *Chooser {
	cfg.fill()
	return &Chooser{cfg: cfg, rnd: rnd, epoch: now, states: make(map[Name]*state), perTypical: 1}
}

// Configure takes new settings. A new data centre holds from the next Update on.
func (c *Chooser) Configure(cfg Config) {
	cfg.fill()
	c.cfg = cfg
}

// Update replaces the candidates. What is known about a candidate that stays is
// kept, in particular that it is leaving or suspended: a document says nothing
// about that, so it can't undo it.
func (c *Chooser) Update(candidates []Candidate) {
	for _, s := range c.states {
		s.removed = true
		s.placed = false
	}
	for _, cand := range candidates {
		c.put(cand)
	}
	for name, s := range c.states {
		if s.removed {
			c.forget(name, s)
		}
	}
	c.group(candidates)
}

func (c *Chooser) put(cand Candidate) {
	s, ok := c.states[cand.Name]
	if !ok {
		c.states[cand.Name] = &state{Candidate: cand}
		return
	}
	s.removed = false
	c.renew(s, cand.Incarnation)
	cand.Incarnation = s.Incarnation
	cand.Leaving = cand.Leaving || s.Leaving
	cand.Suspended = cand.Suspended || s.Suspended
	s.Candidate = cand
}

// renew moves on to a later incarnation, if inc is one.
func (c *Chooser) renew(s *state, inc host.Incarnation) {
	if inc <= s.Incarnation {
		return
	}
	if s.Incarnation == 0 {
		// Whatever was said of the target before its incarnation was known was
		// said of this one.
		s.Incarnation = inc
		return
	}
	c.unreport(s)
	c.restore(s)
	s.renew(inc)
}

func (c *Chooser) forget(name Name, s *state) {
	c.unreport(s)
	c.restore(s)
	delete(c.states, name)
}

// Leave marks a target as leaving. It gets no further request until Resume.
// A word on an earlier incarnation is ignored.
func (c *Chooser) Leave(name Name, inc host.Incarnation) {
	s, ok := c.states[name]
	if !ok {
		return
	}
	if inc != 0 && inc < s.Incarnation {
		return
	}
	c.renew(s, inc)
	s.Leaving = true
}

// Suspend keeps requests from a target that is silent.
func (c *Chooser) Suspend(name Name) {
	if s, ok := c.states[name]; ok {
		s.Suspended = true
	}
}

// Resume gives requests to a target again, in the given incarnation. Package
// leaving decides when a target that was leaving may come back.
func (c *Chooser) Resume(name Name, inc host.Incarnation) {
	s, ok := c.states[name]
	if !ok {
		return
	}
	if inc < s.Incarnation {
		return
	}
	c.renew(s, inc)
	s.Leaving = false
	s.Suspended = false
}

// Pick chooses a target for an attempt that starts now. It returns false if no
// target may get it; Choice.RetryAfter then says when one may.
func (c *Chooser) Pick(now time.Time, q Query) (Choice, bool) {
	at := now.Sub(c.epoch)
	c.meanTokens += (float64(q.Tokens) - c.meanTokens) / meanOver
	s, affine := c.choose(at, &q)
	if s == nil {
		return Choice{RetryAfter: c.wait(at, &q)}, false
	}
	return c.start(s, at, &q, affine)
}

// start is the only way by which a target gets an attempt, so it checks once
// more. Without this, a fault in one of the paths above would show as requests
// at a target that is shutting down.
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

// Finish takes back a choice whose attempt has ended. Each choice is taken
// back once.
func (c *Chooser) Finish(now time.Time, ch Choice, end End) {
	s := ch.state
	if s == nil {
		return
	}
	at := now.Sub(c.epoch)
	s.finish(ch.started, ch.Tokens)
	if s.inFlight < 0 || s.own < 0 {
		c.violate("each choice is taken back once", fmt.Sprintf("target %s in flight %d tokens %d", s.Name, s.inFlight, s.own))
	}
	if s.removed || ch.Incarnation != s.Incarnation {
		return
	}
	c.learn(s, at, ch.prefix, end)
}

// wait returns how long it takes until a target may take work, or zero if no
// time is known.
func (c *Chooser) wait(at time.Duration, q *Query) time.Duration {
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

// Violations returns the invariants found broken since the last call.
func (c *Chooser) Violations() []Violation {
	v := c.violations
	c.violations = nil
	return v
}

func (c *Chooser) violate(invariant, evidence string) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Evidence: evidence})
}
