package workspace

import "time"

const (
	// minTimeBetweenFalls is the minimum time between two decreases of the limit. A
	// decrease affects the step time only after requests have ended; without a pause
	// one slow step would take the limit down to its minimum.
	minTimeBetweenFalls = 250 * time.Millisecond
	// minTimeBetweenRises is the minimum time between two increases.
	minTimeBetweenRises = 50 * time.Millisecond
	// riseDivisor is the divisor of the limit that gives the size of an increase, which
	// is at least 1. Sixteen increases in a row more than double a large limit.
	riseDivisor = 16
	// maxFallFactor is the factor of the sharpest single decrease of the limit.
	maxFallFactor = 0.6
	// headroom is the part of the target step or call time below which the limit rises.
	headroom = 0.9
	// minUsage is the part of the limit that must be running for the limit to rise, or to
	// fall because of call times.
	minUsage = 0.8
	// callLimitDivisor bounds decreases because of call times: they don't take the limit
	// below the first limit divided by this number.
	callLimitDivisor = 4
	// recentCalls is the number of calls over which the mean time per token averages.
	recentCalls = 16
	// usualTimeWindow is the time over which the usual time per token averages. It is
	// long compared with an overload, which would otherwise soon count as usual.
	usualTimeWindow = time.Minute
	// firstCalls is the number of calls at the start that have equal weight in the usual
	// time per token.
	firstCalls = 64
)

// limiter adapts the number of requests that may run at once.
type limiter struct {
	cfg            *Config
	limit          float64
	lastChange     time.Time // time of the last change of the limit
	hasSteps       bool      // the engine reports step times
	tokenTime      float64   // seconds per token, mean over the last calls
	usualTokenTime float64   // seconds per token, mean over a long time
	calls          int       // number of calls in the means
	lastCallEnd    time.Time // end of the last call
}

func newLimiter(cfg *Config) limiter {
	first := cfg.InitialTokenTime.Seconds()
	return limiter{cfg: cfg, limit: float64(cfg.FirstLimit), tokenTime: first, usualTokenTime: first}
}

func (l *limiter) current() int { return int(l.limit) }

// observeStep adapts the limit to a recent step time.
//
// Ranks in lock-step all run at the speed of the slowest one, and each request that a
// rank adds to its batch makes its steps longer. The limit keeps the step time near
// the configured target, so a stalled engine gets less work and its load report shows
// the lower limit.
func (l *limiter) observeStep(now time.Time, running int, d time.Duration) {
	if d <= 0 {
		return
	}
	l.hasSteps = true
	l.adapt(now, running, d.Seconds()/l.cfg.StepTarget.Seconds())
}

// observeCall adapts the limit to the time that a request took at the target.
func (l *limiter) observeCall(now time.Time, running int, d time.Duration, tokens int64) {
	tokenTime := d.Seconds() / float64(tokens)
	l.calls++
	l.tokenTime += (tokenTime - l.tokenTime) / float64(min(l.calls, recentCalls))
	weight := min(1, now.Sub(l.lastCallEnd).Seconds()/usualTimeWindow.Seconds())
	if l.calls <= firstCalls {
		weight = 1 / float64(l.calls)
	}
	l.usualTokenTime += (tokenTime - l.usualTokenTime) * weight
	l.lastCallEnd = now
	// A service whose calls differ in length has slow ones without being overloaded.
	// Slow calls indicate an overload only if most of the limit is in use.
	if l.hasSteps || float64(running) < minUsage*l.limit {
		return
	}
	l.adapt(now, running, l.tokenTime/(l.usualTokenTime*l.cfg.SlowFactor))
}

// adapt changes the limit by the ratio of the measured time to the target time.
func (l *limiter) adapt(now time.Time, running int, ratio float64) {
	sinceChange := now.Sub(l.lastChange)
	switch {
	case ratio > 1 && sinceChange >= minTimeBetweenFalls:
		l.limit *= max(maxFallFactor, 1/ratio)
	case ratio < headroom && sinceChange >= minTimeBetweenRises && float64(running) >= minUsage*l.limit:
		l.limit += max(1, l.limit/riseDivisor)
	default:
		return
	}
	l.limit = min(max(l.limit, l.lowerBound()), float64(l.cfg.MaxLimit))
	l.lastChange = now
}

// lowerBound returns the lowest value of the limit. Call times are weaker evidence of an
// overload than step times, so they don't decrease the limit as far.
func (l *limiter) lowerBound() float64 {
	if l.hasSteps {
		return float64(l.cfg.MinLimit)
	}
	return float64(max(l.cfg.MinLimit, l.cfg.FirstLimit/callLimitDivisor))
}

// capacity returns the tokens per second that the target can finish: by Little's law
// the number of requests that run at once divided by the time of each per token.
func (l *limiter) capacity() float64 { return l.limit / l.tokenTime }

// serviceTime returns the estimated time that a request of the given tokens takes at
// the target.
func (l *limiter) serviceTime(tokens int64) time.Duration {
	return toDuration(float64(tokens) * l.tokenTime)
}

// toDuration converts seconds to a duration of at most a day.
func toDuration(s float64) time.Duration {
	const day = 24 * time.Hour
	if s >= day.Seconds() {
		return day
	}
	return time.Duration(s * float64(time.Second))
}
