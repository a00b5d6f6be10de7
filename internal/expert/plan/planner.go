package plan

import (
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// minWindows is the least number of windows that an estimate must cover to be used
// for planning.
const minWindows = 2

// Planner decides on the expert map of one group. It is not safe for concurrent use.
type Planner struct {
	cfg       Config
	allowance allowance
	loadedAt  []time.Time // per cell: time of the last load into it
	trend     trend
}

// New returns a planner whose load allowance is full and that has no replica on
// hold.
func New(cfg Config) (*Planner, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	p := &Planner{
		cfg:       cfg,
		allowance: newAllowance(cfg),
		loadedAt:  make([]time.Time, cfg.Shape.Cells()),
		trend:     trend{rise: firstRise},
	}
	return p, nil
}

// SetWeights replaces the weights by those of a newly accepted document.
func (p *Planner) SetWeights(w Weights) error {
	cfg := p.cfg
	cfg.Weights = w
	if err := cfg.validate(); err != nil {
		return err
	}
	p.cfg = cfg
	return nil
}

// Plan proposes what to do now, given the active map. It doesn't change the
// planner, so it also serves as a dry run.
func (p *Planner) Plan(now time.Time, m *expertmap.Map, e demand.Estimate) (Proposal, error) {
	if err := p.check(m, e); err != nil {
		return Proposal{}, err
	}
	s := newSession(p, now, m, e)
	s.decide()
	return s.result, nil
}

// Observe updates the estimate of how fast maps get worse, from the active map and a
// new estimate of the demand. It must be called with each new estimate, before
// [Planner.Plan].
func (p *Planner) Observe(now time.Time, m *expertmap.Map, e demand.Estimate) error {
	if err := p.check(m, e); err != nil {
		return err
	}
	f := predict(newLayer(p.cfg.Shape, e.Speed), m, e.Share)
	p.trend.observe(now, f.Time, e)
	return nil
}

func (p *Planner) check(m *expertmap.Map, e demand.Estimate) error {
	if m.Shape() != p.cfg.Shape {
		return merry.Appendf(ErrInput, "map of shape %+v", m.Shape())
	}
	if err := fit(p.cfg.Shape, e.Share, e.Speed); err != nil {
		return err
	}
	if len(e.Deviation) != len(e.Share) {
		return merry.Appendf(ErrInput, "%d deviations do not match the shares", len(e.Deviation))
	}
	if found := m.Problems(); len(found) > 0 {
		return merry.Appendf(ErrInput, "active map: %v", found[0])
	}
	return nil
}

// Installed records that the group now uses the map to instead of from. It subtracts
// the loads from the load allowance and puts the loaded replicas on hold.
func (p *Planner) Installed(now time.Time, from, to *expertmap.Map) error {
	if from.Shape() != p.cfg.Shape {
		return merry.Appendf(ErrInput, "map of shape %+v", from.Shape())
	}
	d, err := expertmap.Diff(from, to)
	if err != nil {
		return err
	}
	p.allowance.spend(now, d.Bytes(p.cfg.ExpertBytes))
	p.trend.mapReplaced(to)
	for _, load := range d.Loads {
		if cell := p.cellOf(to, load); cell >= 0 {
			p.loadedAt[cell] = now
		}
	}
	return nil
}

// Refused records that the map of a proposal did not become active. Its loads are
// subtracted from the load allowance all the same: the ranks may have made all of them
// before one refused.
func (p *Planner) Refused(now time.Time, proposal Proposal) {
	p.allowance.spend(now, proposal.Bytes)
}

// ExpertBytes returns the size of the weights of one expert of one layer.
func (p *Planner) ExpertBytes() int64 { return p.cfg.ExpertBytes }

// StoreRate returns how many bytes per second may be loaded.
func (p *Planner) StoreRate() int64 { return p.cfg.StoreRate }

// cellOf returns the index of the cell that holds a placement in a map, or -1 if none
// does.
func (p *Planner) cellOf(m *expertmap.Map, placement expertmap.Placement) int {
	s := p.cfg.Shape
	for i, e := range m.Row(int(placement.Layer), int(placement.Rank)) {
		if e == placement.Expert {
			return (int(placement.Layer)*s.Ranks+int(placement.Rank))*s.Slots + i
		}
	}
	return -1
}

// onHold returns for each cell whether its replica is on hold. A sharp shift after the
// load ends the hold, as the demand that the replica was loaded for is gone.
//
// Without holds, two demands that are equally likely would alternate in the estimate,
// and the same replicas would be loaded again and again.
func (p *Planner) onHold(now time.Time, e demand.Estimate) []bool {
	onHold := make([]bool, len(p.loadedAt))
	for i, at := range p.loadedAt {
		onHold[i] = !at.IsZero() && now.Sub(at) < p.cfg.HoldTime && !at.Before(e.LastShift)
	}
	return onHold
}
