// Package budget decides when a process may call the platform: under a set
// rate, with exponential backoff and full jitter while the platform is out, and
// without a herd of calls when it returns.
//
// It is pure: the present time is an argument, the random source is passed in.
package budget

import (
	"math"
	"math/rand/v2"
	"time"
)

// Defaults of a [Config].
const (
	DefaultRate        = 20.0
	DefaultBurst       = 20
	DefaultThreshold   = 3
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 10 * time.Second
	DefaultRamp        = 10 * time.Second
)

// rampFloor is the share of the rate that is allowed at once after an outage.
const rampFloor = 0.1

// Config sets up a [Gate]. Zero fields take the defaults.
type Config struct {
	Rate        float64       // calls a second
	Burst       int           // calls that may follow each other at once
	Threshold   int           // failures in a row that close the gate
	BackoffBase time.Duration // bound of the first wait before a probe
	BackoffMax  time.Duration // largest bound of a wait before a probe
	Ramp        time.Duration // time after an outage until the full rate is allowed
}

func (c Config) withDefaults() Config {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Threshold <= 0 {
		c.Threshold = DefaultThreshold
	}
	if c.BackoffBase <= 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax <= 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	if c.Ramp <= 0 {
		c.Ramp = DefaultRamp
	}
	return c
}

// Verdict is what the gate says to a call.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota + 1 // make the call and report how it ended
	Probe                      // like Allowed; the call tries whether the outage is over
	Limited                    // above the rate: ask again after Decision.Wait
	Closed                     // outage: ask again after Decision.Wait
)

// Decision is the gate's answer to a call that asks to be made.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration // zero unless Limited or Closed
}

// Outcome is how a call that was let through ended.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota + 1 // the platform answered, whatever the answer
	Failed                       // no answer, or a refusal for overload or outage
	Abandoned                    // the caller gave up first; it says nothing about the platform
)

// Gate is a token bucket with a circuit breaker. It is not safe for concurrent use.
type Gate struct {
	cfg      Config
	rand     *rand.Rand
	tokens   float64
	filled   time.Time // when tokens was last worked out
	failures int       // in a row
	closed   bool
	attempts int       // probes since the gate closed
	probeAt  time.Time // when the next probe may go
	probing  bool
	openedAt time.Time // end of the last outage; zero if there was none
}

// New returns an open gate with a full bucket.
func New(cfg Config, r *rand.Rand) *Gate {
	cfg = cfg.withDefaults()
	return &Gate{cfg: cfg, rand: r, tokens: float64(cfg.Burst)}
}

// Ask decides on one call. Each call that is let through must be reported once
// to [Gate.Report].
func (g *Gate) Ask(now time.Time) Decision {
	g.fill(now)
	if g.closed {
		return g.askClosed(now)
	}
	if g.tokens < 1 {
		return Decision{Verdict: Limited, Wait: g.untilToken(now)}
	}
	g.tokens--
	return Decision{Verdict: Allowed}
}

// askClosed lets one probe through at a time: many calls at a platform that is
// starting again would bring it down again.
func (g *Gate) askClosed(now time.Time) Decision {
	if g.probing {
		return Decision{Verdict: Closed, Wait: g.cfg.BackoffBase}
	}
	if now.Before(g.probeAt) {
		return Decision{Verdict: Closed, Wait: g.probeAt.Sub(now)}
	}
	g.probing = true
	return Decision{Verdict: Probe}
}

// Report tells how a call that was let through with the verdict v ended.
func (g *Gate) Report(now time.Time, v Verdict, o Outcome) {
	if v == Probe {
		g.probing = false
	}
	switch o {
	case Answered:
		g.succeed(now)
	case Failed:
		g.fail(now, v)
	}
}

func (g *Gate) succeed(now time.Time) {
	g.failures = 0
	if !g.closed {
		return
	}
	// The bucket has filled up during the outage. Without emptying it, each
	// process would send its burst at the first moment of the return.
	g.closed = false
	g.attempts = 0
	g.tokens = 0
	g.filled = now
	g.openedAt = now
}

func (g *Gate) fail(now time.Time, v Verdict) {
	g.failures++
	if g.closed && v != Probe {
		return // sent before the gate closed; it says nothing new
	}
	if !g.closed && g.failures < g.cfg.Threshold {
		return
	}
	g.closed = true
	g.probeAt = now.Add(Backoff(g.cfg.BackoffBase, g.cfg.BackoffMax, g.attempts, g.rand))
	g.attempts++
}

// Closed tells whether the gate holds calls back because of an outage.
func (g *Gate) Closed() bool { return g.closed }

func (g *Gate) fill(now time.Time) {
	if g.filled.IsZero() {
		g.filled = now
		return
	}
	passed := now.Sub(g.filled).Seconds()
	if passed <= 0 {
		return
	}
	g.tokens = math.Min(float64(g.cfg.Burst), g.tokens+passed*g.rate(now))
	g.filled = now
}

// rate is the rate allowed now: after an outage it rises linearly over the ramp.
func (g *Gate) rate(now time.Time) float64 {
	if g.openedAt.IsZero() {
		return g.cfg.Rate
	}
	share := now.Sub(g.openedAt).Seconds() / g.cfg.Ramp.Seconds()
	return g.cfg.Rate * math.Min(1, math.Max(rampFloor, share))
}

func (g *Gate) untilToken(now time.Time) time.Duration {
	seconds := (1 - g.tokens) / g.rate(now)
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Backoff returns a wait drawn evenly from zero to base·2^attempt, at most
// limit. The full width of the draw spreads processes that failed together.
func Backoff(base, limit time.Duration, attempt int, r *rand.Rand) time.Duration {
	bound := limit
	if attempt < 32 {
		bound = min(limit, base<<attempt)
	}
	if bound <= 0 {
		bound = limit
	}
	return time.Duration(r.Int64N(int64(bound) + 1))
}
