package workspace

import "time"

const (
	// settle is the least time between two falls of the limit. A fall shows in the
	// step time only after requests have ended; without a pause one slow step
	// would take the limit to its minimum.
	settle = 250 * time.Millisecond
	// rise is the least time between two rises.
	rise = 50 * time.Millisecond
	// riseParts is the number of rises that double the limit, once it is large.
	riseParts = 16
	// sharpestFall is the most that the limit falls by at once.
	sharpestFall = 0.6
	// headroom is the part of the step target up to which the limit rises.
	headroom = 0.9
	// inUse is the part of the limit that must be running for it to rise.
	inUse = 0.8
	// callPart is the part of the first limit that call times leave of it.
	callPart = 4
	// shortMean is the number of calls that the mean time of a call goes back over.
	shortMean = 16
	// usualOver is the time that the usual time of a call goes back over. It is
	// long against an overload, which would else soon count as usual.
	usualOver = time.Minute
	// firstCalls is the number of calls at the start that are averaged evenly.
	firstCalls = 64
)

// limiter adapts the number of requests that may run at once.
type limiter struct {
	cfg      *Config
	limit    float64
	moved    time.Time // last change
	steps    bool      // the engine reports steps
	perToken float64   // seconds, mean over the last calls
	usual    float64   // seconds, mean over a long time
	calls    int       // that the means have seen
	called   time.Time // end of the last one
}

func newLimiter(cfg *Config) limiter {
	first := cfg.FirstPerToken.Seconds()
	return limiter{cfg: cfg, limit: float64(cfg.FirstLimit), perToken: first, usual: first}
}

func (l *limiter) current() int { return int(l.limit) }

// step takes the time of a step lately.
//
// In lock-step the slowest rank sets the pace of all, and each request that a
// rank adds to its batch makes its steps longer. The limit keeps the step time
// near the target, so a stalled engine gets less work and says so in its load
// report.
func (l *limiter) step(now time.Time, running int, d time.Duration) {
	if d <= 0 {
		return
	}
	l.steps = true
	l.adapt(now, running, d.Seconds()/l.cfg.StepTarget.Seconds())
}

// call takes the time that a request took at the target.
func (l *limiter) call(now time.Time, running int, d time.Duration, tokens int64) {
	per := d.Seconds() / float64(tokens)
	l.calls++
	l.perToken += (per - l.perToken) / float64(min(l.calls, shortMean))
	weight := min(1, now.Sub(l.called).Seconds()/usualOver.Seconds())
	if l.calls <= firstCalls {
		weight = 1 / float64(l.calls)
	}
	l.usual += (per - l.usual) * weight
	l.called = now
	// A service whose calls differ has slow ones without being overloaded. Only at
	// a limit that is in use do slow calls speak for that.
	if l.steps || float64(running) < inUse*l.limit {
		return
	}
	l.adapt(now, running, l.perToken/(l.usual*l.cfg.SlowFactor))
}

// adapt moves the limit by the ratio of what was measured to what is aimed at.
func (l *limiter) adapt(now time.Time, running int, ratio float64) {
	since := now.Sub(l.moved)
	switch {
	case ratio > 1 && since >= settle:
		l.limit *= max(sharpestFall, 1/ratio)
	case ratio < headroom && since >= rise && float64(running) >= inUse*l.limit:
		l.limit += max(1, l.limit/riseParts)
	default:
		return
	}
	l.limit = min(max(l.limit, l.least()), float64(l.cfg.MaxLimit))
	l.moved = now
}

// least returns the bound that the limit doesn't fall below. Call times tell less
// than step times, so they don't take the limit as far down.
func (l *limiter) least() float64 {
	if l.steps {
		return float64(l.cfg.MinLimit)
	}
	return float64(max(l.cfg.MinLimit, l.cfg.FirstLimit/callPart))
}

// capacity returns the tokens a second that the target can finish: by Little's
// law the requests that run at once over the time that each takes for a token.
func (l *limiter) capacity() float64 { return l.limit / l.perToken }

// service returns the time that a request takes at the target.
func (l *limiter) service(tokens int64) time.Duration {
	return seconds(float64(tokens) * l.perToken)
}

// seconds converts seconds to a duration, bounded to a day.
func seconds(s float64) time.Duration {
	const day = 24 * time.Hour
	if s >= day.Seconds() {
		return day
	}
	return time.Duration(s * float64(time.Second))
}
