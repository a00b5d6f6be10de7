package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// weights is a set of experts on the rank.
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

// needs returns the weights that a rank has to hold for a map, by layer.
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

// loading is what a rank still has to fetch from the weight store, at its share
// of the store's rate.
type loading struct {
	rest  []expertmap.Placement
	chunk int           // loads in one order
	each  time.Duration // time for one load
	at    time.Time     // when the next order may be given
}

// loadingOf returns what the rank has to load for a map. It asks for nothing
// that the engine is known to hold.
func (s *Switch) loadingOf(m *expertmap.Map, rate, expertBytes int64) loading {
	each := time.Duration(min(float64(expertBytes)/float64(rate)*float64(time.Second), float64(MaxPatience)))
	l := loading{each: each, chunk: 1}
	if each > 0 {
		l.chunk = max(1, int(s.cfg.Chunk/each))
	}
	for _, p := range needs(m, s.rank) {
		if _, ok := s.held[p]; !ok {
			l.rest = append(l.rest, p)
		}
	}
	return l
}

func (l *loading) next() []expertmap.Placement {
	return l.rest[:min(l.chunk, len(l.rest))]
}

// done takes note that the engine has taken the order to load the next chunk.
func (l *loading) done(now time.Time, n int) {
	l.rest = l.rest[min(n, len(l.rest)):]
	l.at = now.Add(time.Duration(n) * l.each)
}

// absent returns all experts that a map doesn't put on a rank.
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

// surplus returns what the engine may hold beyond the map in force.
func (s *Switch) surplus() []expertmap.Placement {
	if s.current == nil {
		return nil
	}
	if s.heldMore {
		return absent(s.current, s.rank)
	}
	var list []expertmap.Placement
	for p := range s.held {
		if !s.current.Holds(int(p.Layer), s.rank, p.Expert) {
			list = append(list, p)
		}
	}
	return sorted(list)
}
