package ratelimit

import (
	"hash/fnv"
	"math"
	"time"
)

// Senders are the entries among which a target's rate is divided.
type Senders struct {
	// Count of entries: as many as are known, or assumed.
	Count float64
	// Place of this entry among them, from 1 on, if somebody counts them all; 0 if nobody
	// has told it.
	Place int
}

const (
	// holders is how many of the entries send to a target in need, where each knows its
	// place. If all of them did, each would send once at least, and the more entries there
	// are the more the target would get at the same moment. One alone may have stopped.
	holders = 2
	// caution keeps a holder below its part of the rate. When half of the entries were told
	// another count than the rest, four of them hold: with this, what they send together in
	// some seconds is still less than one and a half times the rate and five.
	caution = 1.4
	// LeastRate is the lowest that is kept to: a target that takes nothing gets one
	// request in ten seconds, whose answer tells whether that holds on.
	LeastRate Rate = 0.1
	// lapses is how long a rate holds that nobody has named again. Entries that may send to
	// the target ask it more often; past that none of them has callers for it.
	lapses = time.Minute
)

// interval is the least time between two requests of this entry to a target that takes a
// rate. Ok is false if it sends none, as others do.
func (s Senders) interval(target string, rate Rate) (d time.Duration, ok bool) {
	rate = max(rate, LeastRate)
	if s.Place == 0 {
		return seconds(s.Count / float64(rate)), true
	}
	count := max(int(s.Count), s.Place)
	if (s.Place+offset(target, count))%count >= holders {
		return 0, false
	}
	return seconds(caution * float64(min(count, holders)) / float64(rate)), true
}

// offset is where in the row of entries the holders of a target begin, so that each entry
// holds about as many targets as the others.
func offset(target string, count int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // it never fails
	return int(h.Sum32() % uint32(count))
}

// seconds reads a number of seconds; what is too long for a duration is the longest.
func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// Limit is what an entry knows of the rate that one target takes, and when it has sent
// there. The zero value is that of a target that named none.
type Limit struct {
	rate  Rate
	heard time.Time // when it was named last; zero if it isn't, or no longer
	ended time.Time // when it was known last that it is not
	phase float64   // from 0 to 1: the part of an interval that the first request waits
	role  role
	begun time.Time // when the entry took that role, or heard of the rate first
	last  time.Time // when it sent the last request
}

// role is how an entry takes part in what a target gets.
type role uint8

const (
	alone   role = iota + 1 // it does not know its place, and sends its share
	holds                   // it is one of those that send
	watches                 // others send
)

// Active tells whether the target takes no more than a rate.
func (l *Limit) Active() bool { return !l.heard.IsZero() }

// Rate is the rate that was named last.
func (l *Limit) Rate() Rate { return l.rate }

// Heard is when it was.
func (l *Limit) Heard() time.Time { return l.heard }

// PerSecond is how many requests this entry may send in a second.
func (l *Limit) PerSecond(target string, s Senders) float64 {
	interval, ok := s.interval(target, l.rate)
	if !ok {
		return 0
	}
	return 1 / interval.Seconds()
}

// Named takes the word of a target for its rate, heard at some time. Phase is drawn at
// random, from 0 to 1: entries that are told together would else send together. It tells
// whether that is news.
func (l *Limit) Named(heard time.Time, rate Rate, phase float64) bool {
	if heard.Before(l.heard) || !heard.After(l.ended) {
		return false // an old word, which another entry passed on
	}
	news := !l.Active() || rate != l.rate
	if !l.Active() {
		l.phase, l.role, l.begun = phase, 0, heard
	}
	l.rate, l.heard = rate, heard
	return news
}

// Unnamed takes an answer without a rate to a request that was sent at some time. If the
// target was heard to name it since, answers have overtaken each other. It tells whether
// that ends the limit.
func (l *Limit) Unnamed(sent time.Time) bool {
	if !l.Active() || sent.Before(l.heard) {
		return false
	}
	l.heard, l.ended = time.Time{}, sent
	return true
}

// Lapse ends a limit that nobody has heard of for long, and tells whether it did. While the
// entry has to wait longer than that for its own turn, it goes on.
func (l *Limit) Lapse(now time.Time, target string, s Senders) bool {
	if !l.Active() {
		return false
	}
	interval, _ := s.interval(target, l.rate)
	if interval > math.MaxInt64/4 || now.Sub(l.heard) < lapses+2*interval {
		return false
	}
	l.heard, l.ended = time.Time{}, l.heard
	return true
}

// Next is when this entry may send the next request. Ok is false if others send.
func (l *Limit) Next(now time.Time, target string, s Senders) (at time.Time, ok bool) {
	interval, ok := s.interval(target, l.rate)
	is := watches
	switch {
	case s.Place == 0:
		is = alone
	case ok:
		is = holds
	}
	if l.role == 0 {
		l.role = is
	}
	if is != l.role {
		// Who sent until now may have done so just before, and others begin now as well.
		l.role, l.begun = is, now
	}
	if !ok {
		return time.Time{}, false
	}
	at = l.begun.Add(time.Duration(l.phase * float64(interval)))
	if again := l.last.Add(interval); !l.last.IsZero() && again.After(at) {
		at = again
	}
	return at, true
}

// Free tells whether this entry may send a request now.
func (l *Limit) Free(now time.Time, target string, s Senders) bool {
	if !l.Active() {
		return true
	}
	at, ok := l.Next(now, target, s)
	return ok && !now.Before(at)
}

// Sent takes note of a request.
func (l *Limit) Sent(now time.Time) { l.last = now }
