package target

import (
	"cmp"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Status is the state of a candidate as shown in a dump.
type Status struct {
	Name        Name             `json:"name"`
	DataCentre  host.DataCentre  `json:"dataCentre"`
	Incarnation host.Incarnation `json:"incarnation"`
	Weight      float64          `json:"weight"`
	Eligible    bool             `json:"eligible"` // may get a request now
	Leaving     bool             `json:"leaving"`
	Suspended   bool             `json:"suspended"`
	Failures    int              `json:"failures"` // consecutive failures
	InFlight    int              `json:"inFlight"` // attempts of this entry
	Outstanding int64            `json:"outstanding"`
	ReportAge   string           `json:"reportAge,omitempty"`
}

// Statuses returns the state of all candidates, sorted by name.
func (c *Chooser) Statuses(now time.Time) []Status {
	at := now.Sub(c.epoch)
	out := make([]Status, 0, len(c.states))
	for _, s := range c.states {
		out = append(out, c.status(s, at))
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c *Chooser) status(s *state, at time.Duration) Status {
	st := Status{
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Incarnation: s.Incarnation,
		Weight:      s.Weight,
		Eligible:    s.eligible(at, &c.cfg, &Query{}),
		Leaving:     s.Leaving,
		Suspended:   s.Suspended,
		Failures:    s.failures,
		InFlight:    s.inFlight,
		Outstanding: s.outstanding,
	}
	if s.reported {
		st.ReportAge = (at - s.measuredAt).Round(time.Millisecond).String()
	}
	return st
}
