package target

import (
	"math"
	"time"
)

// Bounds of a plausible report. A report outside of them is a fault of the sender;
// accepting it would send all requests to one target, or none to it.
const (
	minCapacity = 0.01
	maxCapacity = 1e7
	maxDrain    = time.Hour
	maxLimit    = 1 << 20
	// capacityBand is the factor around the typical capacity to which a target's
	// capacity is clamped.
	capacityBand = 8
)

// geometricMean is the geometric mean of reported values. A single wildly wrong
// report changes it little, but would make an arithmetic mean useless.
type geometricMean struct {
	count  int
	logSum float64
}

func (m *geometricMean) add(v float64) {
	m.count++
	m.logSum += math.Log(v)
}

func (m *geometricMean) remove(v float64) {
	m.count--
	m.logSum -= math.Log(v)
}

// mean returns the mean, or fallback if there are no values.
func (m *geometricMean) mean(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return math.Exp(m.logSum / float64(m.count))
}

// Report records a load report. It returns false if it ignores the report because
// the target is unknown, or because the report is implausible, older than the last one,
// or from an earlier incarnation than the known one.
func (c *Chooser) Report(now time.Time, r Report) bool {
	s, ok := c.states[r.Name]
	if !ok || !isPlausible(r) {
		return false
	}
	if r.Incarnation < s.Incarnation {
		return false
	}
	measured := now.Sub(c.epoch) - r.Age
	if s.reported && r.Incarnation == s.Incarnation && measured < s.measuredAt {
		return false
	}
	c.advanceIncarnation(s, r.Incarnation)
	c.removeReport(s)
	s.reported = true
	s.measuredAt = measured
	s.outstanding = r.Outstanding
	s.tokenTime = 1 / r.Capacity
	s.requestTokenTime = float64(r.Limit) / r.Capacity
	s.sentSinceReport = s.sentSince(measured)
	c.capacities.add(r.Capacity)
	if s.requestTokenTime > 0 {
		c.requestTokenTimes.add(s.requestTokenTime)
	}
	c.updateMeans()
	return true
}

func isPlausible(r Report) bool {
	if math.IsNaN(r.Capacity) || r.Capacity < minCapacity || r.Capacity > maxCapacity {
		return false
	}
	if r.Outstanding < 0 || r.Age < 0 || r.Limit < 0 || r.Limit > maxLimit {
		return false
	}
	return float64(r.Outstanding)/r.Capacity <= maxDrain.Seconds()
}

// removeReport removes the target's report from the means.
func (c *Chooser) removeReport(s *state) {
	if !s.reported {
		return
	}
	s.reported = false
	c.capacities.remove(1 / s.tokenTime)
	if s.requestTokenTime > 0 {
		c.requestTokenTimes.remove(s.requestTokenTime)
	}
	c.updateMeans()
}

// updateMeans recomputes the means. Without any report, load is in tokens.
func (c *Chooser) updateMeans() {
	c.typicalTokenTime = 1 / c.capacities.mean(1)
	c.meanRequestTokenTime = c.requestTokenTimes.mean(0)
}

// serviceTime returns the usual time of a request at a target in seconds, or zero
// if it isn't known.
func (c *Chooser) serviceTime() float64 { return c.meanRequestTokenTime * c.meanTokens }

// load returns the estimated time in seconds that the target needs to finish its
// outstanding work. The argument mean is the mean load of the target's side, for a
// target of full weight.
//
// A report that is at most ReportFresh old has full weight, with the work sent since
// added. After that it loses weight: an old report says little about the target, and
// all entries that received the same low load would send their requests there. It is
// replaced by the mean plus the entry's own work in flight, which is always
// current.
func (c *Chooser) load(s *state, at time.Duration, mean float64) float64 {
	tokenTime := c.tokenTime(s)
	weight := c.reportWeight(s, at)
	fallback := mean*s.relativeWeight + float64(s.ownTokens)*tokenTime
	if weight == 0 {
		return fallback
	}
	reported := float64(s.outstanding+c.sentSince(s)) * tokenTime
	if weight == 1 {
		return reported
	}
	return weight*reported + (1-weight)*fallback
}

// meanSample returns the target's load relative to its weight, as a sample for the
// side's mean. Unlike load it doesn't use the mean, which would otherwise depend only
// on itself once all reports are old.
func (c *Chooser) meanSample(s *state, at time.Duration) float64 {
	tokens := s.ownTokens
	if c.reportWeight(s, at) > 0 {
		tokens = s.outstanding + c.sentSince(s)
	}
	return float64(tokens) * c.tokenTime(s) / s.relativeWeight
}

// sentSince estimates the tokens that all entries have sent since the report was
// measured, from those that this entry has sent. All entries choose in the same way
// by the same report: if this one ignored the work of the others, a target that is
// idle in a delayed report would get the work of all entries until the next report.
func (c *Chooser) sentSince(s *state) int64 { return s.sentSinceReport * int64(c.cfg.Entries) }

// reportWeight returns the weight of the target's last report, from 0 to 1.
func (c *Chooser) reportWeight(s *state, at time.Duration) float64 {
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

// tokenTime returns the estimated seconds per token of the target.
func (c *Chooser) tokenTime(s *state) float64 {
	if !s.reported {
		return c.typicalTokenTime
	}
	return min(max(s.tokenTime, c.typicalTokenTime/capacityBand), c.typicalTokenTime*capacityBand)
}
