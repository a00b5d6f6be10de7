package ratelimit

import (
	"hash/fnv"
	"math"
	"time"
)

// Senders are the entries among which a target's rate is divided.
type Senders struct {
	// Count is the number of entries that are known, or assumed.
	Count float64
	// Index is the index of this entry among all entries, from 1 on, if a planner numbers them; 0
	// if this entry has received no index.
	Index int
}

const (
	// sendersPerTarget is how many of the entries send to a rate-limited target, if each entry
	// knows its index. If all of them sent, each would send at least once, and the more entries
	// there are, the more requests the target would get at the same moment. A single sender may
	// have stopped.
	sendersPerTarget = 2
	// safetyFactor keeps a sender below its part of the rate. When half of the entries received
	// another count than the rest, four of them send: with this factor, what they send together in
	// some seconds is still less than one and a half times the rate and five.
	safetyFactor = 1.4
	// LeastRate is the lowest rate that is kept to: a target that takes nothing gets one request in
	// ten seconds, whose response shows whether it still takes nothing.
	LeastRate Rate = 0.1
	// rateLifetime is how long an entry that sends nothing to a rate-limited target relies on the senders to
	// learn when the limit ends. They send more often if they have requests for it.
	rateLifetime = time.Minute
	// verifyFactor is how many times less than an even share an entry sends then. Together with two senders,
	// all of them stay below one and a half times the rate.
	verifyFactor = 2
)

// verifyInterval returns the least time between two requests of an entry that verifies a limit.
func (s Senders) verifyInterval(rate Rate) time.Duration {
	return seconds(verifyFactor * max(s.Count, float64(s.Index)) / float64(max(rate, LeastRate)))
}

// interval returns the least time between two requests of this entry to a rate-limited target. Ok
// is false if it sends none, as other entries do.
func (s Senders) interval(target string, rate Rate) (d time.Duration, ok bool) {
	rate = max(rate, LeastRate)
	if s.Index == 0 {
		return seconds(s.Count / float64(rate)), true
	}
	count := max(int(s.Count), s.Index)
	if (s.Index+offset(target, count))%count >= sendersPerTarget {
		return 0, false
	}
	return seconds(safetyFactor * float64(min(count, sendersPerTarget)) / float64(rate)), true
}

// offset returns the index among the entries at which the senders of a target begin. It differs by
// target, so that each entry sends to about as many targets as the others.
func offset(target string, count int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // Write never fails
	return int(h.Sum32() % uint32(count))
}

// seconds converts a number of seconds; one that is too long for a duration becomes the longest
// duration.
func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// Limit is an entry's view of the rate that one target takes, and when it has sent there. The zero
// value is that of a target that named no rate.
type Limit struct {
	rate      Rate
	namedAt   time.Time // when a response named the rate last; zero if there is no limit
	endedAt   time.Time // time of the last evidence that there is no limit
	phase     float64   // from 0 to 1: the part of an interval that the first request waits
	role      role
	roleSince time.Time // when the entry took that role, or the rate was named first
	lastSent  time.Time // when it sent the last request
}

// role is an entry's part in sending to a rate-limited target.
type role uint8

const (
	evenShare role = iota + 1 // the entry does not know its index, and sends an even share
	sender                    // it is one of the senders
	idle                      // other entries send
	verifier                  // others should send, but nobody has named the rate for long
)

// Active reports whether the target takes no more than a rate.
func (l *Limit) Active() bool { return !l.namedAt.IsZero() }

// Rate returns the rate that was named last.
func (l *Limit) Rate() Rate { return l.rate }

// NamedAt returns when the rate was named last.
func (l *Limit) NamedAt() time.Time { return l.namedAt }

// PerSecond returns how many requests this entry may send in a second.
func (l *Limit) PerSecond(target string, s Senders) float64 {
	interval, ok := s.interval(target, l.rate)
	if !ok {
		return 0
	}
	return 1 / interval.Seconds()
}

// Set records the rate that a target named at the given time. The phase, from 0 to 1, is drawn at
// random: entries that receive the rate together would otherwise send together. Set returns whether
// the rate is news.
func (l *Limit) Set(namedAt time.Time, rate Rate, phase float64) bool {
	if namedAt.Before(l.namedAt) || !namedAt.After(l.endedAt) {
		return false // an outdated rate, which another entry passed on
	}
	news := !l.Active() || rate != l.rate
	if !l.Active() {
		l.phase, l.role, l.roleSince = phase, 0, namedAt
	}
	l.rate, l.namedAt = rate, namedAt
	return news
}

// Clear records a response without a rate to a request that was sent at the given time. If the
// target has named a rate since then, responses have overtaken each other, and the limit stays.
// Clear returns whether it ended the limit.
func (l *Limit) Clear(sent time.Time) bool {
	if !l.Active() || sent.Before(l.namedAt) {
		return false
	}
	l.namedAt, l.endedAt = time.Time{}, sent
	return true
}

// Next returns when this entry may send the next request. Ok is false if other entries send.
func (l *Limit) Next(now time.Time, target string, s Senders) (at time.Time, ok bool) {
	interval, ok := s.interval(target, l.rate)
	current := idle
	switch {
	case s.Index == 0:
		current = evenShare
	case ok:
		current = sender
	case now.Sub(l.namedAt) >= rateLifetime:
		current, interval, ok = verifier, s.verifyInterval(l.rate), true
	}
	if l.role == 0 && current != verifier {
		l.role = current
	}
	if current != l.role {
		// The former senders may have sent just before, and other entries begin now as well.
		l.role, l.roleSince = current, now
	}
	if !ok {
		return time.Time{}, false
	}
	at = l.roleSince.Add(time.Duration(l.phase * float64(interval)))
	if current == verifier && l.lastSent.Before(l.roleSince) {
		return at, true // those that sent together before would do so again after one interval
	}
	if again := l.lastSent.Add(interval); !l.lastSent.IsZero() && again.After(at) {
		at = again
	}
	return at, true
}

// Free reports whether this entry may send a request now.
func (l *Limit) Free(now time.Time, target string, s Senders) bool {
	if !l.Active() {
		return true
	}
	at, ok := l.Next(now, target, s)
	return ok && !now.Before(at)
}

// Sent records that a request was sent.
func (l *Limit) Sent(now time.Time) { l.lastSent = now }
