// Package budget decides when a process may call the platform: at no more than a
// configured rate, with exponential backoff and full jitter during an outage of
// the platform, and without a thundering herd of calls when the outage ends.
//
// The package is pure: the present time is an argument, the random source is
// passed in.
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

// rampMinShare is the share of the rate that is allowed right after an outage.
const rampMinShare = 0.1

// Config sets up a [Gate]. Zero fields take the defaults.
type Config struct {
	Rate        float64       // calls a second
	Burst       int           // calls that may be made without a pause between them
	Threshold   int           // consecutive failures that close the gate
	BackoffBase time.Duration // upper bound of the first wait before a probe
	BackoffMax  time.Duration // upper bound of any wait before a probe
	Ramp        time.Duration // time from the end of an outage until the full rate is allowed
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

// Verdict is the gate's decision on a call.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota + 1 // make the call and report its outcome
	Probe                      // like Allowed; the call tests whether the outage is over
	Limited                    // above the rate: ask again after Decision.Wait
	Closed                     // outage: ask again after Decision.Wait
)

// Decision is the result of [Gate.Ask].
type Decision struct {
	Verdict Verdict
	Wait    time.Duration // zero unless Limited or Closed
}

// Outcome is how an admitted call ended.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota + 1 // the platform responded, whatever the response
	Failed                       // no response, or a refusal because of overload or an outage
	Abandoned                    // the caller gave up first; this shows nothing about the platform
)

// Gate is a token bucket with a circuit breaker. It is not safe for concurrent use.
type Gate struct {
	cfg                 Config
	rand                *rand.Rand
	tokens              float64
	filledAt            time.Time // when tokens was last computed
	consecutiveFailures int       // since the last answer
	closed              bool
	backoffs            int       // waits before probes since the gate closed
	probeAt             time.Time // when the next probe may be sent
	probing             bool
	openedAt            time.Time // end of the last outage; zero if there was none
}

// New returns an open gate with a full bucket.
func New(cfg Config, r *rand.Rand) *Gate {
	cfg = cfg.withDefaults()
	return &Gate{cfg: cfg, rand: r, tokens: float64(cfg.Burst)}
}

// Ask decides on one call. The outcome of each admitted call (verdict [Allowed] or
// [Probe]) must be reported once to [Gate.Report].
func (g *Gate) Ask(now time.Time) Decision {
	g.refill(now)
	if g.closed {
		return g.askClosed(now)
	}
	if g.tokens < 1 {
		return Decision{Verdict: Limited, Wait: g.waitForToken(now)}
	}
	g.tokens--
	return Decision{Verdict: Allowed}
}

// askClosed admits one probe at a time: many calls to a platform that is just
// restarting would bring it down again.
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

// Report records the outcome of a call that was admitted with the verdict v.
func (g *Gate) Report(now time.Time, v Verdict, o Outcome) {
	if v == Probe {
		g.probing = false
	}
	switch o {
	case Answered:
		g.recordAnswer(now)
	case Failed:
		g.recordFailure(now, v)
	}
}

func (g *Gate) recordAnswer(now time.Time) {
	g.consecutiveFailures = 0
	if !g.closed {
		return
	}
	// The bucket has filled up during the outage. If it were not emptied, each
	// process would send its whole burst as soon as the outage ends.
	g.closed = false
	g.backoffs = 0
	g.tokens = 0
	g.filledAt = now
	g.openedAt = now
}

func (g *Gate) recordFailure(now time.Time, v Verdict) {
	g.consecutiveFailures++
	if g.closed && v != Probe {
		return // sent before the gate closed; it shows nothing new
	}
	if !g.closed && g.consecutiveFailures < g.cfg.Threshold {
		return
	}
	g.closed = true
	g.probeAt = now.Add(Backoff(g.cfg.BackoffBase, g.cfg.BackoffMax, g.backoffs, g.rand))
	g.backoffs++
}

// Closed reports whether the gate admits only probes because of an outage.
func (g *Gate) Closed() bool { return g.closed }

func (g *Gate) refill(now time.Time) {
	if g.filledAt.IsZero() {
		g.filledAt = now
		return
	}
	elapsed := now.Sub(g.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	g.tokens = math.Min(float64(g.cfg.Burst), g.tokens+elapsed*g.rate(now))
	g.filledAt = now
}

// rate returns the rate allowed now: after an outage it rises linearly over the ramp.
func (g *Gate) rate(now time.Time) float64 {
	if g.openedAt.IsZero() {
		return g.cfg.Rate
	}
	share := now.Sub(g.openedAt).Seconds() / g.cfg.Ramp.Seconds()
	return g.cfg.Rate * math.Min(1, math.Max(rampMinShare, share))
}

func (g *Gate) waitForToken(now time.Time) time.Duration {
	seconds := (1 - g.tokens) / g.rate(now)
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Backoff returns a wait drawn uniformly from zero to base·2^attempt, at most
// limit. The full jitter spreads the retries of processes that failed together.
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
