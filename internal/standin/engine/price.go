package engine

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// expertShare is the share of a balanced step that is spent in the experts.
const expertShare = 0.6

func evenPopularity(m *expertmap.Map) [][]float64 {
	if m == nil {
		return nil
	}
	shape := m.Shape()
	shares := make([][]float64, shape.Layers)
	for l := range shares {
		shares[l] = make([]float64, shape.Experts)
		for e := range shares[l] {
			shares[l][e] = 1 / float64(shape.Experts)
		}
	}
	return shares
}

// stepTime computes each rank's time for the step that begins, and returns the
// longest. The caller holds the group's lock.
func (g *Group) stepTime() time.Duration {
	longest := time.Duration(0)
	for _, e := range g.ranks {
		factor := 1 - expertShare + expertShare*e.relativeWork()
		if e.faults.Slow > 0 {
			factor *= e.faults.Slow
		}
		e.stepTime = time.Duration(float64(g.cfg.Step) * factor)
		longest = max(longest, e.stepTime)
	}
	return longest
}

// relativeWork returns the rank's share of the experts' work, relative to the even
// share.
func (e *Engine) relativeWork() float64 {
	m := e.orders.current
	if m == nil || len(e.group.popularity) < m.Shape().Layers {
		return 1
	}
	if e.workMap == m && e.workPopularity == &e.group.popularity[0] {
		return e.work
	}
	e.workMap, e.workPopularity = m, &e.group.popularity[0]
	e.work = rankShare(m, e.rank, e.group.popularity) * float64(m.Shape().Ranks)
	return e.work
}

// rankShare returns the share of all tokens that a rank's experts process, if the
// replicas of an expert share its tokens evenly.
func rankShare(m *expertmap.Map, rank int, popularity [][]float64) float64 {
	shape := m.Shape()
	replicas := make([]uint16, shape.Experts)
	total := 0.0
	for layer := range shape.Layers {
		m.Replicas(layer, replicas)
		for _, expert := range m.Row(layer, rank) {
			if expert == expertmap.Empty || int(expert) >= len(popularity[layer]) {
				continue
			}
			total += popularity[layer][expert] / float64(max(1, replicas[expert]))
		}
	}
	return total / float64(shape.Layers)
}

// Counts returns the rank's counters since its start.
func (e *Engine) Counts() wire.Counts {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.distributeTokens()
	c := wire.Counts{
		Steps:   e.steps,
		Tokens:  e.tokens,
		Micros:  uint64(e.busyTime.Microseconds()),
		Map:     e.orders.currentNumber,
		Experts: make([][]uint64, len(e.expertTokens)),
	}
	for l, layer := range e.expertTokens {
		c.Experts[l] = make([]uint64, len(layer))
		for x, n := range layer {
			c.Experts[l][x] = uint64(n)
		}
	}
	return c
}

// distributeTokens distributes the tokens made since its last call among the experts,
// by the popularity that has been active since then. The caller holds the group's
// lock.
func (e *Engine) distributeTokens() {
	added := float64(e.tokens - e.distributed)
	e.distributed = e.tokens
	for l, shares := range e.group.popularity {
		if l == len(e.expertTokens) {
			e.expertTokens = append(e.expertTokens, nil)
		}
		if missing := len(shares) - len(e.expertTokens[l]); missing > 0 {
			e.expertTokens[l] = slices.Concat(e.expertTokens[l], make([]float64, missing))
		}
		for x, share := range shares {
			e.expertTokens[l][x] += added * share
		}
	}
}
