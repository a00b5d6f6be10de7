package target

import (
	"math"
	"time"
)

// The bounds of a report that is believed. A report outside of them is a fault
// of the sender, and taking it would send all requests to one target or none.
const (
	minCapacity = 0.01
	maxCapacity = 1e7
	maxDrain    = time.Hour
	maxLimit    = 1 << 20
	// capacityBand is how many times above or below the typical capacity a target
	// is believed to be.
	capacityBand = 8
)

// geometricMean is a mean of reported values. One absurd report moves it little,
// where it would make an arithmetic mean useless.
type geometricMean struct {
	n    int
	logs float64
}

func (m *geometricMean) add(v float64) {
	m.n++
	m.logs += math.Log(v)
}

func (m *geometricMean) remove(v float64) {
	m.n--
	m.logs -= math.Log(v)
}

// mean returns none if there was no report.
func (m *geometricMean) mean(none float64) float64 {
	if m.n == 0 {
		return none
	}
	return math.Exp(m.logs / float64(m.n))
}

// Report takes a report of load. It returns false if it is absurd, older than
// the one at hand, or of another incarnation than the known one.
func (c *Chooser) Report(now time.Time, r Report) bool {
	s, ok := c.states[r.Name]
	if !ok || !plausible(r) {
		return false
	}
	if r.Incarnation < s.Incarnation {
		return false
	}
	measured := now.Sub(c.epoch) - r.Age
	if s.reported && r.Incarnation == s.Incarnation && measured < s.measuredAt {
		return false
	}
	c.renew(s, r.Incarnation)
	c.unreport(s)
	s.reported = true
	s.measuredAt = measured
	s.outstanding = r.Outstanding
	s.perToken = 1 / r.Capacity
	s.perStream = float64(r.Limit) / r.Capacity
	s.since = s.sentSince(measured)
	c.typical.add(r.Capacity)
	if s.perStream > 0 {
		c.streams.add(s.perStream)
	}
	c.remean()
	return true
}

func plausible(r Report) bool {
	if math.IsNaN(r.Capacity) || r.Capacity < minCapacity || r.Capacity > maxCapacity {
		return false
	}
	if r.Outstanding < 0 || r.Age < 0 || r.Limit < 0 || r.Limit > maxLimit {
		return false
	}
	return float64(r.Outstanding)/r.Capacity <= maxDrain.Seconds()
}

// unreport takes the report of a target out of the sums.
func (c *Chooser) unreport(s *state) {
	if !s.reported {
		return
	}
	s.reported = false
	c.typical.remove(1 / s.perToken)
	if s.perStream > 0 {
		c.streams.remove(s.perStream)
	}
	c.remean()
}

// remean works the means out again. Without any report load is in tokens.
func (c *Chooser) remean() {
	c.perTypical = 1 / c.typical.mean(1)
	c.perStream = c.streams.mean(0)
}

// serviceTime returns the seconds that a request takes at a target, usually; or
// zero if that isn't known.
func (c *Chooser) serviceTime() float64 { return c.perStream * c.meanTokens }

// load returns the estimated time in seconds that the target needs for what it
// has been given. The mean is that of the target's side, for a target of full
// weight.
//
// A report up to ReportFresh old counts in full, with the work sent
// since. Then it loses weight: an old report says little about the target, and
// the entries that all saw the same low figure would all send there. What takes
// its place is the mean, plus the entry's own work in flight, which is never
// late.
func (c *Chooser) load(s *state, at time.Duration, mean float64) float64 {
	per := c.perToken(s)
	trust := c.trust(s, at)
	usual := mean*s.relative + float64(s.own)*per
	if trust == 0 {
		return usual
	}
	fresh := float64(s.outstanding+c.sentSince(s)) * per
	if trust == 1 {
		return fresh
	}
	return trust*fresh + (1-trust)*usual
}

// sample returns the target's load for its weight, for a side's mean. It leaves the mean itself
// out, which else would feed on itself once all reports are old.
func (c *Chooser) sample(s *state, at time.Duration) float64 {
	tokens := s.own
	if c.trust(s, at) > 0 {
		tokens = s.outstanding + c.sentSince(s)
	}
	return float64(tokens) * c.perToken(s) / s.relative
}

// sentSince estimates what all entries have sent since the report was measured,
// from what this one has. They choose alike by the same report: without the
// others' part, a target that was idle in a late report gets the work of all of
// them until the next one.
func (c *Chooser) sentSince(s *state) int64 { return s.since * int64(c.cfg.Sharers) }

// trust returns the weight of the target's last report, from 0 to 1.
func (c *Chooser) trust(s *state, at time.Duration) float64 {
	if !s.reported {
		return 0
	}
	age := at - s.measuredAt
	if age <= c.cfg.ReportFresh {
		return 1
	}
	if age >= c.cfg.ReportTTL {
		return 0
	}
	return float64(c.cfg.ReportTTL-age) / float64(c.cfg.ReportTTL-c.cfg.ReportFresh)
}

// perToken returns the seconds that the target is believed to take for a token.
func (c *Chooser) perToken(s *state) float64 {
	if !s.reported {
		return c.perTypical
	}
	return min(max(s.perToken, c.perTypical/capacityBand), c.perTypical*capacityBand)
}
