package plan

import (
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// minWindows is how many windows an estimate needs before it is planned with.
const minWindows = 2

// Planner decides on the expert map of one group. It is not safe for concurrent use.
type Planner struct {
	cfg       Config
	allowance allowance
	loaded    []time.Time // per cell: when its expert was loaded
	trend     trend
}

// New returns a planner whose store allowance is full and that holds no replica
// in its place.
func New(cfg Config) (*Planner, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	p := &Planner{
		cfg:       cfg,
		allowance: newAllowance(cfg),
		loaded:    make([]time.Time, cfg.Shape.Cells()),
		trend:     trend{rise: firstRise},
	}
	return p, nil
}

// SetWeights puts the weights of a newly accepted document in force.
func (p *Planner) SetWeights(w Weights) error {
	cfg := p.cfg
	cfg.Weights = w
	if err := cfg.validate(); err != nil {
		return err
	}
	p.cfg = cfg
	return nil
}

// Plan proposes what to do now, given the map in force. It changes nothing in
// the planner, so it also serves as a dry run.
func (p *Planner) Plan(now time.Time, m *expertmap.Map, e demand.Estimate) (Proposal, error) {
	if err := p.check(m, e); err != nil {
		return Proposal{}, err
	}
	s := newSession(p, now, m, e)
	s.decide()
	return s.result, nil
}

// Observe learns how fast maps get worse, from the map in force and a new
// estimate. It is called with each estimate, before [Planner.Plan].
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
		return merry.Appendf(ErrInput, "map of %+v", m.Shape())
	}
	if err := fit(p.cfg.Shape, e.Share, e.Speed); err != nil {
		return err
	}
	if len(e.Deviation) != len(e.Share) {
		return merry.Appendf(ErrInput, "%d deviations", len(e.Deviation))
	}
	if found := m.Check(); len(found) > 0 {
		return merry.Appendf(ErrInput, "map in force: %v", found[0])
	}
	return nil
}

// Installed tells the planner that the group now uses map to instead of from.
// It charges the loads to the store's allowance and starts their hold.
func (p *Planner) Installed(now time.Time, from, to *expertmap.Map) error {
	if from.Shape() != p.cfg.Shape {
		return merry.Appendf(ErrInput, "map of %+v", from.Shape())
	}
	d, err := expertmap.Diff(from, to)
	if err != nil {
		return err
	}
	p.allowance.spend(now, d.Bytes(p.cfg.ExpertBytes))
	p.trend.replaced(to)
	for _, load := range d.Loads {
		if slot := p.slot(to, load); slot >= 0 {
			p.loaded[slot] = now
		}
	}
	return nil
}

// Refused tells the planner that a proposal did not come in force. Its loads are
// charged all the same: the ranks may have made all of them before one refused.
func (p *Planner) Refused(now time.Time, proposal Proposal) {
	p.allowance.spend(now, proposal.Bytes)
}

// ExpertBytes returns the size of the weights of one expert of one layer.
func (p *Planner) ExpertBytes() int64 { return p.cfg.ExpertBytes }

// StoreRate returns the bytes a second that may be loaded.
func (p *Planner) StoreRate() int64 { return p.cfg.StoreRate }

// slot is the cell of a placement in a map, or -1.
func (p *Planner) slot(m *expertmap.Map, at expertmap.Placement) int {
	s := p.cfg.Shape
	for i, e := range m.Row(int(at.Layer), int(at.Rank)) {
		if e == at.Expert {
			return (int(at.Layer)*s.Ranks+int(at.Rank))*s.Slots + i
		}
	}
	return -1
}

// held tells for each cell whether its expert must stay. A sharp shift after the
// load ends the hold: what the replica was loaded for is gone.
//
// Without the hold two demands that are equally likely take turns in the
// estimate, and the same replicas are loaded again and again.
func (p *Planner) held(now time.Time, e demand.Estimate) []bool {
	held := make([]bool, len(p.loaded))
	for i, at := range p.loaded {
		held[i] = !at.IsZero() && now.Sub(at) < p.cfg.Hold && !at.Before(e.Since)
	}
	return held
}
