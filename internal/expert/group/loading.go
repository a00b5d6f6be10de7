package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// weights is a set of experts whose weights are on the rank.
type weights map[expertmap.Placement]struct{}

func (w weights) add(list []expertmap.Placement) {
	for _, p := range list {
		w[p] = struct{}{}
	}
}

func (w weights) remove(list []expertmap.Placement) {
	for _, p := range list {
		delete(w, p)
	}
}

// needs returns the weights that a rank has to hold for a map, ordered by layer.
func needs(m *expertmap.Map, rank int) []expertmap.Placement {
	var list []expertmap.Placement
	for layer := range m.Shape().Layers {
		for _, e := range m.Row(layer, rank) {
			if e != expertmap.Empty {
				list = append(list, expertmap.Placement{Rank: uint16(rank), Layer: uint16(layer), Expert: e})
			}
		}
	}
	return list
}

// loading is the list of weights that a rank still has to load from the weight
// store, at its share of the store's rate.
type loading struct {
	remaining   []expertmap.Placement
	chunk       int           // number of loads in one order
	timePerLoad time.Duration // at the rank's share of the rate
	nextAt      time.Time     // when the next order may be given
}

// loadingOf returns what the rank has to load for a map. It leaves out what the
// engine is known to hold.
func (s *Switch) loadingOf(m *expertmap.Map, rate, expertBytes int64) loading {
	timePerLoad := time.Duration(min(float64(expertBytes)/float64(rate)*float64(time.Second), float64(MaxPatience)))
	l := loading{timePerLoad: timePerLoad, chunk: 1}
	if timePerLoad > 0 {
		l.chunk = max(1, int(s.cfg.Chunk/timePerLoad))
	}
	for _, p := range needs(m, s.rank) {
		if _, ok := s.held[p]; !ok {
			l.remaining = append(l.remaining, p)
		}
	}
	return l
}

func (l *loading) next() []expertmap.Placement {
	return l.remaining[:min(l.chunk, len(l.remaining))]
}

// accepted records that the engine has accepted an order to load n experts.
func (l *loading) accepted(now time.Time, n int) {
	l.remaining = l.remaining[min(n, len(l.remaining)):]
	l.nextAt = now.Add(time.Duration(n) * l.timePerLoad)
}

// absent returns all experts that a map doesn't place on a rank.
func absent(m *expertmap.Map, rank int) []expertmap.Placement {
	var list []expertmap.Placement
	shape := m.Shape()
	for layer := range shape.Layers {
		for e := range shape.Experts {
			if !m.Holds(layer, rank, uint16(e)) {
				list = append(list, expertmap.Placement{Rank: uint16(rank), Layer: uint16(layer), Expert: uint16(e)})
			}
		}
	}
	return list
}

// surplus returns what the engine may hold that the active map doesn't need.
func (s *Switch) surplus() []expertmap.Placement {
	if s.activeMap == nil {
		return nil
	}
	if s.mayHoldMore {
		return absent(s.activeMap, s.rank)
	}
	var list []expertmap.Placement
	for p := range s.held {
		if !s.activeMap.Holds(int(p.Layer), s.rank, p.Expert) {
			list = append(list, p)
		}
	}
	return sorted(list)
}
